"""Tests bytes without end from a server, beside requests of other callers."""

from __future__ import annotations

import asyncio
import unittest

import platform_case
import raw_server

CHUNK = 65_536
# An answer is late if it comes later than this after its timeout.
MAX_DELAY_S = 0.5
TIMEOUT_MS = 800
FLOOD_TIMEOUT_S = 20.0
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


if __name__ == "__main__":
    unittest.main()
