"""Tests reads of the client in a process that is held up."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client

TIMEOUT = units.Seconds(2.0)
READ_TIMEOUT = units.Seconds(0.1)
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"1\r\na\r\n"


def hold_up():
    """Keeps the process busy for longer than the read may last."""
    time.sleep(2 * READ_TIMEOUT)


class HeldUpReadTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a read times out over bytes that came in time."""

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        target = address.Address(*listener.getsockname())
        self.connection = (await client.connect(target, TIMEOUT)).unwrap()
        self.addCleanup(self.connection.close)
        self.server, _ = await loop.sock_accept(listener)
        self.addCleanup(self.server.close)
        head = client.RequestHead("POST", "/x")
        (await self.connection.send(head, b"", TIMEOUT)).unwrap()
        self.server.send(HEAD)
        (await self.connection.read_head(TIMEOUT)).unwrap()

    async def read_while_held_up(self, data):
        loop = asyncio.get_running_loop()
        read = loop.create_task(self.connection.read_chunk(READ_TIMEOUT))
        await asyncio.sleep(0.01)
        if data:
            self.server.send(data)
        hold_up()
        return await read

    async def test_bytes_in_the_socket_are_returned(self):
        chunk = await self.read_while_held_up(CHUNK)
        self.assertEqual(chunk.unwrap(), b"a")

    async def test_the_next_read_has_its_own_time(self):
        (await self.read_while_held_up(CHUNK)).unwrap()
        await asyncio.sleep(0.01)
        self.server.send(CHUNK)
        chunk = await self.connection.read_chunk(TIMEOUT)
        self.assertEqual(chunk.unwrap(), b"a")

    async def test_a_read_without_bytes_times_out(self):
        chunk = await self.read_while_held_up(b"")
        self.assertTrue(chunk.is_err())


if __name__ == "__main__":
    unittest.main()
