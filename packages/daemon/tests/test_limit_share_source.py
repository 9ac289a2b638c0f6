"""Tests the demand rates on which limit shares are based."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.daemon import limit_share_source

PRESS = ids.OrganisationId("press")


class DemandMeterTest(unittest.TestCase):
    """Fails if a rate is wrong or idle organisations are never removed."""

    def setUp(self):
        self.meter = limit_share_source.DemandMeter(units.Instant(0.0))

    def test_steady_arrivals_yield_their_rate(self):
        for number in range(600):
            now = units.Instant(number * 0.1)
            self.meter.on_arrival(PRESS, 50, now)
        (demand,) = self.meter.demand_record(units.Instant(60.0)).demands
        self.assertAlmostEqual(demand.requests_per_second, 10.0, delta=0.2)
        self.assertAlmostEqual(demand.tokens_per_second, 500.0, delta=10.0)

    def test_largest_demands_come_first_and_idle_ones_are_removed(self):
        for number in range(40):
            name = ids.OrganisationId(f"o-{number}")
            self.meter.on_arrival(name, number, units.Instant(1.0))
        demands = self.meter.demand_record(units.Instant(1.0)).demands
        self.assertEqual(demands[0].organisation, "o-39")
        self.assertLess(len(demands), 40)
        self.assertEqual(
            self.meter.demand_record(units.Instant(200.0)).demands, ()
        )


if __name__ == "__main__":
    unittest.main()
