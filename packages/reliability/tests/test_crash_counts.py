"""Tests for the engine crash counts of requests."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import crash_counts

REQUEST = ids.Fingerprint(5)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class CrashCountsTest(unittest.TestCase):
    """Fails if a crashing request is allowed, or a harmless one refused."""

    def setUp(self):
        self.counts = crash_counts.CrashCounts()

    def test_request_is_refused_after_two_engine_crashes(self):
        self.counts.on_crash(REQUEST, at(0))
        self.assertFalse(self.counts.is_refused(REQUEST, at(0)))
        self.counts.on_crash(REQUEST, at(1))
        self.assertTrue(self.counts.is_refused(REQUEST, at(1)))

    def test_crashes_reported_by_peers_count(self):
        self.counts.on_peer_counts([(REQUEST, 1)], at(0))
        self.assertEqual(self.counts.on_crash(REQUEST, at(0)), 2)
        self.assertTrue(self.counts.is_refused(REQUEST, at(0)))

    def test_success_clears_the_local_count(self):
        self.counts.on_crash(REQUEST, at(0))
        self.counts.on_success(REQUEST)
        self.assertEqual(self.counts.local_counts(at(0)), ())

    def test_counts_expire(self):
        self.counts.on_crash(REQUEST, at(0))
        self.counts.on_crash(REQUEST, at(0))
        later = at(crash_counts.COUNT_LIFETIME + 1)
        self.assertFalse(self.counts.is_refused(REQUEST, later))
        self.assertEqual(self.counts.local_counts(later), ())

    def test_a_request_that_was_cut_twice_is_not_refused(self):
        """Guards against refusals of requests beside one that crashes engines.

        Their answers had begun when the engines ended.
        """
        self.counts.on_crash(REQUEST, at(0), answer_begun=True)
        self.counts.on_crash(REQUEST, at(1), answer_begun=True)
        self.assertFalse(self.counts.is_refused(REQUEST, at(1)))

    def test_a_request_that_crashes_engines_in_its_answer_is_refused(self):
        for second in range(3):
            self.counts.on_crash(REQUEST, at(second), answer_begun=True)
        self.assertTrue(self.counts.is_refused(REQUEST, at(3)))

    def test_an_interruption_is_forgotten(self):
        self.counts.on_crash(REQUEST, at(0), answer_begun=True)
        later = at(crash_counts.COUNT_LIFETIME + 1)
        self.counts.on_crash(REQUEST, later, answer_begun=True)
        self.assertEqual(self.counts.count(REQUEST, later), 0)

    def test_peer_counts_are_not_reported_back(self):
        self.counts.on_peer_counts([(REQUEST, 2)], at(0))
        self.assertEqual(self.counts.local_counts(at(0)), ())

    def test_memory_is_bounded(self):
        for number in range(3_000):
            self.counts.on_crash(ids.Fingerprint(number), at(0))
        self.assertLessEqual(len(self.counts.local_counts(at(0))), 1_000)


if __name__ == "__main__":
    unittest.main()
