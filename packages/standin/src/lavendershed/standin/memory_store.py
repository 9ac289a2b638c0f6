"""In-memory object store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import result

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.standin import versioned_objects

ERROR_KINDS = object_store.StoreErrorKind


class MemoryObjectStore(object_store.ObjectStore):
    """Object store for tests that need no connection.

    A watch without changes waits for the next write and ignores its timeout,
    so that tests do not depend on a clock.
    """

    def __init__(self) -> None:
        self._objects = versioned_objects.VersionedObjects()
        self._changed = asyncio.Event()
        self._unavailable = False
        self._responses_to_lose = 0
        self._calls: list[str] = []
        self._live_vms: frozenset[ids.VmId] = frozenset()

    @property
    def calls(self) -> list[str]:
        """Operation and key of each call."""
        return self._calls

    def set_unavailable(self, unavailable: bool) -> None:
        """Starts or ends an outage; waiting watches fail when it starts."""
        self._unavailable = unavailable
        self._notify_watches()

    def lose_responses(self, count: int) -> None:
        """Makes the next `count` writes succeed with an ambiguous error."""
        self._responses_to_lose = count

    def set_live_vms(self, vms: Iterable[str]) -> None:
        """Sets the live VMs."""
        self._live_vms = frozenset(map(ids.VmId, vms))

    async def get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        """Reads one object."""
        self._calls.append(f"get {key}")
        if self._unavailable:
            return _error(ERROR_KINDS.UNAVAILABLE)
        entry = self._objects.get(key)
        if entry is None:
            return _error(ERROR_KINDS.ABSENT)
        return result.Ok(_to_stored_object(entry))

    async def put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        """Writes one object if `condition` is met; returns its new version."""
        self._calls.append(f"put {key}")
        return self._write(key, value, condition)

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> result.Result[None, object_store.StoreError]:
        """Deletes one object if it has exactly this version."""
        self._calls.append(f"delete {key}")
        condition = object_store.IfVersion(version)
        return self._write(key, None, condition).map(lambda _: None)

    async def list(
        self, prefix: str, after: ids.ObjectKey | None = None
    ) -> result.Result[
        tuple[object_store.StoredObject, ...], object_store.StoreError
    ]:
        """Reads one page of objects in key order, after the key `after`."""
        self._calls.append(f"list {prefix}")
        if self._unavailable:
            return _error(ERROR_KINDS.UNAVAILABLE)
        page = self._objects.page(prefix, after or "")
        return result.Ok(tuple(map(_to_stored_object, page)))

    async def watch(
        self, prefix: str, since: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[object_store.WatchBatch, object_store.StoreError]:
        """Waits for changes after version `since`."""
        self._calls.append(f"watch {prefix}")
        # Yields to the event loop, so that a test of a caller that watches in
        # a tight loop fails instead of hanging.
        await asyncio.sleep(0)
        while not self._unavailable:
            changes = self._objects.changes(prefix, since)
            if changes:
                events = (
                    object_store.WatchEvent(
                        ids.ObjectKey(entry.key),
                        ids.ObjectVersion(entry.version),
                        entry.value,
                    )
                    for entry in changes
                )
                upto = ids.ObjectVersion(self._objects.version)
                return result.Ok(object_store.WatchBatch(tuple(events), upto))
            await self._changed.wait()
        return _error(ERROR_KINDS.UNAVAILABLE)

    async def list_vms(
        self,
    ) -> result.Result[object_store.VmList, object_store.StoreError]:
        """Reads the list of VMs."""
        self._calls.append("vms")
        if self._unavailable:
            return _error(ERROR_KINDS.UNAVAILABLE)
        return result.Ok(object_store.VmList(self._live_vms, frozenset()))

    def _write(
        self,
        key: ids.ObjectKey,
        value: bytes | None,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        if self._unavailable:
            return _error(ERROR_KINDS.UNAVAILABLE)
        write_result = self._objects.write(key, value, condition)
        if isinstance(write_result, ERROR_KINDS):
            return _error(write_result)
        self._notify_watches()
        if self._responses_to_lose:
            self._responses_to_lose -= 1
            return _error(ERROR_KINDS.AMBIGUOUS)
        return result.Ok(ids.ObjectVersion(write_result))

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _to_stored_object(
    entry: versioned_objects.Entry,
) -> object_store.StoredObject:
    assert entry.value is not None
    return object_store.StoredObject(
        ids.ObjectKey(entry.key), ids.ObjectVersion(entry.version), entry.value
    )


def _error(
    kind: object_store.StoreErrorKind,
) -> result.Err[object_store.StoreError]:
    return result.Err(object_store.StoreError(kind, f"stand-in: {kind.value}"))
