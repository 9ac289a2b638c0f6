"""Tests the process limits: one thread, no child, no io_uring."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile
import unittest

from lavendershed.standin import fleet as fleet_module

ROOT = pathlib.Path(__file__).resolve().parent.parent


class RouterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the router starts a thread or process or uses io_uring."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.fleet = fleet_module.Fleet(self.directory)
        self.addAsyncCleanup(self.fleet.stop)
        self.store = await self.fleet.start_standin("store", "object-store")

    async def check(self, router):
        response = await fleet_module.get(router.address, "/metrics")
        self.assertIsNotNone(response)
        proc = pathlib.Path("/proc") / str(router.process.pid)
        status = (proc / "status").read_text()
        self.assertIn("Threads:\t1\n", status)
        children = proc / "task" / str(router.process.pid) / "children"
        self.assertEqual(children.read_text(), "")
        targets = [
            os.readlink(descriptor) for descriptor in (proc / "fd").iterdir()
        ]
        self.assertFalse([target for target in targets if "io_uring" in target])

    async def test_router_has_one_thread_no_child_and_no_io_uring(self):
        for loop in ("asyncio", "uvloop"):
            with self.subTest(loop=loop):
                await self.check(
                    await self.fleet.start_router(
                        f"vm-{loop}", self.store.address, "--event-loop", loop
                    )
                )

    async def test_built_binary_runs_in_one_process_with_one_thread(self):
        binary = self.directory / "lavendershed"
        build_process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tools" / "build_binary.py"),
            str(binary),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.assertEqual(await build_process.wait(), 0)
        # The archive must run without the workspace on the module path.
        environment = {**os.environ, "PYTHONPATH": ""}
        environment["SHIV_ROOT"] = str(self.directory / "unpacked")
        await self.check(
            await self.fleet.start_router(
                "vm-1",
                self.store.address,
                executable=(sys.executable, str(binary)),
                environment=environment,
            )
        )
