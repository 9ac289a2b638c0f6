"""A daemon's view of the configuration and the backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import evacuation_view
from lavendershed.forwarding import server_changes
from lavendershed.forwarding import server_notices
from lavendershed.membership import freshness
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.peer import peer_state
from lavendershed.reliability import server_health
from lavendershed.routes import model
from lavendershed.routes import table
from lavendershed.telemetry import events
from lavendershed.telemetry import log

ChangeListener = Callable[[], object]


class DeploymentView:
    """Configuration and backend servers of the newest known objects.

    Objects arrive from the store and from peers in any order; versions and
    revisions ensure that an older object never replaces a newer one. Revisions
    are ordered by the era of the store first.
    """

    def __init__(
        self,
        decoder: codecs.ObjectDecoder,
        health: server_health.ServerHealth,
        event_log: log.EventLog,
        notices: server_notices.ServerNoticeObserver,
        *,
        has_evacuations: bool = False,
    ) -> None:
        self._notices = notices
        self._decoder = decoder
        self._health = health
        self._log = event_log
        self._table: table.RouteTable | None = None
        self._stored_configuration: peer_state.StoredObject | None = None
        self._directory = server_directory.ServerDirectory()
        self._evacuations = evacuation_view.EvacuationView(
            event_log, expected=has_evacuations
        )
        self._stored_servers: dict[str, peer_state.StoredObject] = {}
        self._server_ids_by_number: dict[int, ids.BackendServerId] = {}
        self._grace_ends_at = units.Instant(0.0)
        self._changes = server_changes.ServerChanges()
        self._last_server_change = store_revisions.NONE
        self._freshness = {
            kind: freshness.Freshness() for kind in codecs.ObjectKind
        }
        # Revision up to which no change of the servers is missing; that of the
        # directory is the revision of its last change.
        self._servers_known = store_revisions.NONE
        self._listeners: list[ChangeListener] = []
        self._check_listeners: list[ChangeListener] = []
        self._completion_waiters: set[asyncio.Future[None]] = set()

    def subscribe(self, listener: ChangeListener) -> None:
        """Calls `listener` after each change of the deployment."""
        self._listeners.append(listener)

    def subscribe_to_checks(self, listener: ChangeListener) -> None:
        """Calls `listener` after each check of the store without a change."""
        self._check_listeners.append(listener)

    @property
    def table(self) -> table.RouteTable | None:
        """Active route table; None before the first configuration."""
        return self._table

    @property
    def version(self) -> ids.Epoch:
        """Version of the active configuration; 0 before the first."""
        return self._table.version if self._table else ids.Epoch(0)

    @property
    def directory(self) -> server_directory.ServerDirectory:
        """Directory of the backend servers."""
        return self._directory

    @property
    def evacuations(self) -> evacuation_view.EvacuationView:
        """The evacuated availability zones."""
        return self._evacuations

    @property
    def notices(self) -> server_notices.ServerNoticeObserver:
        """What answers of servers say about these themselves."""
        return self._notices

    def servers_accepting_work(
        self, service: ids.ServiceId
    ) -> tuple[server_directory.ServerEntry, ...]:
        """Returns the servers of a service that new work may be sent to."""
        remaining = self._notices.without_leaving(
            service, self._directory.servers_accepting_work(service)
        )
        return self._evacuations.remaining(service, remaining)

    def accepts_new_work(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether new work may still be sent to a server.

        Its entry, an evacuation or what its answers say may have changed since
        it was chosen.
        """
        current = self._directory.entry(server.id)
        return (
            current is not None
            and current.incarnation == server.incarnation
            and current.accepts_work
            and not self._evacuations.is_evacuated(current)
            and self._notices.allows_new_work(current)
        )

    def forbids_sending(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a request that was chosen for a server may not go.

        An evacuation or an answer of the server may have come since. A server
        whose entry says that it leaves still serves what was under way.
        """
        current = self._directory.entry(server.id) or server
        return self._evacuations.is_evacuated(
            current
        ) or not self._notices.allows_new_work(server)

    @property
    def complete(self) -> bool:
        """Whether all that requests need is known."""
        return self._has_servers and self._evacuations.complete

    @property
    def _has_servers(self) -> bool:
        return self._table is not None and self._directory.is_initialised

    async def wait_complete(self, timeout: units.Seconds) -> bool:
        """Waits until all that requests need is known.

        Returns:
            Whether it is known within `timeout` seconds.
        """
        if self.complete:
            return True
        completed = asyncio.get_running_loop().create_future()
        self._completion_waiters.add(completed)
        try:
            await asyncio.wait((completed,), timeout=max(0.0, timeout))
        finally:
            self._completion_waiters.discard(completed)
        return self.complete

    @property
    def last_server_change(self) -> store_revisions.StoreRevision:
        """Revision of the newest known change of the server list.

        The revision of a listing may be higher without any change; peers
        that compared it would fetch the list for nothing.
        """
        return self._last_server_change

    def revision(
        self, kind: codecs.ObjectKind
    ) -> store_revisions.StoreRevision:
        """Returns the store revision up to which the objects are known."""
        match kind:
            case codecs.ObjectKind.SERVERS:
                return self._directory.revision
            case codecs.ObjectKind.EVACUATIONS:
                return self._evacuations.evacuations.revision
            case codecs.ObjectKind.CONFIGURATION:
                stored = self._stored_configuration
                return stored.revision if stored else store_revisions.NONE

    @property
    def servers_known(self) -> store_revisions.StoreRevision:
        """Revision up to which all changes of the servers are known."""
        return max(self._servers_known, self._directory.revision)

    def on_store_confirmed(
        self,
        kind: codecs.ObjectKind,
        revision: store_revisions.StoreRevision,
        at: units.Instant,
    ) -> None:
        """Records that the store had no newer objects at `at`.

        Args:
            kind: Kind of the objects.
            revision: Revision of the store; all changes up to it are applied.
            at: Time of the confirmation.
        """
        if kind is codecs.ObjectKind.SERVERS:
            self._servers_known = max(self._servers_known, revision)
        elif kind is codecs.ObjectKind.EVACUATIONS:
            self._evacuations.on_store_confirmed(revision)
        self._freshness[kind].confirm(at)

    def on_store_checked(
        self,
        kind: codecs.ObjectKind,
        revision: store_revisions.StoreRevision,
        at: units.Instant,
    ) -> None:
        """Like `on_store_confirmed`, and tells the other daemons."""
        self.on_store_confirmed(kind, revision, at)
        for listener in self._check_listeners:
            listener()

    def on_peer_confirmed(
        self, report: load_reports.LoadReport, now: units.Instant
    ) -> None:
        """Records what the report of a peer says about the newest objects.

        A peer that knew the newest objects a moment ago confirms those of this
        daemon, unless they are older.
        """
        if (
            report.configuration_age is not None
            and report.configuration_epoch <= self.version
        ):
            self._freshness[codecs.ObjectKind.CONFIGURATION].confirm(
                units.Instant(now - report.configuration_age)
            )
        if (
            report.servers_age is not None
            and report.servers_known <= self.servers_known
        ):
            self._freshness[codecs.ObjectKind.SERVERS].confirm(
                units.Instant(now - report.servers_age)
            )
        if (
            report.evacuations_age is not None
            and report.evacuations_known <= self._evacuations.known_revision
        ):
            self._freshness[codecs.ObjectKind.EVACUATIONS].confirm(
                units.Instant(now - report.evacuations_age)
            )

    def freshness_of(self, kind: codecs.ObjectKind) -> freshness.Freshness:
        """Returns when the objects were last known to be the newest."""
        return self._freshness[kind]

    def age_ms(self, kind: codecs.ObjectKind, now: units.Instant) -> int | None:
        """Returns the age of the known objects for logs, in milliseconds."""
        age = self._freshness[kind].age(now)
        return None if age is None else round(age * 1_000)

    @property
    def known_state(self) -> peer_state.KnownState:
        """What this daemon need not be sent by a peer."""
        return peer_state.KnownState(
            self.version,
            self._directory.revision,
            self._evacuations.known_revision,
        )

    def state_since(
        self, known: peer_state.KnownState, now: units.Instant
    ) -> peer_state.PeerState:
        """Returns what a peer lacks that knows this state."""
        stored = self._stored_configuration
        changes = self._changes.since(known.servers)
        names = self._stored_servers if changes is None else changes.changed
        # Only this daemon knows that the entry of the copy is out of date.
        outdated = self._directory.outdated_servers
        return peer_state.PeerState(
            stored.revision if stored else store_revisions.NONE,
            (stored,) if stored and self.version > known.version else (),
            self._directory.revision,
            tuple(
                self._stored_servers[name]
                for name in names
                if name not in outdated
            ),
            partial=changes is not None,
            removed_servers=() if changes is None else changes.removed,
            grace=units.Seconds(max(0.0, self._grace_ends_at - now)),
            evacuations=self._evacuations.state_since(known.evacuations),
        )

    def on_peer_state(
        self, state: peer_state.PeerState, now: units.Instant
    ) -> None:
        """Applies what a peer has sent; older state is ignored."""
        self.on_peer_settings(state, now)
        if state.grace:
            self._grace_ends_at = units.Instant(
                max(self._grace_ends_at, now + state.grace)
            )
        if not state.partial:
            self.on_server_listing(state.servers, state.server_revision, now)
        elif state.server_revision > self._directory.revision:
            self.on_server_events(
                state.servers,
                state.removed_servers,
                state.server_revision,
                now,
            )

    def on_peer_settings(
        self, state: peer_state.PeerState, now: units.Instant
    ) -> None:
        """Applies what operators have written, without the servers."""
        for stored in state.configuration:
            self.on_configuration(stored)
        if state.evacuations.revision > store_revisions.NONE:
            self.on_evacuation_listing(
                state.evacuations.zones, state.evacuations.revision, now
            )

    def server_by_number(self, number: int) -> ids.BackendServerId | None:
        """Returns the server that a number in a load report refers to."""
        return self._server_ids_by_number.get(number)

    def on_configuration(self, stored: peer_state.StoredObject) -> None:
        """Applies a configuration if it is newer than the active one."""
        decoded = self._decoder.decode_configuration(stored)
        if decoded.is_err():
            self._log.emit(
                events.Event.CONFIGURATION_REJECTED,
                era=stored.revision.era,
                revision=stored.revision.number,
                reason=decoded.unwrap_err(),
                version_in_force=self.version,
            )
            return
        configuration: model.RoutingConfiguration = decoded.unwrap()
        if configuration.version <= self.version:
            return
        previous = self.version
        self._table = table.RouteTable(configuration)
        self._stored_configuration = stored
        self._log.emit(
            events.Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            previous=previous,
            era=stored.revision.era,
            revision=stored.revision.number,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations or ()),
        )
        self._notify_listeners()

    def on_evacuation_listing(
        self,
        stored: tuple[peer_state.StoredObject, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> None:
        """Applies a full listing of the evacuated zones."""
        if self._evacuations.on_listing(stored, revision, now):
            self._notify_listeners()

    def on_listing(
        self,
        kind: codecs.ObjectKind,
        stored: tuple[peer_state.StoredObject, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> None:
        """Applies a full listing of one kind of objects."""
        match kind:
            case codecs.ObjectKind.CONFIGURATION:
                for item in stored:
                    self.on_configuration(item)
            case codecs.ObjectKind.SERVERS:
                self.on_server_listing(stored, revision, now)
            case codecs.ObjectKind.EVACUATIONS:
                self.on_evacuation_listing(stored, revision, now)

    def on_events(
        self,
        kind: codecs.ObjectKind,
        changed: tuple[peer_state.StoredObject, ...],
        removed: tuple[str, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> None:
        """Applies changes of one kind of objects."""
        match kind:
            case codecs.ObjectKind.CONFIGURATION:
                for item in changed:
                    self.on_configuration(item)
            case codecs.ObjectKind.SERVERS:
                self.on_server_events(changed, removed, revision, now)
            case codecs.ObjectKind.EVACUATIONS:
                if self._evacuations.on_events(changed, removed, revision, now):
                    self._notify_listeners()

    def on_store_recovered(self, now: units.Instant) -> None:
        """Starts the grace period for entries that expired in an outage."""
        self._grace_ends_at = units.after(
            now, server_directory.MISSING_ENTRY_GRACE
        )

    def on_server_listing(
        self,
        stored: tuple[peer_state.StoredObject, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> None:
        """Applies a full listing of the backend servers.

        One of a new era may lack what was written since the copy that the store
        came back from; its writers write it again, as after an outage.
        """
        if revision < self._directory.revision:
            return
        if (
            self._directory.is_initialised
            and revision.era > self._directory.revision.era
        ):
            self.on_store_recovered(now)
        entries = self._decode_servers(stored)
        self._stored_servers = {o.name: o for o in stored}
        self._changes.on_listing(revision)
        self._last_server_change = max(
            (
                self._last_server_change,
                store_revisions.of(revision.era, 0),
                *(o.revision for o in stored),
            )
        )
        change = self._directory.on_listing(
            entries,
            revision,
            self._retain_until(now),
            units.after(now, server_directory.COPIED_ENTRY_LAPSE),
        )
        self._on_directory_change(change)
        self._notify_listeners()

    def on_server_events(
        self,
        changed: tuple[peer_state.StoredObject, ...],
        removed: tuple[str, ...],
        revision: store_revisions.StoreRevision,
        now: units.Instant,
    ) -> None:
        """Applies changes to the list of backend servers.

        Changes of a newer era need a listing of that era first.
        """
        known = self._directory.revision
        if revision < known or revision.era != known.era:
            return
        self._stored_servers.update((o.name, o) for o in changed)
        for name in removed:
            self._stored_servers.pop(name, None)
        self._last_server_change = revision
        self._changes.on_events(
            revision, tuple(o.name for o in changed), removed
        )
        entries = self._decode_servers(changed)
        decoded_ids = {entry.id for entry in entries}
        # A server whose changed entry is invalid is removed.
        invalid_ids = [
            ids.BackendServerId(o.name)
            for o in changed
            if o.name not in decoded_ids
        ]
        change = self._directory.on_events(
            entries,
            [*map(ids.BackendServerId, removed), *invalid_ids],
            revision,
            self._retain_until(now),
        )
        self._on_directory_change(change)
        self._notify_listeners()

    def expire(self, now: units.Instant) -> None:
        """Ends what an outage or a restore of the store left for a time."""
        self._on_directory_change(self._directory.expire(now))
        awaited = self._has_servers and not self._evacuations.complete
        if self._evacuations.expire(now, awaited=awaited):
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
        if self.complete:
            for waiter in self._completion_waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _retain_until(self, now: units.Instant) -> units.Instant | None:
        return self._grace_ends_at if now < self._grace_ends_at else None

    def _decode_servers(
        self, stored: tuple[peer_state.StoredObject, ...]
    ) -> list[server_directory.ServerEntry]:
        entries = []
        for item in stored:
            decoded = self._decoder.decode_server(item)
            if decoded.is_ok():
                entries.append(decoded.unwrap())
                continue
            self._log.emit(
                events.Event.SERVER_ENTRY_REJECTED,
                server=item.name,
                era=item.revision.era,
                revision=item.revision.number,
                reason=decoded.unwrap_err(),
            )
        return entries

    def _on_directory_change(
        self, change: server_directory.DirectoryChange
    ) -> None:
        if change.added or change.removed:
            self._server_ids_by_number = {
                load_reports.hash_server_id(entry.id): entry.id
                for entry in self._directory.entries
            }
        for entry in change.added:
            self._log.emit(
                events.Event.BACKEND_SERVER_UP,
                server=entry.id,
                service=entry.service,
                address=str(entry.address),
                born=entry.incarnation,
                era=self._directory.revision.era,
                revision=self._directory.revision.number,
            )
        for entry in change.draining:
            self._log.emit(
                events.Event.BACKEND_SERVER_LEAVING,
                server=entry.id,
                era=self._directory.revision.era,
                revision=self._directory.revision.number,
            )
        for entry in change.removed:
            self._health.remove(entry.id, entry.incarnation)
            self._log.emit(
                events.Event.BACKEND_SERVER_DOWN,
                server=entry.id,
                reason="entry_removed",
                era=self._directory.revision.era,
                revision=self._directory.revision.number,
            )
