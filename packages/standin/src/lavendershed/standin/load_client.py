"""Caller that sends requests and classifies their outcomes."""

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


class Ending(enum.Enum):
    """How an answer ended."""

    WHOLE = "whole"
    PROBLEM = "problem"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of one request as its caller sees it.

    Attributes:
        status: HTTP status, or 0 if none came.
        text: Answer text, or the body of a call.
        execution: The `execution` member of a problem, if any.
        first_token: Seconds from sending to the first token.
        duration: Seconds from sending to the end.
    """

    ending: Ending
    status: int
    text: str
    execution: str | None
    first_token: units.Seconds | None
    duration: units.Seconds
    detail: str = ""


@dataclasses.dataclass(slots=True)
class _Progress:
    started: float
    status: int = 0
    text: list[str] = dataclasses.field(default_factory=list)
    first_token: units.Seconds | None = None
    next_offset: int = 0

    def ended(
        self, ending: Ending, execution: str | None = None, detail: str = ""
    ) -> Answer:
        now = asyncio.get_running_loop().time()
        return Answer(
            ending,
            self.status,
            "".join(self.text),
            execution,
            self.first_token,
            units.Seconds(now - self.started),
            detail,
        )


class LoadClient:
    """Sends each request on a new connection to one router."""

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
    ) -> Answer:
        """Sends a prompt and reads the whole stream."""
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
    ) -> Answer:
        """Sends a call to a plain service."""
        extra = (
            (("idempotency-key", idempotency_key),) if idempotency_key else ()
        )
        target = f"/v1/services/{service}/call/{path}"
        return await self._send(target, body, timeout, request_id, extra)

    async def _send(
        self,
        target: str,
        body: bytes,
        timeout: units.Seconds,
        request_id: str,
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        progress = _Progress(asyncio.get_running_loop().time())
        opened = await client.connect(self._address, _CONNECT_TIMEOUT)
        if isinstance(opened, result.Err):
            return progress.ended(Ending.BROKEN, detail=opened.err_value.detail)
        connection = opened.ok_value
        headers = (
            *self._headers,
            *extra,
            ("request-timeout-ms", str(int(timeout * 1000))),
        )
        if request_id:
            headers += (("request-id", request_id),)
        # The caller waits a little longer than the deadline it asked for, to
        # tell a late failure from none.
        wait = units.Seconds(timeout + 2.0)
        try:
            async with asyncio.timeout(wait):
                await connection.send(
                    client.RequestHead("POST", target, headers), body, wait
                )
                return await self._read(connection, progress, wait)
        except TimeoutError:
            return progress.ended(Ending.BROKEN, detail="no end in time")
        finally:
            connection.close()

    async def _read(
        self,
        connection: client.ClientConnection,
        progress: _Progress,
        wait: units.Seconds,
    ) -> Answer:
        head = await connection.read_head(wait)
        if isinstance(head, result.Err):
            return progress.ended(Ending.BROKEN, detail=head.err_value.detail)
        progress.status = head.ok_value.status
        kind = head.ok_value.header("content-type") or ""
        if kind == "text/event-stream":
            return await self._read_stream(connection, progress, wait)
        body = await connection.read_body(wait, units.Bytes(16_000_000))
        if isinstance(body, result.Err):
            return progress.ended(Ending.BROKEN, detail=body.err_value.detail)
        if kind == "application/problem+json":
            return _problem(progress, body.ok_value)
        progress.text.append(body.ok_value.decode())
        return progress.ended(Ending.WHOLE, head.ok_value.header("execution"))

    async def _read_stream(
        self,
        connection: client.ClientConnection,
        progress: _Progress,
        wait: units.Seconds,
    ) -> Answer:
        buffer = b""
        while True:
            part = await connection.read_chunk(wait)
            if isinstance(part, result.Err):
                return progress.ended(
                    Ending.BROKEN, detail=part.err_value.detail
                )
            if not part.ok_value:
                return progress.ended(
                    Ending.BROKEN, detail="the stream has no end event"
                )
            *complete, buffer = (buffer + part.ok_value).split(_EVENT_END)
            for event in complete:
                answer = _take_event(progress, event)
                if answer is not None:
                    return answer


def _take_event(progress: _Progress, event: bytes) -> Answer | None:
    first, _, data = event.partition(b"\ndata: ")
    if first == b"event: error":
        return _problem(progress, data)
    content = orjson.loads(data)
    if first == b"event: end":
        if content["token_count"] != progress.next_offset:
            return progress.ended(
                Ending.BROKEN, detail="the token count does not match"
            )
        return progress.ended(Ending.WHOLE)
    if content["offset"] != progress.next_offset:
        return progress.ended(Ending.BROKEN, detail="gap or repetition")
    if progress.first_token is None:
        now = asyncio.get_running_loop().time()
        progress.first_token = units.Seconds(now - progress.started)
    progress.next_offset += 1
    progress.text.append(content["text"])
    return None


def _problem(progress: _Progress, body: bytes) -> Answer:
    content = orjson.loads(body)
    return progress.ended(
        Ending.PROBLEM, content["execution"], content["detail"]
    )
