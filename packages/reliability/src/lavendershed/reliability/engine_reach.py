"""Whether this daemon reaches the backend servers at all."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import enum
import itertools
import math
import random

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units

# Distinct servers that have to be out of reach; fewer may have ended together.
MIN_UNREACHABLE = 5
# Distinct servers that have to be in reach again.
_MIN_REACHED = 2
_PROBES = 4
# Servers that end one after the other would cause probes all the time.
_PROBE_PAUSE = units.Seconds(0.5)
# A probe takes at most 0.2 s.
_REPEAT_DELAY = units.Seconds(0.25)
# A link that returns carries new connections of callers at once, so that the
# delay stays short.
_MAX_DELAY = units.Seconds(1.0)
_DELAY_GROWTH = 1.5
_JITTER = 0.25
_NEVER = units.Instant(math.inf)


class ReachState(enum.Enum):
    """What a daemon believes of its own links to the servers."""

    REACHABLE = "reachable"
    SUSPECTED = "suspected"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A server that can be probed.

    Attributes:
        address: Its address.
        zone: Availability zone of its VM.
        service: Service that it belongs to.
    """

    address: addresses.Address
    zone: ids.AvailabilityZoneId
    service: ids.ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class ReachChange:
    """A change of the state, with its grounds.

    Attributes:
        state: The new state.
        servers: Distinct servers that did not accept, or accepted, connections.
        seconds: Time since the first failure, or since the loss of reach.
    """

    state: ReachState
    servers: int
    seconds: units.Seconds


class EngineReach:
    """Tells a cut of this daemon's links from failures of single servers.

    Each server that accepts no connection raises a suspicion, and servers of
    all zones and services are probed. One that accepts a connection ends the
    suspicion. Answers on established connections say nothing, since these may
    live on while new ones fail.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._state = ReachState.REACHABLE
        self._since = units.Instant(-math.inf)
        self._servers: set[addresses.Address] = set()
        self._next_probe_at = _NEVER
        self._delay = _REPEAT_DELAY
        self._quiet_until = units.Instant(-math.inf)

    @property
    def state(self) -> ReachState:
        """The current state."""
        return self._state

    @property
    def next_probe_at(self) -> units.Instant:
        """When servers have to be probed; infinite if they need not be."""
        return self._next_probe_at

    def on_connect_failed(
        self,
        address: addresses.Address,
        known_servers: int,
        now: units.Instant,
    ) -> ReachChange | None:
        """Records a server that accepts no connection.

        Args:
            address: Address of the server.
            known_servers: Number of servers that are known.
            now: Current time.
        """
        if self._state is ReachState.LOST:
            # Only servers that accept connections in a row show a sound link.
            self._servers.clear()
            return None
        if self._state is ReachState.REACHABLE:
            if now < self._quiet_until:
                return None
            self._enter(ReachState.SUSPECTED, now)
            self._next_probe_at = now
        self._servers.add(address)
        if len(self._servers) < min(MIN_UNREACHABLE, max(2, known_servers)):
            return None
        change = self._change(ReachState.LOST, now)
        self._delay = _REPEAT_DELAY
        self._schedule(now)
        return change

    def on_connected(
        self, address: addresses.Address, now: units.Instant
    ) -> ReachChange | None:
        """Records a server that accepts connections."""
        if self._state is ReachState.REACHABLE:
            return None
        if self._state is ReachState.SUSPECTED:
            self._enter(ReachState.REACHABLE, now)
            self._quiet_until = units.after(now, _PROBE_PAUSE)
            return None
        self._servers.add(address)
        if len(self._servers) < _MIN_REACHED:
            self._next_probe_at = now
            return None
        return self._change(ReachState.REACHABLE, now)

    def select_targets(
        self, servers: Iterable[Target], now: units.Instant
    ) -> tuple[Target, ...]:
        """Returns the servers to probe now, of as many zones as possible."""
        groups: dict[tuple[str, str], list[Target]] = {}
        for target in servers:
            if target.address not in self._servers:
                key = (target.zone, target.service)
                groups.setdefault(key, []).append(target)
        for group in groups.values():
            self._random.shuffle(group)
        order = list(groups.values())
        self._random.shuffle(order)
        mixed = itertools.chain.from_iterable(itertools.zip_longest(*order))
        selected = tuple(
            itertools.islice((t for t in mixed if t is not None), _PROBES)
        )
        self._schedule(now)
        return selected

    def _schedule(self, now: units.Instant) -> None:
        delay = _REPEAT_DELAY
        if self._state is ReachState.LOST:
            delay = self._delay
            self._delay = units.Seconds(
                min(self._delay * _DELAY_GROWTH, _MAX_DELAY)
            )
        spread = self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)
        self._next_probe_at = units.after(now, units.Seconds(delay * spread))

    def _change(self, state: ReachState, now: units.Instant) -> ReachChange:
        change = ReachChange(
            state, len(self._servers), units.elapsed(self._since, now)
        )
        self._enter(state, now)
        return change

    def _enter(self, state: ReachState, now: units.Instant) -> None:
        self._state = state
        self._since = now
        self._servers = set()
        self._next_probe_at = _NEVER
