"""Directory of the registered backend servers."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import itertools
import math

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units

# Servers renew registrations that expired during a store outage within about
# two seconds of its end; an entry that is still missing then is removed.
MISSING_ENTRY_GRACE = units.Seconds(2.2)
# A store that comes back from a copy has entries again that were removed since.
# Without heartbeats they lapse: three missed ones of 1.2 s, once the servers
# that are alive have reached the store again.
COPIED_ENTRY_LAPSE = units.Seconds(7.0)
_NEVER = units.Instant(math.inf)
# Removed entries that are remembered, so that they are known in a copy.
_MAX_REMOVED = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEntry:
    """Registration of a backend server.

    Attributes:
        id: Identity that the server compares with the one in each request.
        incarnation: Start of this incarnation in Unix milliseconds.
        service: Service that it belongs to.
        address: Listening address.
        availability_zone: Zone of its VM.
        state: Whether it accepts new requests.
        revision: Store revision of the registration.
        cold_remaining: Time for which the server stayed cold when it wrote the
            registration; 0 if it was warm.
    """

    id: ids.BackendServerId
    incarnation: ids.Incarnation
    service: ids.ServiceId
    address: addresses.Address
    availability_zone: ids.AvailabilityZoneId
    state: forwarding_states.ServerState
    revision: store_revisions.StoreRevision = store_revisions.NONE
    cold_remaining: units.Seconds = units.Seconds(0.0)

    @property
    def accepts_work(self) -> bool:
        """Whether the server accepts new requests."""
        return self.state is forwarding_states.ServerState.READY


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """Servers that an update added, removed or set to draining."""

    added: tuple[ServerEntry, ...] = ()
    removed: tuple[ServerEntry, ...] = ()
    draining: tuple[ServerEntry, ...] = ()


class ServerDirectory:
    """The newest known entry of each backend server.

    Updates are ordered by store revision, so that an update from a peer or a
    delayed response never overwrites a newer one.
    """

    def __init__(self) -> None:
        self._entries: dict[ids.BackendServerId, ServerEntry] = {}
        self._revision = store_revisions.NONE
        self._by_service: dict[ids.ServiceId, tuple[ServerEntry, ...]] = {}
        self._retained_until: dict[ids.BackendServerId, units.Instant] = {}
        # Last entries of incarnations that were removed or replaced, the oldest
        # first.
        self._removed: dict[
            tuple[ids.BackendServerId, ids.Incarnation], ServerEntry
        ] = {}
        # Entries of a copy that were removed since: as listed, and when they
        # are used after all. Never, if their servers were leaving.
        self._outdated: dict[
            ids.BackendServerId, tuple[ServerEntry, units.Instant]
        ] = {}

    @property
    def revision(self) -> store_revisions.StoreRevision:
        """Store revision of the entries; 0 before the first update."""
        return self._revision

    @property
    def is_initialised(self) -> bool:
        """Whether any update has been applied."""
        return self._revision > store_revisions.NONE

    @property
    def entries(self) -> tuple[ServerEntry, ...]:
        """All entries."""
        return tuple(self._entries.values())

    def entry(self, server: ids.BackendServerId) -> ServerEntry | None:
        """Returns the entry of a server."""
        return self._entries.get(server)

    @property
    def outdated_servers(self) -> frozenset[ids.BackendServerId]:
        """Servers whose listed entry is older than what is known of them."""
        return frozenset(self._outdated)

    def servers_accepting_work(
        self, service: ids.ServiceId
    ) -> tuple[ServerEntry, ...]:
        """Returns the servers of a service that accept new requests."""
        return self._by_service.get(service, ())

    def on_listing(
        self,
        entries: Iterable[ServerEntry],
        revision: store_revisions.StoreRevision,
        retain_until: units.Instant | None = None,
        copies_lapse_at: units.Instant = _NEVER,
    ) -> DirectoryChange:
        """Replaces all entries with a newer listing.

        A listing of a new era comes from a copy of the store. What is known of
        servers that were leaving or removed since holds against it, until they
        write their entry again.

        Args:
            entries: All entries that could be read.
            revision: Revision of the listing; an older listing is ignored.
            retain_until: Set if entries may be missing because of a store
                outage; missing servers that accepted requests are kept until
                this time.
            copies_lapse_at: When entries of a copy whose servers are gone have
                lapsed.
        """
        if revision < self._revision:
            return DirectoryChange()
        new_entries = {entry.id: entry for entry in entries}
        outdated, self._outdated = self._outdated, {}
        if self.is_initialised and revision.era > self._revision.era:
            for entry in new_entries.values():
                self._check_copy(entry, copies_lapse_at)
        else:
            self._outdated = {
                server: (entry, usable_at)
                for server, (entry, usable_at) in outdated.items()
                if new_entries.get(server) == entry
            }
        new_entries.update(
            (server, _as_leaving(entry))
            for server, (entry, _) in self._outdated.items()
        )
        missing = [s for s in self._entries if s not in new_entries]
        self._retain_missing(missing, new_entries, retain_until)
        return self._replace_entries(new_entries, revision)

    def on_events(
        self,
        changed: Iterable[ServerEntry],
        removed: Collection[ids.BackendServerId],
        revision: store_revisions.StoreRevision,
        retain_until: units.Instant | None = None,
    ) -> DirectoryChange:
        """Applies changes up to `revision`; ignores older ones."""
        if revision < self._revision:
            return DirectoryChange()
        new_entries = dict(self._entries)
        changed = list(changed)
        for server in (*(entry.id for entry in changed), *removed):
            self._outdated.pop(server, None)
        removed_ids = [server for server in removed if server in new_entries]
        for server in removed_ids:
            del new_entries[server]
        for entry in changed:
            new_entries[entry.id] = entry
            self._retained_until.pop(entry.id, None)
        removed_ids = [
            server for server in removed_ids if server not in new_entries
        ]
        self._retain_missing(removed_ids, new_entries, retain_until)
        return self._replace_entries(new_entries, revision)

    def expire(self, now: units.Instant) -> DirectoryChange:
        """Removes missing entries whose grace period has ended.

        Entries of a copy that have not lapsed belong to servers that are alive.
        """
        expired = [
            s for s, until in self._retained_until.items() if until <= now
        ]
        confirmed = [s for s, (_, at) in self._outdated.items() if at <= now]
        if not expired and not confirmed:
            return DirectoryChange()
        new_entries = dict(self._entries)
        for server in confirmed:
            new_entries[server], _ = self._outdated.pop(server)
        for server in expired:
            del self._retained_until[server]
            new_entries.pop(server, None)
        return self._replace_entries(new_entries, self._revision)

    def _check_copy(self, entry: ServerEntry, lapse_at: units.Instant) -> None:
        """Marks an entry of a copy as outdated if more is known of its server.

        An entry with a higher revision was written again.
        """
        known = self._entries.get(entry.id)
        if known is None or known.incarnation != entry.incarnation:
            known = self._removed.get((entry.id, entry.incarnation))
            usable_at = lapse_at
        elif known.accepts_work:
            return
        else:
            # A server that is leaving doesn't come back.
            usable_at = _NEVER
        if (
            known is not None
            and known.incarnation == entry.incarnation
            and known.revision.number >= entry.revision.number
        ):
            self._outdated[entry.id] = entry, usable_at

    def _retain_missing(
        self,
        missing: Iterable[ids.BackendServerId],
        new_entries: dict[ids.BackendServerId, ServerEntry],
        retain_until: units.Instant | None,
    ) -> None:
        """Keeps servers whose entries may be missing only temporarily.

        Draining servers are not kept, because their removal is expected.
        """
        for server in missing:
            entry = self._entries[server]
            if retain_until is not None and entry.accepts_work:
                self._retained_until.setdefault(server, retain_until)
            if server in self._retained_until:
                new_entries[server] = entry

    def _replace_entries(
        self,
        new_entries: dict[ids.BackendServerId, ServerEntry],
        revision: store_revisions.StoreRevision,
    ) -> DirectoryChange:
        old_entries = self._entries
        for server in [s for s in self._retained_until if s in new_entries]:
            if new_entries[server] is not old_entries.get(server):
                del self._retained_until[server]
        for server, entry in old_entries.items():
            current = new_entries.get(server)
            if current is None or current.incarnation != entry.incarnation:
                key = server, entry.incarnation
                self._removed.pop(key, None)
                self._removed[key] = entry
        for key in itertools.islice(
            tuple(self._removed), max(0, len(self._removed) - _MAX_REMOVED)
        ):
            del self._removed[key]
        self._entries = new_entries
        self._revision = revision
        services: dict[ids.ServiceId, list[ServerEntry]] = {}
        for entry in sorted(new_entries.values(), key=lambda e: e.id):
            if entry.accepts_work:
                services.setdefault(entry.service, []).append(entry)
        self._by_service = {s: tuple(es) for s, es in services.items()}
        return DirectoryChange(
            added=tuple(
                entry
                for entry in new_entries.values()
                if entry.id not in old_entries
                or old_entries[entry.id].incarnation != entry.incarnation
            ),
            removed=tuple(
                e for e in old_entries.values() if e.id not in new_entries
            ),
            draining=tuple(
                entry
                for entry in new_entries.values()
                if not entry.accepts_work
                and (
                    entry.id not in old_entries
                    or old_entries[entry.id].accepts_work
                )
            ),
        )


def _as_leaving(entry: ServerEntry) -> ServerEntry:
    return dataclasses.replace(
        entry, state=forwarding_states.ServerState.DRAINING
    )
