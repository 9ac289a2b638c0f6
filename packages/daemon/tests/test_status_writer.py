"""Tests the status objects, which the `--wait` option reads."""

from __future__ import annotations

import asyncio
import random
import unittest

import configuration_fixture as fixture

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.daemon import status_writer
from lavendershed.objects import status


class StatusWriterTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the epoch in force is not written or written too often."""

    async def asyncSetUp(self):
        self.simulation = fixture.ConfigurationSimulation()
        await self.simulation.create_presets()
        self.daemon = fixture.Daemon(
            self.simulation.store, self.simulation.timers
        )
        self.writer = status_writer.StatusWriter(
            self.simulation.store,
            self.daemon.state,
            fixture.Members(100),
            status_writer.DaemonIdentity(
                fixture.OWNER, ids.AvailabilityZoneId("zone-0"), "127.0.0.1:1"
            ),
            self.simulation.timers,
            random.Random(1),
        )
        self.daemon.sync.add_listener(self.writer.on_configuration)
        for run in (self.daemon.sync.run(), self.writer.run()):
            self.addCleanup(asyncio.create_task(run).cancel)
        await self.simulation.run_until_idle()

    async def epochs(self):
        statuses = (
            await status.read_daemon_statuses(self.simulation.store)
        ).unwrap()
        return [entry.epoch for entry in statuses]

    def writes(self):
        return self.simulation.store.calls.count("put status/vm-000")

    async def test_epoch_is_written_after_a_random_delay(self):
        self.assertEqual(await self.epochs(), [])
        await self.simulation.advance(1.0)
        self.assertEqual(await self.epochs(), [2])

    async def test_changes_in_quick_succession_share_one_write(self):
        await self.simulation.advance(1.0)
        before = self.writes()
        for name in ("peak", "ordinary", "peak"):
            epoch = await self.simulation.activate(name)
            while self.daemon.state.current.epoch < epoch:
                await self.simulation.run_until_idle()
            await self.simulation.run_until_idle()
        await self.simulation.advance(10.0)
        self.assertEqual(await self.epochs(), [5])
        self.assertEqual(self.writes() - before, 1)

    async def test_object_of_an_earlier_process_is_overwritten(self):
        await self.simulation.store.put(
            status.status_key(fixture.OWNER.vm), b"old", object_store.IfAbsent()
        )
        await self.simulation.advance(3.0)
        self.assertEqual(await self.epochs(), [2])

    async def test_lost_response_does_not_prevent_later_writes(self):
        self.simulation.store.lose_responses(1)
        await self.simulation.advance(3.0)
        await self.simulation.activate("peak")
        await self.simulation.advance(3.0)
        self.assertEqual(await self.epochs(), [3])

    async def test_stopped_daemon_has_no_status_object(self):
        await self.simulation.advance(1.0)
        await self.writer.release()
        self.assertEqual(await self.epochs(), [])


if __name__ == "__main__":
    unittest.main()
