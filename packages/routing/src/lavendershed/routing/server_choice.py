"""Load balancing over the servers of a plain service."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import random

from lavendershed.core import ids
from lavendershed.membership import server_directory


class LeastOutstanding:
    """Selects the server with the fewest outstanding requests of this daemon.

    Servers of the daemon's availability zone win ties, because traffic between
    zones costs more than traffic within a zone.
    """

    def __init__(
        self, zone: ids.AvailabilityZoneId, generator: random.Random
    ) -> None:
        self._zone = zone
        self._random = generator
        self._outstanding: collections.Counter[ids.BackendServerId] = (
            collections.Counter()
        )

    def choose(
        self,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
    ) -> server_directory.ServerEntry | None:
        """Returns a server, or None if there is no candidate.

        Args:
            candidates: Servers that accept new requests.
            avoided: Servers to use only if there are no others.
        """
        usable = [c for c in candidates if c.id not in avoided] or candidates
        if not usable:
            return None
        return min(
            usable,
            key=lambda c: (
                self._outstanding[c.id],
                c.availability_zone != self._zone,
                self._random.random(),
            ),
        )

    def started(self, server: ids.BackendServerId) -> None:
        """Counts a request that is sent to a server."""
        self._outstanding[server] += 1

    def ended(self, server: ids.BackendServerId) -> None:
        """Counts the end of a request."""
        self._outstanding[server] -= 1
        if not self._outstanding[server]:
            del self._outstanding[server]
