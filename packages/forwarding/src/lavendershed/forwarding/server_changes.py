"""Recent changes of the list of backend servers."""

from __future__ import annotations

import collections
import dataclasses

from lavendershed.core import store_revisions

# A peer that lacks more updates gets the whole list.
_MAX_UPDATES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedNames:
    """Names of the objects that changed in one or more updates."""

    changed: tuple[str, ...]
    removed: tuple[str, ...]


class ServerChanges:
    """Changes since a revision, for peers that know the list up to it."""

    def __init__(self) -> None:
        # Each update with its revision, and the revision before all of them.
        self._updates: collections.deque[
            tuple[store_revisions.StoreRevision, ChangedNames]
        ] = collections.deque()
        self._complete_since: store_revisions.StoreRevision | None = None

    def on_listing(self, revision: store_revisions.StoreRevision) -> None:
        """Forgets all updates, because a listing doesn't say what changed."""
        self._updates.clear()
        self._complete_since = revision

    def on_events(
        self,
        revision: store_revisions.StoreRevision,
        changed: tuple[str, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Adds the update that led to `revision`."""
        self._updates.append((revision, ChangedNames(changed, removed)))
        if len(self._updates) > _MAX_UPDATES:
            self._complete_since, _ = self._updates.popleft()

    def since(
        self, revision: store_revisions.StoreRevision
    ) -> ChangedNames | None:
        """Returns the changes after `revision`; None if they are unknown."""
        if self._complete_since is None or revision < self._complete_since:
            return None
        # The last change of each object decides whether it exists.
        exists: dict[str, bool] = {}
        for updated_at, names in self._updates:
            if updated_at > revision:
                exists.update(dict.fromkeys(names.removed, False))
                exists.update(dict.fromkeys(names.changed, True))
        return ChangedNames(
            tuple(name for name, present in exists.items() if present),
            tuple(name for name, present in exists.items() if not present),
        )
