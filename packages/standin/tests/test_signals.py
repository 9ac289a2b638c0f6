"""Tests signals to child processes that end."""

from __future__ import annotations

import asyncio
import signal
import unittest

from lavendershed.standin import signals

PROCESSES = 150


class SendSignalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an exit status that a signal takes away.

    The soak (seed 9, beside load) counted a daemon that had stopped in order as
    one that had exited with status 255.
    """

    async def test_the_exit_status_is_kept(self):
        for _ in range(PROCESSES):
            process = await asyncio.create_subprocess_exec("/bin/true")
            while process.returncode is None:
                signals.send_signal(process, signal.SIGCONT)
                await asyncio.sleep(0)
            self.assertEqual(await process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
