"""Faults that tests switch on at a stand-in engine."""

from __future__ import annotations

import asyncio
import weakref

from lavendershed.core import units
from lavendershed.transport import handlers


class EngineFaults:
    """Silent connections, refusals, lost connections and slowness."""

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
        """Whether new work is refused before it starts."""
        return self._refuses_work

    @property
    def aborting(self) -> bool:
        """Whether connections are closed instead of being answered."""
        return self._aborts_connections

    def apply(self, content: dict[str, object]) -> None:
        """Takes the body of a control call; absent members stay as they are.

        Args:
            content: `silence` (established connections stop delivering),
                `refuse` and `abort` (booleans), `slow_ms` (delay before each
                answer and each write of a stream).
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
        """Notes a connection that carries a request."""
        self._connections.add(responder)

    async def delay_or_block(self, responder: handlers.Responder) -> bool:
        """Delays or withholds a write; returns False once the peer is gone."""
        if self._response_delay:
            await asyncio.sleep(self._response_delay)
        if responder in self._silent_connections:
            await responder.disconnected.wait()
        return not responder.disconnected.is_set()
