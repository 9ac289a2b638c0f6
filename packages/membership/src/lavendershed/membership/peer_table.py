"""Discovery of other daemons through seed addresses and load reports."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import functools
import math
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
MAX_ADDRESSES_PER_REPORT = 23
# Addresses whose rank is cached; above the largest fleet.
_RANK_CACHE_SIZE = 2_048
# Seeds that don't respond get reports at this interval.
_SEED_INTERVAL = units.Seconds(0.9)


class ReportStatus(enum.Enum):
    """What a report says about its sender."""

    STALE = "stale"
    REPEATED = "repeated"
    KNOWN_SENDER = "known_sender"
    NEW_SENDER = "new_sender"


@dataclasses.dataclass(slots=True)
class _Peer:
    """The latest report of a daemon.

    Attributes:
        zone: Its availability zone.
        incarnation: Its incarnation.
        sequence: Sequence number of the report.
        alive_at: When it was last known to be alive.
        heard_at: When its last report arrived that no aggregator passed on.
        watches_store: Whether it watches the store successfully.
        bandwidth_mbps: Bandwidth of its VM.
        cut_off: Whether it is cut off from all servers.
    """

    zone: ids.AvailabilityZoneId
    incarnation: ids.Incarnation
    sequence: int
    alive_at: units.Instant
    heard_at: units.Instant
    watches_store: bool
    bandwidth_mbps: int
    cut_off: bool


class PeerTable:
    """Addresses of the other daemons and the time of their last report."""

    def __init__(self, own_address: addresses.Address) -> None:
        self._own_address = own_address
        self._configured_seeds: tuple[addresses.Address, ...] = ()
        self._seeds: tuple[addresses.Address, ...] = ()
        self._peers: dict[addresses.Address, _Peer] = {}
        # Live daemons of each zone in the order of their ranks.
        self._members_by_zone: dict[
            ids.AvailabilityZoneId, tuple[addresses.Address, ...]
        ] = {}
        self._candidates: dict[addresses.Address, units.Instant] = {}
        self._last_discovery_at: units.Instant | None = None
        self._last_seed_report_at = units.Instant(-math.inf)
        # Index in `live_peers` of the next address to advertise.
        self._next_address_index = 0

    @property
    def seeds(self) -> tuple[addresses.Address, ...]:
        """Configured addresses except that of this daemon."""
        return self._seeds

    @property
    def configured_seeds(self) -> tuple[addresses.Address, ...]:
        """Configured addresses, also that of this daemon."""
        return self._configured_seeds

    @property
    def live_peers(self) -> tuple[addresses.Address, ...]:
        """Daemons that reported within `PEER_TIMEOUT`."""
        return tuple(self._peers)

    @property
    def fleet_size(self) -> int:
        """Number of live daemons known to this one, itself included."""
        return len(self._peers) + 1

    def alive_count(self, since: units.Instant) -> int:
        """Returns how many peers are known to have been alive since."""
        return sum(peer.alive_at >= since for peer in self._peers.values())

    @property
    def zones(self) -> tuple[ids.AvailabilityZoneId, ...]:
        """Availability zones of the live peers."""
        return tuple(self._members_by_zone)

    @property
    def candidate_count(self) -> int:
        """Number of advertised addresses that have not reported."""
        return len(self._candidates)

    def set_seeds(self, seeds: Iterable[addresses.Address]) -> None:
        """Replaces the configured addresses."""
        self._configured_seeds = tuple(seeds)
        self._seeds = tuple(
            seed for seed in self._configured_seeds if seed != self._own_address
        )

    def zone_members(
        self, zone: ids.AvailabilityZoneId
    ) -> tuple[addresses.Address, ...]:
        """Returns the live peers of a zone, the highest-ranked first."""
        return self._members_by_zone.get(zone, ())

    def store_watchers(
        self, zone: ids.AvailabilityZoneId, alive_since: units.Instant
    ) -> int:
        """Returns how many peers of a zone watch the store successfully.

        Args:
            zone: The zone.
            alive_since: Peers not known to be alive since are not counted.
        """
        return sum(
            self._peers[address].watches_store
            and self._peers[address].alive_at >= alive_since
            for address in self.zone_members(zone)
        )

    def unconfirmed_addresses(
        self, now: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the addresses that get reports until a daemon responds.

        These are advertised addresses and, at intervals, silent seeds.
        """
        self.expire(now)
        silent_seeds = [s for s in self._seeds if s not in self._peers]
        if silent_seeds and now - self._last_seed_report_at >= _SEED_INTERVAL:
            self._last_seed_report_at = now
            return (*self._candidates, *silent_seeds)
        return tuple(self._candidates)

    def addresses_for_report(
        self, sequence: int, now: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the addresses to advertise in a report, in rotation."""
        discovering = (
            self._last_discovery_at is not None
            and now - self._last_discovery_at < _DISCOVERY_PERIOD
        )
        if discovering or sequence % _ADDRESS_REPORT_INTERVAL == 1:
            return self.next_addresses()
        return ()

    def next_addresses(self) -> tuple[addresses.Address, ...]:
        """Returns the next live peers in rotation."""
        known = tuple(self._peers)
        if not known:
            return ()
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
        *,
        direct: bool = True,
        watches_store: bool = False,
        bandwidth_mbps: int = 0,
        cut_off: bool = False,
    ) -> ReportStatus:
        """Processes a report and returns what it says about its sender.

        Args:
            address: Address of the sender.
            incarnation: Its incarnation.
            sequence: Sequence number of the report.
            advertised: Addresses of other daemons.
            zone: Availability zone of the sender.
            now: Current time.
            direct: Whether the report came from its sender. An aggregator also
                repeats reports of daemons that have stopped meanwhile.
            watches_store: Whether the sender watches the store successfully.
            bandwidth_mbps: Bandwidth of its VM.
            cut_off: Whether the sender is cut off from all servers.
        """
        known = self._peers.get(address)
        same_process = known is not None and known.incarnation == incarnation
        if known is not None and same_process and sequence <= known.sequence:
            if sequence < known.sequence:
                return ReportStatus.STALE
            if direct:
                known.alive_at = known.heard_at = now
            self._add_candidates(advertised, now)
            return ReportStatus.REPEATED
        self._peers[address] = _Peer(
            zone,
            incarnation,
            sequence,
            alive_at=now,
            heard_at=now if direct else units.Instant(-math.inf),
            watches_store=watches_store,
            bandwidth_mbps=bandwidth_mbps,
            cut_off=cut_off,
        )
        ranked_as = (
            None if known is None else (known.zone, known.bandwidth_mbps)
        )
        if ranked_as != (zone, bandwidth_mbps):
            if known is not None:
                self._remove_member(address, known.zone)
            members = (*self.zone_members(zone), address)
            self._members_by_zone[zone] = tuple(
                sorted(members, key=self._rank_key)
            )
        if known is None:
            self._last_discovery_at = now
        self._candidates.pop(address, None)
        self._add_candidates(advertised, now)
        return (
            ReportStatus.KNOWN_SENDER
            if same_process
            else ReportStatus.NEW_SENDER
        )

    def on_alive(
        self, address: addresses.Address, now: units.Instant
    ) -> ids.Incarnation | None:
        """Records that a daemon is alive whose report has not changed.

        Returns:
            Its incarnation, or None if the daemon is unknown.
        """
        peer = self._peers.get(address)
        if peer is None:
            return None
        peer.alive_at = now
        return peer.incarnation

    def heard_since(
        self, zone: ids.AvailabilityZoneId, instant: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the members of a zone that have reported here since."""
        return tuple(
            address
            for address in self.zone_members(zone)
            if self._peers[address].heard_at >= instant
        )

    def reaching_peers(
        self, alive_since: units.Instant
    ) -> Iterator[
        tuple[addresses.Address, ids.AvailabilityZoneId, ids.Incarnation]
    ]:
        """Yields the peers that are not cut off from the servers.

        Args:
            alive_since: Peers not known to be alive since are left out.
        """
        for address, peer in self._peers.items():
            if not peer.cut_off and peer.alive_at >= alive_since:
                yield address, peer.zone, peer.incarnation

    def expire(self, now: units.Instant) -> None:
        """Removes peers and candidates that have been silent for too long."""
        silent = [
            address
            for address, peer in self._peers.items()
            if now - peer.alive_at > PEER_TIMEOUT
        ]
        for address in silent:
            self._remove_member(address, self._peers.pop(address).zone)
        for address in [
            a for a, until in self._candidates.items() if until < now
        ]:
            del self._candidates[address]

    def _add_candidates(
        self, advertised: Iterable[addresses.Address], now: units.Instant
    ) -> None:
        expires_at = units.after(now, _CANDIDATE_TIMEOUT)
        for address in advertised:
            if address != self._own_address and address not in self._peers:
                self._candidates.setdefault(address, expires_at)

    def _rank_key(self, address: addresses.Address) -> tuple[int, int, str]:
        return rank_key(address, self._peers[address].bandwidth_mbps)

    def rank_before(
        self,
        zone: ids.AvailabilityZoneId,
        address: addresses.Address,
        bandwidth_mbps: int,
    ) -> int:
        """Returns how many live members of a zone rank before a daemon."""
        key = rank_key(address, bandwidth_mbps)
        return sum(self._rank_key(a) < key for a in self.zone_members(zone))

    def _remove_member(
        self, address: addresses.Address, zone: ids.AvailabilityZoneId
    ) -> None:
        members = tuple(a for a in self.zone_members(zone) if a != address)
        if members:
            self._members_by_zone[zone] = members
        else:
            del self._members_by_zone[zone]


def rank_key(
    address: addresses.Address, bandwidth_mbps: int
) -> tuple[int, int, str]:
    """Returns a sort key that gives all daemons the same order of ranks.

    VMs with more bandwidth come first, since aggregators send the reports of a
    zone to all its members.
    """
    return -bandwidth_mbps, *_hash_address(address)


@functools.lru_cache(_RANK_CACHE_SIZE)
def _hash_address(address: addresses.Address) -> tuple[int, str]:
    name = str(address)
    return zlib.crc32(name.encode()), name
