"""Pauses that servers ask this daemon for when they refuse a request.

The load that it answers: servers that are full tell each daemon how long they
want nothing from it.
"""

from __future__ import annotations

from collections.abc import Iterable
import math

from lavendershed.core import ids
from lavendershed.core import units

# A server that asks for longer gets a request after this time, whose answer may
# renew the pause. Servers restart within minutes.
MAX_PAUSE = units.Seconds(300.0)
# Pause of a server that asks for one which can't be read: it needs relief.
UNREADABLE_PAUSE = units.Seconds(1.0)
_NEVER = units.Instant(-math.inf)


def bounded(pause: float) -> units.Seconds:
    """Returns a pause within the bounds that daemons apply."""
    return units.Seconds(min(max(pause, 0.0), MAX_PAUSE))


class ServerPauses:
    """The end of the pause of each incarnation of a server.

    A pause concerns this daemon and the server alone. It counts from the
    arrival of the answer. Answers overtake each other on different
    connections, so that a later one never shortens a pause.
    """

    def __init__(self) -> None:
        self._ends: dict[ids.ServerNumber, units.Instant] = {}

    def on_asked(
        self, server: ids.ServerNumber, pause: units.Seconds, now: units.Instant
    ) -> None:
        """Records an answer that arrived now and asks for a pause."""
        self._ends = {s: end for s, end in self._ends.items() if end > now}
        end = units.after(now, pause)
        if end > now:
            self._ends[server] = max(end, self._ends.get(server, end))

    def ends_at(self, server: ids.ServerNumber) -> units.Instant:
        """Returns when requests may be sent; a past time if they may now."""
        return self._ends.get(server, _NEVER)

    def count(self, now: units.Instant) -> int:
        """Returns the number of servers that pause."""
        return sum(end > now for end in self._ends.values())

    def wait_time(
        self, servers: Iterable[ids.ServerNumber], now: units.Instant
    ) -> units.Seconds:
        """Returns the time until the first of some servers takes requests.

        It is 0 if one of them takes requests now, or if there are none.
        """
        earliest = min(map(self.ends_at, servers), default=now)
        return units.Seconds(max(0.0, earliest - now))
