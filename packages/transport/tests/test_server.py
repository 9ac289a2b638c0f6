"""Tests the HTTP server with malformed and oversized requests."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client
from lavendershed.transport import connection_ends
from lavendershed.transport import event_loop_timers
from lavendershed.transport import handlers
from lavendershed.transport import pool
from lavendershed.transport import server
from lavendershed.transport import streams

MAX_BODY = units.Bytes(1_000)
TIMEOUT = units.Seconds(2.0)


class EchoHandler(handlers.Handler):
    """Responds with the request body."""

    def __init__(self):
        self._responders = set()

    @property
    def connections(self):
        return len(self._responders)

    async def handle(self, request, responder):
        self._responders.add(responder)
        if request.path == "/bug":
            raise ValueError("bug")
        await responder.respond(200, request.body)

    def rejection_body(self, status, detail):
        return detail.encode()


async def exchange_bytes(target, data):
    """Sends raw bytes and returns the complete response."""
    reader, writer = (await streams.open_streams(target, TIMEOUT)).unwrap()
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(TIMEOUT):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


class RecordingObserver(connection_ends.ConnectionObserver):
    """Keeps the requests that ended without a complete response."""

    def __init__(self):
        self.requests = []

    @property
    def ends(self):
        return [request.end for request in self.requests]

    def on_unanswered(self, request):
        self.requests.append(request)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against invalid input that hangs or crashes the server."""

    async def asyncSetUp(self):
        self.timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.handler = EchoHandler()
        self.observer = RecordingObserver()
        self.server = server.HttpServer(
            self.handler,
            self.timers,
            server.ServerLimits(MAX_BODY, units.Seconds(0.2)),
            observer=self.observer,
        )
        await self.server.start(address.Address("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.pool = pool.ConnectionPool(
            self.server.address, self.timers, pool.PoolLimits()
        )
        self.addCleanup(self.pool.close)

    async def test_oversized_body_gets_413(self):
        head = client.RequestHead("POST", "/")
        response = await self.pool.exchange(head, b"x" * (MAX_BODY + 1))
        self.assertEqual(response.unwrap().head.status, 413)

    async def test_incomplete_request_gets_408(self):
        reader, writer = (
            await streams.open_streams(self.server.address, TIMEOUT)
        ).unwrap()
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n")
        async with asyncio.timeout(TIMEOUT):
            response = await reader.read()
        writer.close()
        self.assertIn(b"408", response.split(b"\r\n")[0])

    async def test_each_request_without_a_response_is_reported(self):
        """Guards against ends of requests that leave no trace."""
        head = b"POST /x HTTP/1.1\r\nhost: x\r\n"
        end = connection_ends.ConnectionEnd
        for data, expected in (
            (head + b"content-length: 5\r\n\r\nab", end.CALLER_LEFT_SENDING),
            (head, end.CALLER_LEFT_SENDING),
            (
                head + b"content-length: 5000\r\n\r\n" + b"x" * 5_000,
                end.REJECTED,
            ),
            (b"not http\r\n\r\n", end.REJECTED),
            (b"POST /bug HTTP/1.1\r\nhost: x\r\n\r\n", end.HANDLER_ERROR),
        ):
            with self.subTest(data=data[-40:]):
                self.observer.requests.clear()
                await exchange_bytes(self.server.address, data)
                await asyncio.sleep(0.05)
                self.assertEqual(self.observer.ends, [expected])

    async def test_a_request_rejected_while_it_is_parsed_is_not_handled(self):
        """Guards against a 408 for a request that runs after it."""
        _, writer = (
            await streams.open_streams(self.server.address, TIMEOUT)
        ).unwrap()
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\n")
        # The server has read the first part.
        await asyncio.sleep(0.1)
        (connection,) = self.server._connections
        handled = self.handler.connections
        connection.data_received(
            b"transfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 200
            + b"0\r\n\r\n"
        )
        connection._reject(408, "request not received in time")
        await asyncio.sleep(0.1)
        self.assertEqual(self.handler.connections, handled)
        self.assertIsNone(connection._task)
        writer.close()

    async def test_connection_is_reused_for_the_next_request(self):
        for body in (b"one", b"two"):
            response = await self.pool.exchange(
                client.RequestHead("POST", "/"), body
            )
            self.assertEqual(response.unwrap().body, body)
        self.assertEqual(self.handler.connections, 1)

    async def test_handler_exception_ends_only_its_own_request(self):
        """Guards against one request that ends all others of the process."""
        reported = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reported.append(context)
        )
        response = await self.pool.exchange(client.RequestHead("POST", "/bug"))
        self.assertEqual(response.unwrap().head.status, 500)
        (context,) = reported
        self.assertIsInstance(context["exception"], ValueError)
        self.assertEqual(context["place"], "handler")
        head = client.RequestHead("POST", "/")
        response = await self.pool.exchange(head, b"still serving")
        self.assertEqual(response.unwrap().body, b"still serving")

    async def test_malformed_bytes_get_an_error_or_a_closed_connection(self):
        @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
        @hypothesis.given(strategies.binary(min_size=1, max_size=300))
        def collect_sample(data):
            samples.append(data)

        samples: list[bytes] = []
        collect_sample()
        for sample in samples:
            response = await exchange_bytes(self.server.address, sample)
            if response:
                self.assertIn(response[9:10], (b"2", b"4"))
        head = client.RequestHead("POST", "/")
        response = await self.pool.exchange(head, b"still serving")
        self.assertEqual(response.unwrap().body, b"still serving")
