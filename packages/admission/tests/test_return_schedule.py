"""Tests when rejected callers are told to return."""

from __future__ import annotations

import unittest

from lavendershed.admission import return_schedule
from lavendershed.core import units

NOW = units.Instant(100.0)


def capacity(engines=10, daemons=5, backlog=0.0, opens_after=0.0):
    """Returns the capacity of a small deployment."""
    return return_schedule.Capacity(
        engines, daemons, units.Seconds(backlog), units.Seconds(opens_after)
    )


class ReturnScheduleTest(unittest.TestCase):
    """Guards against rejected callers that return all at once."""

    def setUp(self):
        self.schedule = return_schedule.ReturnSchedule()

    def issue(self, engine_s=2.0, time_left=15.0, now=NOW, **changes):
        return self.schedule.issue(
            units.Seconds(engine_s), capacity(**changes), time_left, now
        )

    def test_returns_come_at_the_rate_that_can_be_served(self):
        """Guards against a second overload by the callers of the first.

        Each of five daemons rejects ten requests of 2 s of engine time at the
        same moment; ten engines serve five of them a second.
        """
        returns = []
        for _ in range(5):
            self.schedule = return_schedule.ReturnSchedule()
            returns += [self.issue() for _ in range(5)]
        for second in range(1, 4):
            served = sum(second - 1 <= r < second for r in returns)
            self.assertLessEqual(served, 6)

    def test_nobody_returns_before_the_backlog_is_done(self):
        self.assertAlmostEqual(self.issue(backlog=3.0), 3.0)

    def test_a_return_is_not_after_the_callers_deadline(self):
        """Guards against a Retry-After that can't be followed."""
        self.assertIsNone(self.issue(backlog=3.0, time_left=2.0))
        self.assertIsNone(self.issue(engine_s=60.0, time_left=3.0))

    def test_callers_wait_at_most_a_third_of_their_time(self):
        self.assertAlmostEqual(self.issue(backlog=4.0, time_left=9.0), 3.0)

    def test_nobody_is_told_to_return_while_all_engines_pause(self):
        """Guards against a time at which a return is refused again.

        A pause is known, and may be longer than any backlog is estimated.
        """
        returns = [self.issue(opens_after=8.0) for _ in range(4)]
        self.assertEqual(returns, sorted(set(returns)))
        self.assertAlmostEqual(returns[0], 8.0)
        self.assertIsNone(self.issue(opens_after=8.0, time_left=8.0))

    def test_without_engines_there_is_nothing_to_return_to(self):
        self.assertIsNone(self.issue(engines=0))

    def test_the_schedule_starts_anew_after_a_quiet_time(self):
        for _ in range(20):
            self.issue()
        later = units.Instant(NOW + 60.0)
        self.assertLess(self.issue(now=later), 0.2)


if __name__ == "__main__":
    unittest.main()
