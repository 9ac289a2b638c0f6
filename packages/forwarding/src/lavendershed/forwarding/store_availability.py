"""Reachability of the store."""

from __future__ import annotations

from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.forwarding import codecs


class StoreAvailability:
    """Tracks whether the store is reachable from this daemon."""

    def __init__(self) -> None:
        self._failing_since: dict[codecs.ObjectKind, units.Instant] = {}
        self._last_read: dict[
            codecs.ObjectKind, store_revisions.StoreRevision
        ] = {}

    @property
    def unavailable(self) -> bool:
        """Whether the latest call for any object kind has failed."""
        return bool(self._failing_since)

    def on_failure(self, kind: codecs.ObjectKind, now: units.Instant) -> bool:
        """Records a failed call; returns whether it is the first in a row."""
        if kind in self._failing_since:
            return False
        self._failing_since[kind] = now
        return True

    def on_success(
        self, kind: codecs.ObjectKind, now: units.Instant
    ) -> units.Seconds | None:
        """Records a success; returns the length of the outage that it ends."""
        failing_since = self._failing_since.pop(kind, None)
        return (
            None if failing_since is None else units.elapsed(failing_since, now)
        )

    def on_read(
        self, kind: codecs.ObjectKind, revision: store_revisions.StoreRevision
    ) -> None:
        """Records the revision that the latest answer of the store states."""
        self._last_read[kind] = revision

    def last_read(
        self, kind: codecs.ObjectKind
    ) -> store_revisions.StoreRevision | None:
        """Returns the revision of the latest answer; None before the first."""
        return self._last_read.get(kind)

    def forget(self, kind: codecs.ObjectKind) -> None:
        """Ends the record of an outage that is no longer observed."""
        self._failing_since.pop(kind, None)
