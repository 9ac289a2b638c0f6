"""Tests how the client handles truncated and surplus response bytes."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client

TIMEOUT = units.Seconds(2.0)
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nserver: x\r\n\r\nhalf of the body"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a truncated response that is treated as complete.

    Without a content length, only a reset of the connection shows that a
    response is truncated.
    """

    async def asyncSetUp(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.addCleanup(self._listener.close)

    async def read_body_after_close(self, *, reset):
        loop = asyncio.get_running_loop()
        target = address.Address(*self._listener.getsockname())
        connection = (await client.connect(target, TIMEOUT)).unwrap()
        self.addCleanup(connection.close)
        server_socket, _ = await loop.sock_accept(self._listener)
        head = client.RequestHead("POST", "/x")
        (await connection.send(head, b"body", TIMEOUT)).unwrap()
        await loop.sock_recv(server_socket, 65_536)
        # The bytes and the end of the connection arrive together.
        await loop.sock_sendall(server_socket, TRUNCATED_RESPONSE)
        if reset:
            server_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        server_socket.close()
        response_head = await connection.read_head(TIMEOUT)
        if response_head.is_err():
            return response_head
        return await connection.read_body(TIMEOUT, units.Bytes(1_000))

    async def test_reset_within_the_body_is_an_error(self):
        body = await self.read_body_after_close(reset=True)
        self.assertTrue(body.is_err())

    async def test_orderly_close_completes_the_body(self):
        body = await self.read_body_after_close(reset=False)
        self.assertEqual(body.unwrap(), b"half of the body")


class SurplusBytesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against surplus bytes that are read as the next response."""

    COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

    async def exchange(self, *chunks):
        """Returns a connection after a response received in several chunks."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        self.addCleanup(listener.close)
        target = address.Address(*listener.getsockname())
        connection = (await client.connect(target, TIMEOUT)).unwrap()
        self.addCleanup(connection.close)
        server_socket, _ = await loop.sock_accept(listener)
        self.addCleanup(server_socket.close)
        head = client.RequestHead("GET", "/x")
        (await connection.send(head, b"", TIMEOUT)).unwrap()
        await loop.sock_recv(server_socket, 65_536)
        await loop.sock_sendall(server_socket, chunks[0])
        (await connection.read_head(TIMEOUT)).unwrap()
        (await connection.read_body(TIMEOUT, units.Bytes(1_000))).unwrap()
        for chunk in chunks[1:]:
            await loop.sock_sendall(server_socket, chunk)
            await asyncio.sleep(0.05)
        self.server_socket = server_socket
        return connection

    async def test_connection_without_surplus_bytes_is_reusable(self):
        connection = await self.exchange(self.COMPLETE_RESPONSE)
        self.assertTrue(connection.reusable)

    async def test_second_response_with_the_first_prevents_reuse(self):
        connection = await self.exchange(
            self.COMPLETE_RESPONSE + self.COMPLETE_RESPONSE
        )
        self.assertFalse(connection.reusable)

    async def test_delayed_second_response_prevents_reuse(self):
        connection = await self.exchange(
            self.COMPLETE_RESPONSE, self.COMPLETE_RESPONSE
        )
        self.assertFalse(connection.reusable)

    async def test_bytes_that_are_still_in_the_socket_prevent_reuse(self):
        """As after a pause of the process, before the loop reads again."""
        connection = await self.exchange(self.COMPLETE_RESPONSE)
        self.server_socket.send(self.COMPLETE_RESPONSE)
        self.assertFalse(connection.reusable)

    async def test_an_end_that_is_still_in_the_socket_prevents_reuse(self):
        connection = await self.exchange(self.COMPLETE_RESPONSE)
        self.server_socket.close()
        self.assertFalse(connection.reusable)


if __name__ == "__main__":
    unittest.main()
