"""Tests which share of the fleet a daemon takes itself to see."""

from __future__ import annotations

import unittest

from lavendershed.core import units
from lavendershed.membership import visible_fleet


class VisibleFleetTest(unittest.TestCase):
    """Guards against sides of a partition that each use a whole limit."""

    def share(self, *observations):
        fleet = visible_fleet.VisibleFleet()
        for size, now in observations:
            fleet.observe(size, units.Instant(now))
        return fleet.share

    def test_the_sides_of_a_partition_add_up_to_one(self):
        smaller = self.share((9, 0.0), (2, 5.0))
        larger = self.share((9, 0.0), (7, 5.0))
        self.assertAlmostEqual(smaller + larger, 1.0)

    def test_a_whole_fleet_has_the_whole_limit(self):
        self.assertEqual(self.share((1, 0.0), (4, 1.0), (9, 2.0)), 1.0)

    def test_lost_daemons_are_forgotten_after_a_time(self):
        self.assertEqual(self.share((9, 0.0), (6, 5.0), (6, 31.0)), 1.0)

    def test_a_smaller_maximum_is_remembered_after_a_larger_one(self):
        share = self.share((9, 0.0), (8, 10.0), (4, 20.0), (4, 35.0))
        self.assertEqual(share, 0.5)

    def test_without_any_observation_the_share_is_one(self):
        self.assertEqual(self.share(), 1.0)


if __name__ == "__main__":
    unittest.main()
