"""Per-daemon shares of organisation limits, without a coordinator."""

from __future__ import annotations

import collections

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import units

# Fraction of each limit that is divided equally, so that an organisation whose
# callers move to another daemon is served there before demand records arrive.
GUARANTEED_SHARE = 0.2
# Local demand counts only once it was published this long ago, and the demand
# of each peer counts as its maximum in this window. It must cover the time in
# which a record reaches all members, as must the lifetime of demand records.
DEMAND_WINDOW = units.Seconds(6.0)

_Samples = collections.deque[
    tuple[units.Instant, dict[ids.OrganisationId, float]]
]


def _demand_by_organisation(
    record: cluster.DemandRecord,
) -> dict[ids.OrganisationId, float]:
    # A request counts as one token, so that calls to plain services, which
    # have no tokens, count as well.
    return {
        demand.organisation: demand.tokens_per_second
        + demand.requests_per_second
        for demand in record.demands
    }


class _DemandHistory:
    """Demand records of one daemon within the window."""

    def __init__(self) -> None:
        self._samples: _Samples = collections.deque()
        self._expires_at: units.Instant | None = None

    def add(
        self,
        record: cluster.DemandRecord,
        now: units.Instant,
        expires_at: units.Instant,
    ) -> None:
        self._samples.append((now, _demand_by_organisation(record)))
        self._expires_at = expires_at

    def is_fresh(self, now: units.Instant) -> bool:
        return self._expires_at is not None and now < self._expires_at

    def covers_window(self, now: units.Instant) -> bool:
        self._trim(now)
        return bool(self._samples) and (
            units.elapsed(self._samples[0][0], now) >= DEMAND_WINDOW
        )

    def min_demand(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        self._trim(now)
        return min(
            (sample.get(organisation, 0.0) for _, sample in self._samples),
            default=0.0,
        )

    def max_demand(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        self._trim(now)
        return max(
            (sample.get(organisation, 0.0) for _, sample in self._samples),
            default=0.0,
        )

    def _trim(self, now: units.Instant) -> None:
        # Keep the sample that was current when the window began.
        while (
            len(self._samples) > 1
            and units.elapsed(self._samples[1][0], now) >= DEMAND_WINDOW
        ):
            self._samples.popleft()


class LimitShares:
    """Fraction of each organisation's limit that this daemon may use.

    With fresh data, a daemon divides the minimum of its own recent demand by
    the sum of that minimum and the maximum recent demand of every other
    daemon. As the minimum of a daemon never exceeds the maximum that others
    see of it, the fractions of all daemons sum up to at most 1, even while
    demand changes. Without fresh data, the fraction is 1 divided by the number
    of daemons that may be serving. The fractions of daemons with fresh data
    and of those without each sum up to at most 1, and so do those of each side
    of a partition: the limit is never more than doubled.
    """

    def __init__(self) -> None:
        self._local_history = _DemandHistory()
        self._peer_histories: dict[ids.VmId, _DemandHistory] = {}
        self._live_peers: frozenset[ids.VmId] = frozenset()
        self._possible_member_count = 1
        self._partition_suspected = False

    def on_members(
        self,
        live_peers: frozenset[ids.VmId],
        possible_member_count: int,
        partition_suspected: bool,
    ) -> None:
        """Updates the member list.

        Args:
            live_peers: Live daemons except this one.
            possible_member_count: Number of daemons that may be serving, this
                one included.
            partition_suspected: Whether any of them is unreachable.
        """
        self._live_peers = live_peers
        self._possible_member_count = max(1, possible_member_count)
        self._partition_suspected = partition_suspected
        for vm in tuple(self._peer_histories):
            if vm not in live_peers:
                del self._peer_histories[vm]

    def on_local_demand(
        self, record: cluster.DemandRecord, now: units.Instant
    ) -> None:
        """Adds the demand that this daemon has just published."""
        self._local_history.add(record, now, units.after(now, DEMAND_WINDOW))

    def on_peer_demand(
        self,
        origin: backend_servers.Owner,
        record: cluster.DemandRecord,
        lifetime: units.Seconds,
        now: units.Instant,
    ) -> None:
        """Adds a demand record of another daemon and its remaining lifetime."""
        if origin.vm in self._live_peers:
            history = self._peer_histories.setdefault(
                origin.vm, _DemandHistory()
            )
            expires_at = units.after(now, min(lifetime, DEMAND_WINDOW))
            history.add(record, now, expires_at)

    def is_fresh(self, now: units.Instant) -> bool:
        """Returns whether the demand data at `now` suffices to set shares."""
        return (
            not self._partition_suspected
            and self._local_history.is_fresh(now)
            and self._local_history.covers_window(now)
            and all(
                vm in self._peer_histories
                and self._peer_histories[vm].is_fresh(now)
                for vm in self._live_peers
            )
        )

    def fraction(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        """Returns this daemon's fraction of the organisation's limits."""
        equal_share = 1.0 / self._possible_member_count
        if self._possible_member_count == 1 or not self.is_fresh(now):
            return equal_share
        own_demand = self._local_history.min_demand(organisation, now)
        total_demand = own_demand + sum(
            self._peer_histories[vm].max_demand(organisation, now)
            for vm in self._live_peers
        )
        if total_demand <= 0.0:
            return equal_share
        guaranteed_share = GUARANTEED_SHARE * equal_share
        return (
            guaranteed_share
            + (1.0 - GUARANTEED_SHARE) * own_demand / total_demand
        )
