"""Tests the deletion of booking records after their retention."""

from __future__ import annotations

import random
import unittest

import fakes

from lavendershed.booking import retention
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import booking_retention
from lavendershed.telemetry import log

LIMITS = retention.RetentionLimits(units.Seconds(10.0), 3)
KEY = ids.ObjectKey("bookings/0a1" + "0" * 61)
STEPS_PER_ROUND = 4_200


class BookingRetentionTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a record is deleted too early or never."""

    async def test_a_record_is_deleted_only_after_its_retention(self):
        store = fakes.FakeStore()
        clock = timers.VirtualTimerService()
        vm = ids.VmId("vm-1")
        owner = backend_servers.Owner(vm, ids.Incarnation(1))
        task = booking_retention.BookingRetention(
            vm,
            store,
            cluster.SingleDaemonCluster(owner),
            clock,
            log.MemoryEventLog(),
            random.Random(1),
            LIMITS,
            units.Seconds(0.001),
        )
        await task.step()
        await task.step()
        await store.put(KEY, b"record", object_store.IfAbsent())
        for _ in range(3):
            for _ in range(STEPS_PER_ROUND):
                await task.step()
            self.assertIn(KEY, store.objects)
            clock.advance(units.Seconds(10.0))
        for _ in range(2):
            for _ in range(STEPS_PER_ROUND):
                await task.step()
            clock.advance(units.Seconds(10.0))
        self.assertNotIn(KEY, store.objects)


if __name__ == "__main__":
    unittest.main()
