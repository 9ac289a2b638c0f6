"""Typed differences between two configurations."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
from typing import TypeVar

from lavendershed.configuration import model
from lavendershed.core import ids

Entity = model.Organisation | model.Service | model.Preset
K = TypeVar("K", bound=str)
E = TypeVar("E", model.Organisation, model.Service, model.Preset)


class ItemKind(enum.Enum):
    """Kind of a configuration item."""

    ORGANISATION = "organisation"
    SERVICE = "service"
    PRESET = "preset"
    ACTIVE_PRESET = "active_preset"


class DifferenceKind(enum.Enum):
    """Kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Unit of conflict detection: concurrent changes of one item conflict.

    Attributes:
        name: Empty for the active preset, which is a singleton.
    """

    kind: ItemKind
    name: str = ""

    def __str__(self) -> str:
        """Returns the item as shown in messages."""
        return f"{self.kind.value.replace('_', ' ')} {self.name}".rstrip()


ACTIVE_PRESET = Item(ItemKind.ACTIVE_PRESET)


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One changed field with its values as text."""

    field: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One item that differs between two configurations.

    Attributes:
        new: The item's new value: an entity, the name of the active preset,
            or None if it was removed.
        fields: Changed fields of an entity in both configurations.
    """

    item: Item
    kind: DifferenceKind
    new: Entity | ids.PresetName | None
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Returns the difference as one line."""
        text = f"{self.item} {self.kind.value}"
        if not self.fields:
            return text
        changes = (f"{f.field}: {f.old} -> {f.new}" for f in self.fields)
        return f"{text} ({', '.join(changes)})"


def compare(
    old: model.Configuration, new: model.Configuration
) -> tuple[Difference, ...]:
    """Returns the differences from `old` to `new`, ignoring epochs."""
    differences = [
        *_entities(ItemKind.ORGANISATION, old.organisations, new.organisations),
        *_entities(ItemKind.SERVICE, old.services, new.services),
        *_entities(ItemKind.PRESET, old.presets, new.presets),
    ]
    if old.active_preset != new.active_preset:
        change = FieldChange("name", old.active_preset, new.active_preset)
        differences.append(
            Difference(
                ACTIVE_PRESET,
                DifferenceKind.CHANGED,
                new.active_preset,
                (change,),
            )
        )
    return tuple(differences)


def patch(
    base: model.Configuration, differences: tuple[Difference, ...]
) -> model.Configuration:
    """Returns `base` with the differences applied."""
    organisations = dict(base.organisations)
    services = dict(base.services)
    presets = dict(base.presets)
    active = base.active_preset
    for difference in differences:
        name = difference.item.name
        match difference.new:
            case model.Organisation() as organisation:
                organisations[organisation.name] = organisation
            case model.Service() as service:
                services[service.name] = service
            case model.Preset() as preset:
                presets[preset.name] = preset
            case None if difference.item.kind is ItemKind.ORGANISATION:
                organisations.pop(ids.OrganisationId(name), None)
            case None if difference.item.kind is ItemKind.SERVICE:
                services.pop(ids.ServiceId(name), None)
            case None:
                presets.pop(ids.PresetName(name), None)
            case preset_name:
                active = preset_name
    return model.Configuration(
        base.epoch, active, organisations, services, presets
    )


def changed_items(differences: tuple[Difference, ...]) -> frozenset[Item]:
    """Returns the items that differ."""
    return frozenset(difference.item for difference in differences)


def _entities(
    kind: ItemKind, old: Mapping[K, E], new: Mapping[K, E]
) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        # The identity check is fast for entities of unchanged chunks.
        if before is after or before == after:
            continue
        item = Item(kind, name)
        if after is None:
            yield Difference(item, DifferenceKind.REMOVED, None)
        elif before is None:
            yield Difference(item, DifferenceKind.ADDED, after)
        else:
            yield Difference(
                item,
                DifferenceKind.CHANGED,
                after,
                tuple(_fields(before, after)),
            )


def _fields(before: E, after: E) -> Iterator[FieldChange]:
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name == "token_hashes":
            # Token hashes are not meaningful to operators; shows counts.
            old, new = f"{len(old)} tokens", f"{len(new)} tokens"
        yield FieldChange(field.name, _text(old), _text(new))


def _text(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_text, value)) + "]"
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        parts = (
            f"{field.name}={_text(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
        )
        return "{" + ", ".join(parts) + "}"
    return str(value)
