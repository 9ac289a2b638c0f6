"""Stand-in for the platform's object API, with fault injection."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Sequence
import dataclasses
import enum

import orjson

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.standin import versioned_objects
from lavendershed.transport import handlers

_OBJECTS_PREFIX = "/objects/"
_ERROR_STATUSES = {
    object_store.StoreErrorKind.CONFLICT: 412,
    object_store.StoreErrorKind.TOO_LARGE: 413,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults set through the control endpoint.

    Attributes:
        unavailable: Every call gets a 503 response; waiting watches end.
        silent: No call gets a response, and no write takes effect.
        delay_ms: Delay before each call is processed.
        lose_answers: Number of writes that take effect without a response.
        lose_writes: Number of writes without an effect or a response.
        reads_per_second: Rate of reads, watches included, above which calls
            get a 429 response; 0 for no limit.
        writes_per_second: The same for writes.
        vm_lag_ms: Delay until a change of the VM list becomes visible.
    """

    unavailable: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_writes: int = 0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0
    vm_lag_ms: int = 0


class _CallKind(enum.Enum):
    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class _RateLimit:
    """Counts calls in fixed one-second windows of the event loop's clock."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def exceeded(self, limit: float) -> bool:
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return limit > 0 and self._count > limit


class ObjectStoreHandler(json_handler.JsonHandler):
    """Serves in-memory objects with versions, preconditions and watches."""

    def __init__(self, history: history_module.History) -> None:
        self._history = history
        self._objects = versioned_objects.VersionedObjects()
        self._changed = asyncio.Event()
        self._faults = Faults()
        self._reads = _RateLimit()
        self._writes = _RateLimit()
        self._vms: dict[str, list[str]] = {"live": [], "leaving": []}
        self._visible_vms = self._vms
        self._calls = dict.fromkeys(_CallKind, 0)
        self._throttled = 0
        self._open_watches = 0

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Responds to one call."""
        if request.path == "/control":
            await self._handle_control(request, responder)
            return
        kind = _call_kind(request)
        self._calls[kind] += 1
        if self._faults.silent:
            self._record_call(request, "silent")
            await responder.disconnected.wait()
            return
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if self._faults.unavailable:
            self._record_call(request, "unavailable")
            await self.respond_json(responder, {"detail": "unavailable"}, 503)
        elif self._exceeds_rate(kind):
            self._throttled += 1
            self._record_call(request, "throttled")
            await self.respond_json(
                responder, {"detail": "throttled"}, 429, (("retry-after", "1"),)
            )
        elif kind is _CallKind.WRITE:
            await self._write(request, responder)
        elif kind is _CallKind.WATCH:
            await self._watch(request, responder)
        else:
            await self._read(request, responder)

    def _exceeds_rate(self, kind: _CallKind) -> bool:
        if kind is _CallKind.WRITE:
            return self._writes.exceeded(self._faults.writes_per_second)
        return self._reads.exceeded(self._faults.reads_per_second)

    def _record_call(
        self, request: handlers.ServerRequest, outcome: str
    ) -> None:
        self._history.record(
            "call",
            method=request.method,
            path=request.path,
            query=request.query,
            outcome=outcome,
        )

    async def _handle_control(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        if request.method == "POST":
            fields = orjson.loads(request.body)
            vm_lists = {
                name: fields.pop(name) for name in self._vms if name in fields
            }
            self._faults = dataclasses.replace(self._faults, **fields)
            self._history.record("control", **fields, **vm_lists)
            if vm_lists:
                self._set_vms(self._vms | vm_lists)
            self._notify_watches()
        await self.respond_json(
            responder,
            {
                "calls": sum(self._calls.values()),
                "reads": self._calls[_CallKind.READ],
                "writes": self._calls[_CallKind.WRITE],
                "watches": self._calls[_CallKind.WATCH],
                "watching": self._open_watches,
                "throttled": self._throttled,
            },
        )

    def _set_vms(self, vms: dict[str, list[str]]) -> None:
        self._vms = vms

        def make_visible() -> None:
            self._visible_vms = vms

        asyncio.get_running_loop().call_later(
            self._faults.vm_lag_ms / 1000, make_visible
        )

    async def _read(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        self._record_call(request, "read")
        if request.path.startswith(_OBJECTS_PREFIX):
            entry = self._objects.get(
                request.path.removeprefix(_OBJECTS_PREFIX)
            )
            if entry is None or entry.value is None:
                await self.respond_json(responder, {"detail": "absent"}, 404)
                return
            await responder.respond(
                200, entry.value, (("etag", str(entry.version)),)
            )
        elif request.path == "/objects":
            page = self._objects.page(
                request.parameter("prefix") or "",
                request.parameter("after") or "",
            )
            await self.respond_json(
                responder, {"objects": _encode_entries(page)}
            )
        elif request.path == "/vms":
            await self.respond_json(responder, self._visible_vms)
        else:
            await self.respond_json(
                responder, {"detail": "unknown endpoint"}, 400
            )

    async def _write(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        if self._faults.lose_writes:
            self._faults = dataclasses.replace(
                self._faults, lose_writes=self._faults.lose_writes - 1
            )
            self._record_call(request, "lost")
            responder.abort()
            return
        condition = _parse_condition(request)
        if condition is None:
            await self.respond_json(
                responder, {"detail": "missing or malformed precondition"}, 400
            )
            return
        key = request.path.removeprefix(_OBJECTS_PREFIX)
        value = request.body if request.method == "PUT" else None
        write_result = self._objects.write(key, value, condition)
        if isinstance(write_result, object_store.StoreErrorKind):
            self._record_call(request, write_result.value)
            await self.respond_json(
                responder,
                {"detail": write_result.value},
                _ERROR_STATUSES[write_result],
            )
            return
        self._history.record(
            "write",
            key=key,
            version=write_result,
            value=None if value is None else value.decode("utf-8", "replace"),
        )
        self._notify_watches()
        if self._faults.lose_answers:
            self._faults = dataclasses.replace(
                self._faults, lose_answers=self._faults.lose_answers - 1
            )
            responder.abort()
            return
        await self.respond_json(
            responder, {}, headers=(("etag", str(write_result)),)
        )

    async def _watch(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        self._record_call(request, "watch")
        try:
            since = int(request.parameter("since") or "")
            timeout = int(request.parameter("timeout_ms") or "") / 1000
        except ValueError:
            await self.respond_json(
                responder,
                {"detail": "since and timeout_ms must be integers"},
                400,
            )
            return
        prefix = request.parameter("prefix") or ""
        self._open_watches += 1
        try:
            changes = await self._wait_for_change(
                prefix, since, timeout, responder
            )
        finally:
            self._open_watches -= 1
        if self._faults.unavailable:
            await self.respond_json(responder, {"detail": "unavailable"}, 503)
            return
        await self.respond_json(
            responder,
            {"events": _encode_entries(changes), "upto": self._objects.version},
        )

    async def _wait_for_change(
        self,
        prefix: str,
        since: int,
        timeout: float,
        responder: handlers.Responder,
    ) -> list[versioned_objects.Entry]:
        try:
            async with asyncio.timeout(timeout):
                while not self._faults.unavailable:
                    changes = self._objects.changes(prefix, since)
                    if changes or responder.disconnected.is_set():
                        return changes
                    await self._changed.wait()
        except TimeoutError:
            pass
        return []

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _call_kind(request: handlers.ServerRequest) -> _CallKind:
    if request.path == "/watch":
        return _CallKind.WATCH
    writes = request.method in ("PUT", "DELETE")
    if writes and request.path.startswith(_OBJECTS_PREFIX):
        return _CallKind.WRITE
    return _CallKind.READ


def _parse_condition(
    request: handlers.ServerRequest,
) -> object_store.Condition | None:
    if request.header("if-none-match") == "*":
        return object_store.IfAbsent()
    expected = request.header("if-match") or ""
    if not expected.isascii() or not expected.isdigit():
        return None
    return object_store.IfVersion(ids.ObjectVersion(int(expected)))


def _encode_entries(
    entries: Sequence[versioned_objects.Entry],
) -> list[dict[str, object]]:
    return [
        {
            "key": entry.key,
            "version": entry.version,
            "value": None
            if entry.value is None
            else base64.b64encode(entry.value).decode(),
        }
        for entry in entries
    ]
