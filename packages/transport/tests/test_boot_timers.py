"""Guards the clock that counts the time of a suspended VM."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from lavendershed.core import units
from lavendershed.transport import boot_timers

SUSPENSION = 40.0


class BootTimerServiceTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a suspension or a step of the wall clock moves deadlines."""

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.timers = boot_timers.BootTimerService(self.loop)

    async def test_a_suspension_counts(self):
        before = self.timers.now()
        suspended = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENSION
        with mock.patch("time.clock_gettime", return_value=suspended):
            self.assertGreaterEqual(self.timers.now() - before, SUSPENSION)

    async def test_a_deadline_that_passed_in_a_suspension_fires_at_once(self):
        fired = asyncio.Event()
        due = units.after(self.timers.now(), units.Seconds(SUSPENSION))
        suspended = time.clock_gettime(time.CLOCK_BOOTTIME) + 2 * SUSPENSION
        with mock.patch("time.clock_gettime", return_value=suspended):
            self.timers.schedule_at(due, fired.set)
        await asyncio.wait_for(fired.wait(), 1.0)

    async def test_the_time_of_day_has_no_part(self):
        with mock.patch("time.time", return_value=0.0):
            before = self.timers.now()
        with mock.patch("time.time", return_value=10.0**9):
            after = self.timers.now()
        self.assertLess(after - before, 1.0)


if __name__ == "__main__":
    unittest.main()
