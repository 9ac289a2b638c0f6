"""Tests answers that break off in their heads."""

from __future__ import annotations

import unittest

import platform_case
import raw_server
import result

from lavendershed.transport import client

BODY = b"id: 1\ndata: piece 1\n\n"
FRAMINGS = {
    "length": (b"content-length: %d\r\n" % len(BODY), BODY),
    "chunks": (
        b"transfer-encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY),
    ),
    "neither": (b"", BODY),
}
KINDS = ("/unsafe/x", "/safe/x", "/stream/x")


class BreakingServer(raw_server.RawServer):
    """Closes each connection after some bytes of an answer.

    Attributes:
        framing: How the answer states its end.
        cut: Bytes of the head that are sent; None for the whole answer.
        whole_before: Whole answers on a connection before that.
    """

    def __init__(self):
        super().__init__("breaking")
        self.framing = "length"
        self.cut = None
        self.whole_before = 0
        self.reused = 0

    def answer(self, request_id):
        framing, body = FRAMINGS[self.framing]
        head = (
            b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: seal-%s\r\n"
            b"keep-alive: timeout=5\r\n%s\r\n"
            % (request_id, request_id, framing)
        )
        return head, body

    async def serve(self, reader, writer):
        for number in range(self.whole_before + 1):
            fields = await self.read_request(reader)
            self.reused += number > 0
            head, body = self.answer(fields[b"attempt-id"])
            if number < self.whole_before or self.cut is None:
                writer.write(head + body)
                continue
            writer.write(head[: self.cut])


class BrokenHeadTest(platform_case.PlatformCase):
    """Fails if an answer whose head breaks off becomes a success."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = BreakingServer()
        await self.server.start()
        self.addCleanup(self.server.close)
        await self.use_only(self.server)

    async def send(self, path, address=None):
        size = {"token_count": "1000,100"} if path == "/stream/x" else {}
        # Of the same length each time, so that each cut is met.
        return await self.request(
            path, b"body", address, attempt_id="id-of-this", **size
        )

    def head_length(self):
        return len(self.server.answer(b"id-of-this")[0])

    async def assert_no_success(self, step=1, address=None):
        for framing in FRAMINGS:
            self.server.framing = framing
            for path in KINDS:
                for cut in range(0, self.head_length(), step):
                    with self.subTest(framing=framing, path=path, cut=cut):
                        self.server.cut = cut
                        response = await self.send(path, address)
                        self.assertFalse(
                            isinstance(response, client.Response)
                            and response.head.status < 400
                        )

    async def test_whole_answers_are_successes(self):
        for framing in FRAMINGS:
            self.server.framing = framing
            for path in KINDS:
                with self.subTest(framing=framing, path=path):
                    response = await self.send(path)
                    self.assertEqual(response.head.status, 200)
                    self.assertEqual(response.body, BODY)

    async def test_heads_that_break_off_on_new_connections(self):
        await self.assert_no_success()

    async def test_heads_that_break_off_on_reused_connections(self):
        self.server.whole_before = 1
        for framing in ("length", "chunks"):
            self.server.framing = framing
            for path in ("/safe/x", "/stream/x"):
                for cut in range(0, self.head_length(), 3):
                    with self.subTest(framing=framing, path=path, cut=cut):
                        self.server.cut = None
                        whole = await self.send(path)
                        self.assertEqual(whole.head.status, 200)
                        self.server.cut = cut
                        # The connection that is reused answers in part; the
                        # next attempt gets a whole answer on a new one.
                        response = await self.send(path)
                        if isinstance(response, result.Err):
                            continue
                        if response.head.status < 400:
                            self.assertEqual(response.body, BODY)
        self.assertGreater(self.server.reused, 20)

    async def test_heads_that_break_off_behind_a_peer(self):
        # A daemon is cut off if two servers at least are out of reach.
        self.register_server(self.engines[0], "another-service")
        cut_off = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(lambda: cut_off.parts.peers.live_peers)
        cut_off.links.refuse = True
        await self.send("/safe/x", cut_off.caller_address)
        await self.wait_until(
            lambda: cut_off.parts.components.context.relay.is_cut_off
        )
        whole = await self.send("/safe/x", cut_off.caller_address)
        self.assertEqual(whole.head.status, 200)
        await self.assert_no_success(7, cut_off.caller_address)


if __name__ == "__main__":
    unittest.main()
