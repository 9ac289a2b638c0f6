"""Distribution of load reports by the aggregator of an availability zone."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import report_aggregation
from lavendershed.membership import peer_table
from lavendershed.membership import report_topology
from lavendershed.peer import load_reports

# Reports that arrive within this time share a bundle.
_BUNDLE_DELAY = units.Seconds(0.025)
# Reports that don't change are not distributed; the aggregator states at this
# interval who is alive.
_LIVE_DAEMONS_INTERVAL = units.Seconds(1.0)
# Daemons report at least once per second; one report may be lost.
_ALIVE_PERIOD = units.Seconds(2.2)
# Daemons that send all reports to one that has just started. It is more than
# one, since an aggregator that was restarted too has few reports.
_GREETING_RANKS = 4
# All reports are repeated within this many intervals.
_REPETITION_ROUNDS = 2

# A daemon that becomes a standby notices it within this time.
_ROLE_CHECK_INTERVAL = units.Seconds(0.5)

SendDatagram = Callable[[bytes, Iterable[addresses.Address]], None]


class BundleDistributor:
    """Collects the reports of a zone and sends them in bundles.

    Every daemon has one. It sends only while the daemon is the acting
    aggregator of its zone; on standbys it keeps the reports for a takeover.
    """

    def __init__(
        self,
        address: addresses.Address,
        zone: ids.AvailabilityZoneId,
        peers: peer_table.PeerTable,
        topology: report_topology.ReportTopology,
        timer_service: timers.TimerService,
    ) -> None:
        self._address = address
        self._zone = zone
        self._peers = peers
        self._topology = topology
        self._timers = timer_service
        self._aggregation = report_aggregation.ReportAggregation(zone)
        self._pending_bundle: timers.Timer | None = None
        self._last_sent_at = units.Instant(0.0)
        self._live_daemons_sent_at = units.Instant(0.0)
        # Live daemons of other zones to tell the own zone of.
        self._live_elsewhere: dict[addresses.Address, None] = {}
        self._send: SendDatagram | None = None

    def start(self, send: SendDatagram) -> None:
        """Sends bundles with `send` from now on, and keepalives."""
        self._send = send
        self._schedule_keepalive()

    def on_direct_report(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        encoded: bytes,
        status: peer_table.ReportStatus,
    ) -> None:
        """Adds a report that its sender, or this daemon, has sent."""
        if not self._topology.is_standby:
            return
        if status is peer_table.ReportStatus.REPEATED:
            self._aggregation.refresh(sender, zone, encoded)
            return
        self._aggregation.add(sender, zone, encoded)
        now = self._timers.now()
        if self._topology.is_acting(now):
            self._schedule_bundle(now)
        if (
            status is peer_table.ReportStatus.NEW_SENDER
            and zone == self._zone
            and sender != self._address
            and self._topology.own_rank < _GREETING_RANKS
        ):
            # A daemon that has just started has no load information yet.
            reports = self._aggregation.all_reports(
                (*self._peers.live_peers, self._address)
            )
            self._distribute(reports, (sender,))

    def on_bundled_report(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        encoded: bytes,
        status: peer_table.ReportStatus,
        aggregator_zone: ids.AvailabilityZoneId,
    ) -> None:
        """Adds a report out of a bundle of another aggregator."""
        if not self._topology.is_standby:
            return
        if aggregator_zone == self._zone:
            self._aggregation.refresh(sender, zone, encoded)
            self._aggregation.on_distributed(sender)
            return
        if status is peer_table.ReportStatus.REPEATED:
            self._aggregation.refresh(sender, zone, encoded)
            return
        self._aggregation.add(sender, zone, encoded)
        now = self._timers.now()
        if self._topology.is_acting(now):
            self._schedule_bundle(now)

    def on_live_daemons(
        self,
        live_daemons: Iterable[addresses.Address],
        aggregator_zone: ids.AvailabilityZoneId,
    ) -> None:
        """Passes the live daemons of another zone on to this zone."""
        if aggregator_zone != self._zone:
            self._live_elsewhere.update(dict.fromkeys(live_daemons))

    def _schedule_keepalive(self) -> None:
        interval = (
            report_topology.KEEPALIVE_INTERVAL
            if self._topology.is_standby
            else _ROLE_CHECK_INTERVAL
        )
        self._timers.schedule_at(
            units.after(self._timers.now(), interval), self._keep_alive
        )

    def _keep_alive(self) -> None:
        """Shows that this daemon acts, if it does, and who is alive."""
        self._schedule_keepalive()
        now = self._timers.now()
        if not self._topology.is_acting(now):
            self._live_elsewhere.clear()
            return
        if now - self._live_daemons_sent_at >= _LIVE_DAEMONS_INTERVAL:
            self._live_daemons_sent_at = now
            self._send_live_daemons(now)
        if now - self._last_sent_at < report_topology.KEEPALIVE_INTERVAL:
            return
        if self._aggregation.has_pending:
            self._send_pending()
        else:
            self._last_sent_at = now
            self._distribute((), self._topology.standbys)

    def _send_live_daemons(self, now: units.Instant) -> None:
        """Sends who is alive, and repeats part of the reports."""
        alive_since = units.Instant(now - _ALIVE_PERIOD)
        in_zone = (
            self._address,
            *self._peers.heard_since(self._zone, alive_since),
        )
        # Small zones have no aggregator; their daemons report here directly.
        in_small_zones = itertools.chain.from_iterable(
            self._peers.heard_since(zone, alive_since)
            for zone in self._topology.small_zones
        )
        alive = (*in_zone, *in_small_zones, *self._live_elsewhere)
        self._live_elsewhere.clear()
        targets = self._topology.bundle_targets(now)
        self._distribute((), targets.other_zones, in_zone)
        self._distribute((), targets.members, alive)
        self._aggregation.repeat_next(
            alive, len(alive) // _REPETITION_ROUNDS + 1
        )
        self._schedule_bundle(now)

    def _schedule_bundle(self, now: units.Instant) -> None:
        if self._pending_bundle is None:
            self._pending_bundle = self._timers.schedule_at(
                units.after(now, _BUNDLE_DELAY), self._send_pending
            )

    def _send_pending(self) -> None:
        self._pending_bundle = None
        now = self._timers.now()
        if not self._topology.is_acting(now):
            return
        self._last_sent_at = now
        own_zone, other_zones = self._aggregation.take_pending()
        targets = self._topology.bundle_targets(now)
        self._distribute((*own_zone, *other_zones), targets.members)
        if own_zone:
            self._distribute(own_zone, targets.other_zones)

    def _distribute(
        self,
        reports: tuple[bytes, ...],
        targets: tuple[addresses.Address, ...],
        live_daemons: tuple[addresses.Address, ...] = (),
    ) -> None:
        if self._send is None or not targets:
            return
        bundle = load_reports.ReportBundle(
            self._address,
            self._zone,
            self._topology.member_count,
            reports,
            live_daemons,
        )
        for datagram in load_reports.encode_bundles(bundle):
            self._send(datagram, targets)
