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
        listen: Address for callers, the balancer and metrics.
        store: Address of the object API.
        peer_listen: Address for other daemons, TCP and UDP.
        peers: Addresses of other daemons to contact first.
        peer_keys: Secrets that authenticate messages between daemons; the
            first signs, and two are accepted during a rotation.
        deployment: Messages of other deployments are dropped.
        idle_timeout: Longest wait for a byte from a backend server.
        settle_time: Time for which requests are accepted after SIGTERM, until
            the balancer has noticed the failing readiness check.
        poll_interval: Time between reads of the manifest beside the watch.
        engine_poll_interval: Time between reads of an engine's load.
        store_calls_per_second: Calls of this daemon to the object API on
            average; two seconds' worth may be made at once.
        weight_loads_per_second: Loads that the weight store takes from the
            whole deployment.
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
