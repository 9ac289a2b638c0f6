"""Interface to alternative sources of configuration chunks."""

from __future__ import annotations

import abc

from lavendershed.core import ids


class ChunkSource(abc.ABC):
    """Fetches configuration chunks from a source other than the store."""

    @abc.abstractmethod
    async def fetch_chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns an encoded chunk, or None; the caller checks the hash."""
