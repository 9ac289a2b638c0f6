"""Stand-in for a platform backend server, with fault injection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import itertools
from typing import Any

import orjson

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.routing import latency_model
from lavendershed.transport import address as address_module
from lavendershed.transport import handlers
from lavendershed.transport import server

_DRIP_INTERVAL_S = 0.05


class EngineFault(enum.Enum):
    """Fault that is injected into subsequent requests."""

    NONE = "none"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    ERROR = "error"
    RESET_BEFORE_RESPONSE = "reset_before_answer"
    RESET_IN_STREAM = "reset_in_stream"
    HANG = "hang"
    HANG_IN_STREAM = "hang_in_stream"
    NO_SIGNATURE = "no_signature"
    WRONG_REQUEST_ID = "other_id"
    CONTENT_ENCODING = "encoded"
    PARTIAL_EVENT = "partial_event"
    EVENT_ID_GAP = "gap"
    UNMARKED_REFUSAL = "unsaid_refusal"
    # Endless comments instead of the next event.
    COMMENTS_IN_STREAM = "comments_in_stream"
    # Single bytes of a body that does not end.
    ENDLESS_BODY = "endless_body"
    # An event that does not end.
    ENDLESS_EVENT = "endless_event"


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that the engine received.

    Attributes:
        executed: Whether the engine processed it instead of refusing it.
        arrived_at: When it arrived.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    executed: bool
    arrived_at: units.Instant


class StandinPlatformEngine(handlers.Handler):
    """Serves requests, event streams and memory reservations over HTTP.

    With a latency model, a stream's first event is delayed by the prefill time
    that the model predicts. Only reservations count against the memory.
    """

    def __init__(
        self,
        server_id: str,
        timer_service: timers.TimerService,
        model: latency_model.LatencyModel | None = None,
        events_per_stream: int = 3,
    ) -> None:
        self._id = server_id
        self._server = self._new_server(timer_service)
        self._address: address_module.Address | None = None
        self._model = model
        self.events_per_stream = events_per_stream
        self._timers = timer_service
        # Reserved tokens and lease expiry by ticket.
        self._leases: dict[str, tuple[int, float]] = {}
        self._open = 0
        self.fault = EngineFault.NONE
        self.received_requests: list[ReceivedRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.event_interval_s = 0.005
        # Time until which the engine sends nothing, though it is sound.
        self.silent_until = units.Instant(0.0)
        # Prefill helpers that are unreachable; requests that name one of them
        # are refused.
        self.unreachable_helpers: frozenset[address_module.Address] = (
            frozenset()
        )
        # Prefill time of the engines that a request names, itself included.
        self.prefill_seconds: dict[address_module.Address, float] = {}
        # Ratio of the actual to the nominal latency that it reports.
        self.slowdown = 1.0
        self.status_queries = 0
        # Value of the limit that all answers to requests name, if any.
        self.request_limit: str | None = None
        # Whether all answers say that the engine is leaving.
        self.leaving = False
        # Value of the pause that refusals with 503 ask for, if any.
        self.retry_after: str | None = None
        self.memory_tokens = 315_000
        # Parts of prompts on which no answer can begin: the engine crashes and
        # is back after some time.
        self.deadly_parts: frozenset[str] = frozenset()
        self.restart_seconds = 0.3
        self.crashes = 0
        # Requests in progress at each crash, the one that caused it included.
        self.open_at_crashes: list[int] = []
        # Bodies of requests that crash the engine after one event of their
        # stream, or instead of their answer if it is no stream.
        self.deadly_bodies: frozenset[bytes] = frozenset()
        # Called when the engine listens again after a crash.
        self.on_restart: Callable[[], object] = lambda: None
        self._restart: asyncio.Task[None] | None = None
        # Whether all events of a stream are sent in one write.
        self.coalesces_events = False

    @property
    def address(self) -> address_module.Address:
        """Listen address."""
        return self._address or self._server.address

    @property
    def id(self) -> str:
        """Server id that the `expect-instance` header must match."""
        return self._id

    @property
    def executed_requests(self) -> list[ReceivedRequest]:
        """Received requests that were executed."""
        return [
            arrival for arrival in self.received_requests if arrival.executed
        ]

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self._open

    @property
    def reservations(self) -> dict[str, int]:
        """Tokens of unexpired reservations by ticket."""
        now = self._timers.now()
        return {
            ticket: tokens
            for ticket, (tokens, expires_at) in self._leases.items()
            if expires_at > now
        }

    @property
    def _notice_headers(self) -> tuple[tuple[str, str], ...]:
        """Headers of all answers to requests."""
        headers = self._leaving_headers
        if self.request_limit is not None:
            headers += (("server-limit", self.request_limit),)
        return headers

    @property
    def _leaving_headers(self) -> tuple[tuple[str, str], ...]:
        return (("server-leaving", "1"),) if self.leaving else ()

    @property
    def _refusal_headers(self) -> tuple[tuple[str, str], ...]:
        headers = (("not-executed", "1"), *self._notice_headers)
        if self.retry_after is not None:
            headers += (("retry-after", self.retry_after),)
        return headers

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        await self._server.start(address_module.Address("127.0.0.1", 0))

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self._server.close()

    def crash(self) -> None:
        """Closes all connections, and listens again after some time."""
        self.crashes += 1
        self.open_at_crashes.append(self._open)
        self._address = self._server.address
        self._server.close()
        self._restart = asyncio.get_running_loop().create_task(
            self._listen_again(self._address)
        )

    async def _listen_again(self, address: address_module.Address) -> None:
        await asyncio.sleep(self.restart_seconds)
        self._server = self._new_server(self._timers)
        await self._server.start(address)
        self.on_restart()

    def _new_server(
        self, timer_service: timers.TimerService
    ) -> server.HttpServer:
        return server.HttpServer(self, timer_service, server.ServerLimits())

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request rejected by the server."""
        return detail.encode()

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Responds to a request or a reservation order."""
        headers = dict(request.headers)
        if request.path == "/order":
            await self._handle_order(orjson.loads(request.body), responder)
            return
        if request.path == "/report":
            self.status_queries += 1
            await responder.respond(
                200,
                orjson.dumps({"pace": self.slowdown}),
                self._leaving_headers,
            )
            return
        fault = self.fault
        expected = headers.get("expect-instance")
        misdirected = expected is not None and expected != self._id
        named_helpers = headers.get("helpers", "")
        helper_unreachable = next(
            (h for h in self.unreachable_helpers if str(h) in named_helpers),
            None,
        )
        refused = (
            misdirected
            or helper_unreachable is not None
            or fault in (EngineFault.SHED, EngineFault.WRONG_SERVER)
        )
        self.received_requests.append(
            ReceivedRequest(
                request.method,
                request.target,
                headers,
                request.body,
                not refused,
                self._timers.now(),
            )
        )
        own_id = ("attempt-id", headers.get("attempt-id", ""))
        if misdirected or fault is EngineFault.WRONG_SERVER:
            await responder.respond(
                421, b"", (own_id, ("instance-id", self._id))
            )
            return
        if helper_unreachable is not None:
            at_server_header = ("at-server", str(helper_unreachable))
            await responder.respond(
                503, b"", (own_id, *self._refusal_headers, at_server_header)
            )
            return
        if fault is EngineFault.SHED:
            await responder.respond(503, b"", (own_id, *self._refusal_headers))
            return
        self._open += 1
        task = asyncio.get_running_loop().create_task(
            self._process(request, headers, responder, fault)
        )
        responder.on_disconnect(task.cancel)
        try:
            await asyncio.wait((task,))
        finally:
            responder.on_disconnect(None)
            self._open -= 1
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error

    async def _process(
        self,
        request: handlers.ServerRequest,
        headers: dict[str, str],
        responder: handlers.Responder,
        fault: EngineFault,
    ) -> None:
        if fault is EngineFault.HANG:
            await responder.disconnected.wait()
            return
        if fault is EngineFault.RESET_BEFORE_RESPONSE:
            responder.abort()
            return
        if fault is EngineFault.UNMARKED_REFUSAL:
            await responder.respond(503, b"")
            return
        response_headers = self._response_headers(headers, fault)
        if fault is EngineFault.ERROR:
            await responder.respond(500, b"error", response_headers)
            return
        if fault is EngineFault.ENDLESS_BODY:
            responder.start(200, response_headers)
            await self._drip(responder, b"x")
            return
        if "token-count" in headers:
            await self._stream(
                headers,
                responder,
                response_headers,
                fault,
                crashes=request.body in self.deadly_bodies,
            )
            return
        if request.body in self.deadly_bodies:
            self.crash()
            return
        await self._wait_while_silent()
        body = b"answer of " + self._id.encode() + b" to " + request.body
        await responder.respond(200, body, response_headers)

    async def _wait_while_silent(self) -> None:
        await asyncio.sleep(max(0.0, self.silent_until - self._timers.now()))

    async def _drip(self, responder: handlers.Responder, data: bytes) -> None:
        """Sends `data` again and again until the caller closes."""
        for _ in itertools.count():
            if not await responder.write(data):
                return
            await asyncio.sleep(_DRIP_INTERVAL_S)

    async def _write_without_end(self, responder: handlers.Responder) -> None:
        """Sends an event that never ends as fast as the caller reads."""
        for _ in itertools.count():
            if not await responder.write(b"data: " + bytes(10_000)):
                return
            await asyncio.sleep(0)

    def _response_headers(
        self, headers: dict[str, str], fault: EngineFault
    ) -> tuple[tuple[str, str], ...]:
        request_id = headers.get("attempt-id", "")
        if fault is EngineFault.WRONG_REQUEST_ID:
            request_id = "of-another-request"
        response_headers = [
            ("attempt-id", request_id),
            ("keep-alive", "timeout=5"),
        ]
        if fault is not EngineFault.NO_SIGNATURE:
            response_headers.append(
                ("engine-seal", f"seal-{self._id}-{request_id}")
            )
        response_headers += self._notice_headers
        if fault is EngineFault.CONTENT_ENCODING:
            response_headers.append(("content-encoding", "gzip"))
        return tuple(response_headers)

    async def _stream(
        self,
        headers: dict[str, str],
        responder: handlers.Responder,
        response_headers: tuple[tuple[str, str], ...],
        fault: EngineFault,
        *,
        crashes: bool,
    ) -> None:
        prompt_tokens = int(headers["token-count"].partition(",")[0])
        if self._model is not None:
            engine_count = 1 + len(
                [h for h in headers.get("helpers", "").split(",") if h]
            )
            await asyncio.sleep(
                self._model.prefill_ms(prompt_tokens, engine_count) / 1_000
            )
        named = {str(self.address), *headers.get("helpers", "").split(",")}
        await asyncio.sleep(
            max(
                (
                    seconds
                    for address, seconds in self.prefill_seconds.items()
                    if str(address) in named
                ),
                default=0.0,
            )
        )
        if self._is_deadly(headers):
            self.crash()
            return
        responder.start(
            200, (*response_headers, ("content-type", "text/event-stream"))
        )
        first_event_id = int(headers.get("last-event-id", "0")) + 1
        batch = b""
        for event_id in range(first_event_id, self.events_per_stream + 1):
            await asyncio.sleep(self.event_interval_s)
            await self._wait_while_silent()
            if (
                fault is EngineFault.EVENT_ID_GAP
                and event_id == self.events_per_stream
            ):
                event_id += 1
            event = f"id: {event_id}\ndata: piece {event_id}\n\n".encode()
            if event_id == self.events_per_stream - 1:
                if fault is EngineFault.RESET_IN_STREAM:
                    await responder.write(event[:7])
                    responder.abort()
                    return
                if fault is EngineFault.HANG_IN_STREAM:
                    await responder.disconnected.wait()
                    return
                if fault is EngineFault.COMMENTS_IN_STREAM:
                    await self._drip(responder, b": alive\n\n")
                    return
                if fault is EngineFault.ENDLESS_EVENT:
                    await self._write_without_end(responder)
                    return
                if fault is EngineFault.PARTIAL_EVENT:
                    await responder.write(event[:7])
                    break
            batch += event
            if not self.coalesces_events or event_id >= self.events_per_stream:
                await responder.write(batch)
                batch = b""
            if crashes:
                # The caller reads the event before the connection is reset.
                await asyncio.sleep(self.event_interval_s)
                self.crash()
                return
        await responder.finish()

    def _is_deadly(self, headers: dict[str, str]) -> bool:
        parts = headers.get("prefix-hash", "").split(",")[:-1]
        return any(
            part.partition(":")[0] in self.deadly_parts for part in parts
        )

    async def _handle_order(
        self, order: dict[str, Any], responder: handlers.Responder
    ) -> None:
        self.orders.append(order)
        if order["op"] == "release":
            self._leases.pop(order["id"], None)
            await responder.respond(200, b"{}", self._leaving_headers)
            return
        other_tokens = sum(
            tokens
            for ticket, tokens in self.reservations.items()
            if ticket != order["id"]
        )
        if other_tokens + order["tokens"] > self.memory_tokens:
            await responder.respond(409, b"{}", self._leaving_headers)
            return
        expires_at = self._timers.now() + order["hold_ms"] / 1_000
        self._leases[order["id"]] = (order["tokens"], expires_at)
        await responder.respond(200, b'{"free":0}', self._leaving_headers)
