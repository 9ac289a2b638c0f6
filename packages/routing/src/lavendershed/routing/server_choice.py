"""Load balancing over the servers of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import random

from lavendershed.core import ids
from lavendershed.membership import server_directory

# A server that fails all its calls counts as one with this many outstanding
# requests more. So it gets calls only if the sound ones are that busy.
_FAILURE_WEIGHT = 6.0


class LeastOutstanding:
    """Selects the server with the fewest outstanding requests of this daemon.

    The share of its calls that a server fails counts as outstanding requests.
    Servers of the daemon's availability zone win ties, because traffic between
    zones costs more than traffic within a zone.
    """

    def __init__(
        self, zone: ids.AvailabilityZoneId, generator: random.Random
    ) -> None:
        self._zone = zone
        self._random = generator

    def choose(
        self,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
        outstanding: Mapping[ids.BackendServerId, int],
        failure_shares: Mapping[ids.BackendServerId, float],
    ) -> server_directory.ServerEntry | None:
        """Returns a server, or None if there is no candidate.

        Args:
            candidates: Servers that accept new requests.
            avoided: Servers to use only if there are no others.
            outstanding: Requests of this daemon in progress by server.
            failure_shares: Share of its requests that each server fails.
        """
        usable = [c for c in candidates if c.id not in avoided] or candidates
        if not usable:
            return None
        return min(
            usable,
            key=lambda c: (
                outstanding.get(c.id, 0)
                + _FAILURE_WEIGHT * failure_shares.get(c.id, 0.0),
                c.availability_zone != self._zone,
                self._random.random(),
            ),
        )
