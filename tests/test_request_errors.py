"""Tests exceptions that no code expects while a request is handled."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
import unittest.mock

import platform_case

from lavendershed.standin import platform_engine
from lavendershed.telemetry import events

STATUS_BY_PATH = {"/unsafe/x": 502, "/safe/x": 502, "/stream/x": 502}
PATHS = tuple(STATUS_BY_PATH)


class RequestErrorTest(platform_case.PlatformCase):
    """Guards against one request that ends all others of a daemon."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.context = self.daemon.parts.components.context
        for engine in self.engines:
            # Requests that are sound are in progress all the while.
            engine.events_per_stream = 30
            engine.event_interval_s = 0.02

    async def send(self, path, daemon=None):
        size = {"token_count": "1000,100"} if path == "/stream/x" else {}
        return await self.request(
            path, b"body", (daemon or self.daemon).caller_address, **size
        )

    @contextlib.contextmanager
    def raises(self, target, name):
        """Lets the next call of a method raise."""
        method = getattr(type(target), name)
        calls = []

        def fail_once(*args, **kwargs):
            calls.append(args)
            if len(calls) == 1:
                raise ArithmeticError("a bug")
            return method(*args, **kwargs)

        # Components have slots, so that the class is patched.
        with unittest.mock.patch.object(type(target), name, fail_once):
            yield

    async def assert_only_one_ends(self, target, name, statuses, place):
        """Sends sound streams, and one request of each kind that fails."""
        for path, status in statuses.items():
            with self.subTest(path=path):
                sound = [
                    self.loop.create_task(self.send("/stream/x"))
                    for _ in range(3)
                ]
                await self.wait_until(
                    lambda: sum(e.open_requests for e in self.engines) == 3
                )
                await asyncio.sleep(0.1)
                logged = len(self.daemon.events(events.Event.UNEXPECTED_ERROR))
                with self.raises(target, name):
                    response = await self.send(path)
                self.assertEqual(response.head.status, status)
                for answer in await asyncio.gather(*sound):
                    self.assertEqual(answer.body.count(b"id: "), 30)
                (error,) = self.daemon.events(events.Event.UNEXPECTED_ERROR)[
                    logged:
                ]
                self.assertEqual(error["place"], place)
                self.assertIn("a bug", error["detail"])
                self.assertTrue(error["trace"])
        await self.assert_nothing_is_held()

    async def assert_nothing_is_held(self):
        """Fails if connections, tasks or places are still taken."""
        await self.wait_until(
            lambda: (
                not any(
                    engine.open_requests
                    for engine in self.engines + self.plain_servers
                )
            )
        )
        # Load of a closed request counts until its predicted end.
        await self.wait_until(self.no_local_tasks)
        self.assertEqual(self.context.waiting_room.backlog("model"), 0.0)
        self.assertTrue(self.daemon.daemon.ready)

    def no_local_tasks(self):
        tracker = self.context.load_tracker
        tracker.expire(self.timers.now())
        return not tracker.local_tasks

    async def test_an_error_before_a_request_is_sent(self):
        """Nothing has run, and the status says so."""
        await self.assert_only_one_ends(
            self.context.caller_codec,
            "decode",
            dict.fromkeys(PATHS, 503),
            "admission",
        )

    async def test_an_error_after_a_request_is_sent(self):
        """The request may have run, so that no status may deny it."""
        await self.assert_only_one_ends(
            self.context.backend_codec, "decode", STATUS_BY_PATH, "request"
        )

    async def test_an_error_in_the_middle_of_a_stream(self):
        """The caller must not take what it has for a whole answer."""
        for engine in self.engines:
            engine.fault = platform_engine.EngineFault.NONE
        sound = self.loop.create_task(self.send("/stream/x"))
        broken = self.loop.create_task(self.send("/stream/x"))
        await asyncio.sleep(0.2)
        with self.raises(self.context.losses, "on_answer"):
            done, _ = await asyncio.wait(
                (sound, broken), return_when=asyncio.FIRST_COMPLETED
            )
        (first,) = done
        self.assertTrue(first.result().is_err())
        other = await (broken if first is sound else sound)
        self.assertEqual(other.body.count(b"id: "), 30)
        await self.assert_nothing_is_held()

    async def test_an_error_while_memory_is_reserved(self):
        sound = self.loop.create_task(self.send("/stream/x"))
        await asyncio.sleep(0.2)
        with self.raises(self.context.backend_codec, "decode"):
            response = await self.stream("400000,100")
        self.assertEqual(response.head.status, 502)
        self.assertEqual((await sound).head.status, 200)
        await self.wait_until(
            lambda: not any(engine.reservations for engine in self.engines)
        )
        await self.assert_nothing_is_held()

    async def test_an_error_behind_a_peer(self):
        self.register_server(self.engines[0], "another-service")
        cut_off = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(lambda: cut_off.parts.peers.live_peers)
        cut_off.links.refuse = True
        await self.send("/safe/x", cut_off)
        await self.wait_until(
            lambda: cut_off.parts.components.context.relay.is_cut_off
        )
        for path in PATHS:
            with self.subTest(path=path):
                with self.raises(self.context.backend_codec, "decode"):
                    response = await self.send(path, cut_off)
                self.assertEqual(response.head.status, 502)
                self.assertTrue(cut_off.daemon.ready)
        await self.assert_nothing_is_held()

    async def test_an_answer_of_the_store_that_raises_is_read_again(self):
        with self.raises(self.context.view, "on_configuration"):
            self.store.put("config", "main", platform_case.configuration(2))
            await self.wait_until(lambda: self.context.view.version == 2)
        (error,) = self.daemon.events(events.Event.UNEXPECTED_ERROR)
        self.assertEqual(error["place"], "store_configuration")
        self.assertTrue(self.daemon.daemon.ready)

    async def test_reports_go_on_after_one_that_cannot_be_encoded(self):
        reporter = self.daemon.parts.components.load_reporter
        loop_errors = []
        self.loop.set_exception_handler(lambda _, c: loop_errors.append(c))
        with self.raises(reporter, "_build_report"):
            await self.wait_until(lambda: loop_errors)
            before = reporter._reports_sent
            await self.wait_until(lambda: reporter._reports_sent > before)


if __name__ == "__main__":
    unittest.main()
