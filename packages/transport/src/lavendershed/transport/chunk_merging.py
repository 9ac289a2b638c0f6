"""Merges small chunks of a body before they are parsed.

The parser takes about as long for a chunk of one byte as for one of a thousand,
so that a legal body could cost most of a minute of processor time.
"""

from __future__ import annotations

import enum
import re

# Everything else is left to the parser: longer sizes, extensions, errors.
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,4})\r\n")
_PARTIAL_SIZE_LINE = re.compile(rb"[0-9A-Fa-f]{0,4}\r?")
_MAX_SIZE_LINE_LENGTH = 6
_LINE_END = b"\r\n"


class _State(enum.Enum):
    """What the next byte belongs to."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data_end"
    # The end of the body, or a form that is left to the parser.
    UNCHANGED = "unchanged"


class ChunkMerger:
    """Rewrites the bytes of one chunked body with fewer chunks.

    What it returns means the same to a parser, errors included. It holds
    nothing back: a chunk that does not come at once stays as it is.
    """

    def __init__(self) -> None:
        self._state = _State.SIZE
        # What has come of a size line.
        self._size_line = b""
        # Bytes of the data, or of the line end after it, that are to come.
        self._missing = 0

    def merge(self, data: bytes) -> bytes:
        """Returns the next bytes of the body, with whole chunks merged."""
        start = 0 if self._is_between_chunks else self._advance(data, 0)
        if not self._is_between_chunks:
            return data
        position = start
        body = bytearray()
        while size_line := _SIZE_LINE.match(data, position):
            data_start = size_line.end()
            data_end = data_start + int(size_line[1], 16)
            end = data_end + len(_LINE_END)
            if data_start == data_end or data[data_end:end] != _LINE_END:
                break
            body += data[data_start:data_end]
            position = end
        if position < len(data):
            self._advance(data, position)
        if not body:
            return data
        merged = b"%x\r\n" % len(body) + body + _LINE_END
        return data[:start] + merged + data[position:]

    @property
    def _is_between_chunks(self) -> bool:
        return self._state is _State.SIZE and not self._size_line

    def _advance(self, data: bytes, position: int) -> int:
        """Passes over the rest of one chunk; returns where that ends."""
        if self._state is _State.SIZE:
            position = self._advance_in_size(data, position)
        if self._state is _State.DATA:
            length = min(self._missing, len(data) - position)
            position += length
            self._missing -= length
            if not self._missing:
                self._state = _State.DATA_END
                self._missing = len(_LINE_END)
        if self._state is _State.DATA_END:
            end = data[position : position + self._missing]
            if not _LINE_END[-self._missing :].startswith(end):
                self._state = _State.UNCHANGED
                return position
            position += len(end)
            self._missing -= len(end)
            if not self._missing:
                self._state = _State.SIZE
        return position

    def _advance_in_size(self, data: bytes, position: int) -> int:
        end = position + _MAX_SIZE_LINE_LENGTH
        line = self._size_line + data[position:end]
        match = _SIZE_LINE.match(line)
        if match is None:
            if end > len(data) and _PARTIAL_SIZE_LINE.fullmatch(line):
                self._size_line = line
            else:
                self._state = _State.UNCHANGED
            return len(data)
        position += match.end() - len(self._size_line)
        self._size_line = b""
        self._missing = int(match[1], 16)
        self._state = _State.DATA if self._missing else _State.UNCHANGED
        return position
