"""Engines that are slower than their figures say."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import units

# The smallest of some pauses in a row counts: single ones are long because
# the engine reads a prompt between two steps.
_PAUSES = 4
# Below this factor an engine is not slow: predictions miss by a third.
_SLOW_FROM = 1.5
# What is known of a slow engine that gets no work any more is forgotten after
# this time, so that it is tried again.
_LIFETIME = units.Seconds(3.0)

# An engine and how many times longer it takes than its figures say.
Pace = tuple[ids.BackendServerId, float]


class EnginePaces:
    """How many times longer each engine takes, here and elsewhere."""

    def __init__(self) -> None:
        self._ratios: dict[ids.BackendServerId, collections.deque[float]] = {}
        self._seen: dict[ids.BackendServerId, units.Instant] = {}
        self._reported: dict[
            ids.BackendServerId, tuple[float, units.Instant]
        ] = {}

    def on_pause(
        self,
        server: ids.BackendServerId,
        seen_ms: float,
        predicted_ms: float,
        now: units.Instant,
    ) -> None:
        """Takes a pause between two events of an engine."""
        if predicted_ms <= 0:
            return
        if now - self._seen.get(server, now) > _LIFETIME:
            self._ratios.pop(server, None)
        ratios = self._ratios.setdefault(
            server, collections.deque(maxlen=_PAUSES)
        )
        ratios.append(seen_ms / predicted_ms)
        self._seen[server] = now

    def on_report(self, paces: Iterable[Pace], now: units.Instant) -> None:
        """Takes what another daemon has seen."""
        until = units.after(now, _LIFETIME)
        for server, factor in paces:
            self._reported[server] = (factor, until)

    def own(self, now: units.Instant) -> tuple[Pace, ...]:
        """Returns the slow engines that this daemon has seen itself."""
        found = ((server, self._own(server, now)) for server in self._ratios)
        return tuple((s, factor) for s, factor in found if factor > 1.0)

    def factor(self, server: ids.BackendServerId, now: units.Instant) -> float:
        """Returns how many times longer an engine takes; 1 if not slow."""
        reported, until = self._reported.get(server, (1.0, now))
        return max(self._own(server, now), reported if until > now else 1.0)

    def _own(self, server: ids.BackendServerId, now: units.Instant) -> float:
        ratios = self._ratios.get(server, ())
        if len(ratios) < _PAUSES or now - self._seen[server] > _LIFETIME:
            return 1.0
        smallest = min(ratios)
        return smallest if smallest >= _SLOW_FROM else 1.0
