"""Exchange of load reports between daemons over UDP."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import socket
import typing

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import deployment_view
from lavendershed.membership import peer_table
from lavendershed.peer import load_reports
from lavendershed.peer import wire
from lavendershed.reliability import crash_counts
from lavendershed.reliability import fleet_retry_budget
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Tasks that start within this time share one report; all daemons together place
# about one request in this time.
_URGENT_REPORT_DELAY = units.Seconds(0.01)
# Progress and completions within this time share one report. Each report is a
# datagram to every daemon, and decoding them takes a third of the CPU time of a
# daemon in a deployment of sixty.
_REPORT_DELAY = units.Seconds(0.2)
# If more than this fraction of the servers is unreachable, the cause is
# probably this daemon's own network and not the servers.
_MAX_UNREACHABLE_FRACTION = 0.5
# Unchanged state is repeated for daemons that missed a report.
_REPORT_INTERVAL = units.Seconds(1.0)


class PeerVersions:
    """Newest versions reported by other daemons."""

    def __init__(self) -> None:
        self._configuration: tuple[ids.Epoch, addresses.Address | None] = (
            ids.Epoch(0),
            None,
        )
        self._servers: tuple[ids.ObjectVersion, addresses.Address | None] = (
            ids.ObjectVersion(0),
            None,
        )

    @property
    def configuration(self) -> tuple[ids.Epoch, addresses.Address | None]:
        """Newest configuration version and a daemon that has it."""
        return self._configuration

    @property
    def servers(self) -> tuple[ids.ObjectVersion, addresses.Address | None]:
        """Newest server list revision and a daemon that has it."""
        return self._servers

    def on_report(
        self, address: addresses.Address, report: load_reports.LoadReport
    ) -> None:
        """Updates the newest versions from a report."""
        if report.configuration_epoch >= self._configuration[0]:
            self._configuration = (report.configuration_epoch, address)
        if report.server_revision >= self._servers[0]:
            self._servers = (report.server_revision, address)


class LoadReporter(asyncio.DatagramProtocol):
    """Sends load reports to the other daemons and applies theirs.

    Reports are sent on changes and at least once per second.
    """

    def __init__(
        self,
        incarnation: ids.Incarnation,
        address: addresses.Address,
        zone: ids.AvailabilityZoneId,
        peers: peer_table.PeerTable,
        versions: PeerVersions,
        view: deployment_view.DeploymentView,
        tracker: load_tracker.LoadTracker,
        crashes: crash_counts.CrashCounts,
        slowdowns: engine_slowdown.EngineSlowdowns,
        health: server_health.ServerHealth,
        retry_budget: fleet_retry_budget.FleetRetryBudget,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._zone = zone
        self._peers = peers
        self._versions = versions
        self._view = view
        self._load_tracker = tracker
        self._crashes = crashes
        self._slowdowns = slowdowns
        self._health = health
        self._retry_budget = retry_budget
        self._timers = timer_service
        self._log = event_log
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._pending_report: asyncio.TimerHandle | None = None
        # Event loop time; the first report is due immediately.
        self._last_sent_at = -math.inf
        self._logged_peers: frozenset[addresses.Address] = frozenset()

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
        """Handles a report of another daemon."""
        now = self._timers.now()
        try:
            report = load_reports.decode_report(
                data, self._view.server_by_number, now
            )
        except wire.DECODE_ERRORS as error:
            self._log.emit(
                events.Event.PEER_MESSAGE_REJECTED,
                peer=str(addr[0]),
                reason=repr(error),
            )
            return
        if report.incarnation == self._incarnation:
            return
        if report.relay_in_zone:
            self._forward_in_zone(report)
        address = report.sender_address or addresses.Address(
            str(addr[0]), addr[1]
        )
        if address not in self._peers.live_peers:
            # A newly started daemon has no load information yet.
            self._on_change(urgent=True)
        accepted = self._peers.on_report(
            address,
            report.incarnation,
            report.sequence,
            report.peer_addresses,
            report.availability_zone,
            now,
        )
        if not accepted:
            return
        self._load_tracker.on_report(report.incarnation, report.open_tasks, now)
        self._crashes.on_peer_counts(report.crash_suspects, now)
        self._slowdowns.on_report(report.slow_engines, now)
        for server, exclusion_time in self._health.on_peer_report(
            report.unreachable_servers, now
        ):
            self._log.emit(
                events.Event.BACKEND_SERVER_EXCLUDED,
                server=server,
                reason="reported unreachable by a peer",
                peer=str(address),
                seconds=round(exclusion_time, 3),
            )
        self._versions.on_report(address, report)
        self._retry_budget.set_daemon_count(self._peers.fleet_size)

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors of peers that do not listen.

        A stopped daemon is detected by its missing reports.
        """

    async def run(self) -> None:
        """Sends periodic reports until cancelled."""
        self._load_tracker.subscribe(self._on_change)
        loop = asyncio.get_running_loop()
        while True:
            delay = self._last_sent_at + _REPORT_INTERVAL - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            else:
                self._send_report()

    def _on_change(self, urgent: bool) -> None:
        """Schedules a report after a change of the local tasks."""
        loop = asyncio.get_running_loop()
        when = loop.time() + (_URGENT_REPORT_DELAY if urgent else _REPORT_DELAY)
        if self._pending_report is not None:
            if self._pending_report.when() <= when:
                return
            self._pending_report.cancel()
        self._pending_report = loop.call_at(when, self._send_report)

    def _send_report(self) -> None:
        now = self._timers.now()
        self._pending_report = None
        self._last_sent_at = asyncio.get_running_loop().time()
        self._load_tracker.expire(now)
        targets = self._peers.report_targets(now)
        self._log_peer_changes()
        self._sequence += 1
        report = load_reports.LoadReport(
            self._incarnation,
            self._address,
            self._zone,
            self._sequence,
            self._view.version,
            self._view.directory.revision,
            self._load_tracker.local_tasks,
            self._crashes.local_counts(now),
            self._slowdowns.local_slowdowns(now),
            self._unreachable_to_report(now),
            self._peers.addresses_for_report(self._sequence, now),
        )
        self._send_to(targets.direct, report, now)
        if targets.relays:
            relayed = dataclasses.replace(report, relay_in_zone=True)
            self._send_to(targets.relays, relayed, now)

    def _forward_in_zone(self, report: load_reports.LoadReport) -> None:
        """Relays a report of another zone to the daemons in this zone."""
        now = self._timers.now()
        forwarded = dataclasses.replace(report, relay_in_zone=False)
        self._send_to(self._peers.same_zone_peers, forwarded, now)

    def _send_to(
        self,
        targets: tuple[addresses.Address, ...],
        report: load_reports.LoadReport,
        now: units.Instant,
    ) -> None:
        if self._transport is None or not targets:
            return
        datagram = load_reports.encode_report(report, now)
        for target in targets:
            self._transport.sendto(datagram, (target.host, target.port))

    def _unreachable_to_report(
        self, now: units.Instant
    ) -> tuple[server_health.UnreachableServer, ...]:
        """Returns the unreachable servers to include in a report.

        A daemon that reaches few servers is probably partitioned itself and
        reports none.
        """
        unreachable = self._health.unreachable_servers(now)
        limit = len(self._view.directory.entries) * _MAX_UNREACHABLE_FRACTION
        return unreachable if len(unreachable) <= limit else ()

    def _log_peer_changes(self) -> None:
        live_peers = frozenset(self._peers.live_peers)
        for address in live_peers ^ self._logged_peers:
            self._log.emit(
                events.Event.MEMBER_CHANGED,
                peer=str(address),
                state="alive" if address in live_peers else "silent",
                members=self._peers.fleet_size,
            )
        self._logged_peers = live_peers
