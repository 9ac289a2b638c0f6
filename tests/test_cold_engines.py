"""Tests a fleet of daemons before cold engines, on a virtual clock.

Engines that come back after a failure are cold for some seconds: more requests
a second than they take crash them, and they come back cold again. A backlog
that has built up meanwhile would be placed on them at once.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest

import platform_case
import test_silence
import virtual_case

from lavendershed.core import addresses
from lavendershed.telemetry import events

DAEMONS = 4
ENGINES = 6
COLD_S = 3.0
COLD_PER_S = 6.0
# Bound of the operator: factor 1.5, 5 requests more.
MAX_IN_ONE_SECOND = COLD_PER_S * 1.5 + 5
BACKLOG = 150
# Daemons know each other, and issue permits, after this time.
SETTLING_S = 2.0
MESSAGE_S = 0.001


class CountingEngine(test_silence.PausingServer):
    """Records when requests arrive."""

    def __init__(self, number):
        super().__init__(f"e-{number}", platform_case.MODEL_SERVICE, number)
        self.times = []

    async def answer(self, writer, target, fields):
        self.times.append(asyncio.get_running_loop().time())
        await super().answer(writer, target, fields)

    @property
    def most_in_one_second(self):
        return max(
            (sum(s <= at < s + 1.0 for at in self.times) for s in self.times),
            default=0,
        )


class Fleet:
    """Daemons that know each other and ask each other for permits."""

    def __init__(self, cold_per_s=COLD_PER_S):
        self.engines = [CountingEngine(number) for number in range(ENGINES)]
        self.messages = 0
        self.daemons = {}
        self._numbers = itertools.count()
        for number in range(DAEMONS):
            address = addresses.Address(f"10.1.0.{number}", 7_000)
            daemon = virtual_case.VirtualDaemon(
                self.engines, seed=number, address=address
            )
            daemon.configure(
                platform_case.configuration(
                    1,
                    test_silence.DESK,
                    cold_start_s=COLD_S,
                    cold_per_s=cold_per_s,
                )
            )
            daemon.context.permits.start(
                lambda data, targets, source=address: self._deliver(
                    source, data, targets
                )
            )
            self.daemons[address] = daemon
        for daemon in self.daemons.values():
            for other in self.daemons.values():
                if other is not daemon:
                    daemon.hear_of(other)

    def _deliver(self, source, data, targets):
        loop = asyncio.get_running_loop()
        for target in targets:
            self.messages += 1
            loop.call_later(
                MESSAGE_S,
                lambda t=target: self.daemons[t].context.permits.on_datagram(
                    data, source, loop.time()
                ),
            )

    def list_engines(self):
        for daemon in self.daemons.values():
            daemon.list_servers(self.engines)

    async def return_cold(self, engines):
        """Lets engines come back cold."""
        self.list_engines()
        await asyncio.sleep(SETTLING_S)
        for engine in engines:
            engine.incarnation += 1
            engine.cold_remaining_ms = round(COLD_S * 1_000)
        self.list_engines()

    def send(self, count, interval_s=0.0):
        """Sends streams to the daemons in turn; returns the callers."""
        daemons = list(self.daemons.values())
        numbers = [next(self._numbers) for _ in range(count)]
        return asyncio.gather(
            *(
                test_silence.send(
                    daemons[number % DAEMONS],
                    "/desk/x",
                    number,
                    at=index * interval_s,
                )
                for index, number in enumerate(numbers)
            )
        )


class ColdEngineTest(unittest.TestCase):
    """Guards against engines that crash again as soon as they are back."""

    def test_a_backlog_meets_engines_that_are_all_cold(self):
        async def play():
            fleet = Fleet()
            await fleet.return_cold(fleet.engines)
            return fleet, await fleet.send(BACKLOG)

        fleet, callers = virtual_case.run(play())
        for engine in fleet.engines:
            self.assertLessEqual(engine.most_in_one_second, MAX_IN_ONE_SECOND)
        statuses = [caller.status for caller in callers]
        self.assertEqual(set(statuses), {200, 503})
        self.assertGreaterEqual(statuses.count(200), 2 * ENGINES)
        for caller in callers:
            if caller.status == 503:
                self.assertIn("retry-after", caller.headers)

    def test_no_second_of_a_long_burst_has_too_many(self):
        """Also around the moment at which the engines are warm."""

        async def play():
            fleet = Fleet()
            await fleet.return_cold(fleet.engines)
            warm_at = asyncio.get_running_loop().time() + COLD_S
            callers = await fleet.send(400, 0.0125)
            for engine in fleet.engines:
                engine.times = [at for at in engine.times if at < warm_at]
            return fleet, callers

        fleet, callers = virtual_case.run(play())
        for engine in fleet.engines:
            self.assertLessEqual(engine.most_in_one_second, MAX_IN_ONE_SECOND)
            self.assertGreater(len(engine.times), COLD_PER_S)
        self.assertGreater(sum(c.status == 200 for c in callers), 50)

    def test_warm_engines_are_used_first(self):
        """A cold engine costs a message for each request, and is slow."""

        async def play():
            fleet = Fleet()
            cold = fleet.engines[2:]
            await fleet.return_cold(cold)
            return fleet, cold, await fleet.send(60, 0.03)

        fleet, cold, callers = virtual_case.run(play())
        self.assertEqual({caller.status for caller in callers}, {200})
        self.assertEqual(fleet.messages, 0)
        self.assertFalse(any(engine.times for engine in cold))
        daemon = next(iter(fleet.daemons.values()))
        self.assertEqual(
            len(daemon.events(events.Event.ENGINE_COLD)), len(cold)
        )

    def test_a_service_without_a_cold_rate_needs_no_permits(self):
        async def play():
            fleet = Fleet(cold_per_s=0.0)
            await fleet.return_cold(fleet.engines)
            return fleet, await fleet.send(30, 0.1)

        fleet, callers = virtual_case.run(play())
        self.assertEqual({caller.status for caller in callers}, {200})
        self.assertEqual(fleet.messages, 0)


if __name__ == "__main__":
    unittest.main()
