"""Splits a byte stream into whole server-sent events."""

from __future__ import annotations

import dataclasses

_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        encoded: All its bytes with the empty line that ends it.
        number: Its id; None if it has none or one that is no number.
    """

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Keeps the beginning of an event until its end arrives."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
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
