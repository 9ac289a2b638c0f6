"""Availability zones that an operator has evacuated."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units

# A store that comes back from an older copy may lack an evacuation that was
# acknowledged since. The operator needs this time to notice it and to write
# the evacuation again; after that, the zone counts as taken back.
LOST_EVACUATION_LAPSE = units.Seconds(30.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """Request of an operator to send no new work to an availability zone.

    Attributes:
        zone: The zone.
        revision: Store revision at which it was written.
    """

    zone: ids.AvailabilityZoneId
    revision: store_revisions.StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Zones that an update evacuated or took back."""

    evacuated: tuple[ids.AvailabilityZoneId, ...] = ()
    taken_back: tuple[ids.AvailabilityZoneId, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the same zones are evacuated as before."""
        return not self.evacuated and not self.taken_back


class ZoneEvacuations:
    """The newest known evacuations.

    Updates are ordered by store revision. Nothing but the existence of an
    evacuation matters: one for a zone that no server is in has no effect, and
    one that is being deleted holds until it is gone.
    """

    def __init__(self) -> None:
        self._evacuations: dict[ids.AvailabilityZoneId, ZoneEvacuation] = {}
        self._since: dict[ids.AvailabilityZoneId, units.Instant] = {}
        # Evacuations of an older era that the copy of the store lacks.
        self._lapses_at: dict[ids.AvailabilityZoneId, units.Instant] = {}
        self._revision = store_revisions.NONE
        self._last_change = store_revisions.NONE

    @property
    def is_known(self) -> bool:
        """Whether any listing has been applied."""
        return self._revision > store_revisions.NONE

    @property
    def revision(self) -> store_revisions.StoreRevision:
        """Revision of the last update; 0 before the first listing."""
        return self._revision

    @property
    def last_change(self) -> store_revisions.StoreRevision:
        """Revision of the first listing or of the last change since."""
        return self._last_change

    @property
    def evacuations(self) -> tuple[ZoneEvacuation, ...]:
        """All evacuations in force."""
        return tuple(self._evacuations.values())

    @property
    def zones(self) -> frozenset[ids.AvailabilityZoneId]:
        """The evacuated zones."""
        return frozenset(self._evacuations)

    def is_evacuated(self, zone: ids.AvailabilityZoneId) -> bool:
        """Returns whether no new work may be sent to a zone."""
        return zone in self._evacuations

    def evacuated_since(
        self, zone: ids.AvailabilityZoneId
    ) -> units.Instant | None:
        """Returns since when a zone is known to be evacuated, if it is."""
        return self._since.get(zone)

    def on_listing(
        self,
        evacuations: Iterable[ZoneEvacuation],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> EvacuationChange:
        """Replaces all evacuations with a newer listing.

        An evacuation of an older era that the listing lacks is kept for
        `LOST_EVACUATION_LAPSE` from the first listing of the new era on. A
        listing of a peer may include such evacuations with their revisions.

        Args:
            evacuations: All evacuations.
            revision: Revision of the listing; an older listing is ignored.
            now: Current time.
        """
        if revision < self._revision:
            return EvacuationChange()
        given = {e.zone: e for e in evacuations}
        listed = {
            zone: evacuation
            for zone, evacuation in given.items()
            if evacuation.revision.era == revision.era
        }
        if revision.era > self._revision.era or not self.is_known:
            kept = {**self._evacuations, **given}
        else:
            kept = {zone: self._evacuations[zone] for zone in self._lapses_at}
        lapse_at = units.after(now, LOST_EVACUATION_LAPSE)
        self._lapses_at = {
            zone: self._lapses_at.get(zone, lapse_at)
            for zone in kept
            if zone not in listed
        }
        return self._replace({**kept, **listed}, revision, now)

    def on_events(
        self,
        written: Iterable[ZoneEvacuation],
        removed: Collection[ids.AvailabilityZoneId],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> EvacuationChange:
        """Applies changes up to `revision`; ignores older ones.

        Changes of a newer era need a listing of that era first.
        """
        if (
            not self.is_known
            or revision < self._revision
            or revision.era != self._revision.era
        ):
            return EvacuationChange()
        evacuations = dict(self._evacuations)
        for zone in removed:
            evacuations.pop(zone, None)
        evacuations.update((e.zone, e) for e in written)
        self._lapses_at = {
            zone: at
            for zone, at in self._lapses_at.items()
            if evacuations.get(zone) is self._evacuations[zone]
        }
        return self._replace(evacuations, revision, now)

    def expire(self, now: units.Instant) -> EvacuationChange:
        """Takes back the zones whose evacuations of an older era lapsed."""
        lapsed = [zone for zone, at in self._lapses_at.items() if at <= now]
        if not lapsed:
            return EvacuationChange()
        for zone in lapsed:
            del self._lapses_at[zone]
        evacuations = {
            zone: evacuation
            for zone, evacuation in self._evacuations.items()
            if zone not in lapsed
        }
        return self._replace(evacuations, self._revision, now)

    def _replace(
        self,
        evacuations: dict[ids.AvailabilityZoneId, ZoneEvacuation],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> EvacuationChange:
        previous = self._evacuations
        if evacuations != previous or not self.is_known:
            self._last_change = revision
        self._evacuations = evacuations
        self._revision = revision
        self._since = {zone: self._since.get(zone, now) for zone in evacuations}
        return EvacuationChange(
            tuple(zone for zone in evacuations if zone not in previous),
            tuple(zone for zone in previous if zone not in evacuations),
        )
