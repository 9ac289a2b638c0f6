"""Tests that engines get no more requests than they have asked for."""

from __future__ import annotations

import asyncio
import unittest

import platform_case

from lavendershed.standin import platform_engine
from lavendershed.telemetry import events

DAEMONS = 3
LIMIT = 1.0
# Window in which the requests of all daemons at an engine are counted, and how
# many an engine may get in it at most.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5
# Time in which all daemons have to know of a limit.
LEARNING_S = 3.0
REQUEST_INTERVAL_S = 0.05
SETTLING_S = 2.0
REFUSED_REQUESTS = 3


def entry_count(daemon):
    """Returns the number of servers that a daemon knows."""
    return len(daemon.parts.components.context.view.directory.entries)


class EngineLimitTest(platform_case.PlatformCase):
    """Starts three daemons that send to engines with and without a limit."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engines.append(await self.add_engine("e-2"))
        self.fleet = [self.daemon]
        for _ in range(DAEMONS - 1):
            self.fleet.append(
                await self.start_daemon((self.daemon.peer_address,))
            )
        await self.wait_until(
            lambda: all(
                daemon.parts.peers.fleet_size == DAEMONS
                and entry_count(daemon)
                == len(self.engines) + len(self.plain_servers)
                for daemon in self.fleet
            )
        )

    async def send_requests(self, seconds, daemons=None):
        """Sends streams to daemons in turn; returns the responses."""
        daemons = daemons or self.fleet
        ends_at = self.timers.now() + seconds
        tasks = []
        while self.timers.now() < ends_at:
            address = daemons[len(tasks) % len(daemons)].caller_address
            tasks.append(
                self.loop.create_task(
                    self.request(
                        "/stream/x",
                        b"prompt",
                        address,
                        token_count="1000,100",
                        model="m",
                    )
                )
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*tasks)

    def most_in_window(self, engine, since):
        """Returns the most requests that an engine got in a window."""
        times = [
            request.arrived_at
            for request in engine.received_requests
            if request.arrived_at >= since
        ]
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )

    async def test_a_limited_engine_gets_no_more_than_its_limit(self):
        """All daemons together have to keep to it, and nobody is refused."""
        limited = self.engines[:2]
        for engine in limited:
            engine.request_limit = str(LIMIT)
        since = self.timers.now() + LEARNING_S
        responses = await self.send_requests(LEARNING_S + WINDOW_S + 1.0)
        for engine in limited:
            self.assertLessEqual(
                self.most_in_window(engine, since), MAX_IN_WINDOW
            )
        self.assertEqual({r.head.status for r in responses}, {200})

    async def test_an_engine_that_refuses_is_not_asked_at_once_again(self):
        """Guards against retries at the only engine without a limit.

        Retries of all daemons are limited, and the engine is full already.
        """
        sound, *limited = self.engines
        for engine in limited:
            engine.request_limit = "0.1"
        context = self.daemon.parts.components.context

        def knows_limits():
            return all(
                context.limit_observer.limit(entry) is not None
                for entry in context.view.directory.entries
                if entry.id in {engine.id for engine in limited}
            )

        while not knows_limits():
            await self.stream()
        sound.fault = platform_engine.EngineFault.SHED
        for _ in range(REFUSED_REQUESTS):
            received = len(sound.received_requests)
            response = await self.stream()
            self.assertEqual(response.head.status, 503)
            self.assertLessEqual(len(sound.received_requests) - received, 1)

    async def test_a_decision_logs_the_limit_and_its_age(self):
        """Without it, an unknown limit can't be told from a broken one."""
        for engine in self.engines:
            engine.request_limit = "50"
        # A daemon issues no permits in its first seconds.
        await asyncio.sleep(SETTLING_S)
        await self.stream()
        named = self.daemon.events(events.Event.ENGINE_LIMIT_NAMED)
        self.assertEqual([fields["limit"] for fields in named], [50.0])
        for engine in self.engines:
            engine.request_limit = None
            if engine.id != named[0]["server"]:
                self.store.delete("servers", engine.id)
        await self.wait_until(
            lambda: entry_count(self.daemon) == 1 + len(self.plain_servers)
        )
        await self.stream()
        dispatched = self.daemon.events(events.Event.REQUEST_DISPATCHED)[-1]
        self.assertEqual(dispatched["limit"], 50.0)
        self.assertGreaterEqual(dispatched["limit_age_ms"], 0)
        ended = self.daemon.events(events.Event.ENGINE_LIMIT_ENDED)
        self.assertEqual([fields["previous"] for fields in ended], [50.0])


if __name__ == "__main__":
    unittest.main()
