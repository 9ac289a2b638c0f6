"""Guards the count of engines that a request has ended."""

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
    """Fails if a harmful request goes on, or a harmless one is stopped."""

    def setUp(self):
        self.counts = crash_counts.CrashCounts()

    def test_the_second_lost_engine_stops_the_request(self):
        self.counts.on_crash(REQUEST, at(0))
        self.assertFalse(self.counts.is_refused(REQUEST, at(0)))
        self.counts.on_crash(REQUEST, at(1))
        self.assertTrue(self.counts.is_refused(REQUEST, at(1)))

    def test_engines_lost_elsewhere_count(self):
        self.counts.on_peer_counts([(REQUEST, 1)], at(0))
        self.assertEqual(self.counts.on_crash(REQUEST, at(0)), 2)
        self.assertTrue(self.counts.is_refused(REQUEST, at(0)))

    def test_a_whole_answer_clears_the_own_count(self):
        self.counts.on_crash(REQUEST, at(0))
        self.counts.on_success(REQUEST)
        self.assertEqual(self.counts.local_counts(at(0)), ())

    def test_counts_expire(self):
        self.counts.on_crash(REQUEST, at(0))
        self.counts.on_crash(REQUEST, at(0))
        later = at(crash_counts.COUNT_LIFETIME + 1)
        self.assertFalse(self.counts.is_refused(REQUEST, later))
        self.assertEqual(self.counts.local_counts(later), ())

    def test_reports_do_not_echo(self):
        self.counts.on_peer_counts([(REQUEST, 2)], at(0))
        self.assertEqual(self.counts.local_counts(at(0)), ())

    def test_memory_is_bounded(self):
        for number in range(3_000):
            self.counts.on_crash(ids.Fingerprint(number), at(0))
        self.assertLessEqual(len(self.counts.local_counts(at(0))), 1_000)


if __name__ == "__main__":
    unittest.main()
