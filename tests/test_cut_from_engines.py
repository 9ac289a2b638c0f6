"""Tests that callers of a daemon without links to the engines are served."""

from __future__ import annotations

import asyncio
import unittest

import platform_case
import result

from lavendershed.core import units
from lavendershed.standin import platform_engine
from lavendershed.telemetry import events

Fault = platform_engine.EngineFault
DAEMONS = 3
# Time in which a daemon has to notice that its links are cut.
NOTICE_S = 2.0
# Share of first attempts that the daemon has to serve of those that others do.
MIN_SERVED_SHARE = 2 / 3


class CutCase(platform_case.PlatformCase):
    """Daemons that know each other; the first one loses its links."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(2, 6):
            self.engines.append(await self.add_engine(f"e-{number}"))
        self.fleet = await self.start_fleet(DAEMONS)

    async def send(self, path, number, daemon=None):
        size = {"token_count": "1000,100"} if path == "/stream/x" else {}
        return await self.request(
            path,
            f"request {number}".encode(),
            (daemon or self.daemon).caller_address,
            **size,
        )

    async def send_all(self, count=12):
        """Sends requests of all kinds; returns their statuses."""
        paths = ("/stream/x", "/safe/x", "/unsafe/x")
        responses = await asyncio.gather(
            *(self.send(paths[n % 3], n) for n in range(count))
        )
        return [response.head.status for response in responses]

    def relayed(self):
        return self.daemon.events(events.Event.REQUEST_RELAYED)

    async def cut(self, **how):
        for name, value in how.items():
            setattr(self.daemon.links, name, value)
        # Some requests meet the cut before it is known.
        await self.send_all(3)
        await asyncio.sleep(NOTICE_S)


class CutFromEnginesTest(CutCase):
    """Fails if callers of a daemon that is cut from the engines are refused."""

    async def assert_served(self):
        statuses = await self.send_all()
        self.assertGreaterEqual(
            statuses.count(200), MIN_SERVED_SHARE * len(statuses)
        )

    async def test_connections_that_hang(self):
        await self.cut(hang=True)
        await self.assert_served()

    async def test_connections_that_are_refused(self):
        await self.cut(refuse=True)
        await self.assert_served()

    async def test_a_cut_from_all_engines_of_one_service(self):
        """The plain servers are in reach, so that the daemon is not cut off."""
        self.daemon.links.cut_addresses = frozenset(
            engine.address for engine in self.engines
        )
        await self.cut(refuse=True)
        await self.assert_served()

    async def test_all_daemons_are_cut_off(self):
        """Guards against requests that are passed round and round."""
        for daemon in self.fleet:
            daemon.links.hang = True
        await self.send_all(3)
        await asyncio.sleep(2 * NOTICE_S)
        started = self.timers.now()
        for path in ("/stream/x", "/safe/x", "/unsafe/x"):
            response = await self.send(path, 1)
            self.assertEqual(response.head.status, 503)
            self.assertGreater(float(response.head.header("retry-after")), 0.0)
        self.assertLess(self.timers.now() - started, 1.5)
        self.assertEqual(self.executed_requests(), [])

    async def test_the_way_back(self):
        await self.cut(hang=True)
        self.daemon.links.hang = False
        await asyncio.sleep(1.5)
        relayed = len(self.relayed())
        self.assertEqual(await self.send_all(), [200] * 12)
        self.assertEqual(len(self.relayed()), relayed)

    async def test_a_cut_daemon_accuses_no_engine(self):
        await self.cut(hang=True)
        await self.assert_served()
        for daemon in self.fleet[1:]:
            self.assertEqual(
                daemon.events(events.Event.BACKEND_SERVER_EXCLUDED), []
            )


class RelayTest(CutCase):
    """Fails if a promise about requests is lost on the way over a peer."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.cut(refuse=True)
        self.cut_at = self.timers.now()

    @property
    def new_requests(self):
        return [
            request
            for request in self.executed_requests()
            if request.arrived_at > self.cut_at
        ]

    def peer_of(self, request):
        """Returns the daemon that ran a request."""
        return next(
            daemon
            for daemon in self.fleet[1:]
            if any(
                fields["request"] == request
                for fields in daemon.events(events.Event.REQUEST_DISPATCHED)
            )
        )

    async def test_headers_body_and_deadline_are_those_of_the_caller(self):
        response = await self.request(
            "/safe/a?b=c",
            b"body",
            deadline_ms="700",
            extra_headers=(("x-more", "kept"),),
        )
        self.assertEqual(response.head.status, 200)
        self.assertTrue(response.body.endswith(b" to body"))
        self.assertIsNone(response.head.header("relay-result"))
        (request,) = self.new_requests
        self.assertEqual(request.target, "/safe/a?b=c")
        self.assertEqual(request.headers["x-more"], "kept")
        self.assertEqual(request.headers["tenant"], platform_case.ORGANISATION)
        self.assertNotIn("x-api-key", request.headers)
        self.assertLessEqual(int(request.headers["deadline-ms"]), 700)
        self.assertEqual(
            response.head.header("engine-seal").rpartition("-")[2],
            request.headers["attempt-id"].rpartition("-")[2],
        )

    async def test_an_unsafe_request_runs_once_if_its_peer_is_lost(self):
        self.set_fault(Fault.HANG)
        task = self.loop.create_task(
            self.request("/unsafe/x", attempt_id="order-1")
        )
        await self.wait_until(lambda: self.new_requests)
        peer = self.peer_of("order-1")
        peer.daemon._relay_server.close()
        response = await task
        self.assertEqual(response.head.status, 502)
        self.assertEqual(len(self.new_requests), 1)

    async def test_an_unsafe_request_of_a_lost_engine_is_not_sent_again(self):
        self.set_fault(Fault.RESET_BEFORE_RESPONSE)
        response = await self.request("/unsafe/x")
        self.assertEqual(response.head.status, 502)
        self.assertEqual(len(self.new_requests), 1)

    async def test_a_stream_is_resumed_at_another_peer(self):
        for engine in self.engines:
            engine.event_interval_s = 0.2
        task = self.loop.create_task(self.stream(attempt_id="stream-1"))
        await self.wait_until(lambda: self.new_requests)
        await asyncio.sleep(0.3)
        self.peer_of("stream-1").daemon._relay_server.close()
        response = await task
        self.assertEqual(response.head.status, 200)
        self.assertEqual(
            [
                line
                for line in response.body.decode().splitlines()
                if line.startswith("id: ")
            ],
            ["id: 1", "id: 2", "id: 3"],
        )
        last = max(self.new_requests, key=lambda request: request.arrived_at)
        self.assertEqual(last.headers["last-event-id"], "1")

    async def test_a_stream_that_breaks_off_does_not_look_complete(self):
        self.set_fault(Fault.PARTIAL_EVENT)
        response = await self.stream()
        self.assertIsInstance(response, result.Err)

    async def test_silent_engines_lose_no_answer_behind_a_peer(self):
        """Guards against an end of the last attempt by a time limit."""
        for delay in (0.0, 0.25):
            for engine in self.engines:
                engine.event_interval_s = 0.2
            tasks = [
                self.loop.create_task(
                    self.request(
                        path,
                        b"body",
                        deadline_ms="9000",
                        patience=units.Seconds(9.0),
                        **size,
                    )
                )
                for path, size in (
                    ("/stream/x", {"token_count": "1000,100"}),
                    ("/safe/x", {}),
                    ("/unsafe/x", {}),
                )
            ]
            await asyncio.sleep(delay)
            now = self.timers.now()
            for server in self.engines:
                server.silent_until = units.after(now, units.Seconds(6.0))
            for server in self.plain_servers:
                server.silent_until = units.after(now, units.Seconds(2.0))
            responses = await asyncio.gather(*tasks)
            with self.subTest(delay=delay):
                self.assertEqual({r.head.status for r in responses}, {200})
                self.assertEqual(responses[0].body.count(b"id: "), 3)
        orders = [r for r in self.new_requests if r.target == "/unsafe/x"]
        self.assertEqual(len(orders), 2)

    async def test_an_error_of_the_engine_is_forwarded(self):
        self.set_fault(Fault.ERROR)
        response = await self.request("/unsafe/x")
        self.assertEqual(response.head.status, 500)
        self.assertIsNotNone(response.head.header("engine-seal"))

    async def test_the_leave_of_the_caller_reaches_the_engine(self):
        self.set_fault(Fault.HANG)
        for path in ("/stream/x", "/safe/x"):
            with self.subTest(path=path):
                task = self.loop.create_task(self.send(path, 1))
                await self.wait_until(lambda: self.open_requests == 1)
                task.cancel()
                await self.wait_until(
                    lambda: self.open_requests == 0, units.Seconds(0.5)
                )

    @property
    def open_requests(self):
        servers = self.engines + self.plain_servers
        return sum(server.open_requests for server in servers)

    async def test_a_peer_that_stops_answers_what_it_runs(self):
        for engine in self.engines:
            engine.event_interval_s = 0.3
        tasks = [
            self.loop.create_task(self.stream(attempt_id=f"stream-{n}"))
            for n in range(6)
        ]
        await self.wait_until(lambda: len(self.new_requests) == 6)
        self.fleet[1].stop.set()
        await asyncio.sleep(0.1)
        # Requests go to the other peer from now on.
        late = await asyncio.gather(
            *(self.send("/unsafe/x", n) for n in (1, 2))
        )
        responses = await asyncio.gather(*tasks)
        self.assertEqual({r.head.status for r in (*late, *responses)}, {200})
        self.assertEqual(len(self.new_requests), 8)

    async def test_a_daemon_that_stops_answers_what_peers_run(self):
        for engine in self.engines:
            engine.event_interval_s = 0.3
        tasks = [self.loop.create_task(self.stream()) for _ in range(3)]
        await self.wait_until(lambda: len(self.new_requests) == 3)
        self.daemon.stop.set()
        responses = await asyncio.gather(*tasks)
        self.assertEqual({r.head.status for r in responses}, {200})

    async def test_a_call_at_a_peer_that_stops_is_answered_in_the_end(self):
        self.set_fault(Fault.HANG)
        task = self.loop.create_task(
            self.request("/unsafe/x", attempt_id="order-2")
        )
        await self.wait_until(lambda: self.new_requests)
        started = self.timers.now()
        self.peer_of("order-2").stop.set()
        response = await task
        self.assertEqual(response.head.status, 502)
        # Its grace period is 2 s; the deadline of the call is later.
        self.assertLess(self.timers.now() - started, 2.0)
        self.assertEqual(len(self.new_requests), 1)

    async def test_a_frozen_peer_holds_no_repeatable_request(self):
        async def handle(request, responder):
            await responder.disconnected.wait()

        for daemon in self.fleet[1:]:
            handler = daemon.parts.components.relay_handler
            handler.handle = handle
        started = self.timers.now()
        task = self.loop.create_task(
            self.request("/safe/x", deadline_ms="20000")
        )
        await asyncio.sleep(0.5)
        for daemon in self.fleet[1:]:
            del daemon.parts.components.relay_handler.handle
        response = await task
        self.assertEqual(response.head.status, 200)
        self.assertLess(self.timers.now() - started, 4.5)

    async def test_a_request_is_counted_once(self):
        before = self.counted_requests
        await self.request("/safe/x")
        self.assertEqual(self.counted_requests - before, 1)

    @property
    def counted_requests(self):
        return sum(
            len(times)
            for daemon in self.fleet
            for times in daemon.parts.budget._requests.values()
        )

    async def test_the_log_follows_a_request_over_both_daemons(self):
        await self.request("/safe/x", attempt_id="request-1")
        (relayed,) = [
            fields
            for fields in self.relayed()
            if fields["request"] == "request-1"
        ]
        peer = self.peer_of("request-1")
        self.assertEqual(relayed["peer"], str(peer.peer_address))
        self.assertEqual(relayed["outcome"], "complete")


if __name__ == "__main__":
    unittest.main()
