"""Interface of the platform's object API."""

from __future__ import annotations

import abc
import dataclasses
import enum

import result

from lavendershed.core import ids
from lavendershed.core import units

MAX_OBJECT_BYTES = units.Bytes(1_000_000)


class StoreErrorKind(enum.Enum):
    """Why a call to the object store failed.

    AMBIGUOUS means that a write was sent but no response received: the write
    may or may not have taken effect. With every other kind the call had no
    effect.
    """

    CONFLICT = "conflict"
    ABSENT = "absent"
    TOO_LARGE = "too_large"
    THROTTLED = "throttled"
    UNAVAILABLE = "unavailable"
    AMBIGUOUS = "ambiguous"
    OVER_BUDGET = "over_budget"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call to the object store."""

    kind: StoreErrorKind
    detail: str
    retry_after: units.Seconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object with the version that the store assigned."""

    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEvent:
    """A changed or deleted object; `value` is None after a deletion."""

    key: ids.ObjectKey
    version: ids.ObjectVersion
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes since the start version of a watch call.

    Attributes:
        events: Changes in version order.
        next_version: Start version of the next watch call.
    """

    events: tuple[WatchEvent, ...]
    next_version: ids.ObjectVersion


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The platform's eventually consistent list of VMs."""

    live: frozenset[ids.VmId]
    leaving: frozenset[ids.VmId]


@dataclasses.dataclass(frozen=True, slots=True)
class IfAbsent:
    """Condition: the object does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class IfVersion:
    """Condition: the object has exactly this version."""

    version: ids.ObjectVersion


Condition = IfAbsent | IfVersion


class ObjectStore(abc.ABC):
    """Object store with versions, conditional writes and watches.

    Failed calls are returned as `StoreError` values, not raised. Versions are
    monotonic across the store and therefore order all changes.
    """

    @abc.abstractmethod
    async def get(
        self, key: ids.ObjectKey
    ) -> result.Result[StoredObject, StoreError]:
        """Reads one object."""

    @abc.abstractmethod
    async def put(
        self, key: ids.ObjectKey, value: bytes, condition: Condition
    ) -> result.Result[ids.ObjectVersion, StoreError]:
        """Writes one object if `condition` holds; returns its new version."""

    @abc.abstractmethod
    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> result.Result[None, StoreError]:
        """Deletes one object if it has exactly this version."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, after: ids.ObjectKey | None = None
    ) -> result.Result[tuple[StoredObject, ...], StoreError]:
        """Lists one page of objects in key order, starting after `after`."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, since: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[WatchBatch, StoreError]:
        """Waits up to `timeout` seconds for changes after version `since`."""

    @abc.abstractmethod
    async def list_vms(self) -> result.Result[VmList, StoreError]:
        """Reads the eventually consistent list of live and leaving VMs."""
