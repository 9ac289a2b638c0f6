"""Tests what ends the connections of callers, with virtual time limits."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import connection_ends
from lavendershed.transport import handlers
from lavendershed.transport import server

TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.002
# Several turns of the loop, in which a limit that has passed is applied.
SETTLE_S = 0.02
# More than the sockets of both sides take.
LARGE_BODY_BYTES = 20_000_000
HEAD = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\n"
BODY = b"abcdef"
End = connection_ends.ConnectionEnd


def limits(idle=1.0, header=3.0, request=30.0):
    """Returns limits of connections, in virtual seconds."""
    return server.ServerLimits(
        max_body=units.Bytes(100_000),
        request_timeout=units.Seconds(request),
        idle_timeout=units.Seconds(idle),
        header_timeout=units.Seconds(header),
    )


class GatedHandler(handlers.Handler):
    """Begins its response at once and ends it when the gate is open."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.paths = []
        self.body = b""

    async def handle(self, request, responder):
        self.paths.append(request.path)
        responder.start(200, (("transfer-encoding", "chunked"),))
        await responder.write(b"begun ")
        await self.gate.wait()
        await responder.write(self.body or request.body or b"done")
        await responder.finish()

    def rejection_body(self, status, detail):
        return detail.encode()


class Observer(connection_ends.ConnectionObserver):
    """Keeps what ended requests without a complete response."""

    def __init__(self):
        self.ends = []

    def on_unanswered(self, request):
        self.ends.append(request.end)


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server whose limits pass only when a test says so."""

    async def asyncSetUp(self):
        self.timers = timers.VirtualTimerService()
        self.handler = GatedHandler()
        self.observer = Observer()
        self.server = server.HttpServer(
            self.handler, self.timers, limits(), observer=self.observer
        )
        await self.server.start(address.Address("127.0.0.1", 0))
        self.addCleanup(self.server.close)

    async def connect(self):
        """Returns a blocking socket, so that a test sends within a turn."""
        target = self.server.address
        before = self.server.connection_count
        caller = socket.create_connection((target.host, target.port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        await self.wait_until(lambda: self.server.connection_count > before)
        return caller

    async def wait_until(self, condition):
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail("the condition was not met in time")

    def received(self):
        self.assertEqual(self.server.connection_count, 1)
        (connection,) = self.server._connections
        return connection._received_bytes

    async def send(self, caller, data):
        """Sends data and waits until the server has read it."""
        before = self.received()
        caller.send(data)
        await self.wait_until(lambda: self.received() == before + len(data))

    async def read_until(self, caller, end):
        """Reads until `end`, or to the end of the connection."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while end not in received:
                data = await loop.sock_recv(caller, 65_536)
                if not data:
                    break
                received += data
        return received

    async def response(self, caller):
        return await self.read_until(caller, b"0\r\n\r\n")

    def advance(self, seconds):
        self.timers.advance(units.Seconds(seconds))


class FaultyHandler(GatedHandler):
    """Ends as the path of the request says, and not with a response."""

    async def handle(self, request, responder):
        match request.path:
            case "/nothing":
                return
            case "/half":
                responder.start(200, (("transfer-encoding", "chunked"),))
                await responder.write(b"begun ")
            case "/abort":
                responder.start(200, (("transfer-encoding", "chunked"),))
                await responder.write(b"begun ")
                responder.abort()
            case "/raise":
                raise ValueError
            case "/header":
                await responder.respond(200, b"", (("x", "a\nb"),))


class FaultyHandlerTest(ConnectionCase):
    """Fails if a handler leaves a caller without an answer or a trace."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server._handler = FaultyHandler()
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None
        )

    async def end_of(self, path):
        """Returns what the caller of `path` reads, and the reported ends."""
        self.observer.ends.clear()
        caller = await self.connect()
        caller.send(HEAD.replace(b"/x", path) + BODY)
        try:
            received = await self.read_until(caller, b"this process")
        except ConnectionError:
            received = b""
        caller.close()
        await self.wait_until(lambda: not self.server.connection_count)
        return received, self.observer.ends

    async def test_a_handler_without_a_response_gets_500(self):
        for path, end in (
            (b"/nothing", End.NO_RESPONSE),
            (b"/raise", End.HANDLER_ERROR),
            (b"/header", End.HANDLER_ERROR),
        ):
            with self.subTest(path=path):
                received, ends = await self.end_of(path)
                self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)
                self.assertEqual(ends, [end])

    async def test_a_response_that_breaks_off_names_its_cause(self):
        for path, end in (
            (b"/half", End.NO_RESPONSE),
            (b"/abort", End.RESPONSE_ABORTED),
        ):
            with self.subTest(path=path):
                received, ends = await self.end_of(path)
                self.assertNotIn(b"0\r\n\r\n", received)
                self.assertEqual(ends, [end])


class TimeLimitTest(ConnectionCase):
    """Fails if a request is cut by a limit that isn't its own."""

    async def test_a_slow_body_is_not_cut_by_the_idle_limit(self):
        caller = await self.connect()
        await self.send(caller, HEAD)
        for part in (b"ab", b"cd"):
            self.advance(5.0)
            await self.send(caller, part)
        caller.send(b"ef")
        self.assertIn(b"abcdef", await self.response(caller))

    async def test_a_slow_head_is_not_cut_by_the_idle_limit(self):
        caller = await self.connect()
        await self.send(caller, HEAD[:20])
        self.advance(2.5)
        await asyncio.sleep(SETTLE_S)
        caller.send(HEAD[20:] + BODY)
        self.assertIn(b"abcdef", await self.response(caller))

    async def test_a_request_that_stays_incomplete_gets_408(self):
        """Also if a byte comes now and then."""
        for data, seconds, end in (
            (HEAD[:20], 3.1, End.HEAD_TIMEOUT),
            (HEAD + b"ab", 30.1, End.REQUEST_TIMEOUT),
        ):
            with self.subTest(data=data):
                self.observer.ends.clear()
                caller = await self.connect()
                await self.send(caller, data)
                self.advance(seconds / 2)
                await self.send(caller, b"x")
                self.advance(seconds / 2)
                received = await self.read_until(caller, b"time limit")
                self.assertTrue(received.startswith(b"HTTP/1.1 408"))
                caller.close()
                await self.wait_until(lambda: not self.server.connection_count)
                self.assertEqual(self.observer.ends, [end])

    async def test_a_connection_without_a_request_is_closed(self):
        caller = await self.connect()
        self.advance(1.1)
        self.assertEqual(await self.response(caller), b"")
        self.assertEqual(self.observer.ends, [])


class ChangedLimitTest(ConnectionCase):
    """Fails if a connection is closed earlier than its caller expects."""

    async def test_a_raised_limit_holds_for_open_connections(self):
        caller = await self.connect()
        self.server.set_limits(limits(idle=10.0))
        self.advance(9.0)
        await asyncio.sleep(SETTLE_S)
        caller.send(HEAD + BODY)
        self.assertIn(b"abcdef", await self.response(caller))

    async def test_a_lowered_limit_closes_no_connection_early(self):
        self.server.set_limits(limits(idle=10.0))
        caller = await self.connect()
        caller.send(HEAD + BODY)
        response = await self.response(caller)
        self.assertIn(b"keep-alive: timeout=10\r\n", response.lower())
        self.server.set_limits(limits(idle=2.5))
        self.advance(9.0)
        await asyncio.sleep(SETTLE_S)
        caller.send(HEAD + BODY)
        response = await self.response(caller)
        self.assertIn(b"keep-alive: timeout=2\r\n", response.lower())
        self.advance(2.6)
        self.assertEqual(await self.response(caller), b"")

    async def test_a_body_that_is_being_sent_keeps_its_limit(self):
        caller = await self.connect()
        await self.send(caller, HEAD + BODY[:2])
        self.server.set_limits(
            server.ServerLimits(units.Bytes(3), units.Seconds(30.0))
        )
        caller.send(BODY[2:])
        self.assertIn(BODY, await self.response(caller))

    async def test_a_limit_that_is_lowered_during_a_response_is_kept(self):
        self.handler.gate.clear()
        caller = await self.connect()
        caller.send(HEAD + BODY)
        begun = await self.read_until(caller, b"begun")
        self.assertIn(b"keep-alive: timeout=1\r\n", begun.lower())
        self.server.set_limits(limits(idle=0.2))
        self.handler.gate.set()
        await self.response(caller)
        self.advance(0.9)
        await asyncio.sleep(SETTLE_S)
        caller.send(HEAD + BODY)
        self.assertIn(BODY, await self.response(caller))

    async def test_a_connection_outlives_the_time_that_was_announced(self):
        caller = await self.connect()
        caller.send(HEAD + BODY)
        await self.response(caller)
        # The caller counts from when it got the response.
        self.advance(1.1)
        await asyncio.sleep(SETTLE_S)
        caller.send(HEAD + BODY)
        self.assertIn(BODY, await self.response(caller))


class UnreadRequestTest(ConnectionCase):
    """Fails if a connection closes over a request that lies in its socket.

    So it does after the process was held up: timers run before reads.
    """

    async def test_an_idle_connection_is_read_before_it_closes(self):
        caller = await self.connect()
        caller.send(HEAD + BODY)
        self.advance(1.1)
        self.assertIn(b"abcdef", await self.response(caller))

    async def test_a_late_request_is_read_before_it_is_rejected(self):
        for begun in (HEAD[:20], HEAD + b"ab"):
            with self.subTest(begun=begun):
                caller = await self.connect()
                await self.send(caller, begun)
                caller.send((HEAD + BODY)[len(begun) :])
                self.advance(31.0)
                self.assertIn(b"abcdef", await self.response(caller))
                caller.close()
                await self.wait_until(lambda: not self.server.connection_count)

    async def test_a_stop_reads_before_it_closes(self):
        caller = await self.connect()
        self.advance(0.5)
        caller.send(HEAD + BODY)
        self.server.close_idle_connections()
        response = await self.response(caller)
        self.assertIn(b"connection: close", response.lower())
        self.assertIn(b"abcdef", response)


class LostResponseTest(ConnectionCase):
    """Fails if a response is lost because its caller still sends."""

    async def test_the_rejection_of_a_large_body_reaches_its_caller(self):
        caller = await self.connect()
        loop = asyncio.get_running_loop()
        head = HEAD.replace(b": 6", b": 8000000")
        async with asyncio.timeout(TIMEOUT_S):
            await loop.sock_sendall(caller, head + b"x" * 8_000_000)
        response = await self.read_until(caller, b"bytes")
        self.assertTrue(response.startswith(b"HTTP/1.1 413"))

    async def test_a_connection_that_was_reset_before_its_end_is_closed(self):
        caller = await self.connect()
        (connection,) = self.server._connections
        closing = HEAD.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        with mock.patch.object(
            connection._transport,
            "write_eof",
            side_effect=OSError(107, "reset"),
        ):
            caller.send(closing + BODY)
            await self.wait_until(lambda: not self.server.connection_count)

    async def test_a_rejected_body_gives_its_memory_back_at_once(self):
        """Guards against requests refused for memory that is free."""
        caller = await self.connect()
        caller.send(HEAD.replace(b": 6", b": 8000000") + b"x" * 90_000)
        await self.wait_until(lambda: self.server.buffers.used)
        self.advance(31.0)
        await self.read_until(caller, b"time limit")
        self.assertEqual(self.server.connection_count, 1)
        self.assertEqual(self.server.buffers.used, 0)

    async def test_a_caller_that_sends_on_does_not_hold_the_connection(self):
        caller = await self.connect()
        caller.send(HEAD.replace(b": 6", b": 8000000"))
        caller.send(b"x" * 100_001)
        await self.read_until(caller, b"bytes")
        self.advance(2.1)
        await self.wait_until(lambda: not self.server.connection_count)


class SlowCallerTest(ConnectionCase):
    """Fails if a caller that reads nothing holds its connection for ever.

    Also if one that reads slowly loses a part of its response.
    """

    async def connect_and_send(self, high_water=None):
        """Sends a request whose response the socket can't take at once."""
        self.handler.body = b"x" * LARGE_BODY_BYTES
        caller = await self.connect()
        if high_water is not None:
            (connection,) = self.server._connections
            connection._transport.set_write_buffer_limits(high_water)
        caller.send(HEAD + BODY)
        await self.wait_until(lambda: self.unsent() > 0)
        return caller

    def unsent(self):
        return sum(
            c._transport.get_write_buffer_size()
            for c in self.server._connections
        )

    async def test_a_caller_that_reads_nothing_is_disconnected(self):
        for name, high_water, stopping in (
            ("response under way", None, False),
            ("connection kept", 10 * LARGE_BODY_BYTES, False),
            ("connection closing", 10 * LARGE_BODY_BYTES, True),
        ):
            with self.subTest(name):
                self.server._stopping = stopping
                self.observer.ends.clear()
                await self.connect_and_send(high_water)
                for _ in range(20):
                    self.advance(5.0)
                    await asyncio.sleep(POLL_INTERVAL_S)
                await self.wait_until(lambda: not self.server.connection_count)
                self.assertEqual(self.observer.ends, [End.CALLER_STALLED])

    async def test_a_caller_that_reads_slowly_gets_its_response(self):
        caller = await self.connect_and_send()
        loop = asyncio.get_running_loop()
        received = bytearray()
        while self.unsent():
            self.advance(29.0)
            unsent = self.unsent()
            while self.unsent() == unsent:
                received += await loop.sock_recv(caller, LARGE_BODY_BYTES)
                await asyncio.sleep(POLL_INTERVAL_S)
        received += await self.response(caller)
        self.assertEqual(received.count(b"x" * 100), LARGE_BODY_BYTES // 100)
        self.assertEqual(self.observer.ends, [])

    async def test_a_stop_waits_for_the_end_of_a_response(self):
        await self.connect_and_send(10 * LARGE_BODY_BYTES)
        self.server.close_idle_connections()
        self.assertEqual(self.server.active_connections, 1)

    async def test_a_response_that_the_end_of_the_process_cuts_is_reported(
        self,
    ):
        await self.connect_and_send(10 * LARGE_BODY_BYTES)
        self.server.close()
        await self.wait_until(lambda: not self.server.connection_count)
        self.assertEqual(self.observer.ends, [End.SHUTDOWN])


class BacklogTest(ConnectionCase):
    """Fails if the end of a listener resets connections that it has taken."""

    async def test_connections_in_the_backlog_are_accepted_first(self):
        target = self.server.address
        for number in range(3):
            with self.subTest(turns=number):
                callers = [
                    socket.create_connection((target.host, target.port))
                    for _ in range(50)
                ]
                for caller in callers:
                    self.addCleanup(caller.close)
                    caller.setblocking(False)
                    caller.send(HEAD + BODY)
                # Some are being accepted when the listener closes.
                for _ in range(number):
                    await asyncio.sleep(0)
                await self.server.stop_accepting()
                with self.assertRaises(ConnectionRefusedError):
                    socket.create_connection((target.host, target.port))
                for caller in callers:
                    self.assertIn(b"abcdef", await self.response(caller))
                await self.server.start(target)

    async def test_an_end_without_a_start_has_no_effect(self):
        await self.server.stop_accepting()
        await self.server.stop_accepting()


class StopTest(ConnectionCase):
    """Fails if a stop closes a connection that its caller may still use."""

    async def test_a_connection_stays_open_unless_its_response_said_else(self):
        self.handler.gate.clear()
        caller = await self.connect()
        caller.send(HEAD + BODY)
        await self.read_until(caller, b"begun")
        self.server.disable_keep_alive()
        # The next request comes before the last bytes of the response.
        await self.send(caller, HEAD.replace(b"/x", b"/next") + BODY)
        self.handler.gate.set()
        responses = await self.read_until(caller, b"nothing but the end")
        self.assertEqual(responses.count(b"abcdef"), 2)
        self.assertIn(b"connection: close", responses.lower())
        self.assertEqual(self.handler.paths, ["/x", "/next"])

    async def test_a_request_that_is_half_received_at_the_end_is_refused(self):
        for part in (HEAD[:20], HEAD + BODY[:2]):
            with self.subTest(part=part):
                caller = await self.connect()
                await self.send(caller, part)
                self.server.reject_incomplete_requests()
                response = await self.read_until(caller, b"not run")
                self.assertTrue(response.startswith(b"HTTP/1.1 503"))
                caller.close()
                await self.wait_until(lambda: not self.server.connection_count)
                self.assertEqual(self.observer.ends.pop(), End.SHUTDOWN)

    async def test_a_new_connection_has_time_for_its_request(self):
        caller = await self.connect()
        self.server.close_idle_connections()
        await asyncio.sleep(0.02)
        self.assertEqual(self.server.active_connections, 1)
        caller.send(HEAD + BODY)
        self.assertIn(b"abcdef", await self.response(caller))

    async def test_a_new_connection_without_a_request_is_closed(self):
        caller = await self.connect()
        self.advance(0.3)
        self.assertEqual(self.server.active_connections, 0)
        self.server.close_idle_connections()
        self.assertEqual(await self.response(caller), b"")

    async def test_a_part_of_a_request_at_the_end_is_reported(self):
        for data in (HEAD[:20], HEAD + b"ab"):
            with self.subTest(data=data):
                self.observer.ends.clear()
                caller = await self.connect()
                await self.send(caller, data)
                (connection,) = self.server._connections
                connection.shut_down()
                await self.wait_until(lambda: not self.server.connection_count)
                self.assertEqual(self.observer.ends, [End.SHUTDOWN])

    async def test_bytes_after_the_last_response_are_reported(self):
        caller = await self.connect()
        self.server.disable_keep_alive()
        caller.send(HEAD + BODY)
        await self.response(caller)
        caller.send(HEAD + BODY)
        await asyncio.sleep(0.02)
        caller.close()
        await self.wait_until(lambda: not self.server.connection_count)
        self.assertEqual(self.observer.ends, [End.NOT_READ])


if __name__ == "__main__":
    unittest.main()
