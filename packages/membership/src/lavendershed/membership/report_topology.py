"""Routes of load reports: direct in small zones, aggregated in large ones.

Sending each report to every daemon costs messages that grow with the square of
the fleet. In an availability zone with many daemons, members send their
reports to the highest-ranked daemons of the zone, and the highest-ranked live
one, the acting aggregator, distributes bundles of them. The ranks follow from
the addresses, so that no election is needed; two daemons that act at the same
time only send redundant messages, because receivers drop duplicates.
"""

from __future__ import annotations

import dataclasses
import itertools

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peer_table

# Members of a larger zone, the own one included, exchange reports through its
# aggregator. In smaller zones direct reports are as cheap and arrive sooner.
MAX_DIRECT_PER_ZONE = 4
# A change waits 10 ms at its daemon, and 25 ms at the aggregator of each zone.
_DIRECT_REPORT_DELAY = units.Seconds(0.015)
_AGGREGATED_REPORT_DELAY = units.Seconds(0.07)
# The acting aggregator sends at least one bundle in this time to its standbys.
KEEPALIVE_INTERVAL = units.Seconds(0.1)
# Daemons of a zone that get the reports of its members: the acting aggregator
# and one standby, which takes over without having missed any report.
_REPORT_RECIPIENTS = 2
# Ranks that watch for silence of the acting aggregator.
_STANDBYS = 4
# Each rank takes over after this multiple of its rank without a bundle from a
# higher one; three keepalives may be lost.
_TAKEOVER_SILENCE = units.Seconds(0.35)
# A daemon that sent a bundle within this time is an acting aggregator.
_ACTING_PERIOD = units.Seconds(0.6)
# A restarted aggregator knows few members at first. Standbys keep acting until
# its bundles state at least this share of the members that they know.
_MIN_KNOWN_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class BundleTargets:
    """Recipients of the bundles of an acting aggregator.

    Attributes:
        members: Daemons of the own zone, which get the reports of all zones.
        other_zones: Daemons of other zones, which get those of the own zone.
    """

    members: tuple[addresses.Address, ...] = ()
    other_zones: tuple[addresses.Address, ...] = ()


class ReportTopology:
    """Decides which daemons a daemon sends its reports and bundles to."""

    def __init__(
        self,
        peers: peer_table.PeerTable,
        own_address: addresses.Address,
        own_zone: ids.AvailabilityZoneId,
        own_bandwidth_mbps: int,
    ) -> None:
        self._peers = peers
        self._own_address = own_address
        self._own_zone = own_zone
        self._own_bandwidth_mbps = own_bandwidth_mbps
        # Latest bundle of each aggregator, by zone.
        self._bundles_heard: dict[
            ids.AvailabilityZoneId, dict[addresses.Address, units.Instant]
        ] = {}
        # Latest bundle that stated nearly all members of the own zone.
        self._complete_bundles: dict[addresses.Address, units.Instant] = {}
        self._started_at: units.Instant | None = None

    @property
    def own_zone_is_large(self) -> bool:
        """Whether the reports of the own zone are aggregated."""
        return self._is_large(self._own_zone)

    @property
    def small_zones(self) -> tuple[ids.AvailabilityZoneId, ...]:
        """Zones of other daemons that report directly."""
        return tuple(z for z in self._peers.zones if not self._is_large(z))

    @property
    def report_delay(self) -> units.Seconds:
        """Typical time until daemons know of a change elsewhere."""
        return (
            _AGGREGATED_REPORT_DELAY
            if self.own_zone_is_large
            else _DIRECT_REPORT_DELAY
        )

    @property
    def member_count(self) -> int:
        """Number of known daemons of the own zone, this one included."""
        return len(self._peers.zone_members(self._own_zone)) + 1

    @property
    def standbys(self) -> tuple[addresses.Address, ...]:
        """The highest-ranked other daemons of the own zone."""
        return tuple(
            address
            for address in self._ranked(self._own_zone)[: _STANDBYS + 1]
            if address != self._own_address
        )

    @property
    def own_rank(self) -> int:
        """Rank of this daemon in its zone; 0 is the highest."""
        return self._peers.rank_before(
            self._own_zone, self._own_address, self._own_bandwidth_mbps
        )

    @property
    def is_standby(self) -> bool:
        """Whether this daemon is or may become the acting aggregator."""
        return self.own_zone_is_large and self.own_rank <= _STANDBYS

    def on_bundle(
        self,
        sender: addresses.Address,
        zone: ids.AvailabilityZoneId,
        member_count: int,
        now: units.Instant,
    ) -> None:
        """Records a bundle of another aggregator.

        Args:
            sender: The aggregator.
            zone: Its zone.
            member_count: Daemons of its zone that it knows.
            now: Current time.
        """
        self._bundles_heard.setdefault(zone, {})[sender] = now
        if (
            zone == self._own_zone
            and member_count >= self.member_count * _MIN_KNOWN_SHARE
        ):
            self._complete_bundles[sender] = now

    def is_acting(self, now: units.Instant) -> bool:
        """Returns whether this daemon distributes the reports of its zone."""
        if self._started_at is None:
            self._started_at = now
        if not self.is_standby:
            return False
        rank = self.own_rank
        ranked = self._ranked(self._own_zone)
        silence = units.Seconds(_TAKEOVER_SILENCE * rank)
        return all(
            now - self._complete_bundles.get(higher, self._started_at) > silence
            for higher in ranked[:rank]
        )

    def report_targets(
        self, now: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the daemons that get a report of this daemon directly.

        An acting aggregator distributes its own report in bundles.
        """
        targets = list(self._peers.unconfirmed_addresses(now))
        if not self._is_large(self._own_zone):
            for zone in self._peers.zones:
                targets += self._entry_points(zone, now)
        elif not self.is_acting(now):
            targets += self._entry_points(self._own_zone, now)
        return tuple(dict.fromkeys(targets))

    def bundle_targets(self, now: units.Instant) -> BundleTargets:
        """Returns the recipients of bundles of this daemon."""
        other_zones: list[addresses.Address] = []
        for zone in self._peers.zones:
            if zone != self._own_zone:
                other_zones += self._entry_points(zone, now)
        return BundleTargets(
            self._peers.zone_members(self._own_zone), tuple(other_zones)
        )

    def introductions(
        self, zone: ids.AvailabilityZoneId
    ) -> tuple[addresses.Address, ...]:
        """Returns the addresses that a new daemon of a zone has to know.

        In a large zone these are the aggregator and its standbys, and those
        that reach the other zones; their bundles name all others.
        """
        if not self._is_large(zone):
            known = (*self._ranked(zone), *self._peers.next_addresses())
        else:
            others = (self._own_zone, *self._peers.zones)
            entry_points = [
                self._ranked(other)[:_REPORT_RECIPIENTS]
                for other in others
                if other != zone
            ]
            # The first of each zone come before the second of any.
            in_turn = itertools.chain.from_iterable(
                itertools.zip_longest(*entry_points)
            )
            known = (
                *self._ranked(zone)[: _STANDBYS + 1],
                *(address for address in in_turn if address is not None),
            )
        return tuple(dict.fromkeys(known))[
            : peer_table.MAX_ADDRESSES_PER_REPORT
        ]

    def is_misdirected(self, zone: ids.AvailabilityZoneId) -> bool:
        """Returns whether reports of a zone should go to other daemons.

        A daemon that has just started knows only its seeds.
        """
        return self._is_large(zone) and (
            zone != self._own_zone
            or self._own_address not in self.aggregators(zone)
        )

    def aggregators(
        self, zone: ids.AvailabilityZoneId
    ) -> tuple[addresses.Address, ...]:
        """Returns the daemons that get reports for a zone; all if few."""
        ranked = self._ranked(zone)
        if not self._is_large(zone):
            return ranked
        return ranked[:_REPORT_RECIPIENTS]

    def _entry_points(
        self, zone: ids.AvailabilityZoneId, now: units.Instant
    ) -> list[addresses.Address]:
        """Returns the daemons through which reports reach a zone."""
        if not self._is_large(zone):
            return list(self._peers.zone_members(zone))
        heard = self._bundles_heard.get(zone, {})
        acting = [
            address
            for address, at in heard.items()
            if now - at <= _ACTING_PERIOD
        ]
        if zone != self._own_zone and acting:
            return acting
        recipients = [*self.aggregators(zone), *acting]
        return [a for a in recipients if a != self._own_address]

    def _is_large(self, zone: ids.AvailabilityZoneId) -> bool:
        own = 1 if zone == self._own_zone else 0
        members = len(self._peers.zone_members(zone)) + own
        return members > MAX_DIRECT_PER_ZONE

    def _ranked(
        self, zone: ids.AvailabilityZoneId
    ) -> tuple[addresses.Address, ...]:
        members = self._peers.zone_members(zone)
        if zone != self._own_zone:
            return members
        rank = self.own_rank
        return (*members[:rank], self._own_address, *members[rank:])
