"""Tests crowds of clients that take the processor time of a daemon.

Each connection stays inside its own limits, and what it sends costs far more
time than memory. Each test starts one daemon with lowered limits of its
machine, keeps a crowd of connections open and checks that the daemon lives,
stays inside these limits and answers an ordinary request. Nothing here depends
on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import unittest

import test_client_crowds as crowds

# With its other lines a head stays under its limit of 16,384 bytes.
SLASHES = 16_000
HEADER_LINES = 3_900
TRICKLE_INTERVAL_S = 0.2


class RequestsAheadTest(crowds.CrowdCase):
    """Guards against requests sent ahead whose responses are not read."""

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
