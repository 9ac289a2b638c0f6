"""Exchange of load reports between daemons over UDP."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import math
import socket
import typing

from lavendershed.admission import engine_limits
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import bundle_distribution
from lavendershed.forwarding import codecs
from lavendershed.forwarding import cold_observer
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import peer_versions
from lavendershed.forwarding import permits
from lavendershed.forwarding import reach_monitor
from lavendershed.forwarding import store_watch_role
from lavendershed.membership import peer_table
from lavendershed.membership import report_topology
from lavendershed.membership import visible_fleet
from lavendershed.peer import load_reports
from lavendershed.peer import permit_messages
from lavendershed.peer import wire
from lavendershed.reliability import crash_attribution
from lavendershed.reliability import failure_shares
from lavendershed.reliability import fleet_retry_budget
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Tasks that start within this time share one report; all daemons together place
# about one request in this time.
_URGENT_REPORT_DELAY = units.Seconds(0.01)
# Progress and completions within this time share one report. Every daemon
# decodes each report.
_REPORT_DELAY = units.Seconds(0.2)
# If more than this fraction of the servers is unreachable, the cause is
# probably this daemon's own network and not the servers.
_MAX_UNREACHABLE_FRACTION = 0.5
# Unchanged state is repeated for daemons that missed a report.
_REPORT_INTERVAL = units.Seconds(1.0)
# A daemon is told at most once in this time which daemons it should report to.
_INTRODUCTION_INTERVAL = units.Seconds(0.5)
_MAX_LOGGED_ADDRESSES = 8
# Peers that are silent for longer may be on the other side of a partition. They
# report each second; a lost report costs the limits of engines little.
_MAX_SILENCE = units.Seconds(1.6)
_DECISION_EVENTS = {
    crash_attribution.Verdict.QUARANTINED: (
        events.Event.PROMPT_PARTS_QUARANTINED
    ),
    crash_attribution.Verdict.RELEASED: events.Event.PROMPT_PARTS_RELEASED,
}


class LoadReporter(asyncio.DatagramProtocol):
    """Sends load reports to the other daemons and applies theirs.

    Reports are sent on changes and at least once per second.
    """

    def __init__(
        self,
        incarnation: ids.Incarnation,
        address: addresses.Address,
        zone: ids.AvailabilityZoneId,
        bandwidth_mbps: int,
        peers: peer_table.PeerTable,
        topology: report_topology.ReportTopology,
        bundles: bundle_distribution.BundleDistributor,
        store_role: store_watch_role.StoreWatchRole,
        versions: peer_versions.PeerVersions,
        view: deployment_view.DeploymentView,
        tracker: load_tracker.LoadTracker,
        attribution: crash_attribution.CrashAttribution,
        slowdowns: engine_slowdown.EngineSlowdowns,
        limits: engine_limits.EngineLimits,
        cold: cold_observer.ColdObserver,
        shares: failure_shares.FailureShares,
        permit_client: permits.PermitClient,
        fleet: visible_fleet.VisibleFleet,
        health: server_health.ServerHealth,
        reach: reach_monitor.ReachMonitor,
        retry_budget: fleet_retry_budget.FleetRetryBudget,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._zone = zone
        self._bandwidth_mbps = bandwidth_mbps
        self._peers = peers
        self._topology = topology
        self._bundles = bundles
        self._store_role = store_role
        self._versions = versions
        self._view = view
        self._load_tracker = tracker
        self._crash_attribution = attribution
        self._slowdowns = slowdowns
        self._limits = limits
        self._cold = cold
        self._failure_shares = shares
        self._permits = permit_client
        self._fleet = fleet
        self._health = health
        self._reach = reach
        self._retry_budget = retry_budget
        self._timers = timer_service
        self._log = event_log
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._reports_sent = 0
        # Whether the tasks changed since the last report.
        self._has_changed = True
        # What the last report stated besides the tasks.
        self._reported_state: object = None
        self._next_report: timers.Timer | None = None
        self._next_report_at = units.Instant(math.inf)
        self._logged_peers: frozenset[addresses.Address] = frozenset()
        # When each misdirected or new sender was last told whom to report to.
        self._introduced_at: dict[addresses.Address, units.Instant] = {}

    async def start(self) -> None:
        """Binds the UDP address of this daemon.

        Raises:
            OSError: The address can't be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((self._address.host, self._address.port))
        except OSError:
            sock.close()
            raise
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, sock=sock
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The transports of uvloop do not derive from those of asyncio.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Handles a report or a bundle of another daemon."""
        now = self._timers.now()
        source = addresses.Address(str(addr[0]), addr[1])
        try:
            if permit_messages.is_permit_message(data):
                self._permits.on_datagram(data, source, now)
                return
            message = load_reports.decode_datagram(
                data, self._view.server_by_number, now
            )
            if isinstance(message, load_reports.LoadReport):
                self._on_direct_report(message, data, source, now)
            else:
                self._on_bundle(message, now)
        except wire.DECODE_ERRORS as error:
            self._log.emit(
                events.Event.PEER_MESSAGE_REJECTED,
                peer=str(addr[0]),
                reason=repr(error),
            )

    def _on_direct_report(
        self,
        report: load_reports.LoadReport,
        encoded: bytes,
        source: addresses.Address,
        now: units.Instant,
    ) -> None:
        if report.incarnation == self._incarnation:
            return
        sender = report.sender_address or source
        status = self._apply(sender, report, now, direct=True)
        if status is peer_table.ReportStatus.STALE:
            return
        # Aggregators repeat reports, whose ages are then out of date.
        self._view.on_peer_confirmed(report, now)
        zone = report.availability_zone
        self._bundles.on_direct_report(sender, zone, encoded, status)
        if (
            status is peer_table.ReportStatus.NEW_SENDER
            or self._topology.is_misdirected(zone)
        ):
            self._introduce(sender, zone, now)

    def _on_bundle(
        self, bundle: load_reports.ReportBundle, now: units.Instant
    ) -> None:
        self._topology.on_bundle(
            bundle.aggregator,
            bundle.availability_zone,
            bundle.member_count,
            now,
        )
        for address in bundle.live_daemons:
            incarnation = self._peers.on_alive(address, now)
            if incarnation is not None:
                self._load_tracker.on_alive(incarnation, now)
        self._bundles.on_live_daemons(
            bundle.live_daemons, bundle.availability_zone
        )
        for encoded in bundle.reports:
            report = load_reports.decode_report(
                encoded, self._view.server_by_number, now
            )
            sender = report.sender_address
            if sender is None or report.incarnation == self._incarnation:
                continue
            status = self._apply(sender, report, now, direct=False)
            if status is not peer_table.ReportStatus.STALE:
                self._bundles.on_bundled_report(
                    sender,
                    report.availability_zone,
                    encoded,
                    status,
                    bundle.availability_zone,
                )

    def _apply(
        self,
        sender: addresses.Address,
        report: load_reports.LoadReport,
        now: units.Instant,
        *,
        direct: bool,
    ) -> peer_table.ReportStatus:
        """Applies the state of another daemon unless it is outdated."""
        candidates_before = self._peers.candidate_count
        status = self._peers.on_report(
            sender,
            report.incarnation,
            report.sequence,
            report.peer_addresses,
            report.availability_zone,
            now,
            direct=direct,
            watches_store=report.watches_store,
            bandwidth_mbps=report.bandwidth_mbps,
            cut_off=report.cut_off,
        )
        if self._peers.candidate_count > candidates_before:
            self._schedule_report(units.after(now, _URGENT_REPORT_DELAY))
        if status is peer_table.ReportStatus.STALE:
            return status
        # Also from a repeated report: its sender may have been unreachable.
        self._versions.on_report(sender, report)
        if (
            status is peer_table.ReportStatus.REPEATED
            and self._load_tracker.on_alive(report.incarnation, now)
        ):
            return status
        self._load_tracker.on_report(report.incarnation, report.open_tasks, now)
        self._crash_attribution.on_peer_evidence(report.crash_evidence, now)
        self._slowdowns.on_report(report.slow_engines, now)
        for number, news in report.limits:
            self._limits.on_peer_news(number, news)
        self._cold.on_peer_failures(report.unreachable_servers)
        self._view.notices.on_peer_news(report.leaving, sender)
        self._failure_shares.on_report(
            report.incarnation, report.call_counts, now
        )
        for server, exclusion_time in self._health.on_peer_report(
            report.unreachable_servers, now
        ):
            self._log.emit(
                events.Event.BACKEND_SERVER_EXCLUDED,
                server=server,
                reason="reported unreachable by a peer",
                peer=str(sender),
                seconds=round(exclusion_time, 3),
            )
        self._retry_budget.set_daemon_count(self._peers.fleet_size)
        return status

    def _introduce(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        now: units.Instant,
    ) -> None:
        """Sends a report that names the daemons which `sender` has to know."""
        introduced_at = self._introduced_at.get(sender)
        if (
            introduced_at is not None
            and now - introduced_at < _INTRODUCTION_INTERVAL
        ):
            return
        self._introduced_at = {
            address: at
            for address, at in self._introduced_at.items()
            if now - at < _INTRODUCTION_INTERVAL
        }
        self._introduced_at[sender] = now
        report = self._build_report(self._topology.introductions(zone), now)
        self._send(load_reports.encode_report(report, now), (sender,))

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors of peers that do not listen.

        A stopped daemon is detected by its missing reports.
        """

    def start_reports(self) -> None:
        """Sends reports from now on."""
        self._load_tracker.subscribe(self._on_change)
        self._view.subscribe(self._on_view_change)
        self._view.subscribe_to_checks(self._on_store_checked)
        self._crash_attribution.subscribe(self._on_crash_news)
        self._reach.subscribe(lambda: self._on_change(urgent=True))
        self._limits.subscribe(lambda: self._on_change(urgent=True))
        self._view.notices.subscribe(lambda: self._on_change(urgent=True))
        self._failure_shares.subscribe(self._on_change)
        self._permits.start(self._send)
        self._bundles.start(self._send)
        self._send_report()

    def _on_view_change(self) -> None:
        """Tells the daemons that don't watch the store of a change."""
        if self._store_role.is_watching and self._topology.own_zone_is_large:
            self._on_change(urgent=True)

    def _on_store_checked(self) -> None:
        """Spares the other daemons a check; the state has not changed."""
        self._schedule_report(
            units.after(self._timers.now(), _URGENT_REPORT_DELAY)
        )

    def _on_crash_news(
        self, decision: crash_attribution.Decision | None
    ) -> None:
        """Tells the other daemons of evidence and decisions, and logs these."""
        self._on_change(urgent=True)
        if decision is None:
            return
        self._log.emit(
            _DECISION_EVENTS[decision.verdict],
            parts=[f"{part:x}" for part in sorted(decision.parts)],
            crashes=decision.crashes,
            answers=decision.answers,
            seconds=round(decision.seconds, 3),
            duration_s=round(decision.duration, 3),
            from_peer=decision.from_peer,
        )

    def _on_change(self, urgent: bool) -> None:
        """Schedules a report after a change of the local state."""
        self._has_changed = True
        delay = _URGENT_REPORT_DELAY if urgent else _REPORT_DELAY
        self._schedule_report(units.after(self._timers.now(), delay))

    def _schedule_report(self, when: units.Instant) -> None:
        """Schedules a report at `when` unless an earlier one is pending."""
        if self._next_report is not None:
            if self._next_report_at <= when:
                return
            self._next_report.cancel()
        self._next_report_at = when
        self._next_report = self._timers.schedule_at(when, self._send_report)

    def _send_report(self) -> None:
        now = self._timers.now()
        self._next_report = None
        # First, so that the reports go on if this one can't be encoded.
        self._schedule_report(units.after(now, _REPORT_INTERVAL))
        self._load_tracker.expire(now)
        self._load_tracker.set_report_delay(self._topology.report_delay)
        self._limits.expire(now)
        self._failure_shares.expire(now)
        targets = self._topology.report_targets(now)
        alive_since = units.Instant(now - _MAX_SILENCE)
        self._fleet.observe(1 + self._peers.alive_count(alive_since), now)
        self._log_peer_changes()
        self._reports_sent += 1
        advertised = (
            ()
            if self._topology.own_zone_is_large
            else self._peers.addresses_for_report(self._reports_sent, now)
        )
        status = peer_table.ReportStatus.REPEATED
        if self._update_sequence(now):
            status = peer_table.ReportStatus.KNOWN_SENDER
        encoded = load_reports.encode_report(
            self._build_report(advertised, now), now
        )
        self._bundles.on_direct_report(
            self._address, self._zone, encoded, status
        )
        self._send(encoded, targets)

    def _update_sequence(self, now: units.Instant) -> bool:
        """Counts the state as new if it has changed; returns whether it has."""
        state = (
            self._view.version,
            self._view.last_server_change,
            self._view.evacuations.evacuations.last_change,
            self._store_role.is_watching_successfully,
            self._reach.is_lost,
            self._crash_attribution.report_state(now),
            self._slowdowns.local_slowdowns(now),
            tuple(server for server, _ in self._unreachable_to_report(now)),
            frozenset(
                (server, news.rate) for server, news in self._limits.local_news
            ),
            self._view.notices.leaving_to_report,
        )
        has_changed = self._has_changed or state != self._reported_state
        self._has_changed = False
        self._reported_state = state
        self._sequence += has_changed
        return has_changed

    def _build_report(
        self, advertised: tuple[addresses.Address, ...], now: units.Instant
    ) -> load_reports.LoadReport:
        return load_reports.LoadReport(
            self._incarnation,
            self._address,
            self._zone,
            self._sequence,
            self._view.version,
            self._view.last_server_change,
            self._load_tracker.local_tasks,
            self._slowdowns.local_slowdowns(now),
            self._unreachable_to_report(now),
            advertised,
            self._store_role.is_watching_successfully,
            self._bandwidth_mbps,
            self._view.freshness_of(codecs.ObjectKind.CONFIGURATION).age(now),
            self._view.freshness_of(codecs.ObjectKind.SERVERS).age(now),
            self._view.servers_known,
            self._crash_attribution.evidence(now),
            self._limits.local_news,
            self._reach.is_lost,
            self._view.evacuations.evacuations.last_change,
            self._view.evacuations.known_revision,
            self._view.freshness_of(codecs.ObjectKind.EVACUATIONS).age(now),
            self._view.notices.leaving_to_report,
            self._failure_shares.local_counts(now),
        )

    def _send(
        self, datagram: bytes, targets: Iterable[addresses.Address]
    ) -> None:
        if self._transport is None:
            return
        for target in targets:
            self._transport.sendto(datagram, (target.host, target.port))

    def _unreachable_to_report(
        self, now: units.Instant
    ) -> tuple[server_health.UnreachableServer, ...]:
        """Returns the unreachable servers to include in a report.

        A daemon that reaches few servers is probably partitioned itself and
        reports none. Neither does it while it finds out.
        """
        if not self._reach.is_certain:
            return ()
        unreachable = self._health.unreachable_servers(now)
        limit = len(self._view.directory.entries) * _MAX_UNREACHABLE_FRACTION
        return unreachable if len(unreachable) <= limit else ()

    def _log_peer_changes(self) -> None:
        live_peers = frozenset(self._peers.live_peers)
        appeared = live_peers - self._logged_peers
        disappeared = self._logged_peers - live_peers
        self._logged_peers = live_peers
        if not appeared and not disappeared:
            return
        self._log.emit(
            events.Event.MEMBER_CHANGED,
            alive=_to_names(appeared),
            silent=_to_names(disappeared),
            appeared=len(appeared),
            disappeared=len(disappeared),
            members=self._peers.fleet_size,
        )


def _to_names(found: Iterable[addresses.Address]) -> list[str]:
    """Returns the first addresses, for a log line of bounded length."""
    return sorted(map(str, found))[:_MAX_LOGGED_ADDRESSES]
