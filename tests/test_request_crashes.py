"""Tests that a request can't crash engine after engine."""

from __future__ import annotations

import asyncio
import unittest

import platform_case

from lavendershed.standin import platform_engine
from lavendershed.telemetry import events

Fault = platform_engine.EngineFault
DAEMONS = 8
ENGINES = 12
DEADLY = b"crashes its engine"
# The engines that are known to have ended under a request before it is refused,
# and the requests that may reach engines after that.
MAX_CRASHES = 3 + 3


class RequestCrashCase(platform_case.PlatformCase):
    """Daemons that tell each other of crashes, and sound traffic at each."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(len(self.engines), ENGINES):
            self.engines.append(await self.add_engine(f"e-{number}"))
        for servers, service in (
            (self.engines, platform_case.MODEL_SERVICE),
            (self.plain_servers, platform_case.PLAIN_SERVICE),
        ):
            for engine in servers:
                engine.deadly_bodies = frozenset({DEADLY})
                engine.on_restart = lambda e=engine, s=service: (
                    self.register_server(e, s, born=1 + e.crashes)
                )
        # A stream that can't be resumed is sent to one engine at a time.
        once = platform_case.route(
            "/once/",
            "streaming",
            platform_case.MODEL_SERVICE,
            resumable=False,
            gap_target_ms=100,
            timeout_ms=30_000,
            target_latency_ms=600,
        )
        self.store.put("config", "main", platform_case.configuration(2, once))
        self.fleet = await self.start_fleet(DAEMONS)

    @property
    def crashes(self):
        return sum(e.crashes for e in (*self.engines, *self.plain_servers))

    async def send(self, daemon, body, path="/once/x"):
        size = {} if path == "/safe/x" else {"token_count": "1000,100"}
        return await self.request(path, body, daemon.caller_address, **size)

    async def crash_engines(self, path="/once/x", rounds=16):
        """Sends the same request to one daemon after the other."""
        for number in range(rounds):
            daemon = self.fleet[number % DAEMONS]
            await asyncio.gather(
                self.send(daemon, DEADLY, path),
                *(
                    self.send(other, f"sound {number}".encode(), path)
                    for other in self.fleet
                    for _ in range(2)
                ),
            )
            await asyncio.sleep(0.4)


class RequestCrashTest(RequestCrashCase):
    """Fails if the crashes of a request grow with the number of daemons."""

    async def test_crashes_after_the_first_event_are_counted_together(self):
        await self.crash_engines()
        self.assertLessEqual(self.crashes, MAX_CRASHES)

    async def test_sound_requests_are_served_afterwards(self):
        await self.crash_engines()
        self.assertGreaterEqual(self.crashes, 1)
        for daemon in self.fleet:
            response = await self.send(daemon, b"sound")
            self.assertEqual(response.head.status, 200)

    async def test_a_suspect_runs_at_an_idle_engine(self):
        """Guards against sound requests that are lost with the suspect."""
        for engine in self.engines:
            engine.event_interval_s = 0.6
        await self.send(self.daemon, DEADLY)
        for number in range(2):
            sound = [
                self.loop.create_task(self.send(daemon, f"{n}".encode()))
                for n, daemon in enumerate(self.fleet * 2)
            ]
            tracker = self.fleet[number].parts.components.context.load_tracker
            await self.wait_until(
                lambda t=tracker: sum(self.known_loads(t)) >= 2 * DAEMONS
            )
            self.assertIn(0, self.known_loads(tracker))
            before = self.crashes
            await self.send(self.fleet[number], DEADLY)
            self.assertEqual(self.crashes, before + 1)
            responses = await asyncio.gather(*sound)
            self.assertEqual({r.head.status for r in responses}, {200})
        open_at_crashes = [n for e in self.engines for n in e.open_at_crashes]
        self.assertEqual(open_at_crashes, [1, 1, 1])

    def known_loads(self, tracker):
        return [tracker.load(engine.id).requests for engine in self.engines]

    async def test_other_and_new_daemons_refuse_it_without_crashes(self):
        await self.crash_engines(rounds=6)
        before = self.crashes
        newcomer = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(
            lambda: newcomer.parts.peers.live_peers, platform_case.TIMEOUT
        )
        await asyncio.sleep(1.2)
        for daemon in (*self.fleet, newcomer):
            response = await self.send(daemon, DEADLY)
            self.assertEqual(response.head.status, 503)
            self.assertGreater(float(response.head.header("retry-after")), 1.0)
        self.assertEqual(self.crashes, before)


class ResetTest(RequestCrashCase):
    """Fails if resets of engines that live on get a request refused."""

    async def test_a_request_whose_connections_were_reset_is_served(self):
        for daemon in self.fleet * 2:
            self.set_fault(Fault.RESET_IN_STREAM)
            await self.send(daemon, b"sound")
            self.set_fault(Fault.NONE)
            await asyncio.gather(
                *(self.send(other, b"other") for other in self.fleet)
            )
        for daemon in self.fleet:
            response = await self.send(daemon, b"sound")
            self.assertEqual(response.head.status, 200)

    async def test_an_engine_that_falls_silent_is_not_counted_as_ended(self):
        """The stall timeout cuts its stream off; the engine lives on."""
        self.set_fault(Fault.HANG_IN_STREAM)
        task = self.loop.create_task(self.send(self.daemon, b"s", "/stream/x"))
        await self.wait_until(self.executed_requests)
        for engine in self.engines:
            if not engine.executed_requests:
                engine.fault = Fault.NONE
        response = await task
        self.assertEqual(response.head.status, 200)
        self.assertEqual(response.body.count(b"id: "), 3)
        await self.wait_until(
            lambda: self.daemon.events(events.Event.ENGINE_LOST)
        )
        (lost,) = self.daemon.events(events.Event.ENGINE_LOST)
        self.assertEqual(lost["evidence"], "engine_accepted")
        self.assertFalse(lost["counted"])


class CallCrashTest(RequestCrashCase):
    """Fails if crashes under calls to plain services are not counted."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(2, 8):
            server = await self.add_engine(
                f"l-{number}", platform_case.PLAIN_SERVICE
            )
            server.deadly_bodies = frozenset({DEADLY})
            server.on_restart = lambda s=server: self.register_server(
                s, platform_case.PLAIN_SERVICE, born=1 + s.crashes
            )
            self.plain_servers.append(server)

    async def test_a_call_that_crashes_servers_is_refused(self):
        await self.crash_engines("/safe/x", rounds=10)
        self.assertLessEqual(self.crashes, MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
