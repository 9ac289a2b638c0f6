"""Tests load balancing over the servers of plain services."""

from __future__ import annotations

import random
import unittest

import engine_fixture

from lavendershed.core import ids
from lavendershed.routing import server_choice


class LeastOutstandingTest(unittest.TestCase):
    """Fails if requests are not spread by the number in flight."""

    def setUp(self):
        self.choice = server_choice.LeastOutstanding(
            engine_fixture.ZONE, random.Random(3)
        )
        self.servers = [
            engine_fixture.engine("near"),
            engine_fixture.engine("far", ids.AvailabilityZoneId("b")),
        ]

    def choose(self, avoided=(), outstanding=None, shares=None):
        return self.choice.choose(
            self.servers, frozenset(avoided), outstanding or {}, shares or {}
        )

    def test_the_local_zone_wins_a_tie(self):
        self.assertEqual(self.choose().id, "near")

    def test_the_server_with_fewer_requests_wins(self):
        self.assertEqual(self.choose(outstanding={"near": 1}).id, "far")
        self.assertEqual(
            self.choose(outstanding={"near": 1, "far": 1}).id, "near"
        )

    def test_avoided_servers_are_used_only_without_others(self):
        self.assertEqual(self.choose({"near"}).id, "far")
        self.assertIsNotNone(self.choose({"near", "far"}))
        self.assertIsNone(self.choice.choose([], frozenset(), {}, {}))

    def test_the_server_that_fails_fewer_requests_wins(self):
        self.assertEqual(self.choose(shares={"near": 0.3}).id, "far")
        self.assertEqual(
            self.choose(shares={"near": 0.6, "far": 0.3}).id, "far"
        )

    def test_a_busy_sound_server_leaves_requests_to_a_failing_one(self):
        busy = {"far": 2}
        self.assertEqual(
            self.choose(shares={"near": 0.3}, outstanding=busy).id, "near"
        )
        self.assertEqual(
            self.choose(shares={"near": 1.0}, outstanding=busy).id, "far"
        )


if __name__ == "__main__":
    unittest.main()
