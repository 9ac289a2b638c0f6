"""Tests the listener of a router with its own interface."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.daemon import options
from lavendershed.daemon import router
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments
from lavendershed.telemetry import log
from lavendershed.transport import address
from lavendershed.transport import event_loop_timers
from lavendershed.transport import streams

POLL_INTERVAL_S = 0.005
TIMEOUT = units.Seconds(2.0)
HEAD = b"POST /v1/x HTTP/1.1\r\nhost: x\r\nrequest-id: r-1\r\n"


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Starts a router without a configuration."""

    @classmethod
    def setUpClass(cls):
        # A process has one metrics registry.
        cls.instruments = instruments.Instruments(ids.VmId("vm-1"))

    async def asyncSetUp(self):
        self.log = log.MemoryEventLog()
        self.router = router.Router(
            options.RouterOptions(
                ids.VmId("vm-1"),
                ids.AvailabilityZoneId("a"),
                address.Address("127.0.0.1", 0),
                address.Address("127.0.0.1", 1),
                settle_time=units.Seconds(0.0),
            ),
            router.Components(
                backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(1)),
                state.ConfigurationState(),
                None,
                None,
                (),
            ),
            event_loop_timers.EventLoopTimerService(asyncio.get_running_loop()),
            self.log,
            self.instruments,
        )
        self.stop = asyncio.Event()
        self.task = asyncio.create_task(self.router.run(self.stop))
        await self.wait_until(lambda: self.log.records)
        self.address = self.router._server.address

    async def asyncTearDown(self):
        self.stop.set()
        await asyncio.wait_for(self.task, TIMEOUT)

    async def wait_until(self, condition):
        for _ in range(int(TIMEOUT / POLL_INTERVAL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail("the condition was not met in time")

    def unanswered(self):
        return [
            fields
            for event, fields in self.log.records
            if event is events.Event.REQUEST_UNANSWERED
        ]

    async def test_a_request_without_an_answer_is_logged_and_counted(self):
        """Guards against ends of connections that leave no trace."""
        _, writer = (await streams.open_streams(self.address, TIMEOUT)).unwrap()
        writer.write(HEAD + b"content-length: 5\r\n\r\nab")
        await self.wait_until(lambda: self.router._server.active_connections)
        await asyncio.sleep(0.02)
        writer.close()
        await self.wait_until(self.unanswered)
        (fields,) = self.unanswered()
        self.assertEqual(fields["reason"], "caller_left_sending")
        self.assertEqual(fields["request"], "r-1")
        self.assertIn(
            b'lavendershed_unanswered_requests_total{end="caller_left_sending"',
            self.router.metrics(),
        )

    async def test_a_caller_is_refused_and_not_cut_off_at_the_end(self):
        """Guards against requests accepted by a process that is ending."""
        emit = self.log.emit
        outcomes = []

        def connect_at_the_end(event, **fields):
            emit(event, **fields)
            if event is events.Event.DAEMON_STOPPED:
                with self.assertRaises(ConnectionRefusedError):
                    socket.create_connection(
                        (self.address.host, self.address.port)
                    )
                outcomes.append("refused")

        with (
            mock.patch.object(self.log, "emit", connect_at_the_end),
            mock.patch.object(self.router._server, "close"),
        ):
            self.stop.set()
            await self.task
        self.assertEqual(outcomes, ["refused"])


if __name__ == "__main__":
    unittest.main()
