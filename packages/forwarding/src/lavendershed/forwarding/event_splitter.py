"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import dataclasses
import re

from lavendershed.core import decimals
from lavendershed.core import units

_SEPARATOR = b"\n\n"
_ID_FIELD = re.compile(rb"^id:([^\n]*)", re.MULTILINE)
# Blank lines, and blocks that have only comment lines, as many as there are.
# The quantifiers don't backtrack, so that the time is linear.
_IGNORED_LINES = re.compile(rb"(?:\n|(?::[^\n]*+\n)++\n)++")
_EVENTS_WITHOUT_ID = re.compile(rb"(?:(?:(?!id:)[^\n]++\n)++\n)++")
# An engine that never ends an event must not fill the memory.
MAX_EVENT_BYTES = units.Bytes(1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete server-sent event, or a run of them without ids.

    Attributes:
        raw: Its bytes, including the blank line that ends it.
        event_id: Its id; None if it is absent or not a number.
        has_invalid_id: Whether it has an id that is not a number.
        is_comment: Whether it has only comments and blank lines, which servers
            send to keep alive. See the event stream format of the HTML
            standard.
    """

    raw: bytes
    event_id: int | None
    has_invalid_id: bool = False
    is_comment: bool = False


class EventSplitter:
    """Buffers a partial event until the rest of it arrives.

    Each byte is searched for the end of an event once, however it arrives.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes of the buffer in which no event ends.
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is larger than any event may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Returns the events that `data` completes.

        Comments and blank lines in a row are one event, and so are events
        without ids, since an engine may send thousands of them in one read.
        """
        buffer = self._buffer
        buffer += data
        events = []
        start = 0
        # The separator may begin with the last byte that was searched.
        search_from = max(0, self._searched - 1)
        while (separator := buffer.find(_SEPARATOR, search_from)) >= 0:
            if ignored := _IGNORED_LINES.match(buffer, start):
                end = ignored.end()
                events.append(Event(ignored[0], None, is_comment=True))
            elif plain := _EVENTS_WITHOUT_ID.match(buffer, start):
                end = plain.end()
                events.append(Event(plain[0], None))
            else:
                end = separator + len(_SEPARATOR)
                events.append(_parse_event(bytes(buffer[start:end])))
            start = search_from = end
        del buffer[:start]
        self._searched = len(buffer)
        return tuple(events)


def _parse_event(raw: bytes) -> Event:
    field = _ID_FIELD.search(raw)
    if field is None:
        return Event(raw, None)
    event_id = decimals.parse(field[1].strip())
    return Event(raw, event_id, has_invalid_id=event_id is None)
