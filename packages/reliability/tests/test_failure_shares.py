"""Tests the shares of failed calls of a fleet of daemons."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import failure_shares

SOUND = ids.ServerNumber(1)
FAILING = ids.ServerNumber(2)
NOW = units.Instant(1_000.0)


def at(seconds):
    """Returns a time after the start."""
    return units.Instant(NOW + seconds)


class FailureSharesTest(unittest.TestCase):
    """Guards against calls that go on to a server that fails a part of them."""

    def setUp(self):
        self.shares = failure_shares.FailureShares()

    def record(self, server, outcomes, seconds=0.0):
        for failed in outcomes:
            self.shares.record(server, at(seconds), failed=failed)

    def test_a_single_failure_among_answers_is_no_share(self):
        self.record(SOUND, [False] * 7 + [True])
        self.assertEqual(self.shares.share(SOUND, NOW), 0.0)

    def test_a_server_that_fails_three_in_ten_has_a_share(self):
        self.record(FAILING, ([True] * 3 + [False] * 7) * 2)
        self.assertGreaterEqual(self.shares.share(FAILING, NOW), 0.2)
        self.assertEqual(self.shares.share(SOUND, NOW), 0.0)

    def test_the_share_ends_after_some_seconds_without_failures(self):
        self.record(FAILING, [True] * 4 + [False] * 5)
        self.assertGreaterEqual(self.shares.share(FAILING, NOW), 0.3)
        self.assertEqual(self.shares.share(FAILING, at(12)), 0.0)

    def test_daemons_with_one_call_each_know_the_share_together(self):
        """Of 65 daemons, each makes a call in some seconds."""
        for daemon in range(10):
            other = failure_shares.FailureShares()
            other.record(FAILING, NOW, failed=daemon % 3 == 0)
            self.shares.on_report(
                ids.Incarnation(daemon), other.local_counts(NOW), NOW
            )
        self.assertAlmostEqual(
            self.shares.share(FAILING, NOW), 4 / 13, delta=0.1
        )

    def test_a_report_replaces_the_one_before(self):
        counts = ((FAILING, failure_shares.CallCounts(1.0, 4.0)),)
        for _ in range(50):
            self.shares.on_report(ids.Incarnation(1), counts, NOW)
        self.assertEqual(self.shares.share(FAILING, NOW), 0.5)

    def test_failures_are_told_at_once_and_answers_where_they_matter(self):
        told = []
        self.shares.subscribe(told.append)
        self.record(SOUND, [False])
        self.record(FAILING, [True, False])
        self.assertEqual(told, [True, False])

    def test_what_has_decayed_is_forgotten(self):
        self.record(FAILING, [True])
        self.shares.on_report(
            ids.Incarnation(1), self.shares.local_counts(NOW), NOW
        )
        self.shares.expire(at(60))
        self.assertEqual(self.shares.local_counts(NOW), ())
        self.assertEqual(self.shares.share(FAILING, NOW), 0.0)


if __name__ == "__main__":
    unittest.main()
