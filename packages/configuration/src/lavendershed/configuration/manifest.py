"""The manifest that orders all configuration changes."""

from __future__ import annotations

import dataclasses

from lavendershed.configuration import model
from lavendershed.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change."""

    change_id: ids.ChangeId
    epoch: ids.Epoch
    operator: str
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Root object of one configuration epoch.

    Attributes:
        chunks: Hashes of the chunks that make up the configuration.
        recent_changes: Latest accepted changes, oldest first.
    """

    epoch: ids.Epoch
    active_preset: ids.PresetName
    chunks: tuple[ids.ChunkHash, ...]
    recent_changes: tuple[ChangeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """An immutable part of a configuration."""

    organisations: tuple[model.Organisation, ...] = ()
    services: tuple[model.Service, ...] = ()
    presets: tuple[model.Preset, ...] = ()


def assemble(
    manifest: Manifest, chunks: tuple[Chunk, ...]
) -> model.Configuration:
    """Builds the configuration that a manifest and its chunks describe."""
    return model.Configuration(
        manifest.epoch,
        manifest.active_preset,
        {o.name: o for chunk in chunks for o in chunk.organisations},
        {s.name: s for chunk in chunks for s in chunk.services},
        {p.name: p for chunk in chunks for p in chunk.presets},
    )
