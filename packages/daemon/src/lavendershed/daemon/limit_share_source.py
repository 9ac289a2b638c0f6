"""Shares of rate limits, derived from the demand at all daemons."""

from __future__ import annotations

import asyncio
import math

from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import peer_network
from lavendershed.membership import limit_shares
from lavendershed.membership import records
from lavendershed.routing import limits

# Demand records expire after 6 s, so two may be lost before data is stale.
_PUBLISH_INTERVAL = units.Seconds(1.5)
_DEMAND_TIME_CONSTANT = units.Seconds(5.0)
# Of up to 16,000 organisations, only those with the largest demand are
# published.
_MAX_DEMANDS = 16
_NEGLIGIBLE_DEMAND_PER_S = 0.01


class DemandMeter:
    """Exponentially weighted request and token rates per organisation."""

    def __init__(self, now: units.Instant) -> None:
        self._updated_at = now
        self._rates: dict[ids.OrganisationId, tuple[float, float]] = {}

    def on_arrival(
        self,
        organisation: ids.OrganisationId,
        tokens: int,
        now: units.Instant,
    ) -> None:
        """Counts a request before admission."""
        self._decay(now)
        requests_per_second, tokens_per_second = self._rates.get(
            organisation, (0.0, 0.0)
        )
        self._rates[organisation] = (
            requests_per_second + 1.0 / _DEMAND_TIME_CONSTANT,
            tokens_per_second + tokens / _DEMAND_TIME_CONSTANT,
        )

    def demand_record(self, now: units.Instant) -> cluster.DemandRecord:
        """Returns the largest demands, in descending order."""
        self._decay(now)
        largest = sorted(
            self._rates.items(), key=lambda item: -(item[1][0] + item[1][1])
        )
        return cluster.DemandRecord(
            tuple(
                cluster.OrganisationDemand(organisation, *rates)
                for organisation, rates in largest[:_MAX_DEMANDS]
            )
        )

    def _decay(self, now: units.Instant) -> None:
        elapsed = units.elapsed(self._updated_at, now)
        if elapsed <= 0:
            return
        self._updated_at = now
        decay_factor = math.exp(-elapsed / _DEMAND_TIME_CONSTANT)
        self._rates = {
            organisation: (
                requests_per_second * decay_factor,
                tokens_per_second * decay_factor,
            )
            for organisation, (
                requests_per_second,
                tokens_per_second,
            ) in self._rates.items()
            if (requests_per_second + tokens_per_second) * decay_factor
            > _NEGLIGIBLE_DEMAND_PER_S
        }


class PeerShareSource(limits.ShareSource, background.BackgroundTask):
    """Publishes this daemon's demand and computes its limit shares."""

    def __init__(
        self,
        network: peer_network.PeerNetwork,
        owner_vm: ids.VmId,
        timer_service: timers.TimerService,
    ) -> None:
        self._network = network
        self._vm = owner_vm
        self._timers = timer_service
        self._shares = limit_shares.LimitShares()
        self._meter = DemandMeter(timer_service.now())
        network.subscribe_versioned(self._on_record)

    def fraction(self, organisation: ids.OrganisationId) -> float:
        """Returns this daemon's share of the limits, from 0 to 1."""
        self._update_members()
        return self._shares.fraction(organisation, self._timers.now())

    def on_arrival(self, organisation: ids.OrganisationId, tokens: int) -> None:
        """Counts a request before admission."""
        self._meter.on_arrival(organisation, tokens, self._timers.now())

    async def run(self) -> None:
        """Publishes the demand periodically until cancelled."""
        publish_timer = self._timers.schedule_every(
            _PUBLISH_INTERVAL, self._publish
        )
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            publish_timer.cancel()

    def status(self) -> dict[str, object]:
        """Returns whether shares follow the demand or are equal."""
        self._update_members()
        is_fresh_demand = self._shares.is_fresh(self._timers.now())
        return {"limit_shares": "demand" if is_fresh_demand else "equal"}

    def _publish(self) -> None:
        now = self._timers.now()
        record = self._meter.demand_record(now)
        self._shares.on_local_demand(record, now)
        self._network.publish(record)

    def _on_record(self, record: records.VersionedRecord) -> None:
        if isinstance(record.content, cluster.DemandRecord):
            self._update_members()
            self._shares.on_peer_demand(
                record.origin,
                record.content,
                record.lifetime,
                self._timers.now(),
            )

    def _update_members(self) -> None:
        self._shares.on_members(
            frozenset(self._network.live) - {self._vm},
            self._network.known_count,
            self._network.partition_suspected,
        )
