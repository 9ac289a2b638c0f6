"""Tests crowds of clients that take the processor time of a daemon.

Each connection stays inside its own limits, and what it sends costs far more
time than memory: bodies in small chunks, paths of many slashes, heads of many
lines, requests sent ahead without end. Each test starts one daemon with lowered
limits of its machine, keeps a crowd of connections open and checks that the
daemon lives, stays inside these limits and answers an ordinary request. Nothing
here depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import unittest

import platform_case
import test_client_crowds as crowds

LARGE_CHUNK = 65_536
MEDIUM_CHUNK = 16_384
SMALL_CHUNK = 16
# What the bodies in small chunks hold.
SMALL_CHUNKS_BODY = 60_000
SINGLE_BYTES_BODY = 12_000
# With its other lines a head stays under its limit of 16,384 bytes.
SLASHES = 16_000
HEADER_LINES = 3_900
# Requests that are sent ahead on each of a few connections.
FEW_CONNECTIONS = 8
REQUESTS_AHEAD = 40_000
TRICKLE_INTERVAL_S = 0.2


def chunked_request(length, chunk):
    """Returns the parts of a chunked request that stops short of its end."""
    head = (
        f"POST /unsafe/x HTTP/1.1\r\nhost: {platform_case.HOST}\r\n"
        f"x-api-key: {platform_case.KEY}\r\nattempt-id: a\r\n"
        f"deadline-ms: 30000\r\ntransfer-encoding: chunked\r\n\r\n"
    ).encode()
    whole, rest = divmod(length - crowds.SHORT_BY, chunk)
    body = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk) * whole
    if rest:
        body += b"%x\r\n%s\r\n" % (rest, b"x" * rest)
    return [
        head,
        *(
            body[start : start + crowds.CHUNK]
            for start in range(0, len(body), crowds.CHUNK)
        ),
    ]


class ChunkedBodyTest(crowds.CrowdCase):
    """Guards against bodies whose chunks cost more time than their bytes."""

    async def test_large_chunks(self):
        await self.assert_withstands(
            self.crowd().join(
                40, chunked_request(crowds.LARGEST_BODY, LARGE_CHUNK)
            ),
            self.crowd().join(
                800, chunked_request(crowds.MEDIUM_BODY, LARGE_CHUNK)
            ),
        )

    async def test_medium_chunks(self):
        parts = chunked_request(crowds.LARGEST_BODY, MEDIUM_CHUNK)
        await self.assert_withstands(self.crowd().join(400, parts))

    async def test_small_chunks(self):
        parts = chunked_request(SMALL_CHUNKS_BODY, SMALL_CHUNK)
        await self.assert_withstands(self.crowd().join(600, parts))

    async def test_chunks_of_one_byte(self):
        parts = chunked_request(SINGLE_BYTES_BODY, 1)
        await self.assert_withstands(self.crowd().join(1_200, parts))


class SmallChunkTest(crowds.CrowdCase):
    """Guards against chunks that take the time of all others.

    The machine has memory for the whole crowd.
    """

    LIMITS = {"memory_mb": 300, "max_fds": crowds.MAX_FDS}

    async def test_chunks_of_one_byte(self):
        parts = chunked_request(SINGLE_BYTES_BODY, 1)
        await self.assert_withstands(self.crowd().join(1_200, parts))


class CalmTest(crowds.CrowdCase):
    """Fails if a request inside the limits is refused for its chunks."""

    LIMITS = {"memory_mb": 160, "max_fds": crowds.MAX_FDS}

    async def test_the_largest_body_in_chunks_of_one_byte_is_served(self):
        head, *parts = chunked_request(crowds.LARGEST_BODY + crowds.SHORT_BY, 1)
        address = self.daemon.frontend_address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        self.addCleanup(writer.close)
        for part in (head, *parts, b"0\r\n\r\n"):
            writer.write(part)
            await writer.drain()
        status_line = await reader.readline()
        self.assertIn(b" 200 ", status_line)


class RequestsAheadTest(crowds.CrowdCase):
    """Guards against requests sent ahead whose responses are not read."""

    async def test_no_route_on_few_connections(self):
        parts = [crowds.PIPELINED_NO_ROUTE * REQUESTS_AHEAD]
        await self.assert_withstands(self.crowd().join(FEW_CONNECTIONS, parts))

    async def test_readiness_path_on_few_connections(self):
        parts = [crowds.PIPELINED_READINESS * REQUESTS_AHEAD]
        crowd = self.crowd(self.daemon.readiness_address)
        await self.assert_withstands(crowd.join(FEW_CONNECTIONS, parts))

    async def test_served_requests_on_few_connections(self):
        request = crowds.request_head("/safe/x", 4) + b"body"
        await self.assert_withstands(
            self.crowd().join(FEW_CONNECTIONS, [request * 4_000])
        )

    async def test_heads_of_many_lines(self):
        lines = b"a:\r\n" * HEADER_LINES
        request = b"GET /no-such-route HTTP/1.1\r\nhost: x\r\n%s\r\n" % lines
        await self.assert_withstands(self.crowd().join(300, [request * 40]))


class LongPathTest(crowds.CrowdCase):
    """Guards against lookups whose time grows with the square of a path."""

    # As many requests are handled at a time as connections are accepted.
    LIMITS = {"memory_mb": 300, "max_fds": crowds.MAX_FDS}

    async def test_paths_of_many_slashes(self):
        path = b"/" * SLASHES
        request = b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path
        await self.assert_withstands(self.crowd().join(1_500, [request * 8]))


class TricklingClient:
    """Sends requests that never end, one byte now and then."""

    def __init__(self, address, head):
        self._address = address
        self._head = head
        self._writers = []
        self._tasks = []

    def start(self, count):
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run()) for _ in range(count)]

    def leave(self):
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    async def _run(self):
        # The daemon may refuse or close a connection.
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(
                self._address.host, self._address.port
            )
            self._writers.append(writer)
            writer.write(self._head)
            while not writer.is_closing():
                await asyncio.sleep(TRICKLE_INTERVAL_S)
                writer.write(b"x")


class TricklingRequestTest(crowds.CrowdCase):
    """Guards against connections that are kept by a byte now and then."""

    LIMITS = {"memory_mb": crowds.MEMORY_MB, "max_fds": 600}

    async def assert_withstands_trickling(self, count, *heads):
        clients = [
            TricklingClient(self.daemon.frontend_address, head)
            for head in heads
        ]
        for client in clients:
            self.addCleanup(client.leave)
            client.start(count)
        # All of them send on while the ordinary request is made.
        await self.assert_withstands(self.wait_until_full())

    async def wait_until_full(self):
        """Waits until the daemon takes no more descriptors."""
        counts = []
        for _ in itertools.repeat(None, 100):
            await asyncio.sleep(crowds.SAMPLE_S)
            counts.append(self.most_descriptors)
            if len(counts) > 20 and counts[-20] == counts[-1]:
                return

    async def test_bodies(self):
        head = crowds.request_head("/unsafe/x", crowds.MEDIUM_BODY)
        await self.assert_withstands_trickling(900, head)

    async def test_heads_and_bodies(self):
        await self.assert_withstands_trickling(
            450,
            crowds.request_head("/unsafe/x", crowds.MEDIUM_BODY),
            b"GET / HTTP/1.1\r\nhost: x\r\nx: ",
        )


if __name__ == "__main__":
    unittest.main()
