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

    def test_the_local_zone_wins_a_tie(self):
        chosen = self.choice.choose(self.servers, frozenset())
        self.assertEqual(chosen.id, "near")

    def test_the_server_with_fewer_requests_wins(self):
        self.choice.started("near")
        chosen = self.choice.choose(self.servers, frozenset())
        self.assertEqual(chosen.id, "far")
        self.choice.ended("near")
        chosen = self.choice.choose(self.servers, frozenset())
        self.assertEqual(chosen.id, "near")

    def test_avoided_servers_are_used_only_without_others(self):
        chosen = self.choice.choose(self.servers, frozenset({"near"}))
        self.assertEqual(chosen.id, "far")
        everyone = frozenset({"near", "far"})
        self.assertIsNotNone(self.choice.choose(self.servers, everyone))
        self.assertIsNone(self.choice.choose([], frozenset()))


if __name__ == "__main__":
    unittest.main()
