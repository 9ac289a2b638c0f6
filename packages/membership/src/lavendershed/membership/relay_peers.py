"""Choice of the daemon that runs the requests of one that is cut off."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units

# A peer that does not answer is left out for this time.
_EXCLUSION = units.Seconds(1.0)
# Other zones are used as well if fewer than this share of the own zone's peers
# can help, so that these don't carry the traffic of the whole zone.
_MIN_ZONE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPeer:
    """A daemon that reaches the servers.

    Attributes:
        address: Its address.
        zone: Availability zone of its VM.
        incarnation: Its incarnation.
    """

    address: addresses.Address
    zone: ids.AvailabilityZoneId
    incarnation: ids.Incarnation


# Returns the requests that a daemon has at servers, as it has reported.
OpenRequests = Callable[[ids.Incarnation], int]


class RelayPeers:
    """Spreads requests over the daemons that reach the servers.

    Of two peers drawn at random the one with less work gets the request
    (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001), so that daemons that know the same loads don't all choose the same.
    """

    def __init__(
        self, zone: ids.AvailabilityZoneId, generator: random.Random
    ) -> None:
        self._zone = zone
        self._random = generator
        self._outstanding: dict[addresses.Address, int] = {}
        self._excluded_until: dict[addresses.Address, units.Instant] = {}

    @property
    def outstanding(self) -> int:
        """Requests that peers are running for this daemon."""
        return sum(self._outstanding.values())

    def choose(
        self,
        peers: Sequence[RelayPeer],
        zone_size: int,
        open_requests: OpenRequests,
        now: units.Instant,
        *,
        excluded: frozenset[addresses.Address] = frozenset(),
    ) -> addresses.Address | None:
        """Returns the peer for one request, or None if none can help.

        Args:
            peers: Daemons that reach the servers.
            zone_size: Number of live peers in the own zone.
            open_requests: Returns the requests that a peer has at servers.
            now: Current time.
            excluded: Peers that have failed the request.
        """
        self._excluded_until = {
            address: until
            for address, until in self._excluded_until.items()
            if until > now
        }
        unusable = excluded.union(self._excluded_until)
        usable = [
            peer
            for peer in peers
            if not unusable or peer.address not in unusable
        ]
        near = [peer for peer in usable if peer.zone == self._zone]
        if near and len(near) >= zone_size * _MIN_ZONE_SHARE:
            usable = near
        if not usable:
            return None
        drawn = self._random.sample(usable, min(2, len(usable)))
        return min(
            drawn,
            key=lambda peer: (
                open_requests(peer.incarnation)
                + self._outstanding.get(peer.address, 0)
            ),
        ).address

    def started(self, address: addresses.Address) -> None:
        """Records that a peer runs a request."""
        self._outstanding[address] = self._outstanding.get(address, 0) + 1

    def ended(self, address: addresses.Address) -> None:
        """Records that a peer runs a request no more."""
        remaining = self._outstanding[address] - 1
        if remaining:
            self._outstanding[address] = remaining
        else:
            del self._outstanding[address]

    def on_failure(
        self, address: addresses.Address, now: units.Instant
    ) -> None:
        """Leaves a peer out for some time."""
        self._excluded_until[address] = units.after(now, _EXCLUSION)
