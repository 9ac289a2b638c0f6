"""Limits on the calls in flight at servers that refuse some of them.

Additive increase and multiplicative decrease: D.-M. Chiu and R. Jain, "Analysis
of the increase and decrease algorithms for congestion avoidance in computer
networks", Computer Networks and ISDN Systems 17 (1989). Concurrency limits of
services are adapted in this way by their refusals.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
import random

from lavendershed.core import ids
from lavendershed.core import units

_DECREASE = 0.5
_MIN_LIMIT = 1.0
# A server that takes so many calls of one daemon is not limited by it.
_MAX_LIMIT = 32.0
# Pause after a refusal: about one call, after which a slot may be free. It
# doubles with each refusal, up to 0.8 s.
_FIRST_PAUSE = units.Seconds(0.05)
_MAX_DOUBLINGS = 4.0
# Answers shorten the pause more slowly than refusals double it, so that there
# are fewer refusals than answers under a steady overload.
_DOUBLINGS_PER_CALL = 0.25
# Daemons that were refused together do not return together.
_PAUSE_SPREAD = 0.25
# Servers that have refused nothing for so long are forgotten.
_MAX_AGE = units.Seconds(60.0)
_NEVER = units.Instant(-math.inf)


@dataclasses.dataclass(slots=True)
class _ServerState:
    in_flight: int = 0
    limit: float | None = None
    closed_until: units.Instant = _NEVER
    doublings: float = 0.0
    refused_at: units.Instant = _NEVER


class CallLimits:
    """Calls of this daemon in flight at each server, and their limits.

    It answers the load pattern of a burst above what a few servers can do: each
    daemon sends less to a server that has refused a call, and pauses first. A
    server that refuses nothing has no limit.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._states: dict[ids.BackendServerId, _ServerState] = {}

    def in_flight(self, server: ids.BackendServerId) -> int:
        """Returns the calls of this daemon in flight at a server."""
        state = self._states.get(server)
        return state.in_flight if state is not None else 0

    def limit(self, server: ids.BackendServerId) -> int | None:
        """Returns how many calls a server takes; None without a limit."""
        state = self._states.get(server)
        if state is None or state.limit is None:
            return None
        return int(state.limit)

    def accepts(self, server: ids.BackendServerId, now: units.Instant) -> bool:
        """Returns whether a call may be sent to a server now."""
        state = self._states.get(server)
        return state is None or (
            state.closed_until <= now
            and (state.limit is None or state.in_flight < int(state.limit))
        )

    def opens_in(
        self, servers: Iterable[ids.BackendServerId], now: units.Instant
    ) -> units.Seconds:
        """Returns the time until the first pause of some servers ends."""
        states = [self._states.get(server) for server in servers]
        ends = [now if s is None else s.closed_until for s in states]
        return units.Seconds(max(0.0, min(ends, default=now) - now))

    def on_sent(self, server: ids.BackendServerId) -> None:
        """Counts a call that is sent to a server."""
        self._states.setdefault(server, _ServerState()).in_flight += 1

    def on_ended(self, server: ids.BackendServerId) -> None:
        """Counts the end of a call."""
        state = self._states[server]
        state.in_flight -= 1
        if not state.in_flight and state.limit is None:
            del self._states[server]

    def on_answered(self, server: ids.BackendServerId) -> None:
        """Raises the limit of a server that took a call."""
        state = self._states.get(server)
        if state is None or state.limit is None:
            return
        state.doublings = max(0.0, state.doublings - _DOUBLINGS_PER_CALL)
        state.limit += 1 / state.limit
        if state.limit > _MAX_LIMIT:
            state.limit = None

    def on_refused(
        self,
        server: ids.BackendServerId,
        sent_at: units.Instant,
        now: units.Instant,
    ) -> None:
        """Lowers the limit of a server that refused a call, and pauses.

        Args:
            server: The server.
            sent_at: When the call was sent. Calls that were sent before an
                earlier refusal say nothing new.
            now: Current time.
        """
        self._forget_old(now)
        state = self._states.setdefault(server, _ServerState())
        if sent_at < state.refused_at:
            return
        allowed = (
            state.in_flight
            if state.limit is None
            else min(state.limit, state.in_flight)
        )
        state.limit = max(_MIN_LIMIT, allowed * _DECREASE)
        pause = _FIRST_PAUSE * 2**state.doublings
        spread = self._random.uniform(1 - _PAUSE_SPREAD, 1 + _PAUSE_SPREAD)
        state.closed_until = units.after(now, units.Seconds(pause * spread))
        state.doublings = min(_MAX_DOUBLINGS, state.doublings + 1)
        state.refused_at = now

    def _forget_old(self, now: units.Instant) -> None:
        self._states = {
            server: state
            for server, state in self._states.items()
            if state.in_flight or now - state.refused_at <= _MAX_AGE
        }
