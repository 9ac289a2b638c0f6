"""Guards the engine client against malformed responses."""

from __future__ import annotations

import asyncio
import unittest

import orjson
import result

from lavendershed.backend import http_engine
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import event_loop_timers
from lavendershed.transport import handlers
from lavendershed.transport import pool
from lavendershed.transport import server

KIND = backend_servers.BackendErrorKind
OWNER = backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(7))
LOAD = {
    "timestamp": 1.0,
    "incarnation": 1,
    "running": 0,
    "waiting": 0,
    "prefill_tokens_queued": 0,
    "kv_bytes_used": 0,
    "kv_bytes_total": 1,
    "role": "general",
    "models": [],
    "leaving": False,
}
SHAPES = [
    b"",
    b"{",
    b"null",
    b"[]",
    b"7",
    b'"x"',
    b"{}",
    b'{"incarnation": "x"}',
    b'{"incarnation": -1}',
    b'{"events": null}',
    b'{"events": [{}]}',
    b'{"events": [{"sequence": 1, "stored": ["x"], "evicted": []}]}',
    b'{"allocations": 3}',
    b'{"allocations": [{"kind": "x"}]}',
    b'{"allocations": [{"kind": "hold", "id": "h", "owner": "x", "bytes": 1}]}',
]


class FixedResponseHandler(handlers.Handler):
    """Sends the same response to every call."""

    def __init__(self):
        self.status = 200
        self.body = b""

    async def handle(self, request, responder):
        """Responds to one call."""
        await responder.respond(self.status, self.body)

    def rejection_body(self, status, detail):
        """Returns no body."""
        return b""


class HttpModelEngineTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a response raises or is misinterpreted."""

    async def asyncSetUp(self):
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.handler = FixedResponseHandler()
        listener = server.HttpServer(
            self.handler, timers, server.ServerLimits()
        )
        await listener.start(address.Address("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.engine = http_engine.HttpModelEngine(
            pool.ConnectionPool(listener.address, timers, pool.PoolLimits())
        )

    def calls(self):
        reservation = ids.ReservationId("a/b?c")
        return (
            self.engine.load_report(),
            self.engine.cache_events(0),
            self.engine.list_allocations(None),
            self.engine.cancel_stream(ids.StreamId("s")),
            self.engine.create_reservation(
                reservation, OWNER, units.Bytes(1), units.Seconds(1.0)
            ),
            self.engine.release_reservation(reservation),
            self.engine.release_kv(ids.KvHandle("k")),
        )

    async def test_malformed_responses_become_protocol_errors(self):
        for body in SHAPES:
            self.handler.body = body
            for call in self.calls():
                outcome = await call
                with self.subTest(body=body, call=call.__name__):
                    if isinstance(outcome, result.Err):
                        self.assertIs(outcome.err_value.kind, KIND.PROTOCOL)

    async def test_load_report_with_any_wrong_member_is_an_error(self):
        for name in LOAD:
            for value in (None, "x", [1], {}):
                self.handler.body = orjson.dumps(LOAD | {name: value})
                report = await self.engine.load_report()
                with self.subTest(name=name, value=value):
                    self.assertIs(report.err_value.kind, KIND.PROTOCOL)

    async def test_valid_load_report_is_read(self):
        self.handler.body = orjson.dumps(LOAD | {"adapters": ["a"]})
        report = (await self.engine.load_report()).unwrap()
        self.assertEqual(report.adapters, ("a",))

    async def test_only_an_explicit_refusal_counts_as_not_started(self):
        cases = {
            (409, b'{"started": false}'): KIND.REFUSED_BEFORE_START,
            (503, b'{"started": true}'): KIND.PROTOCOL,
            (503, b'{"started": 0}'): KIND.PROTOCOL,
            (503, b"[false]"): KIND.PROTOCOL,
            (500, b"\xff"): KIND.PROTOCOL,
            (404, b""): KIND.UNKNOWN_STREAM,
            (412, b""): KIND.STALE_FENCING_NUMBER,
        }
        request = backend_servers.StreamRequest(
            ids.StreamId("s"),
            ids.AttemptId("a"),
            OWNER,
            ids.ModelId("m"),
            None,
            "prompt",
            units.Tokens(1),
            (2**64 - 1,),
            units.Tokens(1),
            0,
            units.Milliseconds(1_000),
        )
        for (self.handler.status, self.handler.body), kind in cases.items():
            started = await self.engine.start_stream(request)
            with self.subTest(status=self.handler.status, kind=kind):
                self.assertIs(started.err_value.kind, kind)
                self.assertTrue(started.err_value.sent)


if __name__ == "__main__":
    unittest.main()
