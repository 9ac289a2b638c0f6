"""Stand-in for the platform's object store, with fault injection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
from typing import Any

import orjson

from lavendershed.core import timers
from lavendershed.transport import address as address_module
from lavendershed.transport import handlers
from lavendershed.transport import server

_PAGE_SIZE = 500

# An object, or the JSON bytes of an odd one.
StoredJson = dict[str, Any] | orjson.Fragment


class StoreFault(enum.Enum):
    """Fault that is injected into subsequent calls."""

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    deleted: bool
    stored_object: StoredJson


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Contents of the store at one revision."""

    revision: int
    objects: dict[tuple[str, str], StoredJson]


class StandinPlatformStore(handlers.Handler):
    """Serves lists and watches; tests write through method calls."""

    def __init__(self, timer_service: timers.TimerService) -> None:
        self._server = server.HttpServer(
            self, timer_service, server.ServerLimits()
        )
        self._objects: dict[tuple[str, str], StoredJson] = {}
        self._changes: list[_Change] = []
        self._revision = 1
        self._oldest_revision = 1
        self._era = 1
        self._changed = asyncio.Event()
        self._calls = 0
        self.fault = StoreFault.NONE

    @property
    def address(self) -> address_module.Address:
        """Listen address."""
        return self._server.address

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def calls(self) -> int:
        """Number of received calls."""
        return self._calls

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        await self._server.start(address_module.Address("127.0.0.1", 0))

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> int:  # noqa: ANN401
        """Writes an object; returns its revision."""
        self._revision += 1
        stored_object = {
            "metadata": {"name": name, "revision": self._revision},
            "spec": spec,
        }
        self._objects[(kind, name)] = stored_object
        self._record_change(kind, stored_object, deleted=False)
        return self._revision

    def put_odd(self, kind: str, name: str, encoded: bytes) -> None:
        """Writes an object that another writer has left, as its JSON bytes."""
        self._revision += 1
        stored_object = orjson.Fragment(encoded)
        self._objects[(kind, name)] = stored_object
        self._record_change(kind, stored_object, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._revision += 1
        stored_object = self._objects.pop((kind, name))
        self._record_change(kind, stored_object, deleted=True)

    def compact_history(self) -> None:
        """Drops the change history; older watches get 410 and list again."""
        self._changes.clear()
        self._oldest_revision = self._revision + 1
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Returns a copy to restore later."""
        return StoreCopy(self._revision, dict(self._objects))

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from a copy, without any history."""
        self._era += 1
        self._revision = copy.revision
        self._objects = dict(copy.objects)
        self.compact_history()

    def wake_watches(self) -> None:
        """Wakes waiting watches, which abort if a fault is set."""
        self._notify_watches()

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Responds to one call."""
        self._calls += 1
        if self.fault is StoreFault.SILENT:
            await responder.disconnected.wait()
            return
        if self.fault is StoreFault.RESET:
            responder.abort()
            return
        if self.fault is StoreFault.BUSY:
            await responder.respond(503, b"", self._headers)
            return
        kind = request.path.removeprefix("/objects/")
        if kind == request.path:
            await responder.respond(503, b"", self._headers)
            return
        watch = request.parameter("watch")
        if watch is None:
            await self._respond_json(responder, self._list_page(kind, request))
            return
        await self._watch(kind, int(watch), request, responder)

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request rejected by the server."""
        return detail.encode()

    def _list_page(
        self, kind: str, request: handlers.ServerRequest
    ) -> dict[str, Any]:
        after = request.parameter("after") or ""
        names = sorted(
            name
            for object_kind, name in self._objects
            if object_kind == kind and name > after
        )
        return {
            "items": [
                self._objects[(kind, name)] for name in names[:_PAGE_SIZE]
            ],
            "has_more": len(names) > _PAGE_SIZE,
            "as_of": self._revision,
        }

    async def _watch(
        self,
        kind: str,
        revision: int,
        request: handlers.ServerRequest,
        responder: handlers.Responder,
    ) -> None:
        timeout_s = int(request.parameter("wait_ms") or "0") / 1_000
        await self._wait_until(
            lambda: (
                bool(self._changes_since(kind, revision))
                or self._history_is_gone(revision)
                or self.fault is not StoreFault.NONE
            ),
            timeout_s,
        )
        if self.fault is not StoreFault.NONE:
            responder.abort()
            return
        if self._history_is_gone(revision):
            await responder.respond(410, b"", self._headers)
            return
        events = [
            {"object": change.stored_object, "deleted": change.deleted}
            for change in self._changes_since(kind, revision)
        ]
        await self._respond_json(
            responder, {"events": events, "as_of": self._revision}
        )

    def _history_is_gone(self, revision: int) -> bool:
        return not self._oldest_revision - 1 <= revision <= self._revision

    @property
    def _headers(self) -> tuple[tuple[str, str], ...]:
        return (("store-era", str(self._era)),)

    def _changes_since(self, kind: str, revision: int) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.kind == kind and change.revision > revision
        ]

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _respond_json(
        self, responder: handlers.Responder, body: dict[str, Any]
    ) -> None:
        await responder.respond(200, orjson.dumps(body), self._headers)

    def _record_change(
        self, kind: str, stored_object: StoredJson, *, deleted: bool
    ) -> None:
        self._changes.append(
            _Change(self._revision, kind, deleted, stored_object)
        )
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
