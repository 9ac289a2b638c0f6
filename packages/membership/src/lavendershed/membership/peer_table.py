"""Discovery of other daemons through seed addresses and load reports."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import zlib

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units

# Daemons report at least once a second. Three missing reports may be lost
# datagrams; more mean that the daemon is down.
PEER_TIMEOUT = units.Seconds(5.0)
# Time for which an address that only other daemons advertised gets reports.
_CANDIDATE_TIMEOUT = units.Seconds(3.0)
# For this long after a daemon was discovered, every report carries addresses,
# so that all daemons know each other after a few reports.
_DISCOVERY_PERIOD = units.Seconds(5.0)
# Otherwise one in this many reports carries addresses.
_ADDRESS_REPORT_INTERVAL = 8
# A report has to fit into a datagram; larger fleets are advertised in rotation.
MAX_ADDRESSES_PER_REPORT = 24
# Other availability zones with more daemons than this get reports through one
# relay, since cross-zone traffic is billed. In smaller zones a failed relay
# would lose too large a share of the reports.
_MAX_DIRECT_PER_ZONE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTargets:
    """Recipients of a report.

    Attributes:
        direct: Daemons to which the sender sends it.
        relays: One daemon of each other large availability zone, which
            forwards it within its zone.
    """

    direct: tuple[addresses.Address, ...]
    relays: tuple[addresses.Address, ...]


class PeerTable:
    """Addresses of the other daemons and the time of their last report."""

    def __init__(
        self, own_address: addresses.Address, zone: ids.AvailabilityZoneId
    ) -> None:
        self._own_address = own_address
        self._own_zone = zone
        self._seeds: tuple[addresses.Address, ...] = ()
        self._last_report_at: dict[addresses.Address, units.Instant] = {}
        self._latest_reports: dict[
            addresses.Address, tuple[ids.Incarnation, int]
        ] = {}
        self._candidates: dict[addresses.Address, units.Instant] = {}
        self._zone_by_peer: dict[addresses.Address, ids.AvailabilityZoneId] = {}
        # Rotates the relays; each daemon starts at another one.
        self._relay_rotation = zlib.crc32(str(own_address).encode())
        self._last_discovery_at: units.Instant | None = None
        # Index in `live_peers` of the next address to advertise.
        self._next_address_index = 0

    @property
    def seeds(self) -> tuple[addresses.Address, ...]:
        """Configured addresses except that of this daemon."""
        return self._seeds

    @property
    def live_peers(self) -> tuple[addresses.Address, ...]:
        """Daemons that reported within `PEER_TIMEOUT`."""
        return tuple(self._last_report_at)

    @property
    def fleet_size(self) -> int:
        """Number of live daemons known to this one, itself included."""
        return len(self._last_report_at) + 1

    def set_seeds(self, seeds: Iterable[addresses.Address]) -> None:
        """Replaces the configured addresses."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own_address)

    @property
    def same_zone_peers(self) -> tuple[addresses.Address, ...]:
        """Live daemons of this daemon's availability zone."""
        return tuple(
            a
            for a in self._last_report_at
            if self._zone_by_peer[a] == self._own_zone
        )

    def report_targets(self, now: units.Instant) -> ReportTargets:
        """Returns the recipients: live peers, candidates and seeds."""
        self._expire(now)
        self._relay_rotation += 1
        peers_by_zone: dict[
            ids.AvailabilityZoneId, list[addresses.Address]
        ] = {}
        for address in self._last_report_at:
            peers_by_zone.setdefault(self._zone_by_peer[address], []).append(
                address
            )
        relayed_zones = {
            zone: members
            for zone, members in peers_by_zone.items()
            if zone != self._own_zone and len(members) > _MAX_DIRECT_PER_ZONE
        }
        known = (*self._last_report_at, *self._candidates, *self._seeds)
        return ReportTargets(
            tuple(
                address
                for address in dict.fromkeys(known)
                if self._zone_by_peer.get(address) not in relayed_zones
            ),
            tuple(
                members[self._relay_rotation % len(members)]
                for members in relayed_zones.values()
            ),
        )

    def addresses_for_report(
        self, sequence: int, now: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the addresses to advertise in a report, in rotation."""
        discovering = (
            self._last_discovery_at is not None
            and now - self._last_discovery_at < _DISCOVERY_PERIOD
        )
        if not self._last_report_at or not (
            discovering or sequence % _ADDRESS_REPORT_INTERVAL == 1
        ):
            return ()
        known = tuple(self._last_report_at)
        start = self._next_address_index % len(known)
        self._next_address_index = start + MAX_ADDRESSES_PER_REPORT
        return (*known[start:], *known[:start])[:MAX_ADDRESSES_PER_REPORT]

    def on_report(
        self,
        address: addresses.Address,
        incarnation: ids.Incarnation,
        sequence: int,
        advertised: Iterable[addresses.Address],
        zone: ids.AvailabilityZoneId,
        now: units.Instant,
    ) -> bool:
        """Processes a report; returns False for a duplicate or stale one."""
        known_incarnation, last_sequence = self._latest_reports.get(
            address, (incarnation, -1)
        )
        if known_incarnation == incarnation and sequence <= last_sequence:
            return False
        self._latest_reports[address] = (incarnation, sequence)
        if address not in self._last_report_at:
            self._last_discovery_at = now
        self._last_report_at[address] = now
        self._zone_by_peer[address] = zone
        self._candidates.pop(address, None)
        expires_at = units.after(now, _CANDIDATE_TIMEOUT)
        for other in advertised:
            if other != self._own_address and other not in self._last_report_at:
                self._candidates.setdefault(other, expires_at)
        return True

    def _expire(self, now: units.Instant) -> None:
        for address in [
            a
            for a, at in self._last_report_at.items()
            if now - at > PEER_TIMEOUT
        ]:
            del self._last_report_at[address]
            del self._latest_reports[address]
            del self._zone_by_peer[address]
        for address in [
            a for a, until in self._candidates.items() if until < now
        ]:
            del self._candidates[address]
