"""Guards calls between daemons against hangs, overload and bad frames."""

from __future__ import annotations

import asyncio
import unittest

import examples
import hypothesis
from hypothesis import strategies

from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.peer import authentication
from lavendershed.peer import client
from lavendershed.peer import datagrams
from lavendershed.peer import frames
from lavendershed.peer import server
from lavendershed.peer.gen.messages import ttypes
from lavendershed.transport import address

FUZZ = hypothesis.settings(derandomize=True, database=None, max_examples=200)
CHUNK = b"x" * 1_000_000


class Service(peers.PeerService, peers.DatagramReceiver):
    """Returns fixed values and records received datagrams."""

    def __init__(self):
        self.received = []

    def manifest(self):
        return None

    def chunk(self, chunk_hash):
        return CHUNK * (2 if chunk_hash == "huge" else 1)

    def snapshot(self):
        return examples.SNAPSHOT

    def incarnation_state(self, owner):
        return states.MemberState.DEAD

    def on_datagram(self, message):
        self.received.append(message)


class PeerServerTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a call hangs, crashes the server or gets a wrong answer."""

    async def asyncSetUp(self):
        self.envelope, _ = examples.new_envelope(examples.OLD_KEY)
        self.service = Service()
        self.server = server.PeerServer(
            self.envelope, self.service, units.Seconds(0.2), 2
        )
        await self.server.start(address.Address("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.port = self.server._server.sockets[0].getsockname()[1]
        self.peer = records.PeerAddress(f"127.0.0.1:{self.port}")
        self.client = client.TcpPeerClient(
            self.envelope, examples.generator(), units.Seconds(1.0)
        )

    async def test_calls_are_answered(self):
        fetched = await self.client.fetch_chunk(self.peer, ids.ChunkHash("a"))
        self.assertEqual(fetched.unwrap(), CHUNK)
        snapshot = await self.client.fetch_snapshot(self.peer)
        self.assertEqual(snapshot.unwrap(), examples.SNAPSHOT)
        state = await self.client.fetch_incarnation_state(
            self.peer, examples.OWNER
        )
        self.assertIs(state.unwrap(), states.MemberState.DEAD)
        absent = await self.client.fetch_manifest(self.peer)
        self.assertIs(absent.unwrap_err().kind, peers.PeerErrorKind.ABSENT)

    async def test_too_large_answer_is_refused(self):
        outcome = await self.client.fetch_chunk(
            self.peer, ids.ChunkHash("huge")
        )
        self.assertIs(outcome.unwrap_err().kind, peers.PeerErrorKind.REFUSED)

    async def test_idle_and_excess_connections_are_closed(self):
        idle_connections = [
            await asyncio.open_connection("127.0.0.1", self.port)
            for _ in range(2)
        ]
        await asyncio.sleep(0.05)
        outcome = await self.client.fetch_snapshot(self.peer)
        self.assertTrue(outcome.is_err())
        for reader, writer in idle_connections:
            self.assertEqual(await asyncio.wait_for(reader.read(), 2.0), b"")
            writer.close()
        again = await self.client.fetch_snapshot(self.peer)
        self.assertTrue(again.is_ok())

    async def test_too_long_frame_is_not_read(self):
        # Keeps the connection timeout from closing the connection first.
        self.server._connection_timeout = units.Seconds(60.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write((frames.MAX_CALL_BYTES + 1).to_bytes(4, "big"))
        self.assertEqual(await asyncio.wait_for(reader.read(), 5.0), b"")
        writer.close()

    async def test_silent_server_does_not_hang_the_client(self):
        async def ignore(reader, writer):
            await reader.read()
            writer.close()

        silent = await asyncio.start_server(ignore, "127.0.0.1", 0)
        self.addCleanup(silent.close)
        port = silent.sockets[0].getsockname()[1]
        outcome = await self.client.fetch_snapshot(
            records.PeerAddress(f"127.0.0.1:{port}")
        )
        error = outcome.unwrap_err()
        self.assertIs(error.kind, peers.PeerErrorKind.UNREACHABLE)

    async def test_only_valid_datagrams_are_received(
        self,
    ):
        udp = datagrams.UdpTransport(self.envelope, self.service)
        await udp.start(address.Address("127.0.0.1", self.port))
        self.addCleanup(udp.close)
        udp._transport.sendto(b"garbage", ("127.0.0.1", self.port))
        udp.send(self.peer, examples.MESSAGE)
        for _ in range(50):
            await asyncio.sleep(0.02)
            if self.service.received:
                break
        self.assertEqual(self.service.received, [examples.MESSAGE])


class FrameFuzzTest(unittest.TestCase):
    """Fails if the content of a frame makes the server raise."""

    @hypothesis.given(strategies.binary(max_size=300), strategies.booleans())
    @FUZZ
    def test_any_content_gets_an_answer_or_none(self, content, authentic):
        envelope_codec, _ = examples.new_envelope(examples.OLD_KEY)
        if authentic:
            content = authentication.Authenticator((examples.OLD_KEY,)).sign(
                authentication.Purpose.CALL, content
            )
        server.PeerServer(envelope_codec, Service()).handle_call(content)

    @hypothesis.given(
        strategies.one_of(strategies.none(), strategies.integers(-9, 9)),
        strategies.one_of(strategies.none(), strategies.text()),
        strategies.booleans(),
    )
    @FUZZ
    def test_any_fields_get_an_answer_or_none(self, kind, text, has_owner):
        envelope_codec, _ = examples.new_envelope(examples.OLD_KEY)
        call = ttypes.Call(
            deployment="one",
            call_id=1,
            kind=kind,
            chunk_hash=text,
            owner=ttypes.Owner(vm=text) if has_owner else None,
        )
        signed = envelope_codec.encode(authentication.Purpose.CALL, call)
        server.PeerServer(envelope_codec, Service()).handle_call(signed)


if __name__ == "__main__":
    unittest.main()
