"""Framing of calls between daemons over TCP."""

from __future__ import annotations

import asyncio
import enum

from lavendershed.core import units

_LENGTH_BYTES = 4
MAX_CALL_BYTES = units.Bytes(4_096)
# The largest object of the store plus its envelope.
MAX_ANSWER_BYTES = units.Bytes(1_100_000)


class CallKind(enum.Enum):
    """Kinds of calls; the numbers are part of the protocol."""

    FETCH_MANIFEST = 1
    FETCH_CHUNK = 2
    FETCH_SNAPSHOT = 3
    OWNER_STATE = 4


class AnswerStatus(enum.Enum):
    """Outcomes of calls; the numbers are part of the protocol."""

    OK = 0
    ABSENT = 1
    UNKNOWN_CALL = 2
    TOO_LARGE = 3


async def read_frame(
    reader: asyncio.StreamReader, limit: units.Bytes
) -> bytes | None:
    """Returns the content of one frame; None if too long or truncated."""
    try:
        prefix = await reader.readexactly(_LENGTH_BYTES)
        length = int.from_bytes(prefix, "big")
        if length > limit:
            return None
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None


def encode_frame(content: bytes) -> bytes:
    """Returns the content prefixed with its length."""
    return len(content).to_bytes(_LENGTH_BYTES, "big") + content
