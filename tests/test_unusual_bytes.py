"""Tests bytes in heads that a peer may send but few peers do."""

from __future__ import annotations

import asyncio
import unittest

import platform_case
import raw_server
import result

from lavendershed.transport import client

# The highest bit of the letter i has turned.
VALUE = "text/pla\xe9n"
BODY = b"id: 1\ndata: piece 1\n\n"
KINDS = ("/unsafe/x", "/safe/x", "/stream/x")


class HeaderServer(raw_server.RawServer):
    """Answers with a header of the test's choice.

    Attributes:
        header: Name and value, as bytes.
        body: The body.
        fields: Headers of the last request, in lower case.
    """

    def __init__(self):
        super().__init__("unusual")
        self.header = (b"x-test", VALUE.encode("latin-1"))
        self.body = BODY
        self.fields = {}

    async def serve(self, reader, writer):
        while True:
            self.fields = await self.read_request(reader)
            request_id = self.fields[b"attempt-id"]
            writer.write(
                b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s\r\n"
                b"content-length: %d\r\n%s: %s\r\n\r\n%s"
                % (request_id, len(self.body), *self.header, self.body)
            )


class UnusualBytesTest(platform_case.PlatformCase):
    """Guards against daemons that end because of one odd byte."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = HeaderServer()
        await self.server.start()
        self.addCleanup(self.server.close)
        await self.use_only(self.server)

    async def send(self, path, address=None, **headers):
        if path == "/stream/x":
            headers = {"token_count": "1000,100", **headers}
        return await self.request(path, b"body", address, **headers)

    async def assert_kept(self, address=None):
        for path in KINDS:
            with self.subTest(path=path):
                response = await self.send(path, address, x_test=VALUE)
                self.assertEqual(response.head.status, 200)
                self.assertEqual(response.head.header("x-test"), VALUE)
                self.assertEqual(response.body, BODY)
                self.assertEqual(
                    self.server.fields[b"x-test"],
                    VALUE.encode("latin-1").lower(),
                )

    async def test_bytes_above_7f_in_headers_are_kept(self):
        await self.assert_kept()

    async def test_bytes_above_7f_in_headers_are_kept_behind_a_peer(self):
        # A daemon is cut off if two servers at least are out of reach.
        self.register_server(self.engines[0], "another-service")
        cut_off = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(lambda: cut_off.parts.peers.live_peers)
        cut_off.links.refuse = True
        await self.send("/safe/x", cut_off.caller_address)
        await self.wait_until(
            lambda: cut_off.parts.components.context.relay.is_cut_off
        )
        await self.assert_kept(cut_off.caller_address)

    async def test_names_of_organisations_are_sent_as_utf_8(self):
        name = "Varna \N{EM DASH} Guild"
        changed = platform_case.configuration(2)
        changed["tenants"][0]["name"] = name
        self.store.put("config", "main", changed)
        await self.wait_until(
            lambda: self.daemon.parts.components.context.view.version == 2
        )
        self.assertEqual((await self.send("/safe/x")).head.status, 200)
        self.assertEqual(self.server.fields[b"tenant"], name.lower().encode())

    async def test_a_request_that_cannot_be_encoded_has_not_run(self):
        """Guards against a daemon that ends, and against a wrong status."""
        for number, service in enumerate(
            (platform_case.MODEL_SERVICE, platform_case.PLAIN_SERVICE)
        ):
            self.store.delete("servers", f"unusual-{number}")
            self.server.id = f"unusual\n{number}"
            self.register_server(self.server, service)
        directory = self.daemon.parts.components.context.view.directory
        await self.wait_until(
            lambda: (
                {"unusual\n0", "unusual\n1"}
                == {entry.id for entry in directory.entries}
            )
        )
        for path in KINDS:
            with self.subTest(path=path):
                response = await self.send(path)
                self.assertEqual(response.head.status, 503)

    async def test_a_keep_alive_timeout_that_is_no_number_is_ignored(self):
        for value in (b"timeout=\xb2", b"timeout=" + b"9" * 5_000):
            self.server.header = (b"keep-alive", value)
            for path in KINDS:
                with self.subTest(value=value[:12], path=path):
                    response = await self.send(path)
                    self.assertEqual(response.head.status, 200)

    async def test_numbers_of_callers_that_cannot_be_read_are_refused(self):
        for name in ("deadline-ms", "last-event-id", "token-count"):
            for value in ("\xb2", "9" * 5_000, "1,\xb2"):
                with self.subTest(name=name, value=value[:8]):
                    response = await self.send(
                        "/stream/x", extra_headers={name: value}
                    )
                    self.assertEqual(response.head.status, 400)

    async def test_an_output_estimate_that_cannot_be_read_is_ignored(self):
        for value in ("\xb2", "9" * 5_000):
            with self.subTest(value=value[:8]):
                response = await self.send("/stream/x", length_hint=value)
                self.assertEqual(response.head.status, 200)

    async def test_event_ids_that_are_no_numbers_end_the_attempt(self):
        for event_id in (b"9" * 5_000, b"\xb2", b"x"):
            self.server.body = b"id: %s\ndata: x\n\n" % event_id
            with self.subTest(event_id=event_id[:8]):
                response = await self.send("/stream/x")
                self.assertEqual(response.head.status, 502)

    async def test_a_failure_of_a_head_request_has_no_body(self):
        for path, key in (("/none/x", platform_case.KEY), ("/safe/x", None)):
            with self.subTest(path=path):
                connection = await self.connect()
                headers = (("host", platform_case.HOST), ("x-api-key", key))
                head = client.RequestHead(
                    "HEAD", path, tuple(h for h in headers if h[1])
                )
                await connection.send(head, b"", platform_case.TIMEOUT)
                response = await connection.read_head(platform_case.TIMEOUT)
                self.assertIsInstance(response, result.Ok)
                self.assertIn(response.ok_value.status, (401, 404))
                connection.close()

    async def asyncTearDown(self):
        # A daemon that ends is not ready from the next turn of the loop on.
        await asyncio.sleep(0.05)
        self.assertTrue(self.daemon.daemon.ready)
        await super().asyncTearDown()


if __name__ == "__main__":
    unittest.main()
