"""Tests of exponential backoff."""

from __future__ import annotations

import random
import unittest

from lavendershed.core import backoff
from lavendershed.core import units

LIMITS = backoff.BackoffLimits(units.Seconds(0.1), units.Seconds(1.0))


class BackoffTest(unittest.TestCase):
    """Fails if retries are synchronised or their delays are out of bounds."""

    def test_delays_grow_to_the_maximum_within_the_jitter_range(self):
        delays = backoff.Backoff(random.Random(1), LIMITS)
        for limit in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
            delay = delays.next_delay()
            self.assertGreaterEqual(delay, limit / 2)
            self.assertLessEqual(delay, limit)

    def test_reset_restores_the_initial_delay(self):
        delays = backoff.Backoff(random.Random(1), LIMITS)
        for _ in range(5):
            delays.next_delay()
        delays.reset()
        self.assertLessEqual(delays.next_delay(), 0.1)

    def test_delays_of_different_processes_differ(self):
        first = {
            round(backoff.Backoff(random.Random(seed)).next_delay(), 3)
            for seed in range(50)
        }
        self.assertGreater(len(first), 25)


if __name__ == "__main__":
    unittest.main()
