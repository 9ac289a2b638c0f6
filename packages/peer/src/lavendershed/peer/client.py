"""TCP client for calls to other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Any

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.membership import messages
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.peer import authentication
from lavendershed.peer import codec
from lavendershed.peer import envelope as envelope_module
from lavendershed.peer import frames
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.transport import address as address_module

_CALL_TIMEOUT = units.Seconds(2.0)
_CALL_ID_BITS = 63


class TcpPeerClient(peers.PeerClient):
    """Client that opens one connection per call, since calls are rare."""

    def __init__(
        self,
        envelope: envelope_module.EnvelopeCodec,
        generator: random.Random,
        call_timeout: units.Seconds = _CALL_TIMEOUT,
    ) -> None:
        self._envelope = envelope
        self._random = generator
        self._call_timeout = call_timeout

    async def fetch_manifest(
        self, peer: records.PeerAddress
    ) -> result.Result[bytes, peers.PeerError]:
        """Fetches the encoded active manifest of another daemon."""
        return _content_of(
            await self._call(peer, frames.CallKind.FETCH_MANIFEST)
        )

    async def fetch_chunk(
        self, peer: records.PeerAddress, chunk_hash: ids.ChunkHash
    ) -> result.Result[bytes, peers.PeerError]:
        """Fetches one encoded configuration chunk; its hash is not verified."""
        return _content_of(
            await self._call(
                peer, frames.CallKind.FETCH_CHUNK, chunk_hash=chunk_hash
            )
        )

    async def fetch_snapshot(
        self, peer: records.PeerAddress
    ) -> result.Result[messages.Snapshot, peers.PeerError]:
        """Fetches all members and soft-state records of another daemon."""
        outcome = await self._call(peer, frames.CallKind.FETCH_SNAPSHOT)
        if isinstance(outcome, result.Err):
            return outcome
        try:
            return result.Ok(
                codec.snapshot_from_thrift(outcome.ok_value.snapshot)
            )
        except (*wire.DECODE_ERRORS, AttributeError):
            return _error(peers.PeerErrorKind.PROTOCOL, "invalid snapshot")

    async def fetch_incarnation_state(
        self, peer: records.PeerAddress, owner: backend_servers.Owner
    ) -> result.Result[states.MemberState, peers.PeerError]:
        """Fetches the state of one daemon process as another daemon sees it."""
        outcome = await self._call(
            peer,
            frames.CallKind.OWNER_STATE,
            owner=codec.owner_to_thrift(owner),
        )
        if isinstance(outcome, result.Err):
            return outcome
        state = codec.MEMBER_STATES_BY_NUMBER.get(outcome.ok_value.member_state)
        if state is None:
            return _error(peers.PeerErrorKind.PROTOCOL, "unknown state")
        return result.Ok(state)

    async def _call(
        self,
        peer: records.PeerAddress,
        kind: frames.CallKind,
        **fields: Any,  # noqa: ANN401
    ) -> result.Result[Any, peers.PeerError]:
        parsed = address_module.parse(peer)
        if isinstance(parsed, result.Err):
            return _error(peers.PeerErrorKind.UNREACHABLE, parsed.err_value)
        call_id = self._random.getrandbits(_CALL_ID_BITS)
        call = ttypes.Call(
            deployment=self._envelope.deployment,
            call_id=call_id,
            kind=kind.value,
            **fields,
        )
        signed = self._envelope.encode(authentication.Purpose.CALL, call)
        try:
            async with asyncio.timeout(self._call_timeout):
                content = await _exchange(parsed.ok_value, signed)
        except (TimeoutError, OSError) as error:
            return _error(
                peers.PeerErrorKind.UNREACHABLE,
                f"{peer}: {error or 'no answer within the time limit'}",
            )
        if content is None:
            return _error(
                peers.PeerErrorKind.PROTOCOL, f"{peer}: the answer is truncated"
            )
        answer: Any = self._envelope.decode(
            authentication.Purpose.ANSWER, ttypes.Answer, content
        )
        if answer is None or answer.call_id != call_id:
            return _error(
                peers.PeerErrorKind.PROTOCOL,
                f"{peer}: the answer does not match the call",
            )
        if answer.status == frames.AnswerStatus.OK.value:
            return result.Ok(answer)
        if answer.status == frames.AnswerStatus.ABSENT.value:
            return _error(peers.PeerErrorKind.ABSENT, f"{peer}: not available")
        return _error(
            peers.PeerErrorKind.REFUSED, f"{peer}: status {answer.status}"
        )


async def _exchange(
    address: address_module.Address, signed: bytes
) -> bytes | None:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(sock.close)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address.host, address.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        cleanup.pop_all()
    try:
        writer.write(frames.encode_frame(signed))
        await writer.drain()
        return await frames.read_frame(reader, frames.MAX_ANSWER_BYTES)
    finally:
        writer.transport.abort()


def _content_of(
    outcome: result.Result[Any, peers.PeerError],
) -> result.Result[bytes, peers.PeerError]:
    if isinstance(outcome, result.Err):
        return outcome
    if not isinstance(outcome.ok_value.content, bytes):
        return _error(peers.PeerErrorKind.PROTOCOL, "no content")
    return result.Ok(outcome.ok_value.content)


def _error(
    kind: peers.PeerErrorKind, detail: str
) -> result.Err[peers.PeerError]:
    return result.Err(peers.PeerError(kind, detail))
