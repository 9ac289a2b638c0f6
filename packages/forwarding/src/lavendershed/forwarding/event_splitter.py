"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import dataclasses

from lavendershed.core import decimals
from lavendershed.core import units

_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"
_COMMENT = b":"
# An engine that never ends an event must not fill the memory.
MAX_EVENT_BYTES = units.Bytes(1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete server-sent event.

    Attributes:
        raw: Its bytes, including the blank line that ends it.
        event_id: Its id; None if it is absent or not a number.
        has_invalid_id: Whether it has an id that is not a number.
    """

    raw: bytes
    event_id: int | None
    has_invalid_id: bool = False

    @property
    def is_comment(self) -> bool:
        """Whether it has only comment lines, which servers send to keep alive.

        See the event stream format of the HTML standard.
        """
        return all(
            not line or line.startswith(_COMMENT)
            for line in self.raw.split(b"\n")
        )


class EventSplitter:
    """Buffers a partial event until the rest of it arrives."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than any event may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Returns the events that `data` completes."""
        *complete, self._buffer = (self._buffer + data).split(_SEPARATOR)
        return tuple(map(_parse_event, complete))


def _parse_event(block: bytes) -> Event:
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            event_id = decimals.parse(line[len(_ID_FIELD) :].strip())
            return Event(block + _SEPARATOR, event_id, event_id is None)
    return Event(block + _SEPARATOR, None)
