"""Tests requests whose servers' zone is evacuated, on a virtual clock."""

from __future__ import annotations

import asyncio
import unittest

import platform_case
import test_silence
import virtual_case

from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events

# Calls prefer the zone of the daemon, which is the first one.
EMPTIED, KEPT = "a", "b"
CONNECT_S = 0.1
# More than a request may use attempts.
TURNS = 6
# An engine has 315,000 tokens of memory.
HUGE_PROMPT = 600_000
PATHS = test_silence.PATHS


def endless_prefill(engine):
    """Returns a task that takes longer than any deadline."""
    end = units.Instant(asyncio.get_running_loop().time() + 100.0)
    return load_tracker.EngineTask(
        1,
        engine,
        forwarding_states.InferencePhase.PREFILL,
        100_000.0,
        end,
        end,
        1_000,
        1_000,
        units.Seconds(0.1),
        end,
        1.0,
    )


class World:
    """A daemon and servers in two zones, one of which is evacuated."""

    def __init__(self, engines=3):
        self.servers = [
            test_silence.PausingServer(f"{service}-{n}", service, number)
            for number, (service, n) in enumerate(
                (service, n)
                for service in (
                    platform_case.MODEL_SERVICE,
                    platform_case.PLAIN_SERVICE,
                )
                for n in range(2 * engines)
            )
        ]
        for number, server in enumerate(self.servers):
            server.zone = KEPT if number % 2 else EMPTIED
        self.daemon = virtual_case.VirtualDaemon(
            self.servers,
            test_silence.DRAFT,
            test_silence.DESK,
            test_silence.LOOKUP,
            test_silence.ORDER,
            evacuation_bound=units.Seconds(5.0),
        )
        self.connector = self.daemon.connector

    def use_zone(self, *zones):
        """Lists the servers of these zones only."""
        self.daemon.list_servers([s for s in self.servers if s.zone in zones])

    def arrivals(self, zone=EMPTIED):
        return [a for s in self.servers if s.zone == zone for a in s.arrivals]

    def start(self, path, number=1, prompt=1_000):
        """Returns the caller of a request, and its task."""
        caller = virtual_case.Caller()
        task = asyncio.create_task(
            test_silence.send(
                self.daemon, path, number, caller=caller, prompt=prompt
            )
        )
        return caller, task

    async def start_connecting(self, path, prompt=1_000):
        """Returns a request that was placed in the zone and is not sent."""
        self.use_zone(EMPTIED)
        self.connector.delay_s = CONNECT_S
        started = self.start(path, prompt=prompt)
        await asyncio.sleep(CONNECT_S / 2)
        self.use_zone(EMPTIED, KEPT)
        return started


class EvacuatedZoneTest(unittest.TestCase):
    """Guards against requests that reach a zone after its evacuation."""

    def test_new_work_goes_to_the_other_zones(self):
        """Also on connections that are open, and after it is taken back."""

        async def main():
            world = World()
            for number in range(20):
                await world.start(path, number)[1]
            known = len(world.arrivals())
            self.assertGreater(known, 0)
            world.daemon.evacuate(EMPTIED)
            for number in range(20):
                caller, task = world.start(path, number)
                await task
                self.assertTrue(test_silence.is_whole(path, caller))
            self.assertEqual(len(world.arrivals()), known)
            world.daemon.evacuate()
            for number in range(20):
                await world.start(path, number)[1]
            self.assertGreater(len(world.arrivals()), known)

        for path in PATHS:
            with self.subTest(path=path):
                virtual_case.run(main())

    def test_a_request_that_is_not_sent_yet_chooses_again(self):
        """It costs no attempt, and is no failure of the server.

        The zone is evacuated while the connection to its server opens. Prompts
        have prefill helpers there, or memory to reserve first.
        """

        async def main(path, prompt):
            world = World()
            caller, task = await world.start_connecting(path, prompt)
            world.daemon.evacuate(EMPTIED)
            await task
            self.assertTrue(test_silence.is_whole(path, caller))
            sent = [a for a in world.arrivals() if a[0] in PATHS]
            self.assertEqual(sent, [])
            failed = world.daemon.events(events.Event.ATTEMPT_FAILED)
            self.assertEqual([f["reason"] for f in failed], ["withdrawn"])
            self.assertEqual(
                world.daemon.events(events.Event.BACKEND_SERVER_EXCLUDED), []
            )

        for path in PATHS:
            for prompt in (1_000, 100_000, HUGE_PROMPT):
                if prompt > 1_000 and path not in test_silence.STREAMS:
                    continue
                with self.subTest(path=path, prompt=prompt):
                    virtual_case.run(main(path, prompt))

    def test_a_helper_is_checked_like_the_engine_that_answers(self):
        """Only the helpers of a prompt are in the zone."""

        async def main():
            world = World()
            for server in world.servers:
                server.zone = KEPT
            world.use_zone(KEPT)
            world.connector.delay_s = CONNECT_S
            caller, task = world.start(test_silence.STREAMS[0], prompt=100_000)
            await asyncio.sleep(CONNECT_S / 2)
            dispatched = world.daemon.events(events.Event.REQUEST_DISPATCHED)
            helpers = dispatched[0]["helpers"]
            self.assertTrue(helpers)
            for server in world.servers:
                server.zone = EMPTIED if server.id in helpers else KEPT
            world.use_zone(EMPTIED, KEPT)
            world.daemon.evacuate(EMPTIED)
            await task
            self.assertTrue(
                test_silence.is_whole(test_silence.STREAMS[0], caller)
            )
            failed = world.daemon.events(events.Event.ATTEMPT_FAILED)
            self.assertEqual([f["reason"] for f in failed], ["withdrawn"])

        virtual_case.run(main())

    def test_zones_that_are_evacuated_by_turns_use_up_no_attempt(self):
        async def main():
            world = World()
            caller, task = await world.start_connecting(path)
            for number in range(TURNS):
                world.daemon.evacuate(KEPT if number % 2 else EMPTIED)
                await asyncio.sleep(CONNECT_S)
            await task
            self.assertTrue(test_silence.is_whole(path, caller))
            failed = world.daemon.events(events.Event.ATTEMPT_FAILED)
            self.assertEqual(
                [f["reason"] for f in failed], TURNS * ["withdrawn"]
            )

        for path in PATHS:
            with self.subTest(path=path):
                virtual_case.run(main())

    def test_no_memory_is_reserved_in_an_evacuated_zone(self):
        """Memory that is held there is released."""

        async def main():
            world = World()
            _, task = await world.start_connecting(
                test_silence.STREAMS[0], HUGE_PROMPT
            )
            world.daemon.evacuate(EMPTIED)
            await asyncio.sleep(CONNECT_S)
            reserved = world.daemon.events(events.Event.RESERVATION_FAILED)
            self.assertEqual(len(reserved), 1)
            self.assertEqual(set(reserved[0]["answers"]), {"unknown"})
            await task

        virtual_case.run(main())

    def test_a_retry_goes_to_the_other_zones(self):
        """Its first server is lost together with the zone."""

        async def main():
            world = World()
            world.use_zone(EMPTIED)
            caller, task = world.start(path)
            await asyncio.sleep(0.5 * test_silence.INTERVAL_S)
            known = len(world.arrivals())
            world.use_zone(EMPTIED, KEPT)
            world.daemon.evacuate(EMPTIED)
            for server in world.servers:
                server.cut()
            await task
            self.assertTrue(test_silence.is_whole(path, caller))
            self.assertEqual(len(world.arrivals()), known)

        for path in test_silence.REPEATABLE:
            with self.subTest(path=path):
                virtual_case.run(main())

    def test_a_stream_that_runs_ends_by_itself(self):
        """Its tokens are made; to break it off would cost its caller."""

        async def main():
            world = World()
            world.use_zone(EMPTIED)
            path = test_silence.STREAMS[0]
            caller, task = world.start(path)
            await asyncio.sleep(5.5 * test_silence.INTERVAL_S)
            world.daemon.evacuate(EMPTIED)
            await task
            self.assertTrue(test_silence.is_whole(path, caller))
            self.assertEqual(
                world.daemon.events(events.Event.ATTEMPT_FAILED), []
            )

        virtual_case.run(main())

    def test_a_waiting_request_is_placed_outside(self):
        """Engines of the zone become free after its evacuation."""

        async def main():
            world = World()
            world.use_zone(EMPTIED)
            tracker = world.daemon.context.load_tracker
            tasks = [
                tracker.add(endless_prefill(server.id))
                for server in world.servers
                if server.zone == EMPTIED
            ]
            caller, task = world.start(test_silence.STREAMS[0])
            await asyncio.sleep(0.05)
            queued = world.daemon.events(events.Event.REQUEST_QUEUED)
            self.assertEqual(len(queued), 1)
            world.use_zone(EMPTIED, KEPT)
            world.daemon.evacuate(EMPTIED)
            for task_id in tasks:
                tracker.remove(task_id)
            await task
            self.assertTrue(
                test_silence.is_whole(test_silence.STREAMS[0], caller)
            )
            self.assertEqual(world.arrivals(), [])

        virtual_case.run(main())

    def test_a_request_without_another_zone_is_refused_at_once(self):
        """It has not run, and may return."""

        async def main():
            world = World()
            world.daemon.evacuate(EMPTIED, KEPT, "unknown")
            started_at = asyncio.get_running_loop().time()
            caller, task = world.start(path)
            await task
            self.assertEqual(caller.status, 503)
            self.assertGreater(float(caller.headers["retry-after"]), 0.0)
            waited = asyncio.get_running_loop().time() - started_at
            self.assertLess(waited, 0.1)
            world.daemon.evacuate(KEPT)
            caller, task = world.start(path, 2)
            await task
            self.assertTrue(test_silence.is_whole(path, caller))

        for path in PATHS:
            with self.subTest(path=path):
                virtual_case.run(main())


if __name__ == "__main__":
    unittest.main()
