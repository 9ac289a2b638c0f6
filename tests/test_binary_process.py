"""Guards the process limits: one thread, no child, no io_uring."""

from __future__ import annotations

import os
import pathlib
import tempfile
import unittest

from lavendershed.standin import fleet as fleet_module


class RouterProcessTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the router starts a thread, a process or an io_uring."""

    async def test_router_has_one_thread_no_child_and_no_io_uring(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = fleet_module.Fleet(pathlib.Path(directory))
            self.addAsyncCleanup(fleet.stop)
            store = await fleet.start_standin("store", "object-store")
            router = await fleet.start_router("vm-1", store.address)
            answer = await fleet_module.get(router.address, "/metrics")
            self.assertIsNotNone(answer)
            proc = pathlib.Path("/proc") / str(router.process.pid)
            status = (proc / "status").read_text()
            self.assertIn("Threads:\t1\n", status)
            children = proc / "task" / str(router.process.pid) / "children"
            self.assertEqual(children.read_text(), "")
            targets = [os.readlink(p) for p in (proc / "fd").iterdir()]
            self.assertFalse([t for t in targets if "io_uring" in t])
