"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import dataclasses

_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete server-sent event.

    Attributes:
        raw: Its bytes, including the blank line that ends it.
        event_id: Its id; None if it is absent or not a number.
    """

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Buffers a partial event until the rest of it arrives."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Returns the events that `data` completes."""
        *complete, self._buffer = (self._buffer + data).split(_SEPARATOR)
        return tuple(
            Event(block + _SEPARATOR, _parse_event_id(block))
            for block in complete
        )


def _parse_event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
