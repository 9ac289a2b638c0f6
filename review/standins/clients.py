"""Stand-in for clients, as PROTOCOL.md tells them."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time

HOST = "almanac.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


@dataclasses.dataclass
class Attempt:
    """One attempt of a client and what came of it.

    Attributes:
        status: Status of the answer; 0 if none came.
        complete: Whether the answer came to its end.
        error: Why it didn't.
    """

    id: str
    path: str
    daemon: str
    sent_at: float
    status: int = 0
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    ended_at: float = 0.0

    @property
    def served(self) -> bool:
        """Whether it is a success with the whole body."""
        return self.complete and 200 <= self.status < 300

    @property
    def seconds(self) -> float:
        """Time until the answer or the failure."""
        return self.ended_at - self.sent_at


def new_id() -> str:
    """Returns the id of an attempt."""
    return secrets.token_hex(8)


async def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    deadline_ms: int = 10_000,
    tokens: str | None = None,
    attempt_id: str | None = None,
    headers: tuple[str, ...] = (),
) -> Attempt:
    """Sends one request on a new connection and reads the answer."""
    attempt = Attempt(attempt_id or new_id(), path, address, time.monotonic())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt.id}",
        f"Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        *headers,
    ]
    if tokens is not None:
        lines += ["Model: m", f"Token-Count: {tokens}"]
        lines += [f"Prefix-Hash: {attempt.id[:8]}:{tokens.partition(',')[0]}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    try:
        async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
            await _exchange(attempt, address, request)
    except TimeoutError:
        attempt.error = attempt.error or "no answer at the deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        attempt.error = repr(error)
    attempt.ended_at = time.monotonic()
    return attempt


async def _exchange(attempt: Attempt, address: str, request: bytes) -> None:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        await writer.drain()
        await _read_answer(attempt, reader)
    finally:
        writer.transport.abort()


async def _read_answer(attempt: Attempt, reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    attempt.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        attempt.fields[name.lower()] = value.strip()
    if "content-length" in attempt.fields:
        length = int(attempt.fields["content-length"])
        attempt.body = await reader.readexactly(length)
        attempt.complete = True
        return
    if attempt.fields.get("transfer-encoding") != "chunked":
        raise ValueError("answer states no length")
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        attempt.body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    attempt.complete = True
