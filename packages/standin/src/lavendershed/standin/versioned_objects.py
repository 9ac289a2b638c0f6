"""In-memory objects with versions and write preconditions, without I/O."""

from __future__ import annotations

import dataclasses

from lavendershed.core import object_store

PAGE_SIZE = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An object, or its tombstone with the value None."""

    key: str
    version: int
    value: bytes | None


class VersionedObjects:
    """Objects by key; versions are consecutive over the whole store."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the latest write."""
        return self._version

    def get(self, key: str) -> Entry | None:
        """Returns an object unless it is absent or deleted."""
        entry = self._entries.get(key)
        return None if entry is None or entry.value is None else entry

    def write(
        self, key: str, value: bytes | None, condition: object_store.Condition
    ) -> int | object_store.StoreErrorKind:
        """Writes or deletes if `condition` is met; returns the new version."""
        current = self.get(key)
        condition_holds = (
            current is None
            if isinstance(condition, object_store.IfAbsent)
            else current is not None and current.version == condition.version
        )
        if not condition_holds:
            return object_store.StoreErrorKind.CONFLICT
        if value is not None and len(value) > object_store.MAX_OBJECT_BYTES:
            return object_store.StoreErrorKind.TOO_LARGE
        self._version += 1
        self._entries[key] = Entry(key, self._version, value)
        return self._version

    def page(self, prefix: str, after: str) -> list[Entry]:
        """Returns one page of objects in key order, after the key `after`."""
        entries = sorted(
            (
                entry
                for entry in self._entries.values()
                if entry.key.startswith(prefix)
                and entry.key > after
                and entry.value is not None
            ),
            key=lambda entry: entry.key,
        )
        return entries[:PAGE_SIZE]

    def changes(self, prefix: str, since: int) -> list[Entry]:
        """Returns objects changed or deleted after `since`, by version."""
        return sorted(
            (
                entry
                for entry in self._entries.values()
                if entry.version > since and entry.key.startswith(prefix)
            ),
            key=lambda entry: entry.version,
        )
