"""Tests responses that never end against the client's limits."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import client
from lavendershed.transport import errors

TIMEOUT = units.Seconds(0.3)
# The client has to give up soon after the timeout.
PATIENCE_S = 1.0
MAX_BODY = units.Bytes(100_000)

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes without end in any part of a response."""

    async def respond(self, prefix, repeated, interval_s):
        """Serves `prefix` and then `repeated` until the client closes."""

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(prefix)
                for _ in itertools.count():
                    writer.write(repeated)
                    await writer.drain()
                    await asyncio.sleep(interval_s)
            except OSError:
                # The client has closed the connection.
                return
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return address_module.Address(host, port)

    async def read(self, address):
        """Returns the error of the exchange."""
        connection = (await client.connect(address, TIMEOUT)).unwrap()
        try:
            await connection.send(client.RequestHead("GET", "/"), b"", TIMEOUT)
            async with asyncio.timeout(PATIENCE_S):
                head = await connection.read_head(TIMEOUT)
                if head.is_err():
                    return head.err_value
                body = await connection.read_body(TIMEOUT, MAX_BODY)
                return body.err_value
        finally:
            connection.close()

    async def test_parts_that_never_end_fail_within_the_timeout(self):
        for name, prefix, repeated in (
            ("status line", b"HTTP", b"x"),
            ("header", HEAD + b"a: ", b"b"),
            ("headers", HEAD, b"a: b\r\n"),
            ("interim responses", b"", INTERIM),
            ("chunk size", CHUNKED, b"0"),
            ("chunk extension", CHUNKED + b"1;", b"x"),
            ("trailer", CHUNKED + b"0\r\n", b"a: b\r\n"),
            ("small chunks", CHUNKED, b"1\r\nx\r\n"),
            ("body until close", HEAD + b"\r\n", b"x"),
            ("long body", HEAD + b"content-length: 999999\r\n\r\n", b"x"),
        ):
            for speed, interval_s, factor in (
                ("slow", 0.02, 1),
                ("fast", 0.0, 500),
            ):
                with self.subTest(part=name, speed=speed):
                    address = await self.respond(
                        prefix, repeated * factor, interval_s
                    )
                    error = await self.read(address)
                    self.assertIn(
                        error.kind,
                        (
                            errors.TransportErrorKind.IDLE_TIMEOUT,
                            errors.TransportErrorKind.PROTOCOL,
                        ),
                    )

    async def test_bytes_after_a_response_prevent_reuse(self):
        """Guards against a late copy that the next caller would get."""
        complete = HEAD + b"content-length: 1\r\n\r\nx"
        address = await self.respond(complete, complete, 0.05)
        connection = (await client.connect(address, TIMEOUT)).unwrap()
        await connection.send(client.RequestHead("GET", "/"), b"", TIMEOUT)
        self.assertTrue((await connection.read_head(TIMEOUT)).is_ok())
        body = await connection.read_body(TIMEOUT, MAX_BODY)
        self.assertEqual(body.unwrap(), b"x")
        await asyncio.sleep(0.1)
        self.assertFalse(connection.reusable)
        connection.close()


if __name__ == "__main__":
    unittest.main()
