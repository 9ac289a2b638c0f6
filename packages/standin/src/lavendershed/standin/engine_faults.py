"""Faults that tests inject into a stand-in engine."""

from __future__ import annotations

import asyncio
import weakref

from lavendershed.core import units
from lavendershed.transport import handlers


class EngineFaults:
    """Stalled connections, refused work, aborted connections and delays."""

    def __init__(self) -> None:
        self._connections: weakref.WeakSet[handlers.Responder] = (
            weakref.WeakSet()
        )
        self._silent_connections: weakref.WeakSet[handlers.Responder] = (
            weakref.WeakSet()
        )
        self._refuses_work = False
        self._aborts_connections = False
        self._response_delay = units.Seconds(0.0)

    @property
    def refusing(self) -> bool:
        """Whether new work is refused before its execution starts."""
        return self._refuses_work

    @property
    def aborting(self) -> bool:
        """Whether connections are aborted instead of a response."""
        return self._aborts_connections

    def apply(self, content: dict[str, object]) -> None:
        """Applies the body of a control call; absent members are unchanged.

        Args:
            content: `silence` (writes on established connections stall),
                `refuse` and `abort` (booleans), `slow_ms` (delay before each
                response and each write of a stream).
        """
        if content.get("silence"):
            self._silent_connections.update(self._connections)
        self._refuses_work = bool(content.get("refuse", self._refuses_work))
        self._aborts_connections = bool(
            content.get("abort", self._aborts_connections)
        )
        if "slow_ms" in content:
            self._response_delay = units.Seconds(
                float(str(content["slow_ms"])) / 1000
            )

    def track_connection(self, responder: handlers.Responder) -> None:
        """Registers a connection, so that `silence` can stall it."""
        self._connections.add(responder)

    async def delay_or_block(self, responder: handlers.Responder) -> bool:
        """Delays or stalls a write; returns False once the client is gone."""
        if self._response_delay:
            await asyncio.sleep(self._response_delay)
        if responder in self._silent_connections:
            await responder.disconnected.wait()
        return not responder.disconnected.is_set()
