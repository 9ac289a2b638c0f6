"""Guards the object store client against malformed responses."""

from __future__ import annotations

import asyncio
import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.objects import http_store
from lavendershed.standin import json_handler
from lavendershed.transport import event_loop_timers
from lavendershed.transport import pool
from lavendershed.transport import server

KINDS = object_store.StoreErrorKind
KEY = ids.ObjectKey("a")
ABSENT = object_store.IfAbsent()
BODIES = (
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'{"objects": [{}], "events": [{}], "live": 1}',
    b'{"objects": [{"key": 1, "version": "x", "value": 3}],'
    b' "events": [{"key": "k", "version": -1, "value": "#"}],'
    b' "upto": 1e400, "live": [1], "leaving": {}}',
    b"[" * 100_000,
)


class FixedResponseHandler(json_handler.JsonHandler):
    """Sends the same response to every call."""

    def __init__(self):
        self.status, self.body, self.headers = 200, b"", ()
        self.abort = False

    async def handle(self, request, responder):
        if self.abort:
            responder.abort()
            return
        await responder.respond(self.status, self.body, self.headers)


class HttpStoreTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a response raises or a lost write counts as not done."""

    async def asyncSetUp(self):
        loop_timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.handler = FixedResponseHandler()
        listener = server.HttpServer(
            self.handler, loop_timers, server.ServerLimits()
        )
        await listener.start(addresses.Address("127.0.0.1", 0))
        self.addCleanup(listener.close)
        connections = pool.ConnectionPool(
            listener.address, loop_timers, pool.PoolLimits()
        )
        self.addCleanup(connections.close)
        self.store = http_store.HttpObjectStore(connections)

    def reads(self):
        """Returns one call of each read operation."""
        return (
            self.store.get(KEY),
            self.store.list("a"),
            self.store.watch("a", ids.ObjectVersion(0), units.Seconds(0.1)),
            self.store.list_vms(),
        )

    async def test_malformed_responses_to_reads_are_errors(self):
        for body in BODIES:
            for etag in ((), (("etag", "x"),), (("etag", "-1"),)):
                self.handler.body, self.handler.headers = body, etag
                for call in self.reads():
                    with self.subTest(body=body[:40], etag=etag):
                        outcome = await call
                        self.assertEqual(
                            outcome.err_value.kind, KINDS.UNAVAILABLE
                        )

    async def test_write_with_a_malformed_response_is_ambiguous(self):
        for etag in ((), (("etag", "x"),), (("etag", "9" * 5_000),)):
            self.handler.headers = etag
            outcome = await self.store.put(KEY, b"1", ABSENT)
            self.assertEqual(outcome.err_value.kind, KINDS.AMBIGUOUS)

    async def test_write_without_a_response_is_ambiguous(self):
        self.handler.abort = True
        outcome = await self.store.put(KEY, b"1", ABSENT)
        self.assertEqual(outcome.err_value.kind, KINDS.AMBIGUOUS)

    async def test_statuses_map_to_error_kinds(self):
        for status, read, write in (
            (404, KINDS.ABSENT, KINDS.ABSENT),
            (412, KINDS.CONFLICT, KINDS.CONFLICT),
            (413, KINDS.TOO_LARGE, KINDS.TOO_LARGE),
            (429, KINDS.THROTTLED, KINDS.THROTTLED),
            (503, KINDS.UNAVAILABLE, KINDS.UNAVAILABLE),
            (500, KINDS.UNAVAILABLE, KINDS.AMBIGUOUS),
            (302, KINDS.UNAVAILABLE, KINDS.AMBIGUOUS),
        ):
            self.handler.status = status
            with self.subTest(status):
                outcome = await self.store.get(KEY)
                self.assertEqual(outcome.err_value.kind, read)
                outcome = await self.store.put(KEY, b"1", ABSENT)
                self.assertEqual(outcome.err_value.kind, write)

    async def test_retry_after_is_used_if_it_is_a_finite_number(self):
        self.handler.status = 429
        for text, expected in (("2", 2.0), ("nan", None), ("soon", None)):
            self.handler.headers = (("retry-after", text),)
            outcome = await self.store.get(KEY)
            self.assertEqual(outcome.err_value.retry_after, expected)

    async def test_value_that_is_too_large_is_not_sent(self):
        self.handler.abort = True
        value = bytes(object_store.MAX_OBJECT_BYTES + 1)
        outcome = await self.store.put(KEY, value, ABSENT)
        self.assertEqual(outcome.err_value.kind, KINDS.TOO_LARGE)


if __name__ == "__main__":
    unittest.main()
