"""Tests requests at the end of their daemon, their deadline or their caller.

Section 7.4 of the design lists every way in which a request can end without a
complete answer. These tests guard the rows that need a whole daemon.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import unittest
from unittest import mock

import platform_case
import raw_server

from lavendershed.forwarding import relay
from lavendershed.forwarding import relayed_requests
from lavendershed.forwarding import unary_execution
from lavendershed.standin import platform_engine
from lavendershed.telemetry import events

Event = events.Event
Fault = platform_engine.EngineFault
GRACE_S = 1.0
# Time in which a daemon notices that its links are cut.
NOTICE_S = 2.0
REQUEST = (
    b"POST %s HTTP/1.1\r\nhost: users.example\r\nx-api-key: "
    + platform_case.KEY.encode()
    + b"\r\nattempt-id: a1\r\ndeadline-ms: %d\r\ntoken-count: 1000,100\r\n"
    b"model: m\r\ncontent-length: 0\r\n\r\n"
)
TIME_LIMIT_MS = 9_000
# A stream that has begun waits for another daemon until its deadline.
RELAYED_TIME_LIMIT_MS = 5_000


class FloodingEngine(raw_server.RawServer):
    """Sends events in sequence as fast as they are read."""

    def __init__(self, name):
        super().__init__(name)
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: seal\r\n"
            b"content-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n" % fields[b"attempt-id"]
        )
        try:
            for number in itertools.count(1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 50_000)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
        finally:
            self.closed.set()


class RequestEndCase(platform_case.PlatformCase):
    """Sends requests without reading what comes back."""

    def send(self, running_daemon, path=b"/stream/x", time_limit=TIME_LIMIT_MS):
        """Sends a request on a new connection; returns the socket."""
        target = running_daemon.caller_address
        caller = socket.create_connection((target.host, target.port))
        self.addCleanup(caller.close)
        caller.setblocking(False)
        caller.send(REQUEST % (path, time_limit))
        return caller

    async def read_status(self, caller):
        """Returns the status that a caller gets; None without any."""
        async with asyncio.timeout(platform_case.TIMEOUT):
            data = await self.loop.sock_recv(caller, 65_536)
        return int(data.split()[1]) if data else None

    def failures(self, running_daemon):
        """Returns the reasons of the failed requests with their ids."""
        return [
            (fields["request"], fields["reason"])
            for fields in running_daemon.events(Event.REQUEST_FAILED)
        ]


class EndOfDaemonTest(RequestEndCase):
    """Fails if the end of a daemon leaves a caller without a trace."""

    async def test_a_stream_that_is_cut_is_logged_with_its_id(self):
        self.set_fault(Fault.HANG_IN_STREAM)
        stopping = await self.start_daemon(grace_period=GRACE_S)
        caller = self.send(stopping)
        self.assertEqual(await self.read_status(caller), 200)
        stopping.stop.set()
        await stopping.task
        self.assertEqual(self.failures(stopping), [("a1", "stopping")])

    async def test_a_call_that_hangs_is_answered(self):
        self.set_fault(Fault.HANG)
        stopping = await self.start_daemon(grace_period=GRACE_S + 1)
        caller = self.send(stopping, b"/unsafe/x")
        await asyncio.sleep(0.1)
        stopping.stop.set()
        self.assertEqual(await self.read_status(caller), 502)
        self.assertEqual(self.failures(stopping), [("a1", "stopping")])

    async def test_a_request_that_waits_for_a_configuration_is_answered(self):
        store = self.store.address
        self.store.close()
        for stops_first in (False, True):
            with self.subTest(stops_first=stops_first):
                stopping = await self.start_daemon(
                    ready=False, grace_period=GRACE_S, store=store
                )
                await self.wait_until(
                    lambda daemon=stopping: daemon.events(Event.DAEMON_STARTED)
                )
                if stops_first:
                    stopping.stop.set()
                    await asyncio.sleep(0.05)
                caller = self.send(stopping)
                await asyncio.sleep(0.05)
                stopping.stop.set()
                self.assertEqual(await self.read_status(caller), 503)
                await stopping.task

    async def test_a_request_after_the_last_check_is_refused_at_connect(self):
        """Guards against a connection that is accepted and then reset."""
        stopping = await self.start_daemon(grace_period=GRACE_S)
        outcomes = []
        emit = stopping.log.emit

        def connect_at_the_end(event, **fields):
            emit(event, **fields)
            if event is Event.DAEMON_STOPPED:
                try:
                    self.send(stopping)
                    outcomes.append("accepted")
                except ConnectionRefusedError:
                    outcomes.append("refused")

        with mock.patch.object(stopping.log, "emit", connect_at_the_end):
            stopping.stop.set()
            await stopping.task
        self.assertEqual(outcomes, ["refused"])


class DeadlineTest(RequestEndCase):
    """Fails if a caller that reads nothing holds an engine beyond its time."""

    async def test_a_stream_that_is_not_read_ends_at_its_deadline(self):
        engine = FloodingEngine("flood")
        await engine.start()
        self.addCleanup(engine.close)
        await self.use_only(engine)
        self.send(self.daemon, time_limit=1_000)
        async with asyncio.timeout(platform_case.TIMEOUT):
            await engine.closed.wait()
        await self.wait_until(lambda: self.failures(self.daemon))
        self.assertEqual(
            self.failures(self.daemon), [("a1", "deadline_exceeded")]
        )


class CallerTest(RequestEndCase):
    """Fails if a request that ends early can't be traced to its cause."""

    async def read_to_end(self, caller):
        """Reads until the connection ends, or is reset."""
        async with asyncio.timeout(platform_case.TIMEOUT):
            try:
                while await self.loop.sock_recv(caller, 65_536):
                    pass
            except ConnectionResetError:
                return

    def unanswered(self):
        """Returns the listeners, reasons and ids of lines 119."""
        return [
            tuple(fields[name] for name in ("listener", "reason", "request"))
            for fields in self.daemon.events(Event.REQUEST_UNANSWERED)
        ]

    async def test_a_caller_that_closes_its_writing_side_has_left(self):
        self.set_fault(Fault.HANG)
        caller = self.send(self.daemon, b"/safe/x")
        await self.wait_until(self.executed_requests)
        caller.shutdown(socket.SHUT_WR)
        await self.read_to_end(caller)
        await self.wait_until(lambda: self.failures(self.daemon))
        self.assertEqual(
            self.failures(self.daemon), [("a1", "caller_disconnected")]
        )
        self.assertEqual(self.unanswered(), [])

    async def test_a_stream_that_breaks_off_has_both_lines(self):
        self.set_fault(Fault.RESET_IN_STREAM)
        caller = self.send(self.daemon, time_limit=1_000)
        await self.read_to_end(caller)
        await self.wait_until(self.unanswered)
        ((request, _),) = self.failures(self.daemon)
        self.assertEqual(request, "a1")
        self.assertEqual(
            self.unanswered(), [("callers", "response_aborted", "a1")]
        )

    async def test_a_request_that_is_not_whole_has_a_line(self):
        caller = self.send(self.daemon, b"/safe/x")
        self.assertEqual(await self.read_status(caller), 200)
        request = REQUEST % (b"/safe/x", TIME_LIMIT_MS)
        caller.send(request.replace(b"length: 0", b"length: 9"))
        await asyncio.sleep(0.05)
        caller.close()
        await self.wait_until(self.unanswered)
        self.assertEqual(
            self.unanswered(), [("callers", "caller_left_sending", "a1")]
        )


class RelayHandlerTest(RequestEndCase):
    """Fails if an exception of the relay leaves a peer without an answer."""

    async def test_a_peer_is_told_that_the_run_is_unknown(self):
        with mock.patch.object(
            relayed_requests, "decode", side_effect=KeyError
        ):
            response = await self.request(
                "/relayed-requests",
                address=relay.relay_address(self.daemon.peer_address),
            )
        self.assertEqual(response.head.status, 500)
        # Without a result the sender does not take it for refused.
        self.assertIsNone(response.head.header(relay.RESULT_HEADER))


class RelayedRequestTest(RequestEndCase):
    """Fails if the end of the daemon that runs a request leaves no trace."""

    async def relay_and_stop_peer(self, path, fault):
        """Returns the caller's socket, once the peer has ended."""
        _, peer = await self.start_fleet(2)
        self.daemon.links.refuse = True
        for cut_path in ("/safe/x", "/stream/x"):
            await self.request(cut_path, token_count="1000,100")
        await asyncio.sleep(NOTICE_S)
        self.set_fault(fault)
        before = len(self.executed_requests())
        caller = self.send(self.daemon, path, RELAYED_TIME_LIMIT_MS)
        await self.wait_until(lambda: len(self.executed_requests()) > before)
        await asyncio.sleep(0.1)
        peer.stop.set()
        await peer.task
        self.assertEqual(self.failures(peer), [("a1", "stopping")])
        return caller

    async def test_a_call_is_answered(self):
        caller = await self.relay_and_stop_peer(b"/unsafe/x", Fault.HANG)
        self.assertEqual(await self.read_status(caller), 502)
        relayed = self.daemon.events(Event.REQUEST_RELAYED)
        self.assertIn("a1", [fields["request"] for fields in relayed])

    async def test_a_stream_that_has_begun_is_logged_at_both(self):
        caller = await self.relay_and_stop_peer(
            b"/stream/x", Fault.HANG_IN_STREAM
        )
        self.assertEqual(await self.read_status(caller), 200)
        await self.wait_until(lambda: self.failures(self.daemon))
        self.assertEqual(self.failures(self.daemon)[-1][0], "a1")


class CancelledExecutionTest(RequestEndCase):
    """Fails if an execution that was cancelled leaves its caller waiting."""

    async def test_its_caller_is_answered(self):
        async def cancelled(execution):
            raise asyncio.CancelledError

        with mock.patch.object(
            unary_execution.UnaryExecution, "run", cancelled
        ):
            caller = self.send(self.daemon, b"/safe/x")
            self.assertEqual(await self.read_status(caller), 502)
        self.assertEqual(self.failures(self.daemon), [("a1", "internal")])


if __name__ == "__main__":
    unittest.main()
