"""Turns of requests that were sent before the previous response."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

# Requests that begin in one turn of the event loop. Callers that send one
# request at a time don't wait for a turn.
_PER_TURN = 4


class RequestTurns:
    """Begins requests that were sent ahead in turn, a few at a time.

    A caller may send thousands of requests that are answered at once. If each
    began with the end of the previous response, crowds of such callers would
    take nearly all of the time between two steps of everyone else's request.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], object]] = (
            collections.deque()
        )
        self._scheduled = False

    def enqueue(self, begin: Callable[[], object]) -> None:
        """Calls `begin` once it is its turn, in a later turn of the loop."""
        self._waiting.append(begin)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled and self._waiting:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_some)

    def _begin_some(self) -> None:
        self._scheduled = False
        for _ in range(min(_PER_TURN, len(self._waiting))):
            self._waiting.popleft()()
        self._schedule()
