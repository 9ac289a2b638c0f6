"""Stand-in of a plain service: it books and counts what it ran."""

from __future__ import annotations

import asyncio

from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.transport import server


class PlainServiceHandler(json_handler.JsonHandler):
    """Runs every call once per time it arrives, and records it."""

    def __init__(
        self, history: history_module.History, duration_ms: int
    ) -> None:
        self._history = history
        self._duration_ms = duration_ms
        self._executions = 0

    async def handle(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        """Runs one call."""
        self._executions += 1
        execution = self._executions
        self._history.record(
            "execute",
            path=request.path,
            request=request.header("request-id"),
            body=request.body.decode("utf-8", "replace"),
        )
        await asyncio.sleep(self._duration_ms / 1000)
        await self.answer(
            responder,
            {
                "execution": execution,
                "path": request.path,
                "echo": request.body.decode("utf-8", "replace"),
            },
        )
