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
SILENCE = units.Seconds(5.0)
# An address that only others have named is tried for this long.
_TRIAL = units.Seconds(3.0)
# For this long after a daemon has appeared, addresses are passed on with each
# report, so that all daemons know each other after a few reports.
_SPREADING = units.Seconds(5.0)
# Otherwise this part of the reports carries addresses.
_NAMING_REPORTS = 8
# Addresses in one report, which has to fit into a datagram. Larger fleets are
# named in turn.
MAX_NAMED = 24
# Other availability zones with more daemons than this get reports through one
# of them, since bytes between zones are priced. In smaller ones the loss of a
# relay would cost too large a share of the reports.
_MOST_DIRECT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
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
        self, own: addresses.Address, zone: ids.AvailabilityZoneId
    ) -> None:
        self._own = own
        self._zone = zone
        self._seeds: tuple[addresses.Address, ...] = ()
        self._heard: dict[addresses.Address, units.Instant] = {}
        self._incarnations: dict[
            addresses.Address, tuple[ids.Incarnation, int]
        ] = {}
        self._named: dict[addresses.Address, units.Instant] = {}
        self._zones: dict[addresses.Address, ids.AvailabilityZoneId] = {}
        # Relays take turns, from another one at each daemon on.
        self._turn = zlib.crc32(str(own).encode())
        self._appeared_at: units.Instant | None = None
        # Position in `heard` from which addresses are passed on next.
        self._next_named = 0

    @property
    def seeds(self) -> tuple[addresses.Address, ...]:
        """Configured addresses, without the own one."""
        return self._seeds

    @property
    def heard(self) -> tuple[addresses.Address, ...]:
        """Daemons that have been heard lately."""
        return tuple(self._heard)

    @property
    def size(self) -> int:
        """Daemons that are up as far as this one can tell, itself included."""
        return len(self._heard) + 1

    def set_seeds(self, seeds: Iterable[addresses.Address]) -> None:
        """Replaces the configured addresses."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    @property
    def neighbours(self) -> tuple[addresses.Address, ...]:
        """Daemons of the own availability zone that have been heard lately."""
        return tuple(a for a in self._heard if self._zones[a] == self._zone)

    def targets(self, now: units.Instant) -> Targets:
        """Returns where reports go: heard daemons, named ones and seeds."""
        self._expire(now)
        self._turn += 1
        by_zone: dict[ids.AvailabilityZoneId, list[addresses.Address]] = {}
        for address in self._heard:
            by_zone.setdefault(self._zones[address], []).append(address)
        large = {
            zone: members
            for zone, members in by_zone.items()
            if zone != self._zone and len(members) > _MOST_DIRECT
        }
        known = (*self._heard, *self._named, *self._seeds)
        return Targets(
            tuple(
                address
                for address in dict.fromkeys(known)
                if self._zones.get(address) not in large
            ),
            tuple(
                members[self._turn % len(members)] for members in large.values()
            ),
        )

    def names_for_report(
        self, sequence: int, now: units.Instant
    ) -> tuple[addresses.Address, ...]:
        """Returns the addresses to pass on with a report, each in its turn."""
        spreading = (
            self._appeared_at is not None
            and now - self._appeared_at < _SPREADING
        )
        if not self._heard or not (
            spreading or sequence % _NAMING_REPORTS == 1
        ):
            return ()
        known = tuple(self._heard)
        start = self._next_named % len(known)
        self._next_named = start + MAX_NAMED
        return (*known[start:], *known[:start])[:MAX_NAMED]

    def on_report(
        self,
        address: addresses.Address,
        daemon: ids.Incarnation,
        sequence: int,
        named: Iterable[addresses.Address],
        zone: ids.AvailabilityZoneId,
        now: units.Instant,
    ) -> bool:
        """Takes a report; returns False if a newer one came before it."""
        known, newest = self._incarnations.get(address, (daemon, -1))
        if known == daemon and sequence <= newest:
            return False
        self._incarnations[address] = (daemon, sequence)
        if address not in self._heard:
            self._appeared_at = now
        self._heard[address] = now
        self._zones[address] = zone
        self._named.pop(address, None)
        until = units.after(now, _TRIAL)
        for other in named:
            if other != self._own and other not in self._heard:
                self._named.setdefault(other, until)
        return True

    def _expire(self, now: units.Instant) -> None:
        for address in [
            a for a, at in self._heard.items() if now - at > SILENCE
        ]:
            del self._heard[address]
            del self._incarnations[address]
            del self._zones[address]
        for address in [a for a, until in self._named.items() if until < now]:
            del self._named[address]
