"""Tests the losses by which placements are compared."""

from __future__ import annotations

import dataclasses
import unittest

import engine_fixture

from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import loss_weights
from lavendershed.routing import predicted_loss

WEIGHTS = loss_weights.LossWeights()
NOW = engine_fixture.NOW


def candidate(*tasks, zone=engine_fixture.ZONE):
    """Returns an engine with these tasks."""
    load = load_tracker.EngineLoad(tasks)
    return predicted_loss.Candidate(
        engine_fixture.engine("e", zone), load, 1.0, 50.0, 0.0, 0.0, 0.0
    )


class PredictedLossTest(unittest.TestCase):
    """Fails if the loss of a request or of one that it delays is wrong."""

    def setUp(self):
        self.losses = predicted_loss.PredictedLoss(
            latency_model.LatencyModel(engine_fixture.PROFILE), WEIGHTS
        )

    def test_a_request_on_time_loses_only_its_time_to_first_token(self):
        demand = engine_fixture.demand(5_000, first_token_after=0.3)
        loss = self.losses.request_loss(demand, 100.0, 50.0, NOW)
        self.assertAlmostEqual(loss, 0.1 * WEIGHTS.ttft_per_second)

    def test_a_late_request_loses_its_late_share(self):
        demand = engine_fixture.demand(5_000, first_token_after=0.3)
        loss = self.losses.request_loss(demand, 1_000.0, 50.0, NOW)
        utility = self.losses.utility(demand.size) * WEIGHTS.late_loss_share
        self.assertAlmostEqual(loss, utility + WEIGHTS.ttft_per_second)

    def test_a_missed_inter_token_target_makes_a_request_late(self):
        demand = engine_fixture.demand(5_000, inter_token_latency=0.25)
        quick = self.losses.request_loss(demand, 100.0, 50.0, NOW)
        slow = self.losses.request_loss(demand, 100.0, 400.0, NOW)
        self.assertGreater(slow, quick)

    def test_a_prefill_beyond_the_inter_token_target_costs_a_loss(self):
        decoding = engine_fixture.task("e")
        interference_losses = self.losses.interference_losses(
            candidate(decoding), 300.0, False, NOW
        )
        self.assertAlmostEqual(
            interference_losses[decoding.request],
            decoding.utility * WEIGHTS.late_loss_share,
        )
        self.assertEqual(
            self.losses.interference_losses(
                candidate(decoding), 100.0, False, NOW
            ),
            {},
        )

    def test_used_kv_cache_reduces_the_capacity(self):
        busy = engine_fixture.task("e", kv_tokens=300_000)
        demand = engine_fixture.demand(20_000)
        self.assertFalse(self.losses.has_kv_capacity(demand, candidate(busy)))
        self.assertTrue(self.losses.has_kv_capacity(demand, candidate()))

    def test_slot_contention_costs_a_loss(self):
        few = [engine_fixture.task("e", request=n) for n in range(3)]
        many = [engine_fixture.task("e", request=n) for n in range(8)]
        self.assertEqual(
            self.losses.contention_loss(load_tracker.EngineLoad(few)), 0.0
        )
        self.assertGreater(
            self.losses.contention_loss(load_tracker.EngineLoad(many)), 0.0
        )

    def test_slots_stay_free_for_requests_that_are_not_reported_yet(self):
        """Guards against full engines when daemons place requests at once.

        With five of six slots in use, two requests that different daemons
        sent to the same engine had to wait for another answer to end.
        """
        small = dataclasses.replace(engine_fixture.PROFILE, slots=6)
        self.assertLess(predicted_loss.soft_slot_limit(small), 4.0)
        single = dataclasses.replace(engine_fixture.PROFILE, slots=1)
        self.assertEqual(predicted_loss.soft_slot_limit(single), 1.0)

    def test_engine_time_costs_nothing_while_slots_are_free(self):
        engines = [candidate() for _ in range(4)]
        self.assertEqual(self.losses.opportunity_loss(engines, 5_000.0), 0.0)


if __name__ == "__main__":
    unittest.main()
