"""Guards the stand-in object store, on which the store clients' tests rely."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

import orjson

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import object_store as core_store
from lavendershed.core import units
from lavendershed.objects import http_store
from lavendershed.standin import history
from lavendershed.standin import object_store
from lavendershed.transport import client
from lavendershed.transport import event_loop_timers
from lavendershed.transport import pool
from lavendershed.transport import server

ERROR_KINDS = core_store.StoreErrorKind
IF_ABSENT = core_store.IfAbsent()
WATCH_TIMEOUT = units.Seconds(5.0)


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the stand-in differs from the published object API."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "history"
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        listener = server.HttpServer(
            object_store.ObjectStoreHandler(history.History(self.path)),
            timers,
            server.ServerLimits(),
        )
        await listener.start(addresses.Address("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.pool = pool.ConnectionPool(
            listener.address, timers, pool.PoolLimits()
        )
        self.addCleanup(self.pool.close)
        self.store = http_store.HttpObjectStore(self.pool)

    async def control(self, **fields):
        response = await self.pool.exchange(
            client.RequestHead("POST", "/control"), orjson.dumps(fields)
        )
        return orjson.loads(response.unwrap().body)

    async def put(self, key="a/1", value=b"1", condition=IF_ABSENT):
        return await self.store.put(ids.ObjectKey(key), value, condition)

    async def error_kind(self, call):
        return (await call).err_value.kind

    async def test_write_preconditions(self):
        version = (await self.put()).unwrap()
        self.assertEqual(
            await self.error_kind(self.put()), ERROR_KINDS.CONFLICT
        )
        current = core_store.IfVersion(version)
        newer = (await self.put(condition=current)).unwrap()
        self.assertGreater(newer, version)
        stale = self.put(condition=current)
        self.assertEqual(await self.error_kind(stale), ERROR_KINDS.CONFLICT)
        deleted = await self.store.delete(ids.ObjectKey("a/1"), newer)
        self.assertTrue(deleted.is_ok())
        absent = self.store.get(ids.ObjectKey("a/1"))
        self.assertEqual(await self.error_kind(absent), ERROR_KINDS.ABSENT)

    async def test_list_pages_are_in_key_order(self):
        for key in ("b/2", "a/2", "a/1"):
            await self.put(key)
        page = (await self.store.list("a/")).unwrap()
        self.assertEqual([stored.key for stored in page], ["a/1", "a/2"])
        next_page = (await self.store.list("a/", page[0].key)).unwrap()
        self.assertEqual([stored.key for stored in next_page], ["a/2"])

    async def test_watch_returns_a_change_under_its_prefix_only(self):
        since = (await self.put()).unwrap()
        watch = asyncio.create_task(
            self.store.watch("a/", since, WATCH_TIMEOUT)
        )
        await self.put("b/1")
        await self.put("a/2", b"2")
        batch = (await watch).unwrap()
        self.assertEqual([e.key for e in batch.events], ["a/2"])
        self.assertEqual(batch.events[0].value, b"2")

    async def test_outage_fails_waiting_watches(self):
        since = (await self.put()).unwrap()
        watch = asyncio.create_task(
            self.store.watch("a/", since, WATCH_TIMEOUT)
        )
        while not (await self.control())["watching"]:
            pass
        await self.control(unavailable=True)
        self.assertEqual(await self.error_kind(watch), ERROR_KINDS.UNAVAILABLE)
        self.assertEqual(
            await self.error_kind(self.put()), ERROR_KINDS.UNAVAILABLE
        )

    async def test_lost_response_has_an_effect_and_lost_write_has_none(self):
        await self.control(lose_answers=1)
        self.assertEqual(
            await self.error_kind(self.put("a/1")), ERROR_KINDS.AMBIGUOUS
        )
        self.assertTrue((await self.store.get(ids.ObjectKey("a/1"))).is_ok())
        await self.control(lose_writes=1)
        self.assertEqual(
            await self.error_kind(self.put("a/2")), ERROR_KINDS.AMBIGUOUS
        )
        self.assertTrue((await self.store.get(ids.ObjectKey("a/2"))).is_err())

    async def test_calls_above_the_rate_limit_are_throttled(self):
        await self.control(writes_per_second=1)
        results = [await self.put(f"a/{number}") for number in range(5)]
        kinds = {r.err_value.kind for r in results if r.is_err()}
        self.assertEqual(kinds, {ERROR_KINDS.THROTTLED})
        self.assertGreaterEqual((await self.control())["throttled"], 3)

    async def test_vm_list_changes_after_the_configured_lag(self):
        await self.control(vm_lag_ms=60_000, live=["vm-1"])
        self.assertEqual(
            (await self.store.list_vms()).unwrap().live, frozenset()
        )
        await self.control(vm_lag_ms=0, live=["vm-2"])
        await asyncio.sleep(0.01)
        self.assertEqual(
            (await self.store.list_vms()).unwrap().live, frozenset({"vm-2"})
        )

    async def test_history_lists_writes_in_order(self):
        await self.put("a/1", b"first")
        await self.put("a/2", b"second")
        writes = [
            (record["key"], record["value"])
            for record in history.read(self.path)
            if record["action"] == "write"
        ]
        self.assertEqual(writes, [("a/1", "first"), ("a/2", "second")])


if __name__ == "__main__":
    unittest.main()
