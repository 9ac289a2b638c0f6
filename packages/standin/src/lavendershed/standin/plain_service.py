"""Stand-in for a plain service, with fault injection."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import dataclasses
import enum
import os

import orjson

from lavendershed.backend import http_plain_service
from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.transport import handlers

_CRASH_STATUS = 71


class Fault(enum.Enum):
    """Fault of one call; before and after refer to its execution."""

    NONE = "none"
    REFUSE = "refuse"
    DROP_BEFORE = "drop_before"
    DROP_AFTER = "drop_after"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    SILENT_BEFORE = "silent_before"
    SILENT_AFTER = "silent_after"


_FAILS_BEFORE_EXECUTION = {
    Fault.DROP_BEFORE,
    Fault.CRASH_BEFORE,
    Fault.SILENT_BEFORE,
}
_DROPS_CONNECTION = {Fault.DROP_BEFORE, Fault.DROP_AFTER}
_CRASHES_PROCESS = {Fault.CRASH_BEFORE, Fault.CRASH_AFTER}


@dataclasses.dataclass(frozen=True, slots=True)
class PlainServiceSettings:
    """Behaviour of one backend server.

    Attributes:
        duration_ms: Duration of a call.
        route_duration_ms: Overrides by path, without the leading slash.
    """

    duration_ms: int = 5
    route_duration_ms: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


class PlainServiceHandler(json_handler.JsonHandler):
    """Executes every received call and records it.

    The history has a `start` and an `execute` line for each execution, so that
    a checker also counts interrupted ones. `POST /control` accepts `leaving`
    (whether new calls are refused) and `faults` (names of faults for the next
    calls, in order).
    """

    def __init__(
        self,
        history: history_module.History,
        settings: PlainServiceSettings,
    ) -> None:
        self._history = history
        self._settings = settings
        self._executions = 0
        self._leaving = False
        self._faults: list[Fault] = []

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Executes one call, or injects the next fault."""
        if request.path == "/control":
            await self._handle_control(request, responder)
            return
        fault = self._faults.pop(0) if self._faults else Fault.NONE
        if self._leaving or fault is Fault.REFUSE:
            await self._refuse(request, responder)
            return
        if fault in _FAILS_BEFORE_EXECUTION:
            await self._fail(fault, responder)
            return
        execution = await self._execute(request)
        if fault is not Fault.NONE:
            await self._fail(fault, responder)
            return
        await self.respond_json(
            responder,
            {
                "execution": execution,
                "path": request.path,
                "echo": request.body.decode("utf-8", "replace"),
            },
        )

    async def _execute(self, request: handlers.ServerRequest) -> int:
        self._executions += 1
        execution = self._executions
        fields: dict[str, object] = {
            "path": request.path,
            "request": request.header("request-id"),
            "attempt": request.header("attempt-id"),
            "body": request.body.decode("utf-8", "replace"),
        }
        self._history.record("start", **fields)
        duration = self._settings.route_duration_ms.get(
            request.path.removeprefix("/"), self._settings.duration_ms
        )
        await asyncio.sleep(duration / 1000)
        self._history.record("execute", **fields)
        return execution

    async def _refuse(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        self._history.record("refuse", request=request.header("request-id"))
        leaving_headers = ((http_plain_service.LEAVING_HEADER, "true"),)
        await self.respond_json(
            responder,
            {"detail": "refused before execution"},
            503,
            ((http_plain_service.EXECUTION_STARTED_HEADER, "false"),)
            + (leaving_headers if self._leaving else ()),
        )

    async def _fail(self, fault: Fault, responder: handlers.Responder) -> None:
        if fault in _CRASHES_PROCESS:
            os._exit(_CRASH_STATUS)
        if fault in _DROPS_CONNECTION:
            responder.abort()
            return
        await responder.disconnected.wait()

    async def _handle_control(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        content = orjson.loads(request.body)
        self._leaving = content.get("leaving", self._leaving)
        self._faults = [
            Fault(name)
            for name in content.get("faults", [f.value for f in self._faults])
        ]
        await self.respond_json(responder, {"executions": self._executions})
