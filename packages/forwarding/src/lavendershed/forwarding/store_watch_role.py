"""Decision which daemons of an availability zone watch the store."""

from __future__ import annotations

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import store_availability
from lavendershed.membership import peer_table
from lavendershed.membership import report_topology

# Watchers of a large zone. The others learn of changes from load reports and
# fetch them from a watcher.
_WATCHERS_PER_ZONE = 2
# A watcher that is not known to be alive for this long may be down; daemons
# learn every second who is alive.
_MAX_SILENCE = units.Seconds(2.5)
# Without a working watcher, one more rank starts to watch after each interval,
# so that an outage of the store does not make all daemons call it.
_ESCALATION_INTERVAL = units.Seconds(0.4)


class StoreWatchRole:
    """Decides whether this daemon watches the store.

    All daemons of small zones do, and the highest-ranked ones of large zones.
    The others do if no watcher of their zone reaches the store.
    """

    def __init__(
        self,
        zone: ids.AvailabilityZoneId,
        peers: peer_table.PeerTable,
        topology: report_topology.ReportTopology,
        availability: store_availability.StoreAvailability,
        timer_service: timers.TimerService,
    ) -> None:
        self._zone = zone
        self._peers = peers
        self._topology = topology
        self._availability = availability
        self._timers = timer_service
        self._without_watcher_since: units.Instant | None = None
        self._required_until = units.Instant(0.0)

    def require(self, duration: units.Seconds) -> None:
        """Lets this daemon watch for some time, whatever its rank."""
        self._required_until = units.after(self._timers.now(), duration)

    @property
    def is_watching(self) -> bool:
        """Whether this daemon has to watch the store now."""
        if not self._topology.own_zone_is_large:
            return True
        rank = self._topology.own_rank
        if rank < _WATCHERS_PER_ZONE:
            return True
        now = self._timers.now()
        if now < self._required_until:
            return True
        alive_since = units.Instant(now - _MAX_SILENCE)
        if self._peers.store_watchers(self._zone, alive_since):
            self._without_watcher_since = None
            return False
        if self._without_watcher_since is None:
            self._without_watcher_since = now
        return now - self._without_watcher_since >= _ESCALATION_INTERVAL * (
            rank - _WATCHERS_PER_ZONE + 1
        )

    @property
    def is_watching_successfully(self) -> bool:
        """Whether this daemon watches the store and reaches it."""
        return self.is_watching and not self._availability.unavailable

    @property
    def needs_peers(self) -> bool:
        """Whether this daemon learns of changes only from other daemons."""
        return not self.is_watching_successfully
