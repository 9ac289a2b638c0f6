"""Stand-in of the platform's object API."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import urllib.parse

import orjson

from lavendershed.core import object_store
from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.transport import server

_OBJECTS = "/objects/"
_PAGE_OBJECTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    version: int
    value: bytes | None


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that the control endpoint sets.

    Attributes:
        unavailable: Every call is answered 503.
        delay_ms: Added before each answer.
        lose_answers: Number of writes that take effect without an answer.
    """

    unavailable: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


class ObjectStoreHandler(json_handler.JsonHandler):
    """Objects in memory with versions, conditions and watches."""

    def __init__(self, history: history_module.History) -> None:
        self._history = history
        self._entries: dict[str, _Entry] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._faults = Faults()
        self._live: list[str] = []
        self._leaving: list[str] = []
        self._calls = 0

    async def handle(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        """Answers one call."""
        if request.path == "/control":
            await self._control(request, responder)
            return
        self._calls += 1
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)
        if self._faults.unavailable:
            await self.answer(responder, {"detail": "unavailable"}, 503)
        elif request.path.startswith(_OBJECTS):
            await self._handle_object(request, responder)
        elif request.path == "/objects":
            await self._list(request, responder)
        elif request.path == "/watch":
            await self._watch(request, responder)
        elif request.path == "/vms":
            await self.answer(
                responder, {"live": self._live, "leaving": self._leaving}
            )
        else:
            await self.answer(responder, {"detail": "no such call"}, 400)

    async def _control(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        if request.method == "POST":
            content = orjson.loads(request.body)
            self._live = content.pop("live", self._live)
            self._leaving = content.pop("leaving", self._leaving)
            self._faults = dataclasses.replace(self._faults, **content)
        await self.answer(responder, {"calls": self._calls})

    async def _handle_object(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        key = request.path.removeprefix(_OBJECTS)
        entry = self._entries.get(key)
        if entry is not None and entry.value is None:
            entry = None
        if request.method == "GET":
            if entry is None or entry.value is None:
                await self.answer(responder, {"detail": "absent"}, 404)
                return
            await responder.respond(
                200, entry.value, (("etag", str(entry.version)),)
            )
            return
        expected = request.header("if-match")
        absent = request.header("if-none-match") == "*"
        if (absent and entry is not None) or (
            expected is not None
            and (entry is None or str(entry.version) != expected)
        ):
            await self.answer(responder, {"detail": "conflict"}, 412)
            return
        if len(request.body) > object_store.MAX_OBJECT_BYTES:
            await self.answer(responder, {"detail": "too large"}, 413)
            return
        value = request.body if request.method == "PUT" else None
        self._write(key, value)
        if self._faults.lose_answers:
            self._faults.lose_answers -= 1
            responder.abort()
            return
        await self.answer(
            responder, {}, headers=(("etag", str(self._version)),)
        )

    def _write(self, key: str, value: bytes | None) -> None:
        self._version += 1
        self._entries[key] = _Entry(self._version, value)
        self._history.record(
            "write",
            key=key,
            version=self._version,
            value=None if value is None else value.decode("utf-8", "replace"),
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        prefix = request.parameter("prefix") or ""
        after = request.parameter("after") or ""
        found = sorted(
            (key, entry)
            for key, entry in self._entries.items()
            if key.startswith(prefix)
            and key > after
            and entry.value is not None
        )[:_PAGE_OBJECTS]
        await self.answer(
            responder, {"objects": [_encoded(k, e) for k, e in found]}
        )

    async def _watch(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        query = urllib.parse.parse_qs(request.query)
        prefix = query.get("prefix", [""])[0]
        since = int(query["since"][0])
        timeout = int(query["timeout_ms"][0]) / 1000
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while True:
            found = sorted(
                (
                    (key, entry)
                    for key, entry in self._entries.items()
                    if key.startswith(prefix) and entry.version > since
                ),
                key=lambda item: item[1].version,
            )
            remaining = end - loop.time()
            if found or remaining <= 0 or responder.disconnected.is_set():
                break
            changed = self._changed
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue
        await self.answer(
            responder,
            {
                "events": [_encoded(k, e) for k, e in found],
                "upto": self._version,
            },
        )


def _encoded(key: str, entry: _Entry) -> dict[str, object]:
    value = entry.value
    return {
        "key": key,
        "version": entry.version,
        "value": None if value is None else base64.b64encode(value).decode(),
    }
