"""Tests requests that come at any time of a planned stop."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

import platform_case
import result

from lavendershed.core import units
from lavendershed.standin import platform_engine

Fault = platform_engine.EngineFault
GRACE_S = 4.0
STEPS = 10
PATHS = ("/unsafe/x", "/safe/x", "/stream/x")
NOT_RUN = frozenset({429, 503})


class PlannedStopTest(platform_case.PlatformCase):
    """Fails if a request that was passed on is cut without an answer.

    In calm, on connections that are kept, at each tenth of the grace period.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.grace_s = GRACE_S

    async def exchange_late(self, connection, path, delay):
        """Sends a request after `delay`; returns its id and response."""
        await asyncio.sleep(delay)
        request_id = f"{path[1:3]}-{delay:.1f}"
        size = {"token_count": "1000,100"} if path == "/stream/x" else {}
        try:
            response = await self.exchange(
                connection,
                path,
                attempt_id=request_id,
                deadline_ms="9000",
                # The caller waits for longer than the daemon runs.
                patience=units.Seconds(9.0),
                **size,
            )
        except result.UnwrapError:
            # The request met the close of the connection and was not read.
            response = None
        return request_id, response

    async def stop_under_requests(self, paths):
        self.stopping = await self.start_daemon(grace_period=self.grace_s)
        connections = [
            (
                await self.connect(self.stopping.caller_address),
                path,
                self.grace_s * step / STEPS,
            )
            for step in range(STEPS + 1)
            for path in paths
        ]
        self.stopping.stop.set()
        outcomes = await asyncio.gather(
            *(self.exchange_late(*each) for each in connections)
        )
        for connection, _, _ in connections:
            connection.close()
        return dict(outcomes)

    def assert_answered(self, outcomes):
        ran = {
            request.headers["attempt-id"]
            for request in self.executed_requests()
        }
        for request_id, response in outcomes.items():
            with self.subTest(request=request_id):
                if request_id in ran:
                    self.assertIsInstance(
                        response, platform_case.client.Response
                    )
                    self.assertNotIn(response.head.status, NOT_RUN)
        self.assertTrue(ran)

    async def test_calls_that_last_to_the_end_of_the_grace_period(self):
        self.set_fault(Fault.HANG)
        outcomes = await self.stop_under_requests(PATHS[:2])
        self.assert_answered(outcomes)

    async def test_streams_whose_first_event_does_not_come(self):
        # Streams are admitted until 4.7 s before the end.
        self.grace_s = 7.0
        for engine in self.engines:
            engine.prefill_seconds = {engine.address: 60.0}
        outcomes = await self.stop_under_requests(PATHS[2:])
        self.assert_answered(outcomes)

    async def test_requests_that_end_in_time(self):
        outcomes = await self.stop_under_requests(PATHS)
        self.assert_answered(outcomes)


def hold_up_loop():
    """Runs nothing for a while, as if the process was paused."""
    time.sleep(0.5)


class PausedStopTest(platform_case.PlatformCase):
    """Fails if a pause across the end of a planned stop cuts requests.

    The daemon refused what had not been answered only before the deadline.
    """

    # The daemon stops waiting 0.3 s before it.
    GRACE_S = 1.0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.stopping = await self.start_daemon(grace_period=self.GRACE_S)

    async def pause_across_deadline(self):
        self.stopping.stop.set()
        await asyncio.sleep(0.3)
        hold_up_loop()

    async def test_a_request_that_was_passed_on_is_answered(self):
        self.set_fault(Fault.HANG)
        task = self.loop.create_task(
            self.request("/unsafe/x", address=self.stopping.caller_address)
        )
        await self.wait_until(lambda: self.executed_requests())
        await self.pause_across_deadline()
        self.assertEqual((await task).head.status, 502)
        await self.stopping.task

    async def test_a_request_that_lies_in_the_socket_is_refused(self):
        address = self.stopping.caller_address
        self.stopping.stop.set()
        await asyncio.sleep(0.3)
        with socket.create_connection((address.host, address.port)) as caller:
            caller.sendall(
                b"POST /unsafe/x HTTP/1.1\r\nhost: users.example\r\n"
                b"x-api-key: %b\r\ncontent-length: 0\r\n\r\n"
                % platform_case.KEY.encode()
            )
            hold_up_loop()
            await self.stopping.task
            status_line = caller.recv(1_000).partition(b"\r\n")[0]
        self.assertEqual(status_line, b"HTTP/1.1 503 ")
        self.assertEqual(self.executed_requests(), [])


if __name__ == "__main__":
    unittest.main()
