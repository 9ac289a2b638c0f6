"""Shares of the limits of organisations, without a coordinator."""

from __future__ import annotations

import collections

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import units

# Part of each limit that is divided equally, so that an organisation whose
# callers move to another daemon is served there before the digests follow.
GUARANTEED_SHARE = 0.2
# Own demand counts only once it was published this long ago, and the demand
# of others counts as their highest of this time. It has to cover the way of a
# record through all members, as does the lifetime of demand records.
WINDOW = units.Seconds(6.0)

_Samples = collections.deque[
    tuple[units.Instant, dict[ids.OrganisationId, float]]
]


def _demands(
    record: cluster.DemandRecord,
) -> dict[ids.OrganisationId, float]:
    # A request weighs one token, so that calls to plain services, which have
    # no tokens, count as well.
    return {
        demand.organisation: demand.tokens_per_second
        + demand.requests_per_second
        for demand in record.demands
    }


class _History:
    """Demand of one daemon within the window."""

    def __init__(self) -> None:
        self._samples: _Samples = collections.deque()
        self._expires: units.Instant | None = None

    def add(
        self,
        record: cluster.DemandRecord,
        now: units.Instant,
        expires: units.Instant,
    ) -> None:
        self._samples.append((now, _demands(record)))
        self._expires = expires

    def is_fresh(self, now: units.Instant) -> bool:
        return self._expires is not None and now < self._expires

    def covers_window(self, now: units.Instant) -> bool:
        self._trim(now)
        return bool(self._samples) and (
            units.elapsed(self._samples[0][0], now) >= WINDOW
        )

    def lowest(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        self._trim(now)
        return min(
            (sample.get(organisation, 0.0) for _, sample in self._samples),
            default=0.0,
        )

    def highest(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        self._trim(now)
        return max(
            (sample.get(organisation, 0.0) for _, sample in self._samples),
            default=0.0,
        )

    def _trim(self, now: units.Instant) -> None:
        # The sample that was in force when the window began stays.
        while (
            len(self._samples) > 1
            and units.elapsed(self._samples[1][0], now) >= WINDOW
        ):
            self._samples.popleft()


class LimitShares:
    """Fraction of each organisation's limit that this daemon may use.

    With fresh data a daemon uses the lowest of its own recent demands over a
    sum that has the highest recent demand of every other daemon. As each
    daemon's lowest is at most what any other takes as its highest, the
    fractions of all daemons sum up to at most 1, even while demand changes.
    Otherwise the fraction is 1 / known members. Daemons with fresh data and
    those without each sum up to at most 1, and so does each half of a
    partition: the limit is never more than doubled.
    """

    def __init__(self) -> None:
        self._own = _History()
        self._peers: dict[ids.VmId, _History] = {}
        self._live: frozenset[ids.VmId] = frozenset()
        self._known = 1
        self._partition_suspected = False

    def on_members(
        self,
        others: frozenset[ids.VmId],
        known: int,
        partition_suspected: bool,
    ) -> None:
        """Takes the member list.

        Args:
            others: Live daemons without this one.
            known: Daemons that may be serving, this one included.
            partition_suspected: Whether any of them is unreachable.
        """
        self._live = others
        self._known = max(1, known)
        self._partition_suspected = partition_suspected
        for vm in tuple(self._peers):
            if vm not in others:
                del self._peers[vm]

    def on_own_demand(
        self, record: cluster.DemandRecord, now: units.Instant
    ) -> None:
        """Takes the demand that this daemon has just published."""
        self._own.add(record, now, units.after(now, WINDOW))

    def on_demand(
        self,
        origin: backend_servers.Owner,
        record: cluster.DemandRecord,
        lifetime: units.Seconds,
        now: units.Instant,
    ) -> None:
        """Takes a demand record of another daemon and the life it has left."""
        if origin.vm in self._live:
            history = self._peers.setdefault(origin.vm, _History())
            expires = units.after(now, min(lifetime, WINDOW))
            history.add(record, now, expires)

    def is_fresh(self, now: units.Instant) -> bool:
        """Returns whether shares follow demand at `now`."""
        return (
            not self._partition_suspected
            and self._own.is_fresh(now)
            and self._own.covers_window(now)
            and all(
                vm in self._peers and self._peers[vm].is_fresh(now)
                for vm in self._live
            )
        )

    def fraction(
        self, organisation: ids.OrganisationId, now: units.Instant
    ) -> float:
        """Returns the part of the organisation's limits for this daemon."""
        equal = 1.0 / self._known
        if self._known == 1 or not self.is_fresh(now):
            return equal
        own = self._own.lowest(organisation, now)
        total = own + sum(
            self._peers[vm].highest(organisation, now) for vm in self._live
        )
        if total <= 0.0:
            return equal
        guaranteed = GUARANTEED_SHARE * equal
        return guaranteed + (1.0 - GUARANTEED_SHARE) * own / total
