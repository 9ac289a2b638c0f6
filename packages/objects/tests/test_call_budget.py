"""Guards the call rate to the store and the share reserved for bookings."""

from __future__ import annotations

import unittest

from lavendershed.core import units
from lavendershed.objects import call_budget

BACKGROUND = call_budget.CallClass.BACKGROUND
BOOKING = call_budget.CallClass.BOOKING
LIMITS = call_budget.BudgetLimits(10.0, 20.0, 0.5)


def acquire_all(budget, call_class, now):
    """Takes calls until none is available; returns their count."""
    count = 0
    while budget.try_acquire(call_class, units.Instant(now)).is_ok():
        count += 1
    return count


class CallBudgetTest(unittest.TestCase):
    """Fails if a daemon exceeds its rate or starves bookings."""

    def setUp(self):
        self.budget = call_budget.CallBudget(LIMITS, units.Instant(0.0))

    def test_background_calls_leave_the_booking_share(self):
        self.assertEqual(acquire_all(self.budget, BACKGROUND, 0.0), 10)
        self.assertEqual(acquire_all(self.budget, BOOKING, 0.0), 10)

    def test_rate_holds_over_a_long_time(self):
        calls = sum(
            acquire_all(self.budget, BACKGROUND, tick / 10)
            for tick in range(1_001)
        )
        self.assertLessEqual(calls, 10 + 100 * 10)
        self.assertGreater(calls, 990)

    def test_returned_wait_is_sufficient_and_not_too_long(self):
        acquire_all(self.budget, BACKGROUND, 0.0)
        wait = self.budget.try_acquire(BACKGROUND, units.Instant(0.0)).err_value
        early = units.Instant(wait - 0.01)
        self.assertTrue(self.budget.try_acquire(BACKGROUND, early).is_err())
        later = units.Instant(wait + 1e-6)
        self.assertTrue(self.budget.try_acquire(BACKGROUND, later).is_ok())

    def test_no_burst_when_the_store_recovers(self):
        self.budget.on_unavailable(units.Instant(100.0))
        self.assertEqual(acquire_all(self.budget, BACKGROUND, 100.0), 0)
        self.assertEqual(acquire_all(self.budget, BACKGROUND, 100.5), 5)

    def test_throttling_stops_background_calls_only(self):
        self.budget.on_throttled(units.Seconds(3.0), units.Instant(0.0))
        self.assertEqual(acquire_all(self.budget, BACKGROUND, 2.9), 0)
        booking = self.budget.try_acquire(BOOKING, units.Instant(2.9))
        self.assertTrue(booking.is_ok())
        self.assertGreater(acquire_all(self.budget, BACKGROUND, 3.1), 0)


if __name__ == "__main__":
    unittest.main()
