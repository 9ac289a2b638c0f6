"""Tests the load that an attempt is taken for."""

from __future__ import annotations

import unittest
from unittest import mock

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import engine_tasks
from lavendershed.routing import load_tracker
from lavendershed.routing import placements
from lavendershed.standin import engine_samples


class LateShardsTest(unittest.TestCase):
    """Guards against engines that seem idle while they prefill a late prompt.

    A prompt of 600,000 tokens that was expected to miss its target was divided
    among six engines. Two prompts with predictions of 0.2 and 0.3 s were placed
    on three of them and got their first tokens after 5.2 and 4.5 s.
    """

    def backlog_ms(self, helpers):
        """Returns the prefill backlog of an engine of a late prompt."""
        tracker = load_tracker.LoadTracker()
        context = mock.Mock(load_tracker=tracker)
        context.timers.now.return_value = engine_samples.NOW
        context.choosers.chooser.return_value = None
        request = mock.Mock(
            fingerprint=1, received_at=units.Instant(engine_samples.NOW - 5.0)
        )
        request.route.target_latency = units.Seconds(3.0)
        placement = placements.Placement(
            engine_samples.engine("e0"),
            tuple(engine_samples.engine(f"e{n + 1}") for n in range(helpers)),
            4_600.0,
            5_200.0,
            60.0,
            900.0,
            1.0,
            urgent=False,
        )
        engine_tasks.EngineTasks(
            context,
            request,
            placement,
            engine_samples.demand(600_000).size,
            units.Seconds(1.0),
        )
        load = tracker.load(ids.BackendServerId(f"e{helpers}"))
        return load.prefill_backlog_ms(engine_samples.NOW, 60.0)

    def test_shards_of_a_late_prompt_are_a_backlog(self):
        self.assertGreater(self.backlog_ms(5), 4_000.0)

    def test_a_late_prompt_on_one_engine_delays_no_other(self):
        self.assertEqual(self.backlog_ms(0), 0.0)


if __name__ == "__main__":
    unittest.main()
