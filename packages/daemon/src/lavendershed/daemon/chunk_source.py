"""Other daemons as a source of configuration chunks."""

from __future__ import annotations

import abc

from lavendershed.core import ids


class ChunkSource(abc.ABC):
    """Fetches chunks from where the object store is not needed."""

    @abc.abstractmethod
    async def fetch_chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns an encoded chunk, or None; the caller checks the hash."""
