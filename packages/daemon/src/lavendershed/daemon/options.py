"""Options of the router."""

from __future__ import annotations

import dataclasses

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.transport import address


@dataclasses.dataclass(frozen=True, slots=True)
class RouterOptions:
    """Validated settings of one router process.

    Attributes:
        listen: Address for callers, the load balancer and metrics.
        store: Address of the object API.
        peer_listen: Address for other daemons, over TCP and UDP.
        peers: Seed addresses of other daemons.
        peer_keys: Secret keys that authenticate messages between daemons; the
            first one signs, and two are accepted during a key rotation.
        deployment: Name of the deployment; messages of others are dropped.
        idle_timeout: Maximum wait for data from a backend server.
        settle_time: Time after SIGTERM in which requests are still accepted,
            until the load balancer has noticed the failing readiness check.
        poll_interval: Interval between polls of the manifest, which back up
            the watch.
        engine_poll_interval: Interval between load report polls of an engine.
        store_calls_per_second: Average rate of this daemon's calls to the
            object API; a burst may use two seconds' worth of calls.
        weight_loads_per_second: Rate of model loads that the weight store
            allows for the whole deployment.
    """

    vm: ids.VmId
    availability_zone: ids.AvailabilityZoneId
    listen: address.Address
    store: address.Address
    peer_listen: address.Address | None = None
    peers: tuple[address.Address, ...] = ()
    peer_keys: tuple[bytes, ...] = ()
    deployment: str = "default"
    idle_timeout: units.Seconds = units.Seconds(2.0)
    settle_time: units.Seconds = units.Seconds(5.0)
    poll_interval: units.Seconds = units.Seconds(2.0)
    engine_poll_interval: units.Seconds = units.Seconds(0.25)
    store_calls_per_second: float = 40.0
    weight_loads_per_second: float = 0.5
