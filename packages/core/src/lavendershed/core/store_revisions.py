"""Revisions of a store that may come back from an older copy."""

from __future__ import annotations

import dataclasses

from lavendershed.core import ids


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class StoreRevision:
    """A revision within one era of the store.

    When the store comes back from a copy, a new era begins, and the numbers go
    on from that of the copy. Any revision of a later era is newer.

    Attributes:
        era: Era of the store; 0 if the store does not state it.
        number: Revision counter of the store in this era.
    """

    era: ids.StoreEra
    number: ids.ObjectVersion

    def __str__(self) -> str:
        """Returns the revision as logs state it."""
        return f"{self.era}.{self.number}"


NONE = StoreRevision(ids.StoreEra(0), ids.ObjectVersion(0))


def of(era: int | None, number: int | None) -> StoreRevision:
    """Returns a revision of its parts; missing ones are 0."""
    return StoreRevision(ids.StoreEra(era or 0), ids.ObjectVersion(number or 0))
