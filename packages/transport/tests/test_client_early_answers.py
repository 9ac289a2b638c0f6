"""Tests answers that end before the whole request has been sent."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
import unittest

from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client

TIMEOUT = units.Seconds(3.0)
PART = b"half of the body"
# More than the kernel and the event loop buffer, so that it can't be sent
# before the server reads.
LONG = bytes(12_000_000)
SHORT = b"short body"
RECEIVE_BUFFER = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEADS = {
    "HTTP/1.1": b"HTTP/1.1 200 OK\r\nserver: x\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nserver: x\r\n\r\n",
    "connection: close": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
}
FRAMED = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
    len(PART),
    PART,
)
REUSED = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a part of an answer that is taken for the whole one.

    Without a length, an answer ends with its connection. A server that ends it
    before it has the request has crashed, or answers without the request.
    """

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self._listener = socket.create_server(("127.0.0.1", 0))
        # So that most of a request stays with the client until it is read.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self._listener.setblocking(False)
        self.addCleanup(self._listener.close)
        self.target = address.Address(*self._listener.getsockname())

    async def connect(self, *, reused=False):
        connection = (await client.connect(self.target, TIMEOUT)).unwrap()
        self.addCleanup(connection.close)
        server, _ = await self.loop.sock_accept(self._listener)
        self.addCleanup(server.close)
        if reused:
            head = client.RequestHead("GET", "/first")
            (await connection.send(head, b"", TIMEOUT)).unwrap()
            await self.loop.sock_recv(server, 65_536)
            await self.loop.sock_sendall(server, REUSED)
            (await connection.read_head(TIMEOUT)).unwrap()
            (await connection.read_body(TIMEOUT, units.Bytes(10))).unwrap()
            self.assertTrue(connection.reusable)
            connection.start_next_exchange()
        return connection, server

    async def exchange(self, connection, body):
        """Returns the body of the answer, or the first error."""
        head = client.RequestHead("POST", "/x")
        sent = await connection.send(head, body, TIMEOUT)
        if sent.is_err():
            return sent
        response_head = await connection.read_head(TIMEOUT)
        if response_head.is_err():
            return response_head
        return await connection.read_body(TIMEOUT, units.Bytes(1_000_000))

    async def receive(self, server, count):
        """Reads the first bytes of a request."""
        while count > 0:
            data = await self.loop.sock_recv(server, min(count, 65_536))
            if not data:
                return
            count -= len(data)

    def end(self, server, *, reset):
        if reset:
            server.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            server.close()
        else:
            # The server may have more to read, so that a close would reset.
            server.shutdown(socket.SHUT_WR)

    async def answer_early(
        self, answer, *, read, pause, reset, reused=False, body=LONG
    ):
        connection, server = await self.connect(reused=reused)
        exchange = self.loop.create_task(self.exchange(connection, body))
        await self.receive(server, read)
        await self.loop.sock_sendall(server, answer)
        await asyncio.sleep(pause)
        self.end(server, reset=reset)
        # A server that has only closed its own end reads on.
        if not reset:
            await asyncio.sleep(0.01)
            server.close()
        return await asyncio.wait_for(exchange, 2 * TIMEOUT)

    async def test_a_part_before_the_request_was_sent_is_an_error(self):
        cases = itertools.product(
            HEADS, (False, True), (False, True), (0.0, 0.02), (1, 3_000_000)
        )
        for version, reset, reused, pause, read in cases:
            with self.subTest(
                version=version,
                reset=reset,
                reused=reused,
                pause=pause,
                read=read,
            ):
                body = await self.answer_early(
                    HEADS[version] + PART,
                    read=read,
                    pause=pause,
                    reset=reset,
                    reused=reused,
                )
                self.assertTrue(body.is_err())

    async def test_an_orderly_end_with_bytes_under_way_is_an_error(self):
        """The bytes are in the kernel, and the server has not read them.

        The client reads the end of the connection before it can write on.
        """
        for length in (500_000, 1_000_000, 2_000_000):
            for pause in (0.0, 0.05):
                with self.subTest(length=length, pause=pause):
                    body = await self.answer_early(
                        HEADS["HTTP/1.1"] + PART,
                        read=1,
                        pause=pause,
                        reset=False,
                        body=bytes(length),
                    )
                    self.assertTrue(body.is_err())

    async def test_a_close_with_unread_bytes_is_an_error(self):
        """The kernel of a server that crashes resets the connection.

        The whole request has reached the host of the server.
        """
        for length in (10, 10_000):
            with self.subTest(length=length):
                connection, server = await self.connect()
                exchange = self.loop.create_task(
                    self.exchange(connection, bytes(length))
                )
                await self.receive(server, 1)
                await asyncio.sleep(0.02)
                await self.loop.sock_sendall(server, HEADS["HTTP/1.1"] + PART)
                server.close()
                self.assertTrue((await exchange).is_err())

    async def test_a_reset_after_the_whole_request_is_an_error(self):
        for body in (SHORT, bytes(1_000_000)):
            for version in HEADS:
                with self.subTest(version=version, length=len(body)):
                    answer = await self.answer_early(
                        HEADS[version] + PART,
                        read=len(body) + 1,
                        pause=0.02,
                        reset=True,
                        body=body,
                    )
                    self.assertTrue(answer.is_err())

    async def test_an_orderly_end_after_the_request_completes_the_body(self):
        for length in (0, 10, 100_000, 3_000_000):
            for version, head in HEADS.items():
                with self.subTest(version=version, length=length):
                    connection, server = await self.connect()
                    exchange = self.loop.create_task(
                        self.exchange(connection, bytes(length))
                    )
                    received = b""
                    while b"\r\n\r\n" not in received:
                        received += await self.loop.sock_recv(server, 1_000)
                    request_head = received.index(b"\r\n\r\n") + 4
                    await self.receive(
                        server, length + request_head - len(received)
                    )
                    await self.loop.sock_sendall(server, head + PART)
                    server.close()
                    self.assertEqual((await exchange).unwrap(), PART)

    async def test_an_answer_with_a_length_is_whole_at_any_time(self):
        """It may be lost in a reset, but no part of it is taken for it."""
        for reset in (False, True):
            for cut in (0, 5):
                with self.subTest(reset=reset, cut=cut):
                    body = await self.answer_early(
                        FRAMED[: len(FRAMED) - cut],
                        read=1,
                        pause=0.02,
                        reset=reset,
                        body=bytes(1_000_000),
                    )
                    if cut:
                        self.assertTrue(body.is_err())
                    else:
                        self.assertIn(body.ok(), (PART, None))


if __name__ == "__main__":
    unittest.main()
