"""Tests the prediction of prefill and decode times."""

from __future__ import annotations

import unittest

import engine_fixture

from lavendershed.core import units
from lavendershed.routing import latency_model


class LatencyModelTest(unittest.TestCase):
    """Fails if predictions deviate from the configured engine profile."""

    def setUp(self):
        self.model = latency_model.LatencyModel(engine_fixture.PROFILE)

    def test_prefill_time_includes_attention(self):
        # 5,000 tokens: 28 ms and 12.5 million pairs at 0.184 ms.
        self.assertAlmostEqual(self.model.prefill_ms(5_000), 30.5, delta=0.1)
        self.assertAlmostEqual(self.model.prefill_ms(154_000), 3_052, delta=2)

    def test_shards_are_even(self):
        whole = self.model.prefill_ms(154_000)
        self.assertAlmostEqual(self.model.prefill_ms(154_000, 4), whole / 4)

    def test_decoding_requests_and_contexts_lengthen_an_iteration(self):
        single_ms = self.model.iteration_ms(1, 0)
        self.assertAlmostEqual(single_ms, 51 * (0.85 + 0.0085))
        self.assertGreater(self.model.iteration_ms(8, 40_000), single_ms + 8)

    def test_the_callers_estimate_is_capped_at_max_output_tokens(self):
        size = latency_model.RequestSize(units.Tokens(1_000), units.Tokens(500))
        self.assertEqual(self.model.expected_output_tokens(size), 500)
        estimated = latency_model.RequestSize(
            units.Tokens(1_000), units.Tokens(500), units.Tokens(100)
        )
        self.assertEqual(self.model.expected_output_tokens(estimated), 100)
        self.assertEqual(self.model.weighted_tokens(estimated), 2_000)


if __name__ == "__main__":
    unittest.main()
