"""Records of exceptions that end one request or one message.

An exception that no code expects is a bug, but the other requests of the
process are not affected by it. Each one is logged once and counted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import traceback
from typing import Any

from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Bounds of a log line, since errors may quote what a peer has sent.
_MAX_FRAMES = 8
_MAX_DETAIL = 200
_UNKNOWN_PLACE = "event_loop"


class ErrorRecorder:
    """Logs and counts unexpected exceptions."""

    def __init__(
        self, event_log: log.EventLog, count: Callable[[str], object]
    ) -> None:
        """Creates a recorder.

        Args:
            event_log: Where errors are logged.
            count: Is called with the place of each error.
        """
        self._log = event_log
        self._count = count

    def record(
        self, place: str, error: BaseException, request: str | None = None
    ) -> None:
        """Logs and counts an exception.

        Args:
            place: What the exception ended, such as "request".
            error: The exception.
            request: Id of the request that raised it, if it was one.
        """
        self._count(place)
        self._log.emit(
            events.Event.UNEXPECTED_ERROR,
            place=place,
            request=request,
            detail=repr(error)[:_MAX_DETAIL],
            trace=[
                f"{frame.name} ({frame.filename.rpartition('/')[2]}:"
                f"{frame.lineno})"
                for frame in traceback.extract_tb(error.__traceback__)
            ][-_MAX_FRAMES:],
        )

    def on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Exception handler of an event loop.

        It is called for exceptions of timers, protocols and request handlers.
        """
        error = context.get("exception")
        if error is None:
            error = RuntimeError(str(context.get("message")))
        self.record(context.get("place", _UNKNOWN_PLACE), error)
