"""Tests begun streams that find no engine for their rest, on a virtual clock.

Guards against streams that are cut although their callers wait.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import unittest

import platform_case
import test_silence
import virtual_case

from lavendershed.admission import waiting_request
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import context
from lavendershed.forwarding import relayed_requests
from lavendershed.forwarding import waiting_room
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events
from lavendershed.transport import client
from lavendershed.transport import handlers

PATH = "/desk/x"
DEADLINE_S = float(test_silence.TIMEOUT_MS) / 1_000
# A daemon issues no permits before.
SETTLING_S = 2.0
# The events that a stream has when it loses its engine.
BEGUN_S = 5.5 * test_silence.INTERVAL_S
# Far beyond the target latency of the route, and its gap.
OUTAGE_S = 5.0
# From the return of engines to the first event: a recheck and an event.
RESUME_S = 0.5 + 2 * test_silence.INTERVAL_S
LIMITED_HEAD = client.ResponseHead(200, (("server-limit", "0.01"),))
FREE_HEAD = client.ResponseHead(200, ())


class World:
    """A daemon and engines that can all become unusable."""

    def __init__(self):
        self.daemon, servers = test_silence.new_world()
        self.engines = servers[: test_silence.ENGINES]
        self.context = self.daemon.context
        self.loop = asyncio.get_running_loop()

    @contextlib.asynccontextmanager
    async def leaving(self):
        """The engines are listed as leaving."""
        self.daemon.list_servers(self.engines, "draining")
        yield
        self.daemon.list_servers(self.engines)

    @contextlib.asynccontextmanager
    async def replaced(self):
        """The engines are not listed."""
        self.daemon.list_servers(self.engines, "draining")
        self.daemon.list_servers(())
        yield
        self.daemon.list_servers(self.engines)

    @contextlib.asynccontextmanager
    async def limited(self):
        """All permits of the engines are taken."""
        entries = self.context.view.directory.entries
        observe = self.context.limit_observer.on_answer
        for entry in entries:
            observe(entry, LIMITED_HEAD, self.loop.time())
        for _ in range(4):
            await self.context.permits.acquire(entries)
        yield
        for entry in entries:
            observe(entry, FREE_HEAD, self.loop.time())

    @contextlib.asynccontextmanager
    async def full(self):
        """The engines have prompts that take longer than any deadline."""
        tasks = [self.add_task(engine, 100.0) for engine in self.engines]
        yield
        for task in tasks:
            self.context.load_tracker.remove(task)

    def add_task(self, engine, seconds):
        """Adds a prompt to the load of an engine; returns its id."""
        end = units.Instant(self.loop.time() + seconds)
        return self.context.load_tracker.add(
            load_tracker.EngineTask(
                1,
                engine.id,
                forwarding_states.InferencePhase.PREFILL,
                1_000.0 * seconds,
                end,
                end,
                1_000,
                1_000,
                units.Seconds(0.1),
                end,
                1.0,
            )
        )

    @contextlib.asynccontextmanager
    async def unreachable(self):
        """The engines refuse connections."""
        known = self.daemon.connector.servers
        kept = dict(known)
        known.clear()
        yield
        known.update(kept)

    @contextlib.asynccontextmanager
    async def no_retries(self):
        """The daemons have used up their retries."""
        budget = self.context.retry_budget
        budget.set_limits(
            dataclasses.replace(virtual_case.BUDGET, slack=0.0, ratio=0.0)
        )
        yield
        budget.set_limits(virtual_case.BUDGET)

    async def begin(self, count=1, prompt=1_000):
        """Returns callers that have events, and their requests."""
        await asyncio.sleep(SETTLING_S)
        callers = [virtual_case.Caller() for _ in range(count)]
        sending = [
            asyncio.create_task(
                test_silence.send(
                    self.daemon, PATH, number, caller=caller, prompt=prompt
                )
            )
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(BEGUN_S)
        assert all(caller.event_times for caller in callers)
        return callers, sending

    def relay(self, last_event_id, caller):
        """Runs the rest of a stream for another daemon, as a task."""
        request = self.context.caller_codec.decode(
            handlers.ServerRequest(
                "POST",
                PATH,
                "",
                (
                    ("host", platform_case.HOST),
                    ("attempt-id", "id-1"),
                    ("token-count", "1000,100"),
                ),
                b"body",
                PATH,
            )
        ).ok_value
        now = self.loop.time()
        routes = self.context.view.table
        admitted = context.AdmittedRequest(
            request,
            routes.route(request.host, request.path),
            routes.service(platform_case.MODEL_SERVICE),
            None,
            1,
            ids.Fingerprint(1),
            units.Instant(now - 2.0),
            units.Instant(now + DEADLINE_S),
        )
        encoded = relayed_requests.encode(
            admitted, last_event_id, 2, now, begun=True
        )
        decoded = relayed_requests.decode(encoded, routes, now)
        return asyncio.create_task(
            self.daemon.gateway.execute_relayed(decoded.ok_value, caller)
        )

    def cut(self):
        """Resets the connections of all streams."""
        for engine in self.engines:
            engine.cut()

    @property
    def rest(self):
        """What streams hold in the daemon."""
        context = self.context
        service = platform_case.MODEL_SERVICE
        return {
            "waiting": context.waiting_room.backlog(service),
            "load": len(context.load_tracker.local_tasks),
            "buffers": context.response_buffers.used,
            "engines": sum(engine.open for engine in self.engines),
        }


OUTAGES = (
    World.leaving,
    World.replaced,
    World.limited,
    World.full,
    World.unreachable,
    World.no_retries,
)


class StreamsWithoutEnginesTest(unittest.TestCase):
    """Fails if a begun stream ends before its caller does."""

    def for_each_outage(self, play, outages=OUTAGES):
        for outage in outages:
            with self.subTest(outage=outage.__name__):

                async def run(outage=outage):
                    await play(World(), outage)

                virtual_case.run(run())

    def assert_incomplete(self, caller):
        """Its connection is aborted after whole events, without an end."""
        self.assertTrue(caller.aborted)
        self.assertFalse(caller.complete)
        self.assertTrue(test_silence.WHOLE.startswith(caller.body))

    async def assert_nothing_left(self, world):
        # Engines finish the iteration in which a prefill was cancelled.
        await asyncio.sleep(4.0)
        self.assertFalse(any(world.rest.values()), world.rest)

    def test_streams_go_on_when_engines_return(self):
        async def play(world, outage):
            callers, sending = await world.begin(3)
            async with outage(world):
                world.cut()
                await asyncio.sleep(OUTAGE_S)
                failed = world.daemon.events(events.Event.REQUEST_FAILED)
                self.assertEqual([f["detail"] for f in failed], [])
            returned_at = world.loop.time()
            await asyncio.gather(*sending)
            for caller in callers:
                self.assertTrue(test_silence.is_whole(PATH, caller))
                resumed_at = min(
                    t for t in caller.event_times if t > returned_at
                )
                self.assertLess(resumed_at - returned_at, RESUME_S)
            await self.assert_nothing_left(world)

        self.for_each_outage(play)

    def test_streams_without_engines_end_with_their_deadline(self):
        """Their work until then is bounded, and nothing of them is left."""

        async def play(world, outage):
            began = world.loop.time() + SETTLING_S
            callers, sending = await world.begin(20)
            async with outage(world):
                world.cut()
                await asyncio.sleep(0.5)
                turns = world.loop.selector.turns
                await asyncio.gather(*sending)
                turns = world.loop.selector.turns - turns
                self.assertAlmostEqual(
                    world.loop.time() - began, DEADLINE_S, delta=0.1
                )
                for caller in callers:
                    self.assert_incomplete(caller)
                failed = world.daemon.events(events.Event.REQUEST_FAILED)
                self.assertEqual(len(failed), len(callers))
                self.assertEqual(
                    {fields["reason"] for fields in failed},
                    {"deadline_exceeded"},
                )
                # Two rechecks a second of each stream.
                rechecks = world.daemon.events(events.Event.REQUEST_QUEUED)
                limit = 2.1 * DEADLINE_S * len(callers)
                self.assertLess(len(rechecks), limit)
                self.assertLess(turns, limit)
            await self.assert_nothing_left(world)

        self.for_each_outage(play)

    def test_streams_without_engines_end_with_their_callers(self):
        async def play(world, outage):
            callers, sending = await world.begin(3)
            async with outage(world):
                world.cut()
                await asyncio.sleep(3.0)
                for caller in callers:
                    caller.leave()
                await asyncio.gather(*sending)
            await self.assert_nothing_left(world)
            self.assertFalse(any(caller.complete for caller in callers))

        self.for_each_outage(play)

    def test_requests_that_have_not_begun_are_refused_in_time(self):
        """Also those that come while begun streams wait."""

        async def play(world, outage):
            _, sending = await world.begin(3)
            async with outage(world):
                world.cut()
                await asyncio.sleep(1.0)
                sent_at = world.loop.time()
                caller = await test_silence.send(world.daemon, PATH, 10)
                self.assertEqual(caller.status, 503)
                self.assertLess(world.loop.time() - sent_at, 1.0)
            await asyncio.gather(*sending)
            caller = await test_silence.send(world.daemon, PATH, 11)
            self.assertTrue(test_silence.is_whole(PATH, caller))

        # A first attempt needs no retry.
        self.for_each_outage(play, OUTAGES[:-1])

    def test_the_rest_of_a_stream_waits_at_another_daemon(self):
        """Its first daemon can't reach the engines, and has sent events."""

        async def play(world, outage):
            await asyncio.sleep(SETTLING_S)
            caller = virtual_case.Caller()
            async with outage(world):
                waiting = world.relay(5, caller)
                await asyncio.sleep(OUTAGE_S)
                self.assertEqual((caller.status, caller.body), (None, b""))
            await waiting
            self.assertTrue(test_silence.WHOLE.endswith(caller.body))
            self.assertTrue(caller.body.startswith(b"id: 6\n"))
            self.assertTrue(caller.complete)
            await self.assert_nothing_left(world)

        # Engines that refuse connections make this daemon one that is cut off.
        self.for_each_outage(play, OUTAGES[:4])

    def test_a_stop_ends_the_wait_for_another_daemon(self):
        """The first daemon can have a third one go on."""

        async def play(world, outage):
            await asyncio.sleep(SETTLING_S)
            caller = virtual_case.Caller()
            async with outage(world):
                waiting = world.relay(5, caller)
                await asyncio.sleep(1.0)
                world.daemon.gateway.set_stop_deadline(
                    units.Instant(world.loop.time() + 8.0)
                )
                await asyncio.wait_for(waiting, 0.1)
            self.assertEqual(caller.status, 503)
            await self.assert_nothing_left(world)

        self.for_each_outage(play, OUTAGES[:4])

    def test_a_stream_that_waits_holds_no_part_of_an_event(self):
        """Guards against memory of broken attempts, kept for other streams."""

        async def play(world, outage):
            for engine in world.engines:
                engine.part = b"data: " + b"x" * 500_000
            _, sending = await world.begin(3)
            self.assertGreater(world.rest["buffers"], 1_000_000)
            async with outage(world):
                world.cut()
                await asyncio.sleep(1.0)
                self.assertEqual(world.rest["buffers"], 0)
                self.assertFalse(any(task.done() for task in sending))
            for task in sending:
                task.cancel()

        self.for_each_outage(play)

    def test_engines_without_memory_are_asked_twice_a_second(self):
        """Guards against an order for each request that ends meanwhile."""

        async def play():
            world = World()
            callers, sending = await world.begin(3, prompt=330_000)
            for engine in world.engines:
                engine.has_memory = False
            world.cut()
            ends_at = world.loop.time() + OUTAGE_S
            while world.loop.time() < ends_at:
                task = world.add_task(world.engines[0], 0.1)
                await asyncio.sleep(0.03)
                world.context.load_tracker.remove(task)
            asked = world.daemon.events(events.Event.RESERVATION_FAILED)
            for engine in world.engines:
                engine.has_memory = True
            await asyncio.gather(*sending)
            for caller in callers:
                self.assertTrue(test_silence.is_whole(PATH, caller))
            self.assertLess(len(asked), 2.5 * OUTAGE_S * len(callers))
            await self.assert_nothing_left(world)

        virtual_case.run(play())

    def test_a_full_waiting_room_keeps_begun_streams(self):
        """Requests that have not begun are turned away instead."""
        now = units.Instant(1_000.0)
        begun = waiting_request.WaitingRequest(
            ids.RequestId("begun"),
            None,
            1.0,
            units.Seconds(1.0),
            units.Seconds(0.1),
            received_at=now,
            due_at=now,
            deadline=units.after(now, units.Seconds(9.0)),
            size=units.Bytes(20_000_000),
            event_gap=units.Seconds(0.1),
        )
        new = dataclasses.replace(
            begun, id=ids.RequestId("new"), event_gap=None
        )

        async def play():
            room = World().context.waiting_room
            service = ids.ServiceId(platform_case.MODEL_SERVICE)
            return await asyncio.gather(
                *(
                    room.wait(service, each, committed=each.has_begun)
                    for each in (begun, new)
                )
            )

        self.assertEqual(
            virtual_case.run(play()),
            [
                waiting_room.WaitOutcome.CAPACITY_CHANGED,
                waiting_room.WaitOutcome.DROPPED,
            ],
        )

    def test_a_stop_lets_begun_streams_wait(self):
        async def play(world, outage):
            callers, sending = await world.begin(3)
            async with outage(world):
                world.cut()
                world.daemon.gateway.set_stop_deadline(
                    units.Instant(world.loop.time() + 8.0)
                )
                await asyncio.sleep(3.0)
            await asyncio.gather(*sending)
            for caller in callers:
                self.assertTrue(test_silence.is_whole(PATH, caller))

        self.for_each_outage(play)


if __name__ == "__main__":
    unittest.main()
