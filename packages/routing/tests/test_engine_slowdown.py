"""Tests the detection of slow engines."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routing import engine_slowdown

ENGINE = ids.BackendServerId("e")


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class EngineSlowdownsTest(unittest.TestCase):
    """Fails if a slow engine is not detected, or a healthy one is avoided."""

    def setUp(self):
        self.slowdowns = engine_slowdown.EngineSlowdowns()

    def observe(self, *latencies, now=0.0):
        for observed_ms in latencies:
            self.slowdowns.on_inter_token_latency(
                ENGINE, observed_ms, 50.0, at(now)
            )

    def factor(self, now=0.0):
        return self.slowdowns.factor(ENGINE, at(now))

    def test_consecutive_long_latencies_show_a_slow_engine(self):
        self.observe(250.0, 260.0, 240.0)
        self.assertEqual(self.factor(), 1.0)
        self.observe(250.0)
        self.assertAlmostEqual(self.factor(), 4.8)
        self.assertEqual(len(self.slowdowns.local_slowdowns(at(0.0))), 1)

    def test_single_long_latencies_are_ignored(self):
        self.observe(400.0, 50.0, 400.0, 400.0, 60.0, 400.0)
        self.assertEqual(self.factor(), 1.0)

    def test_a_recovered_engine_is_not_slow(self):
        self.observe(250.0, 250.0, 250.0, 250.0, 50.0)
        self.assertEqual(self.factor(), 1.0)

    def test_a_cold_engine_is_predicted_as_slower_until_it_is_warm(self):
        self.slowdowns.set_cold(ENGINE, at(2.0))
        self.assertEqual(self.factor(now=1.9), 1.5)
        self.observe(250.0, 250.0, 250.0, 250.0, now=1.9)
        self.assertEqual(self.factor(now=1.9), 5.0)
        self.assertEqual(self.factor(now=2.0), 1.0)

    def test_latencies_of_a_cold_engine_say_nothing_about_a_warm_one(self):
        """The engine would be avoided as slow for some seconds more."""
        self.slowdowns.set_cold(ENGINE, at(2.0))
        self.slowdowns.on_stated_slowdown(ENGINE, 4.0, at(1.9))
        self.slowdowns.on_report([(ENGINE, 4.0)], at(1.9))
        self.observe(250.0, 250.0, 250.0, now=1.9)
        self.observe(250.0, now=2.1)
        self.assertEqual(self.factor(now=2.1), 1.0)
        self.observe(250.0, 250.0, 250.0, now=2.1)
        self.assertEqual(self.factor(now=2.1), 5.0)

    def test_old_observations_expire(self):
        self.observe(250.0, 250.0, 250.0, 250.0)
        self.assertEqual(self.factor(now=4.0), 1.0)
        self.observe(250.0, now=4.0)
        self.assertEqual(self.factor(now=4.0), 1.0)

    def test_a_stated_slowdown_counts_and_is_reported(self):
        self.slowdowns.on_stated_slowdown(ENGINE, 5.0, at(0.0))
        self.assertEqual(self.factor(now=1.0), 5.0)
        self.assertEqual(
            self.slowdowns.local_slowdowns(at(1.0)), ((ENGINE, 5.0),)
        )
        self.assertEqual(self.factor(now=4.0), 1.0)
        self.slowdowns.on_stated_slowdown(ENGINE, 1.1, at(5.0))
        self.assertEqual(self.factor(now=5.0), 1.0)

    def test_reports_of_peers_count_and_expire(self):
        self.slowdowns.on_report([(ENGINE, 3.0)], at(0.0))
        self.assertEqual(self.factor(now=1.0), 3.0)
        self.assertEqual(self.slowdowns.local_slowdowns(at(1.0)), ())
        self.assertEqual(self.factor(now=4.0), 1.0)


if __name__ == "__main__":
    unittest.main()
