"""Tests connections on which a server sends bytes that belong to no request."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

import platform_case
import raw_server

from lavendershed.core import units
from lavendershed.forwarding import requests
from lavendershed.routing import memory_shares
from lavendershed.transport import client

SERVICE = platform_case.PLAIN_SERVICE
# The next request is sent before the response that is still due.
RESPONSE_DELAY_S = 0.1


def respond(request_id, body=b"whole answer"):
    """Returns the response of a server to a request."""
    return (
        b"HTTP/1.1 200 OK\r\n"
        b"content-length: %d\r\n"
        b"keep-alive: timeout=5\r\n"
        b"attempt-id: %s\r\n"
        b"engine-seal: seal-%s\r\n\r\n%s"
        % (len(body), request_id, request_id, body)
    )


class CopyingServer(raw_server.RawServer):
    """Sends a second copy of each response when the next request arrives.

    The copy comes before the response to that request.
    """

    def __init__(self):
        super().__init__("copying")
        self.connections = 0
        self.requests = []

    async def serve(self, reader, writer):
        self.connections += 1
        copy = b""
        while True:
            fields = await self.read_request(reader)
            request_id = fields.get(b"attempt-id", b"")
            self.requests.append(request_id.decode())
            response = respond(request_id)
            writer.write(copy)
            await writer.drain()
            await asyncio.sleep(RESPONSE_DELAY_S)
            writer.write(response)
            copy = response


class LateCopyTest(platform_case.PlatformCase):
    """Guards against answers that reach the caller of another request.

    A server sends a second copy of an answer, late, on a connection that is in
    use again. The answer to the request in between then arrives where the next
    caller expects its own.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = CopyingServer()
        await self.server.start()
        self.addCleanup(self.server.close)

    async def use_only(self, *servers):
        """Leaves only these servers in the plain service."""
        for server in self.plain_servers:
            self.store.delete("servers", server.id)
        for server in servers:
            self.register_server(server, SERVICE)
        directory = self.daemon.parts.components.context.view.directory
        await self.wait_until(
            lambda: (
                {e.id for e in directory.servers_accepting_work(SERVICE)}
                == {s.id for s in servers}
            )
        )

    async def test_each_caller_gets_its_own_answer(self):
        await self.use_only(self.server)
        for number in range(6):
            response = await self.request(
                "/safe/a", attempt_id=f"own-{number}", deadline_ms="900"
            )
            if response.head.status == 200:
                self.assertEqual(
                    response.head.header("engine-seal"), f"seal-own-{number}"
                )

    async def test_a_connection_is_not_used_after_a_foreign_answer(self):
        """The answer that was due is still to come on that connection."""
        await self.use_only(self.server)
        statuses = [
            (
                await self.request(
                    "/safe/a", attempt_id=f"own-{n}", deadline_ms="900"
                )
            ).head.status
            for n in range(6)
        ]
        # Every second request meets the copy of the one before it.
        self.assertGreaterEqual(statuses.count(200), 3)
        self.assertGreaterEqual(self.server.connections, 3)

    async def test_a_copy_does_not_confirm_a_reservation(self):
        """Guards against memory that is taken for reserved."""
        codec = self.daemon.parts.components.context.backend_codec
        head = client.ResponseHead(
            200, (("attempt-id", "of-a-request"), ("keep-alive", "timeout=5"))
        )
        status = codec.decode_reservation_status(head)
        self.assertEqual(status.value, "unknown")
        self.assertTrue(codec.decode_status(head, b"{}").is_err())


class OrderCopyServer(raw_server.RawServer):
    """Grants the first order on a connection and refuses the others.

    It sends a second copy of the grant where the next answer is expected.
    """

    def __init__(self):
        super().__init__("order-copying")
        self.orders = 0

    async def serve(self, reader, writer):
        grant = (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
            b"keep-alive: timeout=5\r\n\r\n{}"
        )
        refusal = grant.replace(b"200 OK", b"409 Conflict")
        copy = b""
        while True:
            await self.read_request(reader)
            self.orders += 1
            writer.write(copy + (grant if self.orders == 1 else refusal))
            copy = grant


class OrderCopyTest(platform_case.PlatformCase):
    """Guards against memory that is taken for reserved (LEAK, STUCK)."""

    async def test_a_copy_of_a_grant_does_not_confirm_the_next_order(self):
        """Answers to orders have no id that tells them apart."""
        server = OrderCopyServer()
        await server.start()
        self.addCleanup(server.close)
        context = self.daemon.parts.components.context
        entry = dataclasses.replace(
            context.view.directory.entries[0], address=server.address
        )
        share = memory_shares.MemoryShare(entry, units.Tokens(1_000))
        first, second = [
            await context.reservations.reserve_share(share, f"r-{number}")
            for number in range(2)
        ]
        self.assertIs(first, requests.ReservationStatus.GRANTED)
        self.assertIs(second, requests.ReservationStatus.NO_ROOM)


if __name__ == "__main__":
    unittest.main()
