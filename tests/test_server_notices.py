"""Tests that engines which leave or pause by their answers get no new work."""

from __future__ import annotations

import asyncio
import unittest

import platform_case
import result

from lavendershed.forwarding import requests
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.telemetry import events
from lavendershed.transport import client

Fault = platform_engine.EngineFault

DAEMONS = 3
REQUEST_INTERVAL_S = 0.02
LOAD_S = 1.0
# Reports of news leave within 10 ms.
LEARNING_S = 1.0
PAUSE_S = 1.0
# Shorter than the target latencies.
SHORT_PAUSE_S = 0.15
LARGE_PROMPT = "400000,100"
# Enough that some would be placed at each of two engines.
RETRIED_STREAMS = 8
COMPLETE_BODY = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4)
)


class NoticeCase(platform_case.PlatformCase):
    """Has helpers for both manners of engines."""

    def view(self, daemon=None):
        return (daemon or self.daemon).parts.components.context.view

    def entry(self, engine, daemon=None):
        return self.view(daemon).directory.entry(engine.id)

    def knows_leaving(self, engine, daemon=None):
        entry = self.entry(engine, daemon)
        return entry is not None and self.view(daemon).notices.is_leaving(entry)

    async def send_until(self, condition, path="/safe/x"):
        """Sends calls until a condition holds."""
        async with asyncio.timeout(platform_case.TIMEOUT):
            while not condition():
                await self.request(path)

    async def load(self, daemons, seconds=LOAD_S):
        """Sends streams and calls to daemons in turn; returns responses."""
        ends_at = self.timers.now() + seconds
        tasks = []
        while self.timers.now() < ends_at:
            address = daemons[len(tasks) % len(daemons)].caller_address
            for sending in (
                self.stream(address=address),
                self.request("/unsafe/x", address=address),
            ):
                tasks.append(self.loop.create_task(sending))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*tasks)


class LeavingAnswerTest(NoticeCase):
    """Guards against work for an engine that says that it leaves (DRAIN)."""

    async def test_no_daemon_sends_it_work_while_the_store_is_away(self):
        """Its entry stays ready, and one daemon gets the first answer."""
        fleet = await self.start_fleet(DAEMONS)
        leaving = (self.engines[0], self.plain_servers[0])
        self.store.fault = platform_store.StoreFault.RESET
        self.store.wake_watches()
        for engine in leaving:
            engine.leaving = True
        loading = self.loop.create_task(self.load(fleet, LEARNING_S + LOAD_S))
        await asyncio.sleep(LEARNING_S)
        received = [len(engine.received_requests) for engine in leaving]
        for daemon in fleet:
            for engine in leaving:
                self.assertTrue(self.knows_leaving(engine, daemon))
                self.assertTrue(self.entry(engine, daemon).accepts_work)
        responses = await loading
        self.assertEqual({r.head.status for r in responses}, {200})
        self.assertEqual(
            [len(engine.received_requests) for engine in leaving], received
        )
        for response in responses:
            self.assertIsNone(response.head.header("server-leaving"))
        sources = {
            fields["source"]
            for daemon in fleet
            for fields in daemon.events(events.Event.SERVER_ANNOUNCED_LEAVING)
        }
        self.assertIn("answer", sources)
        self.assertLessEqual(sources, {"answer", "peer"})

    async def test_peers_know_before_they_send_anything(self):
        fleet = await self.start_fleet(DAEMONS)
        engine = self.plain_servers[0]
        engine.leaving = True
        await self.send_until(lambda: self.knows_leaving(engine))
        for daemon in fleet[1:]:
            await self.wait_until(
                lambda daemon=daemon: self.knows_leaving(engine, daemon)
            )
            news = daemon.events(events.Event.SERVER_ANNOUNCED_LEAVING)
            self.assertEqual(
                [fields["peer"] for fields in news],
                [str(self.daemon.peer_address)],
            )

    async def test_running_streams_go_on_to_their_end(self):
        for engine in self.engines:
            engine.event_interval_s = 0.2
        running = [self.loop.create_task(self.stream()) for _ in range(4)]
        await self.wait_until(
            lambda: sum(e.open_requests for e in self.engines) == len(running)
        )
        leaving = max(self.engines, key=lambda engine: engine.open_requests)
        received = len(leaving.received_requests)
        self.view().notices.on_answer(
            self.entry(leaving), requests.ServerNotices(leaving=True)
        )
        for response in await asyncio.gather(*running):
            self.assertEqual(response.body, COMPLETE_BODY)
        self.assertEqual(len(leaving.received_requests), received)
        self.assertFalse(self.daemon.events(events.Event.STREAM_RESUMED))

    async def test_a_new_incarnation_is_used_and_an_old_entry_is_not(self):
        engine, other = self.plain_servers
        engine.leaving = True
        await self.send_until(lambda: self.knows_leaving(engine))
        received = len(engine.received_requests)
        # The old entry is removed and written again.
        self.store.delete("servers", engine.id)
        await self.wait_until(lambda: self.entry(engine) is None)
        self.register_server(engine, platform_case.PLAIN_SERVICE)
        await self.wait_until(lambda: self.entry(engine) is not None)
        for _ in range(6):
            await self.request("/safe/x")
        self.assertEqual(len(engine.received_requests), received)
        engine.leaving = False
        self.register_server(engine, platform_case.PLAIN_SERVICE, born=2)
        await self.wait_until(lambda: self.entry(engine).incarnation == 2)
        self.store.delete("servers", other.id)
        await self.wait_until(lambda: self.entry(other) is None)
        response = await self.request("/safe/x")
        self.assertEqual(response.head.status, 200)

    async def test_it_helps_with_no_prompt_and_reserves_no_memory(self):
        self.engines.append(await self.add_engine("e-2"))
        await self.wait_until(lambda: self.entry(self.engines[2]) is not None)
        leaving = self.engines[0]
        leaving.leaving = True
        while not self.knows_leaving(leaving):
            await self.stream(token_count=LARGE_PROMPT, deadline_ms="9000")
        await self.wait_until(
            lambda: not any(e.reservations for e in self.engines)
        )
        orders = len(leaving.orders)
        for _ in range(3):
            response = await self.stream(
                token_count=LARGE_PROMPT, deadline_ms="9000"
            )
            self.assertEqual(response.body, COMPLETE_BODY)
        self.assertEqual(len(leaving.orders), orders)
        for engine in self.engines[1:]:
            for request in engine.received_requests[-2:]:
                self.assertNotIn(
                    str(leaving.address), request.headers.get("helpers", "")
                )

    async def test_retries_and_resumed_streams_go_elsewhere(self):
        """It refuses or breaks off what it gets, beside saying so."""
        engine, other = self.engines
        engine.leaving = True
        for fault in (Fault.SHED, Fault.RESET_IN_STREAM):
            with self.subTest(fault=fault):
                engine.fault = fault
                born = 10 + len(fault.value)
                self.register_server(engine, born=born)
                await self.wait_until(
                    lambda born=born: self.entry(engine).incarnation == born
                )
                received = len(engine.received_requests)
                while not self.knows_leaving(engine):
                    response = await self.stream()
                    self.assertEqual(response.body, COMPLETE_BODY)
                for response in await asyncio.gather(
                    *(self.stream() for _ in range(RETRIED_STREAMS))
                ):
                    self.assertEqual(response.body, COMPLETE_BODY)
                self.assertEqual(len(engine.received_requests), received + 1)
        self.assertTrue(other.executed_requests)

    async def test_an_answer_to_another_request_is_not_believed(self):
        engine = self.plain_servers[0]
        engine.leaving = True
        engine.fault = Fault.WRONG_REQUEST_ID
        await self.send_until(lambda: engine.received_requests)
        self.assertFalse(self.knows_leaving(engine))


class PauseTest(NoticeCase):
    """Guards against requests to an engine that has asked for none (BUDGET)."""

    def ask_for_pause(self, engines, value):
        for engine in engines:
            engine.fault = Fault.SHED
            engine.retry_after = value

    def stop_refusing(self, engines):
        for engine in engines:
            engine.fault = Fault.NONE

    async def test_it_gets_nothing_until_the_pause_ends(self):
        for engine, send in (
            (self.plain_servers[0], lambda: self.request("/safe/x")),
            (self.engines[0], self.stream),
        ):
            with self.subTest(engine=engine.id):
                self.ask_for_pause((engine,), str(PAUSE_S))
                while not engine.received_requests:
                    self.assertEqual((await send()).head.status, 200)
                self.stop_refusing((engine,))
                refused_at = engine.received_requests[0].arrived_at
                ends_at = refused_at + PAUSE_S
                while self.timers.now() < ends_at + 0.5:
                    self.assertEqual((await send()).head.status, 200)
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                later = [r.arrived_at for r in engine.received_requests[1:]]
                self.assertTrue(later)
                self.assertGreaterEqual(min(later), ends_at)

    async def test_a_pause_is_a_matter_of_one_daemon(self):
        other = await self.start_daemon((self.daemon.peer_address,))
        engine, sound = self.plain_servers
        self.ask_for_pause((engine,), "60")
        await self.send_until(lambda: engine.received_requests)
        self.stop_refusing((engine,))
        self.store.delete("servers", sound.id)
        await self.wait_until(
            lambda: (
                self.entry(sound) is None and self.entry(sound, other) is None
            )
        )
        response = await self.request("/safe/x", address=other.caller_address)
        self.assertEqual(response.head.status, 200)
        response = await self.request("/safe/x")
        self.assertEqual(response.head.status, 503)

    async def test_if_all_pause_callers_are_told_the_first_end(self):
        """Guards against refusals that promise too early a return.

        Those who return at the times that they are told get their answers.
        """
        # A third of it, which callers follow, is less than the pause.
        deadline = "2000"
        for servers, send in (
            (
                self.plain_servers,
                lambda: self.request("/unsafe/x", deadline_ms=deadline),
            ),
            (self.engines, lambda: self.stream(deadline_ms=deadline)),
        ):
            with self.subTest(server=servers[0].id):
                self.ask_for_pause(servers, str(PAUSE_S))
                responses = [await send() for _ in range(4)]
                self.stop_refusing(servers)
                told = []
                for response in responses:
                    self.assertEqual(response.head.status, 503)
                    told.append(float(response.head.header("retry-after")))
                self.assertEqual(len(set(told)), len(told))
                refused_at = min(
                    s.received_requests[-1].arrived_at for s in servers
                )
                received = [len(s.received_requests) for s in servers]
                self.assertEqual(received, [1, 1])
                left = refused_at + PAUSE_S - self.timers.now()
                self.assertGreater(min(told), left - 0.05)
                await asyncio.sleep(min(told))
                self.assertEqual((await send()).head.status, 200)
                for server in servers:
                    for request in server.received_requests[1:]:
                        self.assertGreaterEqual(
                            request.arrived_at, refused_at + PAUSE_S
                        )

    async def test_a_request_that_connects_meanwhile_is_not_sent(self):
        """It was placed before the refusal of another one came."""
        engine, other = self.plain_servers
        self.store.delete("servers", other.id)
        await self.wait_until(lambda: self.entry(other) is None)
        self.ask_for_pause((engine,), "60")
        delays = iter((0.0, 0.3))

        async def connect(address, timeout):
            await asyncio.sleep(next(delays))
            return await client.connect(address, timeout)

        self.daemon.links.connect = connect
        responses = await asyncio.gather(
            *(self.request("/unsafe/x") for _ in range(2))
        )
        self.assertEqual([r.head.status for r in responses], [503, 503])
        self.assertEqual(len(engine.received_requests), 1)
        self.assertIsNone(next(delays, None))

    async def test_a_request_waits_for_a_short_pause(self):
        """A refusal would cost its caller more than the pause."""
        for servers, path in (
            (self.plain_servers, "/safe/x"),
            (self.engines, "/stream/x"),
        ):
            with self.subTest(path=path):
                self.ask_for_pause(servers, str(SHORT_PAUSE_S))
                fields = {"token_count": "1000,100", "model": "m"}
                refused = await self.request(path, b"x", **fields)
                self.assertEqual(refused.head.status, 503)
                self.stop_refusing(servers)
                response = await self.request(path, b"x", **fields)
                self.assertEqual(response.head.status, 200)

    async def test_a_pause_ends_with_the_incarnation(self):
        engine, other = self.plain_servers
        self.ask_for_pause((engine,), "60")
        await self.send_until(lambda: engine.received_requests)
        self.stop_refusing((engine,))
        self.register_server(engine, platform_case.PLAIN_SERVICE, born=2)
        self.store.delete("servers", other.id)
        await self.wait_until(
            lambda: (
                self.entry(other) is None
                and self.entry(engine).incarnation == 2
            )
        )
        self.assertEqual((await self.request("/safe/x")).head.status, 200)

    async def test_odd_pauses_are_bounded_and_logged(self):
        for number, (value, seconds) in enumerate(
            (
                ("-5", 1.0),
                ("Sun, 06 Dec 2026 21:00:00 GMT", 1.0),
                ("soon", 1.0),
                ("86400", 300.0),
            ),
            start=2,
        ):
            with self.subTest(value=value):
                engine = self.plain_servers[0]
                self.register_server(
                    engine, platform_case.PLAIN_SERVICE, born=number
                )
                await self.wait_until(
                    lambda n=number: (
                        self.entry(self.plain_servers[0]).incarnation == n
                    )
                )
                self.ask_for_pause((engine,), value)
                received = len(engine.received_requests)
                await self.send_until(
                    lambda n=received: (
                        len(self.plain_servers[0].received_requests) > n
                    )
                )
                rejected = self.daemon.events(
                    events.Event.SERVER_PAUSE_REJECTED
                )
                self.assertEqual(rejected[-1]["seconds"], seconds)
                self.assertEqual(len(rejected), number - 1)

    async def test_it_helps_with_no_prompt_and_reserves_no_memory(self):
        self.engines.append(await self.add_engine("e-2"))
        await self.wait_until(lambda: self.entry(self.engines[2]) is not None)
        paused = self.engines[0]
        self.ask_for_pause((paused,), "60")
        while not paused.received_requests:
            await self.stream()
        for _ in range(3):
            response = await self.stream(
                token_count=LARGE_PROMPT, deadline_ms="9000"
            )
            self.assertEqual(response.body, COMPLETE_BODY)
        self.assertEqual(paused.orders, [])
        self.assertEqual(len(paused.received_requests), 1)

    async def test_the_release_of_memory_waits_for_the_end_of_a_pause(self):
        """Memory is free in time in either case, and streams go on."""
        for engine in self.engines:
            engine.event_interval_s = 0.2
        running = self.loop.create_task(
            self.stream(token_count=LARGE_PROMPT, deadline_ms="9000")
        )
        await self.wait_until(self.executed_requests)
        asked_at = self.timers.now()
        for engine, pause in zip(self.engines, (PAUSE_S, 60.0), strict=True):
            self.view().notices.on_answer(
                self.entry(engine),
                requests.ServerNotices(pause=result.Ok(pause)),
            )
        self.assertEqual((await running).body, COMPLETE_BODY)
        self.assertEqual(self.releases(), [0, 0])
        await self.wait_until(lambda: self.releases() == [1, 0])
        self.assertGreaterEqual(self.timers.now(), asked_at + PAUSE_S)
        await self.wait_until(
            lambda: not any(e.reservations for e in self.engines)
        )
        self.assertEqual(self.releases(), [1, 0])

    def releases(self):
        """Returns the number of releases that each engine got."""
        return [
            sum(order["op"] == "release" for order in engine.orders)
            for engine in self.engines
        ]


if __name__ == "__main__":
    unittest.main()
