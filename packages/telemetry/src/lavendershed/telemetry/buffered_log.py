"""Event log that does not block on a slow reader."""

from __future__ import annotations

import collections
import os
from typing import Any

import eliot
import orjson

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# At about 250 bytes per line, this buffers a few seconds of overload.
_MAX_BUFFERED = units.Bytes(1_000_000)
_FLUSH_INTERVAL = units.Seconds(0.1)


class BufferedEventLog(log.EventLog):
    """Writes JSON lines to a file descriptor in non-blocking mode.

    Lines that exceed the buffer are dropped and counted; the count is logged
    once the buffer has been written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        eliot.add_destinations(self._buffer_message)

    @property
    def dropped_lines(self) -> int:
        """Number of dropped lines not yet reported in the log."""
        return self._dropped_lines

    def start(self, timer_service: timers.TimerService) -> None:
        """Starts periodic flushes of the buffer."""
        timer_service.schedule_every(_FLUSH_INTERVAL, self.flush)

    def close(self) -> None:
        """Stops receiving events."""
        eliot.remove_destination(self._buffer_message)

    def emit(self, event: events.Event, **fields: log.LogValue) -> None:
        """Buffers one event with its fields."""
        eliot.log_message(
            f"lavendershed.{event.name.lower()}", event=int(event), **fields
        )

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; lines are dropped once the
                # buffer is full.
                return
            self._buffered_bytes -= written
            if written < len(self._buffer[0]):
                self._buffer[0] = self._buffer[0][written:]
                return
            self._buffer.popleft()
        if self._dropped_lines:
            dropped, self._dropped_lines = self._dropped_lines, 0
            self.emit(events.Event.LOG_LINES_DROPPED, lines=dropped)

    def _buffer_message(self, message: dict[str, Any]) -> None:
        line = orjson.dumps(message, default=str) + b"\n"
        if self._buffered_bytes + len(line) > _MAX_BUFFERED:
            self._dropped_lines += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
