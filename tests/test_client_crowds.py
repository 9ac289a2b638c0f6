"""Tests crowds of clients that send much, read nothing and stay open.

In a trial such clients ended a process: each connection stayed inside its own
limits, and all together filled the memory of the machine. Each test starts one
daemon with lowered limits of its machine, keeps a crowd of connections open and
checks that the daemon lives, stays inside these limits and answers an ordinary
request. Nothing here depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import tempfile
import unittest

import platform_case
import raw_server

from lavendershed.core import units
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.standin import soak_daemon
from lavendershed.transport import boot_timers
from lavendershed.transport import client

MEMORY_MB = 80
MAX_FDS = 4_100
# Descriptors of a machine that sockets and pipes can't use.
RESERVED_FDS = 200
PATIENCE = units.Seconds(15.0)
# A client of the crowd gives up sending after this time, and stays open.
SEND_S = 8.0
SAMPLE_S = 0.05
CHUNK = 65_536
LARGEST_BODY = 4_194_304
MEDIUM_BODY = 65_010
PIECE = 4_096
# What is left out of a body, so that its request never becomes complete.
SHORT_BY = 10
# Just below the limit of a head.
HEAD_BYTES = 16_000
REQUESTS_AHEAD = 4_000
PIPELINED_READINESS = b"GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n"
PIPELINED_NO_ROUTE = b"GET /no-such-route HTTP/1.1\r\nhost: x\r\n\r\n"
STREAM_EVENT_BYTES = 50_000
RECEIVE_BYTES = 16_384


def request_head(path, length):
    """Returns the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nhost: {platform_case.HOST}\r\n"
        f"x-api-key: {platform_case.KEY}\r\nattempt-id: {os.urandom(6).hex()}"
        f"\r\ndeadline-ms: 30000\r\ntoken-count: 1000,100\r\nmodel: m\r\n"
        f"content-length: {length}\r\n\r\n"
    ).encode()


def ordinary_head():
    """Returns the head of a request that any server may answer."""
    fields = {
        "host": platform_case.HOST,
        "attempt-id": os.urandom(6).hex(),
        "x-api-key": platform_case.KEY,
        "deadline-ms": "10000",
    }
    return client.RequestHead("POST", "/safe/x", tuple(fields.items()))


def unfinished_request(length):
    """Returns a request that stops short of the end of its body."""
    return request_head("/unsafe/x", length) + b"x" * (length - SHORT_BY)


class StreamServer(raw_server.RawServer):
    """Sends sound events without end, as fast as they are read."""

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        writer.write(
            b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s\r\n"
            b"content-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n\r\n" % fields[b"attempt-id"]
        )
        data = b"x" * STREAM_EVENT_BYTES
        for number in itertools.count(1):
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()


class Crowd:
    """Connections that send, never read and stay open."""

    def __init__(self, address):
        self._address = (address.host, address.port)
        self._sockets = []

    async def join(self, count, parts):
        """Opens connections; each sends `parts`, as far as it is read."""
        await asyncio.gather(*(self._run(tuple(parts)) for _ in range(count)))

    def leave(self):
        for member in self._sockets:
            member.close()

    async def _run(self, parts):
        loop = asyncio.get_running_loop()
        member = socket.socket()
        # What the kernels of both sides hold is not measured here.
        member.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        member.setblocking(False)
        self._sockets.append(member)
        # The daemon may refuse or close a connection, or not read on.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                await loop.sock_connect(member, self._address)
                for part in parts:
                    await loop.sock_sendall(member, part)
                    # The parts of all connections come in turn.
                    await asyncio.sleep(0)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, sound servers and one daemon process.

    Attributes:
        LIMITS: Limits of the machine as the settings file names them.
    """

    LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}

    async def asyncSetUp(self):
        timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self.store = platform_store.StandinPlatformStore(timers)
        await self.store.start()
        self.addCleanup(self.store.close)
        self.store.put("config", "main", self.configuration())
        self.server = platform_engine.StandinPlatformEngine("sound", timers)
        await self.server.start()
        self.addCleanup(self.server.close)
        self.register(self.server, platform_case.PLAIN_SERVICE)
        self.streams = StreamServer("streams")
        await self.streams.start()
        self.addCleanup(self.streams.close)
        self.register(self.streams, platform_case.MODEL_SERVICE)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.daemon = soak_daemon.DaemonProcess(
            1, 18_000, pathlib.Path(directory.name), limits=self.LIMITS
        )
        await self.daemon.start(self.store.address, [])
        self.addAsyncCleanup(self.stop_daemon)
        self.most_descriptors = 0
        async with asyncio.timeout(PATIENCE):
            while await self.readiness() != 200:
                await asyncio.sleep(SAMPLE_S)
        self.crowds = []
        self.addCleanup(lambda: [crowd.leave() for crowd in self.crowds])

    def configuration(self):
        configuration = platform_case.configuration(1)
        # Longer than a test, so that only the limits of memory act.
        configuration["limits"]["header_timeout_ms"] = 30_000
        configuration["limits"]["idle_timeout_ms"] = 60_000
        model, _ = configuration["services"]
        model["max_connections"] = 1_000
        model["engine"] = {
            **platform_case.ENGINE,
            "slots": 1_000,
            "kv_capacity": 10_000_000,
        }
        return configuration

    def register(self, server, service):
        self.store.put(
            "servers",
            server.id,
            {
                "service": service,
                "address": str(server.address),
                "zone": "a",
                "version": "v1",
                "slots": 1_000,
                "state": "ready",
                "born": 1,
                "seq": 1,
            },
        )

    async def stop_daemon(self):
        self.daemon.send_signal(signal.SIGKILL)
        await self.daemon.wait()
        self.daemon.close()

    async def readiness(self):
        """Returns the status of the readiness question, 0 without an answer."""
        head = client.RequestHead("GET", "/readyz")
        return await self.exchange(self.daemon.readiness_address, head, b"")

    async def ordinary_request(self):
        """Sends one request; returns its status, 0 without an answer."""
        return await self.exchange(
            self.daemon.frontend_address, ordinary_head(), b"body"
        )

    async def exchange(self, address, head, body):
        connected = await client.connect(address, PATIENCE)
        if connected.is_err():
            return 0
        connection = connected.unwrap()
        try:
            await connection.send(head, body, PATIENCE)
            response = await connection.read_head(PATIENCE)
            return 0 if response.is_err() else response.unwrap().status
        finally:
            connection.close()

    def crowd(self, address=None):
        crowd = Crowd(address or self.daemon.frontend_address)
        self.crowds.append(crowd)
        return crowd

    async def assert_withstands(self, *gatherings):
        """Fails if the crowds end, hang or outgrow the daemon's machine."""
        sampling = asyncio.get_running_loop().create_task(
            self.sample_descriptors()
        )
        await asyncio.gather(*gatherings)
        ready = await self.readiness()
        status = await self.ordinary_request()
        sampling.cancel()
        with self.subTest("the process lives"):
            self.assertTrue(self.daemon.running)
        with self.subTest("memory"):
            limit = self.LIMITS["memory_mb"] * 1_000_000
            self.assertLess(self.peak_memory(), limit)
        with self.subTest("descriptors"):
            limit = self.LIMITS["max_fds"] - RESERVED_FDS
            self.assertLessEqual(self.most_descriptors, limit)
        with self.subTest("readiness is answered"):
            self.assertEqual(ready, 200)
        with self.subTest("an ordinary request is answered"):
            self.assertEqual(status, 200)

    async def sample_descriptors(self):
        folder = f"/proc/{self.daemon.process_id}/fd"
        while True:
            with contextlib.suppress(FileNotFoundError):
                count = len(os.listdir(folder))
                self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_S)

    def peak_memory(self):
        """Returns the largest resident size of the daemon in bytes."""
        path = pathlib.Path(f"/proc/{self.daemon.process_id}/status")
        line = next(
            line
            for line in path.read_text().splitlines()
            if line.startswith("VmHWM:")
        )
        return int(line.split()[1]) * 1_024


class UnfinishedRequestTest(CrowdCase):
    """Guards against requests that never end and are held in memory."""

    async def test_large_bodies_whole(self):
        largest = unfinished_request(LARGEST_BODY)
        medium = unfinished_request(MEDIUM_BODY)
        await self.assert_withstands(
            self.crowd().join(40, [largest]),
            self.crowd().join(800, [medium]),
        )

    async def test_bodies_in_pieces(self):
        data = unfinished_request(MEDIUM_BODY)
        pieces = [
            data[start : start + PIECE] for start in range(0, len(data), PIECE)
        ]
        await self.assert_withstands(self.crowd().join(900, pieces))

    async def test_heads_that_never_end(self):
        head = b"GET / HTTP/1.1\r\nhost: x\r\nx: "
        head += b"x" * (HEAD_BYTES - len(head))
        await self.assert_withstands(self.crowd().join(3_400, [head]))


class UnreadAnswerTest(CrowdCase):
    """Guards against answers that are made and never read."""

    async def test_readiness_path(self):
        """Requests sent ahead at the address of the platform's check."""
        crowd = self.crowd(self.daemon.readiness_address)
        await self.assert_withstands(
            crowd.join(300, [PIPELINED_READINESS * REQUESTS_AHEAD])
        )

    async def test_path_that_no_route_has(self):
        await self.assert_withstands(
            self.crowd().join(300, [PIPELINED_NO_ROUTE * REQUESTS_AHEAD])
        )

    async def test_streams(self):
        request = request_head("/stream/x", 6) + b"prompt"
        await self.assert_withstands(self.crowd().join(300, [request]))


class DescriptorTest(CrowdCase):
    """Guards against connections that take the descriptors of all others."""

    LIMITS = {"memory_mb": MEMORY_MB, "max_fds": 600}

    async def test_connections_without_a_byte(self):
        await self.assert_withstands(
            self.crowd().join(900, []),
            self.crowd(self.daemon.readiness_address).join(900, []),
        )


class AllAtOnceTest(CrowdCase):
    """Guards against crowds that share out the limits among them."""

    async def test_all_at_once(self):
        await self.assert_withstands(
            self.crowd().join(20, [unfinished_request(LARGEST_BODY)]),
            self.crowd().join(500, [unfinished_request(MEDIUM_BODY)]),
            self.crowd().join(500, [b"GET / HTTP/1.1\r\nx: " + b"x" * 15_000]),
            self.crowd(self.daemon.readiness_address).join(
                150, [PIPELINED_READINESS * REQUESTS_AHEAD]
            ),
            self.crowd().join(150, [PIPELINED_NO_ROUTE * REQUESTS_AHEAD]),
            self.crowd().join(100, [request_head("/stream/x", 6) + b"prompt"]),
            self.crowd().join(500, []),
        )


class CalmTest(CrowdCase):
    """Fails if a client inside the limits of the configuration meets others."""

    LIMITS = {"memory_mb": 160, "max_fds": MAX_FDS}

    async def test_clients_inside_the_limits_are_all_served(self):
        kept = [
            (
                await client.connect(self.daemon.frontend_address, PATIENCE)
            ).unwrap()
            for _ in range(1_000)
        ]
        for connection in kept:
            self.addCleanup(connection.close)
        for number in range(2):
            for connection in kept:
                if number:
                    connection.start_next_exchange()
                await connection.send(ordinary_head(), b"body", PATIENCE)
                response = (await connection.read_head(PATIENCE)).unwrap()
                self.assertEqual(response.status, 200)
                await connection.read_body(PATIENCE, units.Bytes(1_000))
        largest = b"x" * LARGEST_BODY
        self.assertEqual(
            await self.exchange(
                self.daemon.frontend_address, ordinary_head(), largest
            ),
            200,
        )
        reader, writer = await asyncio.open_connection(
            self.daemon.frontend_address.host, self.daemon.frontend_address.port
        )
        writer.write(request_head("/safe/x", 40))
        for _ in range(40):
            writer.write(b"x")
            await asyncio.sleep(SAMPLE_S)
        async with asyncio.timeout(PATIENCE):
            status_line = await reader.readline()
        writer.close()
        self.assertIn(b" 200 ", status_line)
        self.assertTrue(all(connection.reusable for connection in kept))


if __name__ == "__main__":
    unittest.main()
