"""Tests streams without a length or chunks, which end with their connection."""

from __future__ import annotations

import unittest

import platform_case
import raw_server

EVENTS = tuple(
    f"id: {number}\ndata: piece {number}\n\n".encode() for number in (1, 2, 3)
)
BODY = b"".join(EVENTS)
MAX_TRIES = 40


class UnframedEngine(raw_server.RawServer):
    """Sends the first bytes of a stream and closes the connection."""

    def __init__(self):
        super().__init__("unframed")
        self.body = BODY
        self.requests = 0

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        self.requests += 1
        request_id = fields[b"attempt-id"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: seal-%s\r\n"
            b"content-type: text/event-stream\r\n\r\n%s"
            % (request_id, request_id, self.body)
        )


class UnframedStreamTest(platform_case.PlatformCase):
    """Guards against a stream that broke off and looks like a whole one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.unframed = UnframedEngine()
        await self.unframed.start()
        self.engines.append(self.unframed)
        self.register_server(self.unframed)
        directory = self.daemon.parts.components.context.view.directory
        await self.wait_until(
            lambda: len(directory.servers_accepting_work("model")) == 3
        )

    async def stream_from_unframed_engine(self):
        """Sends requests until that engine gets one; returns its response."""
        before = self.unframed.requests
        for _ in range(MAX_TRIES):
            response = await self.stream()
            if self.unframed.requests > before:
                return response
        raise AssertionError("the engine got no request")

    async def test_a_whole_stream_is_complete(self):
        response = await self.stream_from_unframed_engine()
        self.assertEqual(response.head.status, 200)
        self.assertEqual(response.body, BODY)

    async def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(self):
        boundaries = {len(EVENTS[0]), len(EVENTS[0] + EVENTS[1])}
        for cut in range(1, len(BODY)):
            if cut not in boundaries:
                with self.subTest(cut=cut):
                    self.unframed.body = BODY[:cut]
                    response = await self.stream_from_unframed_engine()
                    self.assertEqual(response.head.status, 200)
                    self.assertEqual(response.body, BODY)

    async def test_a_stream_without_any_event_goes_on_elsewhere(self):
        """The engine may have crashed as it began to write the answer."""
        self.unframed.body = b""
        response = await self.stream_from_unframed_engine()
        self.assertEqual(response.head.status, 200)
        self.assertEqual(response.body, BODY)


if __name__ == "__main__":
    unittest.main()
