"""Tests servers that fall silent and go on, on a virtual clock."""

from __future__ import annotations

import asyncio
import itertools
import unittest

import hypothesis
from hypothesis import strategies
import platform_case
import virtual_case

from lavendershed.telemetry import events

ENGINES = 4
PLAIN_SERVERS = 2
EVENTS = 20
INTERVAL_S = 0.06
# A sound server may be silent for this long, and goes on between two silences.
MAX_SILENCE_S = 1.5
MIN_ACTIVE_S = 0.3
TIMEOUT_MS = "9000"
# Callers leave after such a gap.
PATIENCE_S = 2.0
DRAFT = platform_case.route(
    "/draft/",
    "streaming",
    platform_case.MODEL_SERVICE,
    gap_target_ms=100,
    timeout_ms=30_000,
    target_latency_ms=300,
)
DESK = {**DRAFT, "name": "desk", "path_prefix": "/desk/", "resumable": True}
LOOKUP = platform_case.route(
    "/lookup/", "safe", platform_case.PLAIN_SERVICE, timeout_ms=9_000
)
ORDER = {**LOOKUP, "name": "order", "path_prefix": "/order/", "kind": "unsafe"}
PATHS = ("/desk/x", "/draft/x", "/lookup/x", "/order/x")
STREAMS = PATHS[:2]
REPEATABLE = frozenset({"/desk/x", "/lookup/x"})


class PausingServer(virtual_case.MemoryServer):
    """Answers requests, but sends nothing while it is silent.

    Attributes:
        silences: Start and end of each silence, in seconds of the test.
        dead_from: Time from which it sends nothing for ever.
        arrivals: Ids of the requests that it got.
        open: Requests in progress.
        has_memory: Whether it grants reservations of memory.
        part: What it sends of the event after the first five.
    """

    def __init__(self, name, service, number):
        super().__init__(name, service, number)
        self.silences = ()
        self.dead_from = None
        self.arrivals = []
        self.open = 0
        self.has_memory = True
        self.part = b""
        self.writers = set()
        self.started_at = asyncio.get_running_loop().time()

    async def pause(self):
        loop = asyncio.get_running_loop()
        now = loop.time() - self.started_at
        if self.dead_from is not None and now >= self.dead_from:
            await asyncio.Event().wait()
        for start, end in self.silences:
            if start <= now < end:
                await asyncio.sleep(end - now)
                now = end

    def cut(self):
        """Resets all connections."""
        for writer in self.writers:
            writer.reset()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        while True:
            _, target, fields, _ = await self.read_request(reader)
            self.arrivals.append((target, fields.get("attempt-id", "")))
            self.open += 1
            answering = asyncio.get_running_loop().create_task(
                self.answer(writer, target, fields)
            )
            leaving = asyncio.get_running_loop().create_task(reader.read(1))
            try:
                await asyncio.wait(
                    (answering, leaving),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if leaving.done():
                    return
            finally:
                self.open -= 1
                answering.cancel()
                leaving.cancel()
            await asyncio.wait((leaving,))

    async def answer(self, writer, target, fields):
        head = (
            f"HTTP/1.1 200 OK\r\nattempt-id: {fields.get('attempt-id', '')}\r\n"
            f"engine-seal: {self.id}\r\nkeep-alive: timeout=5\r\n"
        )
        if target not in PATHS:
            status = "200 OK" if self.has_memory else "409 Conflict"
            writer.write(
                f"HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n".encode()
            )
            return
        if target not in STREAMS:
            await asyncio.sleep(INTERVAL_S)
            await self.pause()
            body = b"answer"
            head += f"content-length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            return
        head += "transfer-encoding: chunked\r\n\r\n"
        first = int(fields.get("last-event-id", 0)) + 1
        data = head.encode()
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(INTERVAL_S)
            await self.pause()
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(data + b"%x\r\n%s\r\n" % (len(event), event))
            data = b""
            if self.part and number == first + 4:
                writer.write(b"%x\r\n%s\r\n" % (len(self.part), self.part))
            await writer.drain()
        writer.write(data + b"0\r\n\r\n")


WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 21))


def new_world(routes=(DRAFT, DESK, LOOKUP, ORDER), engines=ENGINES):
    """Returns a daemon with its engines and plain servers."""
    servers = [
        PausingServer(f"e-{n}", platform_case.MODEL_SERVICE, n)
        for n in range(engines)
    ] + [
        PausingServer(f"l-{n}", platform_case.PLAIN_SERVICE, 100 + n)
        for n in range(PLAIN_SERVERS)
    ]
    return virtual_case.VirtualDaemon(servers, *routes), servers


async def send(daemon, path, number, at=0.0, caller=None, prompt=1_000):
    """Sends a request `at` seconds from now; returns the caller."""
    await asyncio.sleep(at)
    fields = {"token_count": f"{prompt},100"} if path in STREAMS else {}
    return await daemon.request(
        path, number, caller, deadline_ms=TIMEOUT_MS, **fields
    )


def is_whole(path, caller):
    """Returns whether a caller has its whole answer, and nothing else."""
    expected = WHOLE if path in STREAMS else b"answer"
    return caller.complete and caller.status == 200 and caller.body == expected


silence_patterns = strategies.lists(
    strategies.lists(
        strategies.tuples(
            strategies.floats(MIN_ACTIVE_S, 2.0),
            strategies.floats(0.1, MAX_SILENCE_S),
        ),
        max_size=4,
    ),
    min_size=ENGINES + PLAIN_SERVERS,
    max_size=ENGINES + PLAIN_SERVERS,
)
request_times = strategies.lists(
    strategies.tuples(strategies.sampled_from(PATHS), strategies.floats(0, 4)),
    min_size=1,
    max_size=25,
)


class SilenceTest(unittest.TestCase):
    """Guards against silence that is taken for the loss of a server."""

    @hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
    @hypothesis.given(silence_patterns, request_times)
    def test_servers_that_only_pause_lose_no_answer(self, patterns, sent):
        async def play():
            daemon, servers = new_world()
            for server, pattern in zip(servers, patterns, strict=True):
                silences, now = [], 0.0
                for active, silence in pattern:
                    now += active
                    silences.append((now, now + silence))
                    now += silence
                server.silences = tuple(silences)
            callers = await asyncio.gather(
                *(
                    send(daemon, path, number, at)
                    for number, (path, at) in enumerate(sent)
                )
            )
            for (path, _), caller in zip(sent, callers, strict=True):
                self.assertTrue(is_whole(path, caller), (path, caller.body))
            arrivals = [a for server in servers for a in server.arrivals]
            for path in set(PATHS) - REPEATABLE:
                once = [a for a in arrivals if a[0] == path]
                self.assertEqual(len(once), len(set(once)))
            repeats = len(arrivals) - len(sent)
            self.assertLessEqual(
                repeats,
                virtual_case.BUDGET.ratio * len(sent)
                + virtual_case.BUDGET.slack,
            )
            self.assertFalse(
                daemon.events(events.Event.BACKEND_SERVER_EXCLUDED)
            )
            await asyncio.sleep(0.5)
            self.assertFalse(any(server.open for server in servers))

        virtual_case.run(play())

    def last_attempt_waits(self, path, silence):
        async def play():
            daemon, servers = new_world()
            for server in servers:
                server.silences = ((0.4, 0.4 + silence),)
            caller = await send(daemon, path, 1)
            self.assertTrue(is_whole(path, caller), caller.body)
            return caller, servers

        return virtual_case.run(play())

    def test_the_last_attempt_waits_before_its_first_event(self):
        for path in PATHS:
            with self.subTest(path=path):

                async def play(path=path):
                    daemon, servers = new_world()
                    for server in servers:
                        server.silences = ((0.0, 5.0),)
                    caller = await send(daemon, path, 1)
                    self.assertTrue(is_whole(path, caller), caller.body)

                virtual_case.run(play())

    def test_the_last_attempt_waits_between_events(self):
        for path in STREAMS:
            with self.subTest(path=path):
                self.last_attempt_waits(path, 5.0)

    def test_the_attempt_that_goes_on_first_is_kept(self):
        """The other one is closed, and its server is free again."""
        for silence, kept in ((1.6, "second"), (0.99, "first")):
            with self.subTest(kept=kept):

                async def play(silence=silence, kept=kept):
                    daemon, servers = new_world()
                    for server in servers[:ENGINES]:
                        server.silences = ((0.4, 0.4 + silence),)
                    sending = asyncio.create_task(send(daemon, "/desk/x", 1))
                    await asyncio.sleep(0.3)
                    (first,) = [s for s in servers if s.open]
                    for server in servers[:ENGINES]:
                        if server is not first:
                            server.silences = ()
                    caller = await sending
                    self.assertTrue(is_whole("/desk/x", caller))
                    second = [
                        s for s in servers if s.arrivals and s is not first
                    ]
                    (closed,) = daemon.events(events.Event.ATTEMPT_CLOSED)
                    expected = first.id if kept == "second" else second[0].id
                    self.assertEqual(closed["server"], expected)
                    await asyncio.sleep(0.1)
                    self.assertFalse(any(s.open for s in servers))

                virtual_case.run(play())

    def test_a_dead_server_is_replaced_in_time(self):
        """A caller leaves after a gap of two seconds."""
        for path in sorted(REPEATABLE):
            with self.subTest(path=path):

                async def play(path=path):
                    daemon, servers = new_world()
                    sending = asyncio.create_task(send(daemon, path, 1))
                    await asyncio.sleep(0.02 if "lookup" in path else 0.3)
                    (first,) = [s for s in servers if s.open]
                    first.dead_from = 0.0
                    caller = await sending
                    self.assertTrue(is_whole(path, caller))
                    times = [1_000.0, *caller.event_times]
                    for earlier, later in itertools.pairwise(times):
                        self.assertLess(later - earlier, PATIENCE_S)

                virtual_case.run(play())

    def test_no_attempt_starts_at_a_server_that_is_silent_too(self):
        """It could not go on sooner, and would count as a repeat."""

        async def play():
            daemon, servers = new_world()
            for server in servers:
                server.silences = ((0.5, 1.9),)
            callers = await asyncio.gather(
                *(send(daemon, "/desk/x", n) for n in range(40))
            )
            self.assertTrue(all(is_whole("/desk/x", c) for c in callers))
            arrivals = sum(len(server.arrivals) for server in servers)
            self.assertLessEqual(arrivals - 40, ENGINES)

        virtual_case.run(play())

    def test_an_attempt_ends_with_the_deadline(self):
        for path in PATHS:
            with self.subTest(path=path):

                async def play(path=path):
                    daemon, servers = new_world()
                    for server in servers:
                        server.dead_from = 0.0
                    loop = asyncio.get_running_loop()
                    began = loop.time()
                    caller = await send(daemon, path, 1)
                    self.assertEqual(caller.status, 504)
                    self.assertAlmostEqual(loop.time() - began, 9.0, delta=0.1)
                    await asyncio.sleep(0.1)
                    self.assertFalse(any(s.open for s in servers))

                virtual_case.run(play())

    def test_all_attempts_end_with_the_caller(self):
        for path in PATHS:
            with self.subTest(path=path):

                async def play(path=path):
                    daemon, servers = new_world()
                    for server in servers:
                        server.dead_from = 0.0
                    caller = virtual_case.Caller()
                    sending = asyncio.create_task(
                        send(daemon, path, 1, caller=caller)
                    )
                    await asyncio.sleep(3.0)
                    self.assertGreaterEqual(sum(s.open for s in servers), 1)
                    caller.leave()
                    await asyncio.sleep(0.1)
                    self.assertFalse(any(s.open for s in servers))
                    await sending

                virtual_case.run(play())


if __name__ == "__main__":
    unittest.main()
