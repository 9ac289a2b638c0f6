"""Decoding of the server-sent events of a model engine."""

from __future__ import annotations

import orjson
import result

from lavendershed.backend import json_members
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import pool

_SEPARATOR = b"\n\n"
_TOKEN_PREFIX = b"event: token\ndata: "
_ACCEPTED_PREFIX = b"event: accepted\ndata: "
_END_PREFIX = b"event: end\ndata: "
_MAX_EVENT_BYTES = 1_000_000


def decode_token_text(events: tuple[bytes, ...]) -> str:
    """Decodes the text of encoded token events."""
    return "".join(
        orjson.loads(event[len(_TOKEN_PREFIX) :])["text"] for event in events
    )


class EventDecoder:
    """Splits a byte stream into events; keeps token events encoded.

    Each token event is parsed once, so that only well-formed events are relayed
    or kept for resuming a stream; it is not encoded again.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._attempt_id = ids.AttemptId("")

    @property
    def has_partial_event(self) -> bool:
        """Whether the data so far ends within an event."""
        return bool(self._buffer)

    def feed(
        self, data: bytes
    ) -> result.Result[tuple[backend_servers.StreamEvent, ...], str]:
        """Returns the events that `data` completes."""
        *complete, self._buffer = (self._buffer + data).split(_SEPARATOR)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            return result.Err("an event exceeds the size limit")
        events: list[backend_servers.StreamEvent] = []
        token_events: list[bytes] = []
        try:
            for event in complete:
                if event.startswith(_TOKEN_PREFIX):
                    token_events.append(event + _SEPARATOR)
                    continue
                if token_events:
                    events.append(self._token_batch(token_events))
                    token_events = []
                events.append(self._decode_control_event(event))
            if token_events:
                events.append(self._token_batch(token_events))
        except (ValueError, KeyError, TypeError) as error:
            return result.Err(f"malformed event: {error!r}")
        return result.Ok(tuple(events))

    def _token_batch(self, events: list[bytes]) -> backend_servers.TokenBatch:
        first_offset = _token_offset(events[0])
        for expected_offset, event in enumerate(events[1:], first_offset + 1):
            if _token_offset(event) != expected_offset:
                raise ValueError("token offsets are not contiguous")
        return backend_servers.TokenBatch(
            self._attempt_id, first_offset, tuple(events)
        )

    def _decode_control_event(
        self, event: bytes
    ) -> backend_servers.StreamEvent:
        if event.startswith(_ACCEPTED_PREFIX):
            content = orjson.loads(event[len(_ACCEPTED_PREFIX) :])
            self._attempt_id = ids.AttemptId(
                json_members.string(content, "attempt_id")
            )
            return backend_servers.StreamAccepted(
                self._attempt_id,
                ids.Incarnation(
                    json_members.non_negative_integer(content, "incarnation")
                ),
            )
        if event.startswith(_END_PREFIX):
            content = orjson.loads(event[len(_END_PREFIX) :])
            return backend_servers.StreamEnd(
                self._attempt_id,
                units.Tokens(
                    json_members.non_negative_integer(content, "token_count")
                ),
                states.FinishReason(content["reason"]),
            )
        raise ValueError("unknown event type")


def _token_offset(event: bytes) -> int:
    content = orjson.loads(event[len(_TOKEN_PREFIX) :])
    offset = content["offset"]
    if type(offset) is not int or type(content["text"]) is not str:
        raise TypeError("a token event has a member of the wrong type")
    return offset


class HttpEngineStream(backend_servers.EngineStream):
    """Stream of a model engine on one HTTP connection."""

    def __init__(
        self,
        connection: client.ClientConnection,
        connections: pool.ConnectionPool,
    ) -> None:
        self._connection = connection
        self._pool = connections
        self._decoder = EventDecoder()

    async def read(
        self,
    ) -> result.Result[
        tuple[backend_servers.StreamEvent, ...], backend_servers.BackendError
    ]:
        """Returns the events that arrived together, at least one."""
        while True:
            chunk = await self._connection.read_chunk(
                self._pool.limits.idle_timeout
            )
            if isinstance(chunk, result.Err):
                return result.Err(_stream_error(chunk.err_value))
            if not chunk.ok_value:
                return result.Err(
                    backend_servers.BackendError(
                        backend_servers.BackendErrorKind.CONNECTION_LOST,
                        True,
                        "the stream ended without an end event",
                    )
                )
            events = self._decoder.feed(chunk.ok_value)
            if isinstance(events, result.Err):
                return result.Err(
                    backend_servers.BackendError(
                        backend_servers.BackendErrorKind.PROTOCOL,
                        True,
                        events.err_value,
                    )
                )
            if events.ok_value:
                return result.Ok(events.ok_value)

    def close(self) -> None:
        """Closes the connection; the stream continues on the engine."""
        self._connection.close()


def _stream_error(
    error: errors.TransportError,
) -> backend_servers.BackendError:
    kind = (
        backend_servers.BackendErrorKind.IDLE_TIMEOUT
        if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT
        else backend_servers.BackendErrorKind.CONNECTION_LOST
    )
    return backend_servers.BackendError(kind, True, error.detail)
