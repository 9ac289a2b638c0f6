"""Tests signals that come while a daemon starts.

A SIGHUP 85 ms after the start ended the daemon with -1, because its handler was
installed only at the end of the start; a SIGTERM ended it with -15.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import unittest

import platform_case

from lavendershed.core import units
from lavendershed.standin import platform_store
from lavendershed.standin import soak_daemon
from lavendershed.transport import boot_timers
from lavendershed.transport import client

PATIENCE = units.Seconds(20.0)
POLL_S = 0.005


class FirstStepsTest(unittest.IsolatedAsyncioTestCase):
    """Holds a process in one of its first steps, the read of its settings."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.toml"
        os.mkfifo(self.path)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lavendershed.platform.entry",
            env={**os.environ, "LAVENDERSHED_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self.end)
        async with asyncio.timeout(PATIENCE):
            writer = await self.writer()
        self.addCleanup(os.close, writer)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def writer(self):
        """Opens the pipe for writing once the process reads it."""
        while True:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                await asyncio.sleep(POLL_S)

    async def test_a_stop_ends_the_process_in_order(self):
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            self.assertEqual(await self.process.wait(), 0)

    async def test_a_reload_does_not_end_the_process(self):
        self.process.send_signal(signal.SIGHUP)
        # Signals are delivered in the order of their numbers, SIGHUP first.
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            self.assertEqual(await self.process.wait(), 0)


class WholeStartTest(unittest.IsolatedAsyncioTestCase):
    """Sends signals from the open listener until the daemon is ready."""

    async def asyncSetUp(self):
        timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self.store = platform_store.StandinPlatformStore(timers)
        await self.store.start()
        self.addCleanup(self.store.close)
        self.store.put("config", "main", platform_case.configuration(1))
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.daemon = soak_daemon.DaemonProcess(
            1, 18_000, pathlib.Path(directory.name)
        )
        await self.daemon.start(self.store.address, [])
        self.addAsyncCleanup(self.stop_daemon)
        async with asyncio.timeout(PATIENCE):
            while not await self.listens():
                await asyncio.sleep(POLL_S)

    async def stop_daemon(self):
        self.daemon.send_signal(signal.SIGKILL)
        await self.daemon.wait()
        self.daemon.close()

    async def listens(self):
        """Returns whether the daemon accepts connections."""
        opened = await client.connect(self.daemon.frontend_address, PATIENCE)
        if opened.is_ok():
            opened.unwrap().close()
        return opened.is_ok()

    async def is_ready(self):
        opened = await client.connect(self.daemon.readiness_address, PATIENCE)
        if opened.is_err():
            return False
        connection = opened.unwrap()
        try:
            head = client.RequestHead("GET", "/readyz")
            await connection.send(head, b"", PATIENCE)
            response = await connection.read_head(PATIENCE)
            return response.is_ok() and response.unwrap().status == 200
        finally:
            connection.close()

    async def test_reloads_do_not_end_the_process(self):
        async with asyncio.timeout(PATIENCE):
            while not await self.is_ready():
                self.assertTrue(self.daemon.running)
                self.daemon.send_signal(signal.SIGHUP)
                await asyncio.sleep(POLL_S)

    async def test_a_stop_ends_the_process_in_order(self):
        self.daemon.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            self.assertEqual(await self.daemon.wait(), 0)


if __name__ == "__main__":
    unittest.main()
