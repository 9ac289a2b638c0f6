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
        self._silent: weakref.WeakSet[handlers.Responder] = weakref.WeakSet()
        self._refusing = False
        self._aborting = False
        self._delay = units.Seconds(0.0)

    @property
    def refusing(self) -> bool:
        """Whether new work is refused before it starts."""
        return self._refusing

    @property
    def aborting(self) -> bool:
        """Whether connections are closed instead of being answered."""
        return self._aborting

    def apply(self, content: dict[str, object]) -> None:
        """Takes the body of a control call; absent members stay as they are.

        Args:
            content: `silence` (established connections stop delivering),
                `refuse` and `abort` (booleans), `slow_ms` (delay before each
                answer and each write of a stream).
        """
        if content.get("silence"):
            self._silent.update(self._connections)
        self._refusing = bool(content.get("refuse", self._refusing))
        self._aborting = bool(content.get("abort", self._aborting))
        if "slow_ms" in content:
            self._delay = units.Seconds(float(str(content["slow_ms"])) / 1000)

    def on_connection(self, responder: handlers.Responder) -> None:
        """Notes a connection that carries a request."""
        self._connections.add(responder)

    async def pass_through(self, responder: handlers.Responder) -> bool:
        """Delays or withholds a write; returns False once the peer is gone."""
        if self._delay:
            await asyncio.sleep(self._delay)
        if responder in self._silent:
            await responder.disconnected.wait()
        return not responder.disconnected.is_set()
