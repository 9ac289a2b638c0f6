"""A daemon's view of the evacuated availability zones."""

from __future__ import annotations

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.membership import zone_evacuations
from lavendershed.peer import peer_state
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# A daemon that has just started gets the evacuations from the store or a peer
# within this time. Without both, for example beside peers of an older version
# while the store is away, requests are better served than refused.
_MAX_WAIT = units.Seconds(3.0)

Servers = tuple[server_directory.ServerEntry, ...]


class EvacuationView:
    """Evacuated zones, and the servers that remain for new work."""

    def __init__(self, event_log: log.EventLog, *, expected: bool) -> None:
        self._log = event_log
        self._expected = expected
        self._evacuations = zone_evacuations.ZoneEvacuations()
        # Revision up to which no change is missing; that of the evacuations is
        # the revision of their last change.
        self._known = store_revisions.NONE
        self._waiting_since: units.Instant | None = None
        self._wait_ended = False
        # Servers of each service that accept work, with those outside of the
        # evacuated zones.
        self._remaining: dict[ids.ServiceId, tuple[Servers, Servers]] = {}

    @property
    def expected(self) -> bool:
        """Whether the deployment has evacuations."""
        return self._expected

    @property
    def complete(self) -> bool:
        """Whether requests may be sent with what is known."""
        return (
            not self._expected or self._evacuations.is_known or self._wait_ended
        )

    @property
    def known_revision(self) -> store_revisions.StoreRevision:
        """Revision up to which all evacuations are known."""
        return max(self._known, self._evacuations.revision)

    @property
    def evacuations(self) -> zone_evacuations.ZoneEvacuations:
        """The evacuations."""
        return self._evacuations

    def is_evacuated(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a server is in an evacuated zone."""
        return self._evacuations.is_evacuated(server.availability_zone)

    def remaining(self, service: ids.ServiceId, servers: Servers) -> Servers:
        """Returns the servers outside of the evacuated zones.

        Args:
            service: The service that they belong to.
            servers: Its servers; the same tuple until they change.
        """
        if not self._evacuations.zones:
            return servers
        cached = self._remaining.get(service)
        if cached is None or cached[0] is not servers:
            cached = (
                servers,
                tuple(s for s in servers if not self.is_evacuated(s)),
            )
            self._remaining[service] = cached
        return cached[1]

    def state_since(
        self, known: store_revisions.StoreRevision
    ) -> peer_state.EvacuationState:
        """Returns what a peer lacks that knows them up to a revision."""
        if self._evacuations.last_change <= known:
            return peer_state.EvacuationState()
        return peer_state.EvacuationState(
            self._evacuations.last_change,
            tuple(
                peer_state.StoredObject(e.zone, e.revision, b"")
                for e in self._evacuations.evacuations
            ),
        )

    def on_store_confirmed(
        self, revision: store_revisions.StoreRevision
    ) -> None:
        """Records that there were no newer evacuations at a revision."""
        self._known = max(self._known, revision)

    def on_listing(
        self,
        stored: tuple[peer_state.StoredObject, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> bool:
        """Applies all evacuations; returns whether they were unknown before.

        The name of an object is that of the zone, whatever its content.
        """
        if not self._expected or revision < self._evacuations.revision:
            return False
        was_complete = self.complete
        change = self._evacuations.on_listing(_decode(stored), revision, now)
        return self._on_change(change, now) or not was_complete

    def on_events(
        self,
        changed: tuple[peer_state.StoredObject, ...],
        removed: tuple[str, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> bool:
        """Applies changes; returns whether other zones are evacuated."""
        return self._on_change(
            self._evacuations.on_events(
                _decode(changed),
                tuple(map(ids.AvailabilityZoneId, removed)),
                revision,
                now,
            ),
            now,
        )

    def expire(self, now: units.Instant, *, awaited: bool) -> bool:
        """Ends what has lapsed; returns whether anything did.

        Args:
            now: Current time.
            awaited: Whether requests wait for the evacuations only.
        """
        changed = self._on_change(self._evacuations.expire(now), now)
        if not awaited:
            return changed
        if self._waiting_since is None:
            self._waiting_since = now
        waited = units.elapsed(self._waiting_since, now)
        if waited < _MAX_WAIT:
            return changed
        self._wait_ended = True
        self._log.emit(
            events.Event.EVACUATIONS_UNKNOWN, waited_s=round(waited, 3)
        )
        return True

    def _on_change(
        self, change: zone_evacuations.EvacuationChange, now: units.Instant
    ) -> bool:
        if change.is_empty:
            return False
        self._remaining.clear()
        for event, zones in (
            (events.Event.ZONE_EVACUATED, change.evacuated),
            (events.Event.ZONE_TAKEN_BACK, change.taken_back),
        ):
            for zone in zones:
                self._log.emit(
                    event,
                    zone=zone,
                    era=self._evacuations.revision.era,
                    revision=self._evacuations.revision.number,
                    evacuated=len(self._evacuations.zones),
                )
        return True


def _decode(
    stored: tuple[peer_state.StoredObject, ...],
) -> tuple[zone_evacuations.ZoneEvacuation, ...]:
    return tuple(
        zone_evacuations.ZoneEvacuation(
            ids.AvailabilityZoneId(item.name), item.revision
        )
        for item in stored
    )
