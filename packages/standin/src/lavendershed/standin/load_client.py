"""Client that sends requests and classifies their outcomes."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

import orjson
import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import client

_EVENT_END = b"\n\n"
_CONNECT_TIMEOUT = units.Seconds(2.0)


class OutcomeKind(enum.Enum):
    """Classification of a response."""

    COMPLETE = "whole"
    PROBLEM = "problem"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of one request as seen by its caller.

    Attributes:
        ending: How the response ended.
        status: HTTP status, or 0 if no response head was received.
        text: Generated text, or the response body of a call.
        execution: The `execution` member of a problem response, or the
            `execution` header of a complete one.
        first_token: Seconds from sending to the first token.
        duration: Seconds from sending to the end.
    """

    ending: OutcomeKind
    status: int
    text: str
    execution: str | None
    first_token: units.Seconds | None
    duration: units.Seconds
    detail: str = ""


@dataclasses.dataclass(slots=True)
class _Progress:
    started_at: float
    status: int = 0
    text: list[str] = dataclasses.field(default_factory=list)
    first_token: units.Seconds | None = None
    next_offset: int = 0

    def outcome(
        self, kind: OutcomeKind, execution: str | None = None, detail: str = ""
    ) -> RequestOutcome:
        now = asyncio.get_running_loop().time()
        return RequestOutcome(
            kind,
            self.status,
            "".join(self.text),
            execution,
            self.first_token,
            units.Seconds(now - self.started_at),
            detail,
        )


class LoadClient:
    """Sends each request to one router over a new connection."""

    def __init__(
        self, address: address_module.Address, bearer_token: str
    ) -> None:
        self._address = address
        self._headers = (("authorization", f"Bearer {bearer_token}"),)

    async def generate(
        self,
        service: str,
        prompt: str,
        prompt_tokens: int,
        max_tokens: int,
        timeout: units.Seconds,
        request_id: str = "",
    ) -> RequestOutcome:
        """Sends a prompt and reads its token stream."""
        body = orjson.dumps(
            {
                "prompt": prompt,
                "prompt_tokens": prompt_tokens,
                "max_tokens": max_tokens,
            }
        )
        target = f"/v1/services/{service}/generate"
        return await self._send(target, body, timeout, request_id)

    async def call(
        self,
        service: str,
        path: str,
        body: bytes,
        timeout: units.Seconds,
        idempotency_key: str = "",
        request_id: str = "",
    ) -> RequestOutcome:
        """Sends a call to a plain service."""
        extra_headers = (
            (("idempotency-key", idempotency_key),) if idempotency_key else ()
        )
        target = f"/v1/services/{service}/call/{path}"
        return await self._send(
            target, body, timeout, request_id, extra_headers
        )

    async def _send(
        self,
        target: str,
        body: bytes,
        timeout: units.Seconds,
        request_id: str,
        extra_headers: tuple[tuple[str, str], ...] = (),
    ) -> RequestOutcome:
        progress = _Progress(asyncio.get_running_loop().time())
        connected = await client.connect(self._address, _CONNECT_TIMEOUT)
        if isinstance(connected, result.Err):
            return progress.outcome(
                OutcomeKind.BROKEN, detail=connected.err_value.detail
            )
        connection = connected.ok_value
        headers = (
            *self._headers,
            *extra_headers,
            ("request-timeout-ms", str(int(timeout * 1000))),
        )
        if request_id:
            headers += (("request-id", request_id),)
        # Exceeds the requested timeout, to distinguish a late failure from a
        # missing response.
        read_timeout = units.Seconds(timeout + 2.0)
        try:
            async with asyncio.timeout(read_timeout):
                await connection.send(
                    client.RequestHead("POST", target, headers),
                    body,
                    read_timeout,
                )
                return await self._read(connection, progress, read_timeout)
        except TimeoutError:
            return progress.outcome(
                OutcomeKind.BROKEN, detail="no complete response in time"
            )
        finally:
            connection.close()

    async def _read(
        self,
        connection: client.ClientConnection,
        progress: _Progress,
        read_timeout: units.Seconds,
    ) -> RequestOutcome:
        head_result = await connection.read_head(read_timeout)
        if isinstance(head_result, result.Err):
            return progress.outcome(
                OutcomeKind.BROKEN, detail=head_result.err_value.detail
            )
        progress.status = head_result.ok_value.status
        content_type = head_result.ok_value.header("content-type") or ""
        if content_type == "text/event-stream":
            return await self._read_stream(connection, progress, read_timeout)
        body_result = await connection.read_body(
            read_timeout, units.Bytes(16_000_000)
        )
        if isinstance(body_result, result.Err):
            return progress.outcome(
                OutcomeKind.BROKEN, detail=body_result.err_value.detail
            )
        if content_type == "application/problem+json":
            return _problem_outcome(progress, body_result.ok_value)
        progress.text.append(body_result.ok_value.decode())
        return progress.outcome(
            OutcomeKind.COMPLETE, head_result.ok_value.header("execution")
        )

    async def _read_stream(
        self,
        connection: client.ClientConnection,
        progress: _Progress,
        read_timeout: units.Seconds,
    ) -> RequestOutcome:
        buffer = b""
        while True:
            chunk = await connection.read_chunk(read_timeout)
            if isinstance(chunk, result.Err):
                return progress.outcome(
                    OutcomeKind.BROKEN, detail=chunk.err_value.detail
                )
            if not chunk.ok_value:
                return progress.outcome(
                    OutcomeKind.BROKEN,
                    detail="the stream ended without an end event",
                )
            *events, buffer = (buffer + chunk.ok_value).split(_EVENT_END)
            for event in events:
                outcome = _process_event(progress, event)
                if outcome is not None:
                    return outcome


def _process_event(progress: _Progress, event: bytes) -> RequestOutcome | None:
    event_line, _, data = event.partition(b"\ndata: ")
    if event_line == b"event: error":
        return _problem_outcome(progress, data)
    fields = orjson.loads(data)
    if event_line == b"event: end":
        if fields["token_count"] != progress.next_offset:
            return progress.outcome(
                OutcomeKind.BROKEN,
                detail="the token count of the end event is wrong",
            )
        return progress.outcome(OutcomeKind.COMPLETE)
    if fields["offset"] != progress.next_offset:
        return progress.outcome(
            OutcomeKind.BROKEN, detail="missing or repeated token offset"
        )
    if progress.first_token is None:
        now = asyncio.get_running_loop().time()
        progress.first_token = units.Seconds(now - progress.started_at)
    progress.next_offset += 1
    progress.text.append(fields["text"])
    return None


def _problem_outcome(progress: _Progress, body: bytes) -> RequestOutcome:
    fields = orjson.loads(body)
    return progress.outcome(
        OutcomeKind.PROBLEM, fields["execution"], fields["detail"]
    )
