"""Engines that are slower than their figures say."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import units

# The smallest of some pauses in a row counts: single ones are long because
# the engine reads a prompt between two steps.
_MIN_SAMPLES = 4
# Below this factor an engine is not slow: predictions miss by a third.
_MIN_SLOWDOWN = 1.5
# What is known of a slow engine that gets no work any more is forgotten after
# this time, so that it is tried again.
_SAMPLE_LIFETIME = units.Seconds(3.0)

# An engine and how many times longer it takes than its figures say.
Slowdown = tuple[ids.BackendServerId, float]


class EngineSlowdowns:
    """How many times longer each engine takes, here and elsewhere."""

    def __init__(self) -> None:
        self._latency_ratios: dict[
            ids.BackendServerId, collections.deque[float]
        ] = {}
        self._last_sample_at: dict[ids.BackendServerId, units.Instant] = {}
        self._reported: dict[
            ids.BackendServerId, tuple[float, units.Instant]
        ] = {}

    def on_inter_token_latency(
        self,
        server: ids.BackendServerId,
        observed_ms: float,
        predicted_ms: float,
        now: units.Instant,
    ) -> None:
        """Takes a pause between two events of an engine."""
        if predicted_ms <= 0:
            return
        if now - self._last_sample_at.get(server, now) > _SAMPLE_LIFETIME:
            self._latency_ratios.pop(server, None)
        ratios = self._latency_ratios.setdefault(
            server, collections.deque(maxlen=_MIN_SAMPLES)
        )
        ratios.append(observed_ms / predicted_ms)
        self._last_sample_at[server] = now

    def on_report(
        self, slowdowns: Iterable[Slowdown], now: units.Instant
    ) -> None:
        """Takes what another daemon has seen."""
        until = units.after(now, _SAMPLE_LIFETIME)
        for server, factor in slowdowns:
            self._reported[server] = (factor, until)

    def local_slowdowns(self, now: units.Instant) -> tuple[Slowdown, ...]:
        """Returns the slow engines that this daemon has seen itself."""
        found = (
            (server, self._local_factor(server, now))
            for server in self._latency_ratios
        )
        return tuple((s, factor) for s, factor in found if factor > 1.0)

    def factor(self, server: ids.BackendServerId, now: units.Instant) -> float:
        """Returns how many times longer an engine takes; 1 if not slow."""
        reported, until = self._reported.get(server, (1.0, now))
        return max(
            self._local_factor(server, now), reported if until > now else 1.0
        )

    def _local_factor(
        self, server: ids.BackendServerId, now: units.Instant
    ) -> float:
        ratios = self._latency_ratios.get(server, ())
        if (
            len(ratios) < _MIN_SAMPLES
            or now - self._last_sample_at[server] > _SAMPLE_LIFETIME
        ):
            return 1.0
        smallest = min(ratios)
        return smallest if smallest >= _MIN_SLOWDOWN else 1.0
