"""Stand-in of a backend server of the platform, with faults."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import Any

import orjson

from lavendershed.core import timers
from lavendershed.routing import latency_model
from lavendershed.transport import address as address_module
from lavendershed.transport import handlers
from lavendershed.transport import server


class EngineFault(enum.Enum):
    """How the next requests are treated."""

    NONE = "none"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    ERROR = "error"
    RESET_BEFORE_ANSWER = "reset_before_answer"
    RESET_IN_STREAM = "reset_in_stream"
    HANG = "hang"
    HANG_IN_STREAM = "hang_in_stream"
    NO_SIGNATURE = "no_signature"
    OTHER_ID = "other_id"
    ENCODED = "encoded"
    PARTIAL_EVENT = "partial_event"
    GAP = "gap"
    UNSAID_REFUSAL = "unsaid_refusal"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request as the engine saw it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool


class StandinPlatformEngine(handlers.Handler):
    """Answers requests, streams events and keeps reservations.

    Timing follows the pass model where one is given; memory is counted from
    the reservations only.
    """

    def __init__(
        self,
        server_id: str,
        timer_service: timers.TimerService,
        model: latency_model.LatencyModel | None = None,
        events: int = 3,
    ) -> None:
        self._id = server_id
        self._server = server.HttpServer(
            self, timer_service, server.ServerLimits()
        )
        self._model = model
        self._events = events
        self._timers = timer_service
        # Tokens and the end of the lease by ticket.
        self._leases: dict[str, tuple[int, float]] = {}
        self._open = 0
        self.fault = EngineFault.NONE
        self.arrivals: list[Arrival] = []
        self.orders: list[dict[str, Any]] = []
        self.event_delay = 0.005
        # Engine that can't help; requests that name it are refused.
        self.lost_helper: address_module.Address | None = None
        self.memory = 315_000
        # Whether all events of a stream are written together.
        self.batched = False

    @property
    def address(self) -> address_module.Address:
        """Where the engine listens."""
        return self._server.address

    @property
    def id(self) -> str:
        """Identity that requests have to expect."""
        return self._id

    @property
    def ran(self) -> list[Arrival]:
        """Requests that have run."""
        return [arrival for arrival in self.arrivals if arrival.ran]

    @property
    def open_requests(self) -> int:
        """Requests that the engine works on."""
        return self._open

    @property
    def tickets(self) -> dict[str, int]:
        """Reserved tokens by ticket."""
        now = self._timers.now()
        return {t: n for t, (n, until) in self._leases.items() if until > now}

    async def start(self) -> None:
        """Starts to listen on a free port."""
        await self._server.start(address_module.Address("127.0.0.1", 0))

    def close(self) -> None:
        """Stops."""
        self._server.close()

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the body of an answer to a request that is not handled."""
        return detail.encode()

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Answers a request or an order."""
        headers = dict(request.headers)
        if request.path == "/order":
            await self._order(orjson.loads(request.body), responder)
            return
        fault = self.fault
        expected = headers.get("expect-instance")
        misdirected = expected is not None and expected != self._id
        unhelped = self.lost_helper is not None and (
            str(self.lost_helper) in headers.get("helpers", "")
        )
        refused = (
            misdirected
            or unhelped
            or fault in (EngineFault.SHED, EngineFault.WRONG_SERVER)
        )
        self.arrivals.append(
            Arrival(
                request.method,
                request.target,
                headers,
                request.body,
                not refused,
            )
        )
        if misdirected or fault is EngineFault.WRONG_SERVER:
            await responder.respond(421, b"", (("instance-id", self._id),))
            return
        if unhelped:
            blamed = ("at-server", str(self.lost_helper))
            await responder.respond(503, b"", (("not-executed", "1"), blamed))
            return
        if fault is EngineFault.SHED:
            await responder.respond(503, b"", (("not-executed", "1"),))
            return
        self._open += 1
        work = asyncio.get_running_loop().create_task(
            self._run(request, headers, responder, fault)
        )
        responder.on_disconnect(work.cancel)
        try:
            await asyncio.wait((work,))
        finally:
            responder.on_disconnect(None)
            self._open -= 1
        if not work.cancelled() and (error := work.exception()) is not None:
            raise error

    async def _run(
        self,
        request: handlers.ServerRequest,
        headers: dict[str, str],
        responder: handlers.Responder,
        fault: EngineFault,
    ) -> None:
        if fault is EngineFault.HANG:
            await responder.disconnected.wait()
            return
        if fault is EngineFault.RESET_BEFORE_ANSWER:
            responder.abort()
            return
        if fault is EngineFault.UNSAID_REFUSAL:
            await responder.respond(503, b"")
            return
        answer = self._answer_headers(headers, fault)
        if fault is EngineFault.ERROR:
            await responder.respond(500, b"error", answer)
            return
        if "token-count" in headers:
            await self._stream(headers, responder, answer, fault)
            return
        body = b"answer of " + self._id.encode() + b" to " + request.body
        await responder.respond(200, body, answer)

    def _answer_headers(
        self, headers: dict[str, str], fault: EngineFault
    ) -> tuple[tuple[str, str], ...]:
        request_id = headers.get("attempt-id", "")
        if fault is EngineFault.OTHER_ID:
            request_id = "of-another-request"
        answer = [("attempt-id", request_id), ("keep-alive", "timeout=5")]
        if fault is not EngineFault.NO_SIGNATURE:
            answer.append(("engine-seal", f"seal-{self._id}-{request_id}"))
        if fault is EngineFault.ENCODED:
            answer.append(("content-encoding", "gzip"))
        return tuple(answer)

    async def _stream(
        self,
        headers: dict[str, str],
        responder: handlers.Responder,
        answer: tuple[tuple[str, str], ...],
        fault: EngineFault,
    ) -> None:
        prompt = int(headers["token-count"].partition(",")[0])
        if self._model is not None:
            parts = 1 + len(
                [h for h in headers.get("helpers", "").split(",") if h]
            )
            await asyncio.sleep(self._model.prefill_ms(prompt, parts) / 1_000)
        responder.start(200, (*answer, ("content-type", "text/event-stream")))
        first = int(headers.get("last-event-id", "0")) + 1
        batch = b""
        for number in range(first, self._events + 1):
            await asyncio.sleep(self.event_delay)
            if fault is EngineFault.GAP and number == self._events:
                number += 1
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number == self._events - 1:
                if fault is EngineFault.RESET_IN_STREAM:
                    await responder.write(event[:7])
                    responder.abort()
                    return
                if fault is EngineFault.HANG_IN_STREAM:
                    await responder.disconnected.wait()
                    return
                if fault is EngineFault.PARTIAL_EVENT:
                    await responder.write(event[:7])
                    break
            batch += event
            if not self.batched or number >= self._events:
                await responder.write(batch)
                batch = b""
        await responder.finish()

    async def _order(
        self, order: dict[str, Any], responder: handlers.Responder
    ) -> None:
        self.orders.append(order)
        if order["op"] == "release":
            self._leases.pop(order["id"], None)
            await responder.respond(200, b"{}")
            return
        others = sum(
            tokens for t, tokens in self.tickets.items() if t != order["id"]
        )
        if others + order["tokens"] > self.memory:
            await responder.respond(409, b"{}")
            return
        until = self._timers.now() + order["hold_ms"] / 1_000
        self._leases[order["id"]] = (order["tokens"], until)
        await responder.respond(200, b'{"free":0}')
