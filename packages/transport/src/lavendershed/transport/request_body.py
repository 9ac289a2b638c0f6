"""The body of a request while it is received and handled."""

from __future__ import annotations

import enum
import typing

from lavendershed.core import units
from lavendershed.transport import chunk_merging

if typing.TYPE_CHECKING:
    import h11

    from lavendershed.transport import buffer_budget

# The interpreter may reserve an eighth more for a body than has come.
_RESERVE = 8


class BodyFault(enum.Enum):
    """Why a body can't be received."""

    TOO_LARGE = "too_large"
    NO_MEMORY = "no_memory"


class RequestBody:
    """Keeps one body at a time, within a limit and a shared budget."""

    def __init__(self, buffers: buffer_budget.BufferBudget) -> None:
        """Creates an empty body.

        Args:
            buffers: Memory for large bodies of all connections.
        """
        self._share = buffers.share()
        self._content = bytearray()
        self._limit = units.Bytes(0)
        self._merger: chunk_merging.ChunkMerger | None = None
        # Bytes of a chunked body that have come and were not parsed.
        self._unmerged = b""

    def __len__(self) -> int:
        """Bytes of the content so far."""
        return len(self._content)

    @property
    def limit(self) -> units.Bytes:
        """Maximum size, from when the body began."""
        return self._limit

    @property
    def is_chunked(self) -> bool:
        """Whether a chunked body is being received."""
        return self._merger is not None

    @property
    def unmerged_bytes(self) -> units.Bytes:
        """Bytes of a chunked body that have come and were not parsed."""
        return units.Bytes(len(self._unmerged))

    @property
    def held_bytes(self) -> units.Bytes:
        """Memory of the content."""
        size = len(self._content)
        return units.Bytes(size + size // _RESERVE)

    def begin(
        self, request: h11.Request, limit: units.Bytes, unparsed: bytes
    ) -> None:
        """Begins with the body of a request.

        Args:
            request: Its head.
            limit: Maximum size.
            unparsed: What the parser has received after the head.
        """
        self._limit = limit
        if any(name == b"transfer-encoding" for name, _ in request.headers):
            self._merger = chunk_merging.ChunkMerger()
            self._merger.merge(unparsed)

    def receive_chunks(self, data: bytes | memoryview) -> None:
        """Keeps bytes of a chunked body for `take_chunks`."""
        self._unmerged += data

    def take_chunks(self) -> bytes:
        """Returns what was received for the parser; empty if there is none."""
        if self._merger is None or not self._unmerged:
            return b""
        merged = self._merger.merge(self._unmerged)
        self._unmerged = b""
        return merged

    def append(self, data: bytes) -> BodyFault | None:
        """Adds content; returns why the body can't be received, if so."""
        self._content += data
        if len(self._content) > self._limit:
            return BodyFault.TOO_LARGE
        if not self._share.resize(len(self._content)):
            return BodyFault.NO_MEMORY
        return None

    def complete(self) -> bytes:
        """Returns the whole content, which stays in the budget."""
        content = bytes(self._content)
        self._content = bytearray()
        self._merger = None
        return content

    def release(self) -> None:
        """Gives back the budget of a body that is not needed. Idempotent."""
        self._share.release()

    def drop(self) -> None:
        """Drops a body in part. Idempotent."""
        self._content = bytearray()
        self._unmerged = b""
        self._share.release()
