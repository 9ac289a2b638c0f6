"""Guards the delays between attempts."""

from __future__ import annotations

import random
import unittest

from lavendershed.core import backoff
from lavendershed.core import units

LIMITS = backoff.BackoffLimits(units.Seconds(0.1), units.Seconds(1.0))


class BackoffTest(unittest.TestCase):
    """Fails if attempts come in bursts or end up far apart."""

    def test_delays_grow_to_the_longest_and_are_spread(self):
        delays = backoff.Backoff(random.Random(1), LIMITS)
        for limit in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
            delay = delays.next_delay()
            self.assertGreaterEqual(delay, limit / 2)
            self.assertLessEqual(delay, limit)

    def test_success_starts_over(self):
        delays = backoff.Backoff(random.Random(1), LIMITS)
        for _ in range(5):
            delays.next_delay()
        delays.reset()
        self.assertLessEqual(delays.next_delay(), 0.1)

    def test_processes_that_failed_together_spread_out(self):
        first = {
            round(backoff.Backoff(random.Random(seed)).next_delay(), 3)
            for seed in range(50)
        }
        self.assertGreater(len(first), 25)


if __name__ == "__main__":
    unittest.main()
