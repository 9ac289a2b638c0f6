"""Stand-in for an engine or a plain server, as PROTOCOL.md tells them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

HEAD_END = b"\r\n\r\n"


@dataclasses.dataclass
class Arrival:
    """A request at a server."""

    server: str
    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    at: float
    run: bool = False
    spoiled: bool = False
    # How the answer ended, as the server saw it.
    end: str = ""
    ended_at: float = 0.0

    @property
    def id(self) -> str:
        """Id of the client's attempt."""
        return self.fields.get("attempt-id", "")

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return "token-count" in self.fields


# Answers one request; returns whether the connection may be kept.
Behaviour = Callable[
    ["Server", Arrival, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Server:
    """Accepts requests one at a time on each connection and runs them.

    Attributes:
        events: Events of a stream.
        interval_s: Time between two events.
        work_s: Time that a call takes.
        trouble: Answers a request instead of the sound behaviour, if it is set
            and picks the request.
    """

    def __init__(self, server_id: str, service: str, zone: str) -> None:
        self.id = server_id
        self.service = service
        self.zone = zone
        self.events = 8
        self.interval_s = 0.03
        self.work_s = 0.02
        self.arrivals: list[Arrival] = []
        # Until then it sends no event; then it goes on.
        self.silent_until = 0.0
        self.picks: Callable[[Arrival], bool] = lambda _: False
        self.trouble: Behaviour | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self._port = 0
        self._tickets: dict[str, float] = {}

    async def start(self) -> None:
        """Listens on a free loopback port, or on that of before."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, limit=1 << 20
        )
        host, self._port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{self._port}"

    def stop(self) -> None:
        """Ends like a process that was killed."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
        """Returns what the server writes of itself to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": int(time.time() * 1_000),
            "seq": 1,
            **changes,
        }

    def answer_head(
        self, arrival: Arrival, *more: str, status: str = "200 OK"
    ) -> bytes:
        """Returns the head of an answer, without the framing of its body."""
        lines = (
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {arrival.id}",
            f"Engine-Seal: seal.{self.id}.{arrival.id}",
            "Keep-Alive: timeout=5",
            *more,
        )
        return "\r\n".join(lines).encode() + b"\r\n"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        arrival = Arrival(
            self.id, method, target, fields, body, time.monotonic()
        )
        if target in ("/report", "/order"):
            await self._answer_call(arrival, writer)
            return True
        self.arrivals.append(arrival)
        if fields.get("expect-instance", self.id) != self.id:
            arrival.end = "421"
            writer.write(
                self.answer_head(arrival, status="421 Misdirected Request")
                + f"Instance-Id: {self.id}\r\n".encode()
                + b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return True
        arrival.run = True
        try:
            if self.trouble is not None and self.picks(arrival):
                arrival.spoiled = True
                return await self.trouble(self, arrival, reader, writer)
            await self.answer(arrival, writer)
            arrival.end = "whole"
        except (OSError, asyncio.CancelledError) as error:
            arrival.end = repr(error)
            raise
        finally:
            arrival.ended_at = time.monotonic()
        return True

    async def answer(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        """Sends a sound answer."""
        if not arrival.streaming:
            await asyncio.sleep(self.work_s)
            body = f"{self.id} answers {arrival.id}\n".encode()
            writer.write(
                self.answer_head(arrival)
                + f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            return
        writer.write(
            self.answer_head(
                arrival,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
            + b"\r\n"
        )
        first = int(arrival.fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.interval_s)
            await asyncio.sleep(self.silent_until - time.monotonic())
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _answer_call(
        self, arrival: Arrival, writer: asyncio.StreamWriter
    ) -> None:
        answer: dict[str, Any] = {"pace": 1.0}
        if arrival.target == "/order":
            order = json.loads(arrival.body)
            if order.get("op") == "reserve":
                self._tickets[order["id"]] = (
                    time.monotonic() + order["hold_ms"] / 1_000
                )
            else:
                self._tickets.pop(order.get("id", ""), None)
            answer = {"free": 300_000}
        body = json.dumps(answer).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()


def event(number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
