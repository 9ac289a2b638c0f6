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
    """Why a call to the object store gave no result.

    AMBIGUOUS means that no answer came to a write that was sent: it may or may
    not have taken effect. With every other kind the call had no effect.
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
    """One object with the version that the store gave it."""

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
    """Changes since the version that the watch was given.

    Attributes:
        events: Changes in the order of their versions.
        upto: Version to pass to the next watch call.
    """

    events: tuple[WatchEvent, ...]
    next_version: ids.ObjectVersion


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs; it lags behind the truth."""

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
    """The object API: versions, conditional updates and watches.

    No method raises for a failed call; errors are values. Versions grow over
    the whole store, so that they order all changes.
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
        """Reads one page of objects in key order, after the key `after`."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, since: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[WatchBatch, StoreError]:
        """Waits up to `timeout` seconds for changes after version `since`."""

    @abc.abstractmethod
    async def list_vms(self) -> result.Result[VmList, StoreError]:
        """Reads the lagging list of live and leaving VMs."""
