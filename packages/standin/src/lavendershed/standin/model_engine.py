"""Stand-in for a model engine's HTTP interface."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import os
import random
import re
from typing import Any

import orjson
import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_exports
from lavendershed.standin import engine_faults
from lavendershed.standin import engine_memory
from lavendershed.standin import engine_orders
from lavendershed.standin import engine_reports
from lavendershed.standin import engine_streams
from lavendershed.standin import engine_timing_model
from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.transport import address as address_module
from lavendershed.transport import client
from lavendershed.transport import handlers
from lavendershed.transport import pool

# A prompt with this text crashes the engine as soon as it is accepted.
CRASH_MARKER = "crash-the-engine"
# A prompt with this text crashes the engine when it decodes the third token.
DECODE_CRASH_MARKER = "crash-while-decoding"
_DECODE_CRASH_TOKENS = 3
_CRASH_STATUS = 70
# A stream or export that consumes a reservation is scheduled first, so that no
# other stream takes the memory.
_RESERVATION_PRIORITY = -1
# Cancelled ids are kept to refuse a start that arrives after its cancellation.
_MAX_CANCELLED_IDS = 10_000

_RouteHandler = Callable[
    [re.Match[str], handlers.ServerRequest, handlers.Responder], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Behaviour of a stand-in engine other than its timing.

    Attributes:
        models: Loaded models; if empty, the engine accepts any model name.
        checks_fencing: Whether orders with a stale fencing number are refused.
        load_time: Time to load a model or an adapter.
        report_lag: Maximum age of a load report.
        cache_delay: Delay until a cache event becomes visible.
        cache_gap_share: Share of cache events that are dropped.
        bytes_per_token: KV cache bytes per token.
    """

    models: tuple[str, ...] = ()
    checks_fencing: bool = True
    load_time: units.Seconds = units.Seconds(1.0)
    report_lag: units.Seconds = units.Seconds(0.1)
    cache_delay: units.Seconds = units.Seconds(0.2)
    cache_gap_share: float = 0.02
    bytes_per_token: int = 1


class ModelEngineHandler(json_handler.JsonHandler):
    """Steps the timing model in real time and streams its tokens."""

    def __init__(
        self,
        settings: engine_timing_model.EngineSettings,
        options: EngineOptions,
        history: history_module.History,
        timer_service: timers.TimerService,
        generator: random.Random,
        exit_process: Callable[[int], None] = os._exit,
    ) -> None:
        self._settings = settings
        self._options = options
        self._history = history
        self._timers = timer_service
        self._exit_process = exit_process
        self._timing_model = engine_timing_model.EngineTimingModel(settings)
        # Differs after every process start, even with a fixed seed.
        self._incarnation = random.SystemRandom().getrandbits(52)
        self._work_available = asyncio.Event()
        self._leaving = False
        self._streams = engine_streams.StreamTable(
            self._timing_model, timer_service, history
        )
        self._memory = engine_memory.EngineMemory(
            self._timing_model, timer_service, history, self._work_available.set
        )
        self._orders = engine_orders.EngineOrders(
            options.models,
            options.checks_fencing,
            options.load_time,
            timer_service,
            history,
            self._streams.end_streams_of_model,
        )
        self._cache_events = engine_reports.CacheEventLog(
            options.cache_delay,
            options.cache_gap_share,
            timer_service,
            generator,
        )
        self._report = engine_reports.LaggingReport(
            options.report_lag, timer_service
        )
        self._faults = engine_faults.EngineFaults()
        self._exports = engine_exports.ExportTable(
            self._timing_model, self._memory, timer_service
        )
        self._cancelled_ids: dict[str, None] = {}
        self._routes: tuple[tuple[str, re.Pattern[str], _RouteHandler], ...] = (
            tuple(
                (method, re.compile(pattern), handler)
                for method, pattern, handler in (
                    ("POST", r"/v1/streams", self._start_stream),
                    ("GET", r"/v1/streams/([^/]+)", self._resume_stream),
                    ("DELETE", r"/v1/streams/([^/]+)", self._cancel_stream),
                    ("GET", r"/v1/allocations", self._list_allocations),
                    ("POST", r"/v1/holds", self._create_reservation),
                    ("DELETE", r"/v1/holds/([^/]+)", self._release_reservation),
                    ("POST", r"/v1/kv/export", self._export_kv),
                    ("POST", r"/v1/kv/import", self._import_kv),
                    ("GET", r"/v1/kv/([^/]+)", self._describe_segment),
                    ("DELETE", r"/v1/kv/([^/]+)", self._release_segment),
                    ("GET", r"/v1/load", self._read_load_report),
                    ("GET", r"/v1/cache-events", self._read_cache_events),
                    ("POST", r"/v1/orders", self._execute_order),
                    ("POST", r"/control/([a-z]+)", self._handle_control),
                )
            )
        )

    @property
    def incarnation(self) -> int:
        """Random number that identifies this start of the engine."""
        return self._incarnation

    async def run(self) -> None:
        """Steps the model until cancelled."""
        while True:
            self._work_available.clear()
            step = self._timing_model.step()
            if not step.duration:
                # No stream is queued, or all wait for reserved memory.
                await self._work_available.wait()
                continue
            # Exports retain their memory before the next step can use it.
            exported_ids = self._exports.retain_finished(step.finished)
            await asyncio.sleep(step.duration)
            self._exports.complete(exported_ids)
            for stream_id in step.decoded:
                self._on_token(stream_id, stream_id in step.finished)
            for stored, evicted in self._timing_model.drain_cache_events():
                self._cache_events.add(stored, evicted)

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Responds to one API or control call."""
        if not request.path.startswith("/control/"):
            self._faults.track_connection(responder)
            if self._faults.aborting:
                responder.abort()
                return
            if not await self._faults.delay_or_block(responder):
                return
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None or method != request.method:
                continue
            try:
                await handler(match, request, responder)
            except (ValueError, KeyError, TypeError) as error:
                await self._refuse(
                    responder, 400, f"malformed request: {error}"
                )
            return
        await self._refuse(responder, 400, "unknown endpoint")

    async def _start_stream(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body)
        stream_id = str(content["stream_id"])
        if self._refuses_work:
            await self._refuse_work(responder, "the engine refuses new work")
            return
        refusal = self._refusal_detail(content, stream_id)
        imported_tokens = self._imported_tokens(content)
        if refusal is None and imported_tokens is None:
            refusal = "a KV segment is unknown to this engine"
        if refusal is not None or imported_tokens is None:
            await self._refuse_work(responder, refusal or "")
            return
        submitted = self._submit(stream_id, content, imported_tokens)
        if isinstance(submitted, result.Err):
            await self._refuse_work(responder, submitted.err_value)
            return
        prompt = str(content["prompt"])
        self._history.record(
            "start",
            stream=stream_id,
            attempt=content["attempt_id"],
            owner=content["owner"],
            request=prompt[:200],
            first_offset=content["first_offset"],
        )
        if CRASH_MARKER in prompt:
            self._crash(prompt)
        stream = engine_streams.LiveStream(
            stream_id,
            content["attempt_id"],
            content["owner"],
            content["model"],
            prompt,
            content["first_offset"],
            content["max_tokens"],
            content["prompt_tokens"] - imported_tokens + content["max_tokens"],
        )
        deadline = units.Seconds(content["deadline_ms"] / 1000)
        self._streams.add(stream, content["resume_text"], deadline)
        await self._stream_tokens(stream, stream.first_offset, responder)

    def _refusal_detail(
        self, content: dict[str, Any], stream_id: str
    ) -> str | None:
        if self._streams.get(stream_id) is not None:
            return "the stream id is already in use"
        if stream_id in self._cancelled_ids:
            return "the stream was cancelled"
        if not self._orders.serves(content["model"], content["adapter"]):
            return f"{content['model']} {content['adapter']} is not loaded"
        return None

    def _imported_tokens(self, content: dict[str, Any]) -> units.Tokens | None:
        covered_tokens = 0
        for handle in content.get("kv_imports", ()):
            segment = self._memory.segment(handle)
            if segment is None:
                return None
            covered_tokens += segment.covered_tokens
        return units.Tokens(covered_tokens)

    def _submit(
        self,
        stream_id: str,
        content: dict[str, Any],
        imported_tokens: units.Tokens,
        max_tokens: int | None = None,
    ) -> result.Result[None, str]:
        if imported_tokens > content["prompt_tokens"]:
            return result.Err(
                "the imported KV covers more tokens than the prompt"
            )
        reservation = content.get("hold")
        priority = int(content["priority"])
        if reservation is not None and self._memory.consume_reservation(
            reservation
        ):
            priority = _RESERVATION_PRIORITY
        submitted = self._timing_model.submit(
            engine_timing_model.StreamSpec(
                ids.StreamId(stream_id),
                units.Tokens(content["prompt_tokens"]),
                units.Tokens(max_tokens or content["max_tokens"]),
                priority,
                tuple(content.get("block_hashes", ())),
                imported_tokens,
            )
        )
        self._work_available.set()
        return submitted.map_err(lambda _: "the stream exceeds the KV memory")

    async def _resume_stream(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        stream = self._streams.get(match[1])
        offset = int(request.parameter("from") or 0)
        if stream is None or offset < stream.first_offset:
            await self.respond_json(
                responder,
                {"detail": "unknown stream", "incarnation": self._incarnation},
                404,
            )
            return
        await self._stream_tokens(stream, offset, responder)

    async def _stream_tokens(
        self,
        stream: engine_streams.LiveStream,
        offset: int,
        responder: handlers.Responder,
    ) -> None:
        responder.start(200, (("content-type", "text/event-stream"),))
        accepted = {
            "attempt_id": stream.attempt_id,
            "incarnation": self._incarnation,
        }
        connected = await responder.write(_encode_event("accepted", accepted))
        while connected and not stream.removed:
            end_offset = stream.end_offset
            finished = stream.finished
            changed = stream.changed
            token_events = [
                _encode_event(
                    "token", {"offset": index, "text": stream.token_text(index)}
                )
                for index in range(offset, end_offset)
            ]
            offset = max(offset, end_offset)
            connected = await self._faults.delay_or_block(
                responder
            ) and await responder.write(b"".join(token_events))
            if finished or not connected:
                break
            await _wait_for_either(changed, responder.disconnected)
            connected = not responder.disconnected.is_set()
        if stream.removed:
            # Aborts, so that the client can tell the truncated stream from a
            # complete one.
            responder.abort()
            return
        if not connected:
            return
        await responder.write(
            _encode_event("end", {"token_count": offset, "reason": "length"})
        )
        self._streams.on_delivered(stream)
        await responder.finish()

    async def _cancel_stream(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        self._streams.cancel(match[1])
        self._cancelled_ids[match[1]] = None
        if len(self._cancelled_ids) > _MAX_CANCELLED_IDS:
            del self._cancelled_ids[next(iter(self._cancelled_ids))]
        await self._acknowledge(responder)

    async def _list_allocations(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        owner = request.parameter("owner")
        streams = (
            (
                backend_servers.AllocationKind.STREAM,
                stream.stream_id,
                stream.owner,
                stream.produced_tokens
                if stream.finished
                else stream.reserved_tokens,
            )
            for stream in self._streams
        )
        exports = (
            (
                backend_servers.AllocationKind.EXPORTED_KV,
                allocation_id,
                export.owner,
                export.tokens,
            )
            for allocation_id, export in self._exports
        )
        memory_allocations = (
            (entry.kind, entry.allocation_id, entry.owner, entry.tokens)
            for entry in self._memory
        )
        await self.respond_json(
            responder,
            {
                "incarnation": self._incarnation,
                "allocations": [
                    {
                        "kind": kind.value,
                        "id": allocation_id,
                        "owner": allocation_owner,
                        "bytes": tokens * self._options.bytes_per_token,
                    }
                    for kind, allocation_id, allocation_owner, tokens in (
                        *streams,
                        *exports,
                        *memory_allocations,
                    )
                    if owner is None or owner == allocation_owner
                ],
            },
        )

    async def _create_reservation(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body)
        tokens = -(-int(content["bytes"]) // self._options.bytes_per_token)
        reserved = not self._refuses_work and self._memory.create_reservation(
            str(content["hold_id"]),
            str(content["owner"]),
            units.Tokens(tokens),
            units.Seconds(content["lifetime_ms"] / 1000),
        )
        if reserved:
            await self._acknowledge(responder)
        else:
            await self._refuse_work(responder, "not enough free KV memory")

    async def _release_reservation(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        self._memory.release_reservation(match[1])
        await self._acknowledge(responder)

    async def _export_kv(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body)
        handle = str(content["handle"])
        imported_tokens = self._imported_tokens(content)
        if imported_tokens is None or handle in self._cancelled_ids:
            await self._refuse_work(
                responder, "a KV segment is unknown to this engine"
            )
            return
        if self._refuses_work or handle in self._exports:
            await self._refuse_work(
                responder, "the export is already running or work is refused"
            )
            return
        if self._memory.segment(handle) is not None:
            await self._acknowledge(responder)
            return
        # In the timing model, an export is a stream that produces one token.
        submitted = self._submit(
            engine_exports.export_stream_id(handle), content, imported_tokens, 1
        )
        if isinstance(submitted, result.Err):
            await self._refuse_work(responder, submitted.err_value)
            return
        retained = await self._exports.start(
            handle,
            str(content["owner"]),
            units.Tokens(content["prompt_tokens"] - imported_tokens),
            units.Seconds(content["deadline_ms"] / 1000),
        )
        if retained:
            await self._acknowledge(responder)
        else:
            await self.respond_json(
                responder, {"detail": "export cancelled"}, 409
            )

    async def _import_kv(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body)
        handle = str(content["handle"])
        if self._refuses_work or handle in self._cancelled_ids:
            await self._refuse_work(
                responder, "the KV handle was released or work is refused"
            )
            return
        tokens = await self._fetch_segment_tokens(
            str(content["source"]), handle
        )
        if tokens is None:
            await self._refuse_work(
                responder, "the source engine has no such KV segment"
            )
            return
        # The handle may have been released during the call to the source.
        if handle in self._cancelled_ids or not self._memory.attach_import(
            handle, str(content["owner"]), tokens
        ):
            await self._refuse_work(
                responder,
                "the KV handle was released or too many imports are attached",
            )
            return
        await self._acknowledge(responder)

    async def _fetch_segment_tokens(
        self, source: str, handle: str
    ) -> units.Tokens | None:
        parsed = address_module.parse(source)
        if isinstance(parsed, result.Err):
            return None
        connections = pool.ConnectionPool(
            parsed.ok_value, self._timers, pool.PoolLimits()
        )
        response = await connections.exchange(
            client.RequestHead("GET", f"/v1/kv/{handle}"), new_connection=True
        )
        if (
            isinstance(response, result.Err)
            or response.ok_value.head.status != 200
        ):
            return None
        return units.Tokens(int(orjson.loads(response.ok_value.body)["tokens"]))

    async def _describe_segment(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        segment = self._memory.segment(match[1])
        if segment is None:
            await self.respond_json(
                responder, {"detail": "unknown KV handle"}, 404
            )
            return
        await self.respond_json(
            responder,
            {
                "tokens": segment.covered_tokens,
                "incarnation": self._incarnation,
            },
        )

    async def _release_segment(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        self._exports.cancel(match[1])
        self._memory.release_segment(match[1])
        self._cancelled_ids[match[1]] = None
        await self._acknowledge(responder)

    async def _read_load_report(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        timing_model = self._timing_model
        bytes_per_token = self._options.bytes_per_token
        report: dict[str, object] = {
            "incarnation": self._incarnation,
            "running": timing_model.running,
            "waiting": timing_model.waiting,
            "prefill_tokens_queued": timing_model.prefill_tokens_queued,
            "kv_bytes_used": timing_model.used_tokens * bytes_per_token,
            "kv_bytes_total": self._settings.kv_tokens * bytes_per_token,
            "role": self._orders.role.value,
            "models": self._orders.models,
            "adapters": self._orders.adapters,
            "loading": self._orders.loading,
            "leaving": self._leaving,
        }
        await self.respond_json(responder, self._report.read(report))

    async def _read_cache_events(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        after_sequence = int(request.parameter("after") or 0)
        await self.respond_json(
            responder,
            {"events": self._cache_events.events_after(after_sequence)},
        )

    async def _execute_order(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body)
        outcome = self._orders.execute(
            backend_servers.EngineOrder(
                ids.OrderId(content["order_id"]),
                backend_servers.OrderKind(content["kind"]),
                str(content["target"]),
                ids.FencingNumber(int(content["fencing_number"])),
            )
        )
        if isinstance(outcome, result.Err):
            await self._refuse(responder, 412, outcome.err_value)
            return
        await self._acknowledge(responder)

    async def _handle_control(
        self,
        match: re.Match[str],
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        content = orjson.loads(request.body or b"{}")
        if match[1] == "faults":
            self._faults.apply(content)
        elif match[1] == "leave":
            self._leaving = bool(content.get("leaving", True))
            self._history.record("leave", leaving=self._leaving)
        elif match[1] == "crash":
            self._crash("control call")
        else:
            raise ValueError("unknown control call")
        await self._acknowledge(responder)

    @property
    def _refuses_work(self) -> bool:
        return self._leaving or self._faults.refusing

    async def _refuse_work(
        self, responder: handlers.Responder, detail: str
    ) -> None:
        if self._leaving:
            await self.respond_json(
                responder, {"started": False, "leaving": True}, 503
            )
            return
        status = 503 if self._faults.refusing else 409
        await self._refuse(responder, status, detail)

    async def _refuse(
        self, responder: handlers.Responder, status: int, detail: str
    ) -> None:
        await self.respond_json(
            responder, {"started": False, "detail": detail}, status
        )

    async def _acknowledge(self, responder: handlers.Responder) -> None:
        await self.respond_json(responder, {"incarnation": self._incarnation})

    def _on_token(self, stream_id: str, is_last: bool) -> None:
        stream = self._streams.on_token(stream_id, is_last)
        if (
            stream is not None
            and stream.produced_tokens == _DECODE_CRASH_TOKENS
            and DECODE_CRASH_MARKER in stream.prompt
        ):
            self._crash(stream.prompt)

    def _crash(self, cause: str) -> None:
        self._history.record("crash", cause=cause[:200])
        self._exit_process(_CRASH_STATUS)


async def _wait_for_either(
    changed: asyncio.Event, disconnected: asyncio.Event
) -> None:
    """Waits until either event is set."""
    wait_tasks = [
        asyncio.ensure_future(changed.wait()),
        asyncio.ensure_future(disconnected.wait()),
    ]
    try:
        await asyncio.wait(wait_tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait_task in wait_tasks:
            wait_task.cancel()


def _encode_event(kind: str, content: dict[str, object]) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (kind.encode(), orjson.dumps(content))
