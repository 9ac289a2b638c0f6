"""TCP server for calls from other daemons."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peers
from lavendershed.peer import authentication
from lavendershed.peer import codec
from lavendershed.peer import envelope as envelope_module
from lavendershed.peer import frames
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.transport import address as address_module

MAX_CONNECTIONS = 64
_CONNECTION_TIMEOUT = units.Seconds(5.0)


class PeerServer:
    """Serves one call per connection, within a time limit."""

    def __init__(
        self,
        envelope: envelope_module.EnvelopeCodec,
        service: peers.PeerService,
        connection_timeout: units.Seconds = _CONNECTION_TIMEOUT,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._envelope = envelope
        self._service = service
        self._connection_timeout = connection_timeout
        self._max_connections = max_connections
        self._open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: address_module.Address) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host, address.port))
        except OSError:
            sock.close()
            raise
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=frames.MAX_CALL_BYTES
        )

    def close(self) -> None:
        """Stops accepting connections; open calls end within their timeout."""
        if self._server is not None:
            self._server.close()

    def handle_call(self, content: bytes) -> bytes | None:
        """Returns the encoded answer to a call; None for an invalid call."""
        call: Any = self._envelope.decode(
            authentication.Purpose.CALL, ttypes.Call, content
        )
        if call is None or call.call_id is None:
            return None
        try:
            answer = self._dispatch(call)
        except (*wire.DECODE_ERRORS, AttributeError):
            return None
        answer.deployment = self._envelope.deployment
        answer.call_id = call.call_id
        signed = self._envelope.encode(authentication.Purpose.ANSWER, answer)
        if len(signed) <= frames.MAX_ANSWER_BYTES:
            return signed
        return self._envelope.encode(
            authentication.Purpose.ANSWER,
            ttypes.Answer(
                deployment=self._envelope.deployment,
                call_id=call.call_id,
                status=frames.AnswerStatus.TOO_LARGE.value,
            ),
        )

    def _dispatch(self, call: Any) -> Any:  # noqa: ANN401
        if call.kind == frames.CallKind.FETCH_MANIFEST.value:
            return _content_answer(self._service.manifest())
        if call.kind == frames.CallKind.FETCH_CHUNK.value:
            name = ids.ChunkHash(call.chunk_hash or "")
            return _content_answer(self._service.chunk(name))
        if call.kind == frames.CallKind.FETCH_SNAPSHOT.value:
            return ttypes.Answer(
                status=frames.AnswerStatus.OK.value,
                snapshot=codec.snapshot_to_thrift(self._service.snapshot()),
            )
        if call.kind == frames.CallKind.OWNER_STATE.value:
            state = self._service.incarnation_state(
                codec.owner_from_thrift(call.owner)
            )
            return ttypes.Answer(
                status=frames.AnswerStatus.OK.value,
                member_state=codec.MEMBER_STATE_NUMBERS[state],
            )
        return ttypes.Answer(status=frames.AnswerStatus.UNKNOWN_CALL.value)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._open_connections >= self._max_connections:
            writer.transport.abort()
            return
        self._open_connections += 1
        try:
            async with asyncio.timeout(self._connection_timeout):
                content = await frames.read_frame(reader, frames.MAX_CALL_BYTES)
                answer = (
                    self.handle_call(content) if content is not None else None
                )
                if answer is not None:
                    writer.write(frames.encode_frame(answer))
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
        except (TimeoutError, OSError):
            pass
        finally:
            self._open_connections -= 1
            writer.transport.abort()


def _content_answer(content: bytes | None) -> Any:  # noqa: ANN401
    if content is None:
        return ttypes.Answer(status=frames.AnswerStatus.ABSENT.value)
    return ttypes.Answer(status=frames.AnswerStatus.OK.value, content=content)
