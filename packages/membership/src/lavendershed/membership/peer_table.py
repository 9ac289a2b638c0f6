"""Other daemons, found through seeds and through each other."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import zlib

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units

# Daemons report at least each second; three missed reports can be lost
# datagrams, more can't.
PEER_TIMEOUT = units.Seconds(5.0)
# An address that only others have named is tried for this long.
_CANDIDATE_TIMEOUT = units.Seconds(3.0)
# For this long after a daemon has appeared, addresses are passed on with each
# report, so that all daemons know each other after a few reports.
_DISCOVERY_PERIOD = units.Seconds(5.0)
# Otherwise this part of the reports carries addresses.
_ADDRESS_REPORT_INTERVAL = 8
# Addresses in one report, which has to fit into a datagram. Larger fleets are
# named in turn.
MAX_ADDRESSES_PER_REPORT = 24
# Other availability zones with more daemons than this get reports through one
# of them, since bytes between zones are priced. In smaller ones the loss of a
# relay would cost too large a share of the reports.
_MAX_DIRECT_PER_ZONE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTargets:
    """Where a report goes.

    Attributes:
        direct: Daemons that get it from the sender.
        relays: One daemon of each large other availability zone, which passes
            it on there.
    """

    direct: tuple[addresses.Address, ...]
    relays: tuple[addresses.Address, ...]


class PeerTable:
    """Addresses of the daemons and when each was heard last."""

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
        # Relays take turns, from another one at each daemon on.
        self._relay_rotation = zlib.crc32(str(own_address).encode())
        self._last_discovery_at: units.Instant | None = None
        # Position in `heard` from which addresses are passed on next.
        self._next_address_index = 0

    @property
    def seeds(self) -> tuple[addresses.Address, ...]:
        """Configured addresses, without the own one."""
        return self._seeds

    @property
    def live_peers(self) -> tuple[addresses.Address, ...]:
        """Daemons that have been heard lately."""
        return tuple(self._last_report_at)

    @property
    def fleet_size(self) -> int:
        """Daemons that are up as far as this one can tell, itself included."""
        return len(self._last_report_at) + 1

    def set_seeds(self, seeds: Iterable[addresses.Address]) -> None:
        """Replaces the configured addresses."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own_address)

    @property
    def same_zone_peers(self) -> tuple[addresses.Address, ...]:
        """Daemons of the own availability zone that have been heard lately."""
        return tuple(
            a
            for a in self._last_report_at
            if self._zone_by_peer[a] == self._own_zone
        )

    def report_targets(self, now: units.Instant) -> ReportTargets:
        """Returns where reports go: heard daemons, named ones and seeds."""
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
        """Returns the addresses to pass on with a report, each in its turn."""
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
        """Takes a report; returns False if a newer one came before it."""
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
