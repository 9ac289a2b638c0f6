"""Tests how many permits are issued for a limited server."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.admission import permit_allocator
from lavendershed.core import ids
from lavendershed.core import units

SERVER = ids.ServerNumber(7)
WINDOW_S = 4.0


class PermitAllocatorTest(unittest.TestCase):
    """Guards against a server that gets more requests than its limit."""

    def setUp(self):
        self.allocator = permit_allocator.PermitAllocator()

    def request(self, now, rate=2.0, as_standby=False):
        return self.allocator.request(
            SERVER,
            units.RequestsPerSecond(rate),
            units.Instant(now),
            as_standby=as_standby,
        )

    def issue_times(self, request_times, **options):
        return [
            now for now in request_times if not self.request(now, **options)
        ]

    @hypothesis.given(
        strategies.lists(strategies.floats(0.0, 0.5), max_size=200),
        strategies.floats(0.1, 50.0),
    )
    @hypothesis.settings(derandomize=True, max_examples=100)
    def test_no_window_has_more_than_the_rate_and_a_burst(self, gaps, rate):
        self.allocator = permit_allocator.PermitAllocator()
        request_times = [sum(gaps[:count]) for count in range(len(gaps))]
        issued = self.issue_times(request_times, rate=rate)
        for start in issued:
            count = sum(start <= at < start + WINDOW_S for at in issued)
            self.assertLessEqual(
                count, rate * WINDOW_S + max(2.0, rate / 4) + 1e-6
            )

    def test_the_first_permit_comes_after_its_time(self):
        """A new issuer doesn't know what another one has just issued."""
        issued = self.issue_times([n / 10 for n in range(21)])
        self.assertEqual(issued, [0.5, 1.0, 1.5, 2.0])

    def test_few_applicants_return_for_the_next_permit(self):
        """Most of them find another server, and the permit would be unused."""
        waits = [self.request(0.0) for _ in range(8)]
        self.assertEqual(waits, [0.5] * 8)

    def test_many_applicants_return_one_after_the_other(self):
        """All daemons of a large fleet would ask for each permit."""
        waits = [self.request(0.0) for _ in range(11)]
        self.assertEqual(waits[8:], [1.0, 1.5, 2.0])

    def test_no_applicant_is_sent_away_for_long(self):
        waits = [self.request(0.0) for _ in range(100)]
        self.assertLessEqual(max(waits), 10.0)

    def test_a_standby_issues_a_quarter(self):
        request_times = [n / 10 for n in range(101)]
        self.assertEqual(
            len(self.issue_times(request_times, as_standby=True)), 5
        )

    def test_the_roles_of_a_daemon_are_counted_apart(self):
        """A standby that becomes the issuer must not lose its permits."""
        self.request(0.0)
        self.request(0.0, as_standby=True)
        self.assertEqual(self.request(0.5), 0.0)


if __name__ == "__main__":
    unittest.main()
