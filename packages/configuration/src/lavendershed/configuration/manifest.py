"""Manifest, the root object of a configuration epoch."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import itertools

import result

from lavendershed.configuration import model
from lavendershed.core import ids

# A writer that received no response looks up its change id in this list. The
# bound limits the size of the manifest; the outcome of a change that is no
# longer listed is unknown.
MAX_RECENT_CHANGES = 32
MAX_SUMMARY_CHARACTERS = 200
MAX_OPERATOR_CHARACTERS = 63


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change.

    Attributes:
        written_at: Time on the operator's clock, ISO 8601 in UTC; for display
            only, not for ordering.
    """

    change_id: ids.ChangeId
    epoch: ids.Epoch
    operator: str
    summary: str
    written_at: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """Root object of one configuration epoch.

    Attributes:
        chunks: Hashes of the chunks that make up the configuration.
        recent_changes: Latest accepted changes, oldest first, one for each
            epoch without gaps.
    """

    epoch: ids.Epoch
    active_preset: ids.PresetName
    chunks: tuple[ids.ChunkHash, ...]
    recent_changes: tuple[ChangeRecord, ...]

    def find_change(self, change_id: ids.ChangeId) -> ChangeRecord | None:
        """Returns the recent change with the id, or None."""
        return next(
            (c for c in self.recent_changes if c.change_id == change_id), None
        )

    def covers_epoch(self, epoch: ids.Epoch) -> bool:
        """Returns whether a change accepted as `epoch` would be listed."""
        return epoch > self.epoch or any(
            change.epoch == epoch for change in self.recent_changes
        )

    def changes_after(self, epoch: ids.Epoch) -> tuple[ChangeRecord, ...]:
        """Returns the recent changes later than `epoch`."""
        return tuple(c for c in self.recent_changes if c.epoch > epoch)


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """An immutable part of a configuration."""

    organisations: tuple[model.Organisation, ...] = ()
    services: tuple[model.Service, ...] = ()
    presets: tuple[model.Preset, ...] = ()


def assemble(
    manifest: Manifest, chunks: Iterable[Chunk]
) -> result.Result[model.Configuration, str]:
    """Assembles the configuration from a manifest and its chunks.

    Returns:
        The configuration, or an error message for a duplicate entity.
    """
    parts = tuple(chunks)
    organisations = [o for chunk in parts for o in chunk.organisations]
    services = [s for chunk in parts for s in chunk.services]
    presets = [p for chunk in parts for p in chunk.presets]
    configuration = model.Configuration(
        manifest.epoch,
        manifest.active_preset,
        {organisation.name: organisation for organisation in organisations},
        {service.name: service for service in services},
        {preset.name: preset for preset in presets},
    )
    sizes = (
        ("organisation", organisations, configuration.organisations),
        ("service", services, configuration.services),
        ("preset", presets, configuration.presets),
    )
    for kind, entities, by_name in sizes:
        if len(entities) != len(by_name):
            return result.Err(f"the chunks contain a duplicate {kind}")
    return result.Ok(configuration)


def append_recent_change(
    manifest: Manifest | None, record: ChangeRecord
) -> tuple[ChangeRecord, ...]:
    """Returns the recent changes of `manifest` and `record`, bounded."""
    earlier = manifest.recent_changes if manifest else ()
    changes = itertools.chain(earlier[-(MAX_RECENT_CHANGES - 1) :], (record,))
    return tuple(changes)
