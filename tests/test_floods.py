"""Tests bytes without end from a server, beside requests of other callers."""

from __future__ import annotations

import asyncio
import collections
import itertools
import unittest
import unittest.mock

import platform_case
import raw_server
import result

from lavendershed.core import units
from lavendershed.standin import platform_engine
from lavendershed.transport import chunk_merging
from lavendershed.transport import client

CHUNK = 65_536
# An answer is late if it comes later than this after its timeout.
MAX_DELAY_S = 0.5
TIMEOUT_MS = 800
FLOOD_TIMEOUT_S = 20.0
# What one server may send before it is closed: the largest body, and what the
# sockets of both sides hold.
MAX_FLOODED = 32_000_000
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s\r\n"
# Head of an answer and what follows without end, by the part that has no end.
PARTS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header": (WHOLE_HEAD + b"x: ", b"x"),
    "headers": (WHOLE_HEAD, b"a: b\r\n"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body with a length": (
        WHOLE_HEAD + b"content-length: 999999999999\r\n\r\n",
        b"x",
    ),
    "small chunks": (
        WHOLE_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "chunk extension": (
        WHOLE_HEAD + b"transfer-encoding: chunked\r\n\r\n1;",
        b"x",
    ),
    "trailers": (
        WHOLE_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"a: b\r\n",
    ),
    "body until the close": (WHOLE_HEAD + b"\r\n", b"x"),
    "refusal": (
        b"HTTP/1.1 503 x\r\nattempt-id: %s\r\nnot-executed: 1\r\n\r\n",
        b"x",
    ),
}
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s\r\n"
    b"content-type: text/event-stream\r\n\r\n"
)


class FloodServer(raw_server.RawServer):
    """Sends bytes until the caller closes.

    Attributes:
        head: What it sends first; `%s` stands for the id of the request.
        repeated: What it sends then, again and again.
        sent: Bytes sent so far.
        closed: Connections that the caller has closed.
    """

    def __init__(self):
        super().__init__("flood")
        self.head = STREAM_HEAD
        self.repeated = b"\n" * CHUNK
        self.requests = 0
        self.sent = 0
        self.closed = 0

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        self.requests += 1
        head = self.head
        if b"%s" in head:
            head %= fields[b"attempt-id"]
        writer.write(head)
        try:
            while not writer.is_closing():
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.closed += 1


class FloodCase(platform_case.PlatformCase):
    """One of three engines floods."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.flood = FloodServer()
        await self.flood.start()
        self.engines.append(self.flood)
        self.register_server(self.flood)
        view = self.daemon.parts.components.context.view
        # The first event of a long prompt may take seconds, so that a flood
        # in its place goes on for as long.
        digest = platform_case.route(
            "/digest/",
            "streaming",
            platform_case.MODEL_SERVICE,
            resumable=True,
            gap_target_ms=1_000,
            timeout_ms=30_000,
            target_latency_ms=3_000,
        )
        self.store.put("config", "main", platform_case.configuration(2, digest))
        await self.wait_until(
            lambda: (
                view.version == 2
                and len(view.directory.servers_accepting_work("model")) == 3
            )
        )

    async def digest(self):
        return await self.request(
            "/digest/x",
            b"prompt",
            token_count="1000,100",
            deadline_ms="15000",
            patience=units.Seconds(15.0),
        )

    async def call_in_time(self):
        """Sends one call; returns how late its answer is, in seconds."""
        sent_at = self.loop.time()
        response = await self.request(
            "/safe/x", b"body", deadline_ms=str(TIMEOUT_MS)
        )
        self.assertEqual(response.head.status, 200)
        return self.loop.time() - sent_at - TIMEOUT_MS / 1_000

    async def meet_flood(self, send):
        """Sends requests until the flooding server gets one."""
        before = self.flood.requests
        async with asyncio.timeout(FLOOD_TIMEOUT_S):
            while self.flood.requests == before:
                response = await send()
        return response

    async def assert_others_are_served(self, send):
        """Sends calls all the while; returns the answer to the flooded one."""
        meeting = self.loop.create_task(self.meet_flood(send))
        delays = []
        while not meeting.done() or len(delays) < 5:
            delays.append(await self.call_in_time())
            await asyncio.sleep(0.02)
        self.assertLess(max(delays), MAX_DELAY_S)
        await self.wait_until(lambda: self.flood.closed == self.flood.requests)
        return meeting.result()


class StreamFloodTest(FloodCase):
    """Guards against a stream that stops a daemon for other callers."""

    async def assert_goes_on_elsewhere(self, repeated):
        self.flood.repeated = repeated * (CHUNK // len(repeated))
        response = await self.assert_others_are_served(self.digest)
        self.assertEqual(response.head.status, 200)
        self.assertEqual(response.body.count(b"id: "), 3)

    async def test_line_ends(self):
        await self.assert_goes_on_elsewhere(b"\n")

    async def test_comments(self):
        await self.assert_goes_on_elsewhere(b":\n\n")

    async def test_comment_lines(self):
        await self.assert_goes_on_elsewhere(b": x\n")

    async def test_an_event_that_does_not_end(self):
        await self.assert_goes_on_elsewhere(b"x")

    async def test_an_id_that_does_not_end(self):
        self.flood.head = STREAM_HEAD + b"id: "
        await self.assert_goes_on_elsewhere(b"1")

    async def test_digits_in_place_of_ids(self):
        self.flood.head = STREAM_HEAD + b"id: "
        await self.assert_goes_on_elsewhere(b"7" * 8_190 + b"\n\n")


class AnswerFloodTest(FloodCase):
    """Guards against answers without end that fill the memory."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.plain_flood = FloodServer()
        self.plain_flood.id = "plain-flood"
        await self.plain_flood.start()
        self.addCleanup(self.plain_flood.close)
        self.register_server(self.plain_flood, platform_case.PLAIN_SERVICE)
        context = self.daemon.parts.components.context
        self.buffers = context.response_buffers
        await self.wait_until(
            lambda: (
                len(context.view.directory.servers_accepting_work("ledger"))
                == 3
            )
        )

    async def call(self, path="/safe/x"):
        return await self.request(path, b"body", deadline_ms="3000")

    async def assert_bounded(self, flood, send, *statuses):
        """Fails if much is read of a flood, or others wait for it."""
        self.flood = flood
        sent = flood.sent
        response = await self.assert_others_are_served(send)
        self.assertIn(response.head.status, statuses)
        self.assertLess(flood.sent - sent, MAX_FLOODED)
        self.assertEqual(self.buffers.used, 0)
        self.assertTrue(self.daemon.daemon.ready)

    async def test_each_part_of_an_answer(self):
        for part, (head, repeated) in PARTS.items():
            repeated *= CHUNK // len(repeated)
            for flood, send in (
                (self.plain_flood, self.call),
                (self.engines[2], self.digest),
            ):
                flood.head, flood.repeated = head, repeated
                with self.subTest(part=part, server=flood.id):
                    await self.assert_bounded(flood, send, 200)

    async def test_a_call_that_may_not_be_repeated(self):
        self.plain_flood.head = WHOLE_HEAD + b"\r\n"
        self.plain_flood.repeated = b"x" * CHUNK
        await self.assert_bounded(
            self.plain_flood, lambda: self.call("/unsafe/x"), 502
        )

    async def test_answers_to_orders_and_queries(self):
        """Reservations of memory, whose answers have small limits."""
        flood = self.engines[2]
        flood.head = WHOLE_HEAD.replace(b"%s", b"id") + b"\r\n"
        flood.repeated = b"x" * CHUNK

        async def reserve():
            return await self.request(
                "/digest/x",
                b"prompt",
                token_count="700000,100",
                deadline_ms="3000",
            )

        await self.assert_bounded(flood, reserve, 200, 502, 503)

    async def test_many_answers_at_once_share_one_limit(self):
        self.plain_flood.head = WHOLE_HEAD + b"\r\n"
        self.plain_flood.repeated = b"x" * CHUNK
        for server in self.plain_servers:
            self.store.delete("servers", server.id)
        view = self.daemon.parts.components.context.view
        await self.wait_until(
            lambda: len(view.directory.servers_accepting_work("ledger")) == 1
        )
        peak = []
        calls = [
            self.loop.create_task(self.call("/unsafe/x")) for _ in range(30)
        ]
        while not all(call.done() for call in calls):
            peak.append(self.buffers.used)
            await asyncio.sleep(0.005)
        self.assertEqual({call.result().head.status for call in calls}, {502})
        limit = self.daemon.settings.buffer_bytes
        self.assertLessEqual(max(peak), limit)
        # Without the shared limit, they would hold several times as much.
        self.assertGreater(max(peak), limit / 2)
        self.assertEqual(self.buffers.used, 0)

    async def test_behind_a_peer(self):
        self.register_server(self.engines[0], "another-service")
        cut_off = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(lambda: cut_off.parts.peers.live_peers)
        cut_off.links.refuse = True
        context = cut_off.parts.components.context
        await self.request("/safe/x", address=cut_off.caller_address)
        await self.wait_until(lambda: context.relay.is_cut_off)
        self.plain_flood.head = WHOLE_HEAD + b"\r\n"
        self.plain_flood.repeated = b"x" * CHUNK
        await self.assert_bounded(
            self.plain_flood,
            lambda: self.request(
                "/unsafe/x", b"body", cut_off.caller_address, deadline_ms="3000"
            ),
            502,
        )
        self.assertEqual(context.response_buffers.used, 0)


class EventServer(FloodServer):
    """Sends a stream of sound events without end."""

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        self.requests += 1
        writer.write(self.head % fields[b"attempt-id"])
        data = b"x" * CHUNK
        try:
            for number in itertools.count(1):
                event = b"id: %d\ndata: %s\n\n" % (number, data)
                writer.write(event)
                self.sent += len(event)
                await writer.drain()
        finally:
            self.closed += 1


class SlowCallerTest(platform_case.PlatformCase):
    """Guards against what a daemon holds for callers that do not read."""

    async def test_an_engine_faster_than_its_caller_is_not_read_on(self):
        for engine in self.engines:
            self.store.delete("servers", engine.id)
        server = EventServer()
        await server.start()
        self.addCleanup(server.close)
        self.register_server(server)
        directory = self.daemon.parts.components.context.view.directory
        await self.wait_until(
            lambda: (
                [e.id for e in directory.servers_accepting_work("model")]
                == [server.id]
            )
        )
        connection = await self.connect()
        fields = {
            "host": platform_case.HOST,
            "attempt-id": "slow",
            "x-api-key": platform_case.KEY,
            "token-count": "1000,100",
            "deadline-ms": "9000",
        }
        head = client.RequestHead("POST", "/stream/x", tuple(fields.items()))
        await connection.send(head, b"prompt", platform_case.TIMEOUT)
        await self.wait_until(lambda: server.sent)
        await asyncio.sleep(1.0)
        sent = server.sent
        await asyncio.sleep(0.5)
        self.assertEqual(server.sent, sent)
        self.assertLess(sent, MAX_FLOODED)
        connection.close()
        await self.wait_until(lambda: server.closed == server.requests)

    async def test_a_caller_that_sends_on_is_not_read_on(self):
        """Bytes after a request wait until its response is complete."""
        self.set_fault(platform_engine.EngineFault.HANG)
        reader, writer = await asyncio.open_connection(
            self.daemon_address.host, self.daemon_address.port
        )
        writer.write(
            b"POST /safe/x HTTP/1.1\r\nhost: %s\r\nx-api-key: %s\r\n"
            b"attempt-id: a\r\ndeadline-ms: 2000\r\ncontent-length: 0\r\n\r\n"
            % (platform_case.HOST.encode(), platform_case.KEY.encode())
        )
        sent = 0
        with self.assertRaises(TimeoutError):
            while sent < 2 * MAX_FLOODED:
                writer.write(b"x" * CHUNK)
                sent += CHUNK
                async with asyncio.timeout(1.0):
                    await writer.drain()
        self.assertLess(sent, MAX_FLOODED)
        response = await self.request("/safe/x", deadline_ms="300")
        self.assertIn(response.head.status, (502, 504))
        writer.transport.abort()

    async def test_requests_at_once_share_one_limit(self):
        limit = self.daemon.settings.buffer_bytes
        body = b"x" * 4_000_000
        count = limit // len(body) + 6
        self.set_fault(platform_engine.EngineFault.HANG)
        calls = [
            self.loop.create_task(
                self.request("/safe/x", body, deadline_ms="1500")
            )
            for _ in range(count)
        ]
        buffers = self.daemon.parts.components.context.request_buffers
        peak = []
        while not all(call.done() for call in calls):
            peak.append(buffers.used)
            await asyncio.sleep(0.005)
        self.assertLessEqual(max(peak), limit)
        refused = [
            call
            for call in calls
            if isinstance(call.result(), result.Err)
            or call.result().head.status == 503
        ]
        self.assertGreaterEqual(len(refused), 6)
        self.assertEqual(buffers.used, 0)
        self.set_fault(platform_engine.EngineFault.NONE)
        response = await self.request("/safe/x", body[:500_000])
        self.assertEqual(response.head.status, 200)

    async def test_a_body_of_single_bytes_does_not_hold_the_loop(self):
        """Small chunks are merged in small steps, between turns of others."""
        merge = chunk_merging.ChunkMerger.merge
        steps = collections.defaultdict(list)

        def record(merger, data):
            merged = merge(merger, data)
            steps[turns].append((len(data), merged.count(b"\r\n")))
            return merged

        patch = unittest.mock.patch.object(
            chunk_merging.ChunkMerger, "merge", record
        )
        patch.start()
        self.addCleanup(patch.stop)
        chunks = b"1\r\nx\r\n" * 50_000
        reader, writer = await asyncio.open_connection(
            self.daemon_address.host, self.daemon_address.port
        )
        writer.write(
            b"POST /safe/x HTTP/1.1\r\nhost: %s\r\nx-api-key: %s\r\n"
            b"attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
            % (platform_case.HOST.encode(), platform_case.KEY.encode())
            + chunks
            + b"0\r\n\r\n"
        )
        reading = self.loop.create_task(reader.readuntil(b"\r\n\r\n"))
        turns = 0
        while not reading.done():
            turns += 1
            await asyncio.sleep(0)
        self.assertIn(b" 200 ", reading.result())
        first, *later = steps.values()
        # What came with the head; the parser takes it in parts of 128.
        self.assertLessEqual(sum(size for size, _ in first), 16_384)
        for step in later:
            self.assertLessEqual(sum(size for size, _ in step), 8_192)
            # Each chunk that is left costs the parser a part.
            self.assertLessEqual(sum(ends for _, ends in step), 2 * 128)
        self.assertGreater(len(steps), len(chunks) // 8_192 - 2)
        writer.transport.abort()


if __name__ == "__main__":
    unittest.main()
