"""Tests the clock that includes the time while a VM is suspended."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from lavendershed.core import units
from lavendershed.transport import boot_timers

SUSPENSION_S = 40.0


class BootTimerServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against deadlines shifted by suspension or wall-clock steps."""

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.timers = boot_timers.BootTimerService(self.loop)

    async def test_clock_includes_suspension(self):
        before = self.timers.now()
        suspended = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENSION_S
        with mock.patch("time.clock_gettime", return_value=suspended):
            self.assertGreaterEqual(self.timers.now() - before, SUSPENSION_S)

    async def test_deadline_expired_during_suspension_fires_at_once(self):
        fired = asyncio.Event()
        due = units.after(self.timers.now(), units.Seconds(SUSPENSION_S))
        suspended = time.clock_gettime(time.CLOCK_BOOTTIME) + 2 * SUSPENSION_S
        with mock.patch("time.clock_gettime", return_value=suspended):
            self.timers.schedule_at(due, fired.set)
        await asyncio.wait_for(fired.wait(), 1.0)

    async def test_wall_clock_steps_have_no_effect(self):
        with mock.patch("time.time", return_value=0.0):
            before = self.timers.now()
        with mock.patch("time.time", return_value=10.0**9):
            after = self.timers.now()
        self.assertLess(after - before, 1.0)


if __name__ == "__main__":
    unittest.main()
