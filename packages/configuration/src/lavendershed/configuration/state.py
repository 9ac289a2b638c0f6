"""Configuration state of one daemon: it only moves to greater epochs."""

from __future__ import annotations

import dataclasses

from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChunks:
    """Command: fetch these chunks from the store or from a peer."""

    hashes: tuple[ids.ChunkHash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Command: put `new` in force in place of `old`."""

    old: model.Configuration
    new: model.Configuration


Command = FetchChunks | ApplyConfiguration


class ConfigurationState:
    """Collects manifests and chunks and applies only greater epochs."""

    def __init__(self) -> None:
        self._current = model.EMPTY
        self._manifest: manifest_module.Manifest | None = None
        self._pending: manifest_module.Manifest | None = None
        self._chunks: dict[ids.ChunkHash, manifest_module.Chunk] = {}

    @property
    def current(self) -> model.Configuration:
        """The configuration in force."""
        return self._current

    @property
    def ready(self) -> bool:
        """Whether any configuration is in force."""
        return self._current.epoch > 0

    @property
    def manifest(self) -> manifest_module.Manifest | None:
        """Manifest of the configuration in force."""
        return self._manifest

    def chunk(self, chunk_hash: ids.ChunkHash) -> manifest_module.Chunk | None:
        """Returns a held chunk, for peers that ask for it."""
        return self._chunks.get(chunk_hash)

    def on_manifest(
        self, manifest: manifest_module.Manifest
    ) -> tuple[Command, ...]:
        """Takes a manifest from any source; old epochs are ignored."""
        newest = self._pending.epoch if self._pending else self._current.epoch
        if manifest.epoch < newest or manifest.epoch <= self._current.epoch:
            return ()
        self._pending = manifest
        return self._advance()

    def on_chunk(
        self, chunk_hash: ids.ChunkHash, chunk: manifest_module.Chunk
    ) -> tuple[Command, ...]:
        """Takes a chunk whose hash the adapter has verified."""
        if self._pending is None or chunk_hash not in self._pending.chunks:
            return ()
        self._chunks[chunk_hash] = chunk
        return self._advance()

    def _advance(self) -> tuple[Command, ...]:
        pending = self._pending
        assert pending is not None
        missing = tuple(h for h in pending.chunks if h not in self._chunks)
        if missing:
            return (FetchChunks(missing),)
        chunks = {h: self._chunks[h] for h in pending.chunks}
        old = self._current
        self._current = manifest_module.assemble(
            pending, tuple(chunks.values())
        )
        self._chunks = chunks
        self._manifest = pending
        self._pending = None
        return (ApplyConfiguration(old, self._current),)
