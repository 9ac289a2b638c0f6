"""Configuration state of one daemon, with monotonically growing epochs."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import itertools

import result

from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.configuration import validation
from lavendershed.core import ids
from lavendershed.core import units

# Changes arrive every few seconds at most, so that more pending manifests mean
# that chunks cannot be read. The oldest pending manifest is evicted, not the
# one with the lowest epoch: otherwise unreadable manifests with high epochs
# would block a readable one.
MAX_PENDING_MANIFESTS = 4
# Minimum time between requests for the same missing chunks; limits the calls
# for a chunk that no source has.
REFETCH_INTERVAL = units.Seconds(1.0)
MAX_REPORTED_PROBLEMS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChunks:
    """Command: fetch these chunks from the store or from a peer."""

    hashes: tuple[ids.ChunkHash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Command: replace the active configuration `old` with `new`."""

    old: model.Configuration
    new: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RejectManifest:
    """Command: report a manifest with an invalid configuration."""

    epoch: ids.Epoch
    detail: str


Command = FetchChunks | ApplyConfiguration | RejectManifest


class ConfigurationState:
    """Collects manifests and chunks and applies only higher epochs.

    Pending manifests are independent of each other: the first whose chunks
    are complete and valid is applied and discards those with lower epochs.
    A manifest whose chunks never arrive therefore blocks no other.
    """

    def __init__(self) -> None:
        self._current = model.EMPTY
        self._manifest: manifest_module.Manifest | None = None
        self._pending: list[manifest_module.Manifest] = []
        self._rejected: list[manifest_module.Manifest] = []
        self._chunks: dict[ids.ChunkHash, manifest_module.Chunk] = {}
        self._next_fetch = units.Instant(0.0)

    @property
    def current(self) -> model.Configuration:
        """The active configuration."""
        return self._current

    @property
    def ready(self) -> bool:
        """Whether a configuration is active."""
        return self._current.epoch > 0

    @property
    def manifest(self) -> manifest_module.Manifest | None:
        """Manifest of the active configuration."""
        return self._manifest

    @property
    def pending(self) -> tuple[ids.Epoch, ...]:
        """Epochs of pending manifests, in order of arrival."""
        return tuple(manifest.epoch for manifest in self._pending)

    def chunk(self, chunk_hash: ids.ChunkHash) -> manifest_module.Chunk | None:
        """Returns a chunk of an active or pending configuration, for peers."""
        return self._chunks.get(chunk_hash)

    def on_manifest(
        self, manifest: manifest_module.Manifest, now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles a manifest from any source; old epochs are ignored."""
        if (
            manifest.epoch <= self._current.epoch
            or manifest in self._pending
            or manifest in self._rejected
        ):
            return ()
        self._pending = [*self._pending, manifest][-MAX_PENDING_MANIFESTS:]
        self._drop_unused_chunks()
        return self._advance(now, fetch=True)

    def on_chunk(
        self,
        chunk_hash: ids.ChunkHash,
        chunk: manifest_module.Chunk,
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Handles a chunk whose hash the adapter has verified."""
        if chunk_hash in self._chunks or not any(
            chunk_hash in manifest.chunks for manifest in self._pending
        ):
            return ()
        problems = validation.check_chunk(chunk)
        if problems:
            affected = [m for m in self._pending if chunk_hash in m.chunks]
            return tuple(self._reject(m, _text(problems)) for m in affected)
        self._chunks[chunk_hash] = chunk
        return self._advance(now, fetch=False)

    def on_timer(self, now: units.Instant) -> tuple[Command, ...]:
        """Requests missing chunks again after the refetch interval."""
        if now < self._next_fetch:
            return ()
        return self._fetch(now)

    def _advance(
        self, now: units.Instant, *, fetch: bool
    ) -> tuple[Command, ...]:
        commands: list[Command] = []
        greatest_first = sorted(
            self._pending, key=lambda m: m.epoch, reverse=True
        )
        for manifest in greatest_first:
            if all(h in self._chunks for h in manifest.chunks):
                applied = self._apply(manifest)
                commands.append(applied)
                if isinstance(applied, ApplyConfiguration):
                    break
        if fetch:
            commands += self._fetch(now)
        return tuple(commands)

    def _fetch(self, now: units.Instant) -> tuple[Command, ...]:
        missing = tuple(
            dict.fromkeys(
                chunk_hash
                for manifest in self._pending
                for chunk_hash in manifest.chunks
                if chunk_hash not in self._chunks
            )
        )
        if not missing:
            return ()
        self._next_fetch = units.after(now, REFETCH_INTERVAL)
        return (FetchChunks(missing),)

    def _apply(
        self, manifest: manifest_module.Manifest
    ) -> ApplyConfiguration | RejectManifest:
        assembled = manifest_module.assemble(
            manifest, (self._chunks[h] for h in manifest.chunks)
        )
        if isinstance(assembled, result.Err):
            return self._reject(manifest, assembled.err_value)
        new = assembled.ok_value
        problems = validation.check_references(new)
        if problems:
            return self._reject(manifest, _text(problems))
        old, self._current = self._current, new
        self._manifest = manifest
        self._pending = [m for m in self._pending if m.epoch > new.epoch]
        self._rejected = [m for m in self._rejected if m.epoch > new.epoch]
        self._drop_unused_chunks()
        return ApplyConfiguration(old, new)

    def _reject(
        self, manifest: manifest_module.Manifest, detail: str
    ) -> RejectManifest:
        self._pending.remove(manifest)
        self._rejected = [*self._rejected, manifest][-MAX_PENDING_MANIFESTS:]
        self._drop_unused_chunks()
        return RejectManifest(manifest.epoch, detail)

    def _drop_unused_chunks(self) -> None:
        manifests: Iterable[manifest_module.Manifest] = self._pending
        if self._manifest is not None:
            manifests = itertools.chain(manifests, (self._manifest,))
        used = {h for manifest in manifests for h in manifest.chunks}
        self._chunks = {h: c for h, c in self._chunks.items() if h in used}


def _text(problems: tuple[validation.Problem, ...]) -> str:
    shown = "; ".join(map(str, problems[:MAX_REPORTED_PROBLEMS]))
    hidden = len(problems) - MAX_REPORTED_PROBLEMS
    return f"{shown}; and {hidden} more" if hidden > 0 else shown
