"""Configuration changes by operators."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

import result

from lavendershed.configuration import comparison
from lavendershed.configuration import model
from lavendershed.configuration import validation
from lavendershed.core import ids

E = TypeVar("E", model.Organisation, model.Service, model.Preset)


class Change(abc.ABC):
    """A configuration change requested by an operator."""

    @property
    @abc.abstractmethod
    def summary(self) -> str:
        """One-line description for the change history."""

    @abc.abstractmethod
    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns the changed configuration, not yet validated."""


def item_of(entity: comparison.Entity) -> comparison.Item:
    """Returns the item that identifies an entity."""
    match entity:
        case model.Organisation():
            return comparison.Item(
                comparison.ItemKind.ORGANISATION, entity.name
            )
        case model.Service():
            return comparison.Item(comparison.ItemKind.SERVICE, entity.name)
        case model.Preset():
            return comparison.Item(comparison.ItemKind.PRESET, entity.name)


def find(
    configuration: model.Configuration, item: comparison.Item
) -> comparison.Entity | None:
    """Returns the entity that an item identifies, or None."""
    match item.kind:
        case comparison.ItemKind.ORGANISATION:
            return configuration.organisations.get(
                ids.OrganisationId(item.name)
            )
        case comparison.ItemKind.SERVICE:
            return configuration.services.get(ids.ServiceId(item.name))
        case comparison.ItemKind.PRESET:
            return configuration.presets.get(ids.PresetName(item.name))
        case comparison.ItemKind.ACTIVE_PRESET:
            return configuration.presets.get(configuration.active_preset)


def not_found(item: comparison.Item) -> validation.Problem:
    """Returns the problem for an item that does not exist."""
    return validation.Problem(
        item.kind.value,
        f"there is no {item}",
        f"list the {item.kind.value}s, or create it first",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CreateEntity(Change):
    """Adds an entity; the first preset becomes active."""

    entity: comparison.Entity

    @property
    def summary(self) -> str:
        """One-line description for the change history."""
        return f"create {item_of(self.entity)}"

    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns `base` with the entity, or a problem if the name exists."""
        item = item_of(self.entity)
        if find(base, item) is not None:
            return result.Err(
                validation.Problem(
                    item.kind.value,
                    f"the {item} exists already",
                    "use `change`, or another name",
                )
            )
        updated = _put(base, self.entity)
        if isinstance(self.entity, model.Preset) and not base.presets:
            updated = dataclasses.replace(
                updated, active_preset=self.entity.name
            )
        return result.Ok(updated)


@dataclasses.dataclass(frozen=True, slots=True)
class EditEntity(Change, Generic[E]):
    """Changes fields of an existing entity.

    Attributes:
        edit: Returns the changed entity, of the same type and name.
    """

    item: comparison.Item
    kind: type[E]
    edit: Callable[[E], E]

    @property
    def summary(self) -> str:
        """One-line description for the change history."""
        return f"change {self.item}"

    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns `base` with the edited entity."""
        entity = find(base, self.item)
        if not isinstance(entity, self.kind):
            return result.Err(not_found(self.item))
        return result.Ok(_put(base, self.edit(entity)))


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteEntity(Change):
    """Removes an entity."""

    item: comparison.Item

    @property
    def summary(self) -> str:
        """One-line description for the change history."""
        return f"delete {self.item}"

    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns `base` without the entity."""
        if find(base, self.item) is None:
            return result.Err(not_found(self.item))
        if self.item == comparison.Item(
            comparison.ItemKind.PRESET, base.active_preset
        ):
            return result.Err(
                validation.Problem(
                    "preset",
                    f"'{self.item.name}' is the active preset",
                    "activate another preset first",
                )
            )
        removal = comparison.Difference(
            self.item, comparison.DifferenceKind.REMOVED, None
        )
        return result.Ok(comparison.patch(base, (removal,)))


@dataclasses.dataclass(frozen=True, slots=True)
class ActivatePreset(Change):
    """Makes a preset active."""

    name: ids.PresetName

    @property
    def summary(self) -> str:
        """One-line description for the change history."""
        return f"activate preset {self.name}"

    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns `base` with the preset active."""
        return result.Ok(dataclasses.replace(base, active_preset=self.name))


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceAll(Change):
    """Replaces the whole stored configuration.

    Attributes:
        expected_epoch: Epoch that the new configuration is based on; None
            skips the check.
    """

    wanted: model.Configuration
    source: str
    expected_epoch: ids.Epoch | None = None

    @property
    def summary(self) -> str:
        """One-line description for the change history."""
        return f"apply {self.source}"

    def apply(
        self, base: model.Configuration
    ) -> result.Result[model.Configuration, validation.Problem]:
        """Returns the new configuration if the epoch matches."""
        if self.expected_epoch not in (None, base.epoch):
            return result.Err(
                validation.Problem(
                    "epoch",
                    f"the stored configuration has epoch {base.epoch}, not "
                    f"{self.expected_epoch}",
                    "compare with `diff`, then apply against the new epoch",
                )
            )
        return result.Ok(self.wanted)


def _put(
    base: model.Configuration, entity: comparison.Entity
) -> model.Configuration:
    return comparison.patch(
        base,
        (
            comparison.Difference(
                item_of(entity), comparison.DifferenceKind.CHANGED, entity
            ),
        ),
    )
