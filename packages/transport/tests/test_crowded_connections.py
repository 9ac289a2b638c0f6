"""Tests connections of callers near the limits of what they may hold."""

from __future__ import annotations

import asyncio
import socket
import unittest

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client_memory
from lavendershed.transport import connection_ends
from lavendershed.transport import handlers
from lavendershed.transport import server

TIMEOUT_S = 5.0
POLL_S = 0.002
LIMIT = 200_000
CONNECTIONS = 16
LONG_BODY = 60_000
HEAD = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
QUESTION = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
# More than the sockets of both sides take.
LARGE_RESPONSE = 20_000_000
End = connection_ends.ConnectionEnd


class Handler(handlers.Handler):
    """Answers at once, or once the gate is open."""

    def __init__(self):
        self.body = b"ok"
        self.handled = 0
        self.gate = asyncio.Event()
        self.gate.set()

    async def handle(self, request, responder):
        self.handled += 1
        await self.gate.wait()
        await responder.respond(200, self.body)

    def rejection_body(self, status, detail):
        return detail.encode()


class Observer(connection_ends.ConnectionObserver):
    """Keeps what ended requests without a complete response."""

    def __init__(self):
        self.ends = []

    def on_unanswered(self, request):
        self.ends.append(request.end)


class CrowdedCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server with small limits and a clock of its own."""

    async def asyncSetUp(self):
        self.timers = timers.VirtualTimerService()
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(units.Bytes(LIMIT), CONNECTIONS)
        )
        self.handler = Handler()
        self.observer = Observer()
        self.server = server.HttpServer(
            self.handler,
            self.timers,
            server.ServerLimits(),
            observer=self.observer,
            memory=self.memory,
        )
        await self.server.start(address.Address("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.callers = []

    async def asyncTearDown(self):
        """Everything is given back once all callers have left."""
        self.handler.gate.set()
        for caller in self.callers:
            caller.close()
        await self.wait_until(lambda: not self.server.connection_count)
        self.assertEqual(self.memory.used, 0)
        self.assertEqual(self.memory.connections, 0)

    async def wait_until(self, condition):
        for _ in range(int(TIMEOUT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        self.fail("the condition was not met in time")

    async def connect(self, data=b"", receive_bytes=None):
        """Opens a connection; returns its socket once `data` is sent."""
        loop = asyncio.get_running_loop()
        target = self.server.address
        caller = socket.socket()
        self.callers.append(caller)
        caller.setblocking(False)
        if receive_bytes is not None:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        await loop.sock_connect(caller, (target.host, target.port))
        await loop.sock_sendall(caller, data)
        return caller

    async def read_until(self, caller, end):
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT_S):
            while end not in received:
                data = await loop.sock_recv(caller, 65_536)
                if not data:
                    break
                received += data
        return received

    def advance(self, seconds):
        self.timers.advance(units.Seconds(seconds))


class CrowdedMemoryTest(CrowdedCase):
    """Guards against memory that callers hold and nothing counts."""

    async def test_a_body_in_part_is_charged(self):
        await self.connect(HEAD % (LONG_BODY + 1) + b"x" * LONG_BODY)
        await self.wait_until(lambda: self.memory.used > LONG_BODY)

    async def test_input_that_is_not_processed_is_charged(self):
        """Guards against small chunks, which wait for their processing."""
        most = []
        exchange = self.memory.exchange

        def record(previous, size):
            exchange(previous, size)
            most.append(self.memory.used)

        self.memory.exchange = record
        await self.connect(
            b"POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 2_000
            + b"0\r\n\r\n"
        )
        await self.wait_until(lambda: self.handler.handled)
        self.assertGreater(
            max(most[:2]), client_memory.CONNECTION_BYTES + 9_000
        )

    async def test_a_head_in_part_is_charged(self):
        await self.connect(b"GET /x HTTP/1.1\r\nx: " + b"x" * 10_000)
        await self.wait_until(lambda: self.memory.used > 10_000)

    async def test_many_small_headers_are_charged_for_their_objects(self):
        fields = b"".join(b"a: b\r\n" for _ in range(200))
        await self.connect(
            b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n"
            + fields
            + b"\r\n"
        )
        await self.wait_until(lambda: self.memory.used > 200 * 400)

    async def test_a_stalled_body_is_refused_and_closed_for_others(self):
        stalled = await self.connect(HEAD % 99_999 + b"x" * 90_000)
        # All of it has been read; an eighth more is charged.
        await self.wait_until(lambda: self.memory.used > 90_000 * 9 / 8)
        self.advance(client_memory.PATIENCE[client_memory.Standing.RECEIVING])
        other = await self.connect(HEAD % 99_999 + b"x" * 99_000)
        refusal = await self.read_until(stalled, b"not run")
        self.assertTrue(refusal.startswith(b"HTTP/1.1 503"))
        await self.wait_until(lambda: self.server.connection_count == 1)
        self.assertEqual(self.observer.ends, [End.GIVEN_UP])
        await asyncio.get_running_loop().sock_sendall(other, b"x" * 999)
        response = await self.read_until(other, b"not run")
        # Handled, it would hold the body twice.
        self.assertTrue(response.startswith(b"HTTP/1.1 503"))
        self.assertEqual(self.handler.handled, 0)

    async def test_an_ordinary_request_is_answered_beside_a_crowd(self):
        for _ in range(4):
            await self.connect(HEAD % LONG_BODY + b"x" * 35_000)
        await self.wait_until(lambda: self.memory.used > 4 * 45_000)
        caller = await self.connect(HEAD % 2 + b"ab")
        response = await self.read_until(caller, b"ok")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"))
        self.assertEqual(set(self.observer.ends), {End.GIVEN_UP})

    async def test_a_refused_request_is_dropped_at_once(self):
        """Guards against refused heads that are held until the close."""
        data = b"GET /x HTTP/1.1\r\nx: " + b"x" * 10_000
        await self.connect(data)
        await self.wait_until(lambda: self.memory.used > 10_000)
        (connection,) = self.server._connections
        connection.reject_incomplete_request()
        self.assertEqual(self.memory.used, client_memory.CONNECTION_BYTES)
        self.assertEqual(connection._protocol.trailing_data[0], b"")

    async def test_the_head_of_a_refused_body_is_dropped_at_once(self):
        """Guards against fields that are held, uncharged, until the close."""
        await self.connect(HEAD % 9 + b"x")
        await self.wait_until(lambda: self.server.connection_count)
        (connection,) = self.server._connections
        await self.wait_until(lambda: connection._request is not None)
        connection.reject_incomplete_request()
        self.assertIsNone(connection._request)
        self.assertEqual(self.observer.ends, [End.SHUTDOWN])
        self.callers[0].close()
        await self.wait_until(lambda: not self.server.connection_count)
        self.assertEqual(self.observer.ends, [End.SHUTDOWN])


class BackPressureTest(CrowdedCase):
    """Guards against responses that are made faster than they are read."""

    async def test_no_request_begins_while_a_response_is_unsent(self):
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(
                units.Bytes(10 * LARGE_RESPONSE), CONNECTIONS
            )
        )
        self.server._memory = self.memory
        self.handler.body = b"x" * LARGE_RESPONSE
        caller = await self.connect(QUESTION * 3)
        await self.wait_until(lambda: self.memory.used > LARGE_RESPONSE / 4)
        for _ in range(50):
            await asyncio.sleep(POLL_S)
        self.assertEqual(self.handler.handled, 1)
        received = 0
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20.0):
            while received < 3 * LARGE_RESPONSE:
                received += len(await loop.sock_recv(caller, 1_000_000))
        self.assertEqual(self.handler.handled, 3)

    async def test_small_responses_wait_for_the_previous_one_too(self):
        """Guards against responses that pile up below the loop's own limit."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        self.server.close()
        self.handler.body = b"x" * 50_000
        await self.server.start(
            address.Address(*listener.getsockname()), listener
        )
        caller = await self.connect(receive_bytes=4_096)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, QUESTION * 100)
        await self.wait_until(lambda: self.handler.handled)
        for _ in range(50):
            await asyncio.sleep(POLL_S)
        self.assertEqual(self.handler.handled, 1)
        received = b""
        while received.count(b"HTTP/1.1 200") < 100:
            received += await self.read_until(caller, b"HTTP/1.1 200")
        self.assertEqual(self.handler.handled, 100)

    async def test_an_unread_response_is_given_up_for_others(self):
        self.handler.body = b"x" * LARGE_RESPONSE
        self.memory._limits = client_memory.ClientLimits(
            units.Bytes(LARGE_RESPONSE + 200_000), CONNECTIONS
        )
        await self.connect(QUESTION)
        await self.wait_until(lambda: self.memory.used > LARGE_RESPONSE / 4)
        self.advance(client_memory.PATIENCE[client_memory.Standing.UNREAD])
        self.memory._limits = client_memory.ClientLimits(
            units.Bytes(LIMIT), CONNECTIONS
        )
        self.handler.body = b"ok"
        other = await self.connect(QUESTION)
        self.assertIn(b" 200 ", await self.read_until(other, b"ok"))
        self.assertEqual(self.observer.ends, [End.GIVEN_UP])

    async def test_responses_without_room_end_their_own_connections(self):
        """Guards against a search that starts another one, without end."""
        self.handler.body = b"x" * LARGE_RESPONSE
        callers = [await self.connect(QUESTION) for _ in range(3)]
        await self.wait_until(lambda: len(self.observer.ends) == 3)
        self.assertEqual(set(self.observer.ends), {End.NO_MEMORY})
        self.handler.body = b"ok"
        self.assertEqual(len(callers), 3)
        other = await self.connect(QUESTION)
        self.assertIn(b" 200 ", await self.read_until(other, b"ok"))

    async def test_requests_ahead_are_not_read_without_end(self):
        self.handler.gate.clear()
        caller = await self.connect()
        sending = asyncio.get_running_loop().create_task(
            asyncio.get_running_loop().sock_sendall(
                caller, QUESTION * 1_000_000
            )
        )
        await self.wait_until(lambda: self.handler.handled)
        for _ in range(50):
            await asyncio.sleep(POLL_S)
        (connection,) = self.server._connections
        unread, _ = connection._protocol.trailing_data
        self.assertLess(len(unread), client_memory.SERVED_BYTES)
        sending.cancel()

    async def test_requests_ahead_are_all_answered_in_order(self):
        caller = await self.connect(QUESTION * 100)
        received = b""
        while received.count(b"ok") < 100:
            received += await self.read_until(caller, b"ok")
        self.assertEqual(received.count(b"HTTP/1.1 200"), 100)


class DelayedInputTest(CrowdedCase):
    """Guards requests that wait for processor time from their deadlines."""

    async def send_late(self, first, rest):
        """Sends a request whose end waits past its deadline."""
        caller = await self.connect(first)
        await self.wait_until(
            lambda: any(not c.idle for c in self.server._connections)
        )
        (connection,) = self.server._connections
        # No turn comes, as if others took all the time.
        self.server.turns._spent = 1.0
        self.server.turns._scheduled = True
        await asyncio.get_running_loop().sock_sendall(caller, rest)
        await self.wait_until(lambda: connection._flow.waiting)
        self.advance(31.0)
        for _ in range(20):
            await asyncio.sleep(POLL_S)
        self.server.turns._scheduled = False
        self.server.turns._schedule()
        return await self.read_until(caller, b"\r\n\r\n")

    async def test_a_whole_head_that_waits_is_served(self):
        response = await self.send_late(QUESTION[:-9], QUESTION[-9:])
        self.assertIn(b" 200 ", response)

    async def test_a_whole_body_that_waits_is_served(self):
        response = await self.send_late(HEAD % 2 + b"a", b"b")
        self.assertIn(b" 200 ", response)

    async def test_a_head_in_part_that_waited_is_refused(self):
        response = await self.send_late(QUESTION[:-9], QUESTION[-9:-4])
        self.assertIn(b" 408 ", response)

    async def test_a_body_in_part_that_waited_is_refused(self):
        response = await self.send_late(HEAD % 9 + b"a", b"b")
        self.assertIn(b" 408 ", response)


class AcceptorTest(CrowdedCase):
    """Guards against connections that take all descriptors."""

    async def test_accepting_stops_at_the_limit_and_goes_on(self):
        self.handler.gate.clear()
        for _ in range(CONNECTIONS):
            await self.connect()
        waiting = await self.connect(QUESTION)
        await self.wait_until(lambda: not self.server.accepting)
        self.assertEqual(self.server.connection_count, CONNECTIONS)
        self.assertEqual(self.handler.handled, 0)
        self.handler.gate.set()
        self.callers[0].close()
        await self.wait_until(
            lambda: self.server.connection_count < CONNECTIONS
        )
        self.advance(0.1)
        self.assertIn(b" 200 ", await self.read_until(waiting, b"ok"))
        self.assertTrue(self.server.accepting)
        self.assertGreater(self.server.accept_pauses, 0)

    async def test_connections_without_a_byte_give_way(self):
        for _ in range(CONNECTIONS):
            await self.connect()
        await self.wait_until(
            lambda: self.server.connection_count == CONNECTIONS
        )
        self.advance(client_memory.PATIENCE[client_memory.Standing.UNUSED])
        caller = await self.connect(QUESTION)
        self.assertIn(b" 200 ", await self.read_until(caller, b"ok"))
        self.assertEqual(self.observer.ends, [])

    async def test_a_connection_that_may_be_reused_stays_in_calm(self):
        callers = [await self.connect() for _ in range(CONNECTIONS // 2)]
        for _ in range(3):
            self.advance(20.0)
            for caller in callers:
                await asyncio.get_running_loop().sock_sendall(caller, QUESTION)
                response = await self.read_until(caller, b"ok")
                self.assertIn(b" 200 ", response)
        self.assertEqual(self.memory.given_up, {})

    async def test_a_connection_is_kept_from_the_end_of_its_response(self):
        """Guards callers of long streams, who have sent nothing for long."""
        self.handler.gate.clear()
        caller = await self.connect(QUESTION)
        await self.wait_until(lambda: self.handler.handled)
        self.advance(60.0)
        self.handler.gate.set()
        await self.read_until(caller, b"ok")
        (connection,) = self.server._connections
        account = connection._account
        await self.wait_until(
            lambda: account.standing is client_memory.Standing.KEPT
        )
        self.assertEqual(account.progressed_at, self.timers.now())

    async def test_a_close_drops_connections_that_are_being_set_up(self):
        await self.connect(QUESTION)
        self.server.close()
        await self.wait_until(lambda: not self.memory.connections)


if __name__ == "__main__":
    unittest.main()
