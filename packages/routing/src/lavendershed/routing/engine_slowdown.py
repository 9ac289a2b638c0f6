"""Detection of engines that are slower than their profile predicts."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import units

# The minimum over this many consecutive inter-token latencies counts, because
# a prefill between two steps makes single ones long.
_MIN_SAMPLES = 4
# A smaller factor is within the error of the predictions, which is a third.
_MIN_SLOWDOWN = 1.5
# Observations expire after this time, so that a slow engine that gets no more
# requests is tried again.
_SAMPLE_LIFETIME = units.Seconds(3.0)

# An engine that has just started is slower, by a factor that is not known
# before its first latencies. A smaller one than this is no slowdown.
_COLD_SLOWDOWN = _MIN_SLOWDOWN

# An engine and the ratio of its observed to its predicted latency.
Slowdown = tuple[ids.BackendServerId, float]


class EngineSlowdowns:
    """Slowdown factors of engines, observed locally or reported by peers."""

    def __init__(self) -> None:
        self._latency_ratios: dict[
            ids.BackendServerId, collections.deque[float]
        ] = {}
        self._last_sample_at: dict[ids.BackendServerId, units.Instant] = {}
        self._reported: dict[
            ids.BackendServerId, tuple[float, units.Instant]
        ] = {}
        # Factors that engines stated themselves, with their expiry.
        self._stated: dict[
            ids.BackendServerId, tuple[float, units.Instant]
        ] = {}
        # When engines that were cold become warm.
        self._cold_until: dict[ids.BackendServerId, units.Instant] = {}

    def set_cold(
        self, server: ids.BackendServerId, until: units.Instant
    ) -> None:
        """Records that an engine is slower until it is warm.

        What is observed of it until then says nothing about later.
        """
        self._cold_until[server] = until

    def on_stated_slowdown(
        self, server: ids.BackendServerId, factor: float, now: units.Instant
    ) -> None:
        """Records the slowdown factor that an engine states; 1 is none."""
        self._stated[server] = (factor, self._expiry(server, now))

    def on_inter_token_latency(
        self,
        server: ids.BackendServerId,
        observed_ms: float,
        predicted_ms: float,
        now: units.Instant,
    ) -> None:
        """Records the time between two events of a stream."""
        if predicted_ms <= 0:
            return
        last_sample_at = self._last_sample_at.get(server, now)
        if (
            now - last_sample_at > _SAMPLE_LIFETIME
            or last_sample_at < self._cold_until.get(server, now) <= now
        ):
            self._latency_ratios.pop(server, None)
        ratios = self._latency_ratios.setdefault(
            server, collections.deque(maxlen=_MIN_SAMPLES)
        )
        ratios.append(observed_ms / predicted_ms)
        self._last_sample_at[server] = now

    def on_report(
        self, slowdowns: Iterable[Slowdown], now: units.Instant
    ) -> None:
        """Records the slowdown factors that another daemon has observed."""
        for server, factor in slowdowns:
            self._reported[server] = (factor, self._expiry(server, now))

    def local_slowdowns(self, now: units.Instant) -> tuple[Slowdown, ...]:
        """Returns the slow engines observed by this daemon."""
        found = (
            (server, self._local_factor(server, now))
            for server in self._latency_ratios.keys() | self._stated.keys()
        )
        return tuple((s, factor) for s, factor in found if factor > 1.0)

    def factor(self, server: ids.BackendServerId, now: units.Instant) -> float:
        """Returns the slowdown factor of an engine; 1 if it is not slow."""
        reported, until = self._reported.get(server, (1.0, now))
        learned = max(
            self._local_factor(server, now), reported if until > now else 1.0
        )
        cold_until = self._cold_until.get(server)
        if cold_until is None:
            return learned
        if cold_until > now:
            return max(learned, _COLD_SLOWDOWN)
        if now - cold_until > _SAMPLE_LIFETIME:
            # All that was learned while it was cold has expired.
            del self._cold_until[server]
        return learned

    def _expiry(
        self, server: ids.BackendServerId, now: units.Instant
    ) -> units.Instant:
        """Returns until when a factor that is learned now is used."""
        until = units.after(now, _SAMPLE_LIFETIME)
        cold_until = self._cold_until.get(server, now)
        return min(until, cold_until) if cold_until > now else until

    def _local_factor(
        self, server: ids.BackendServerId, now: units.Instant
    ) -> float:
        return max(
            self._observed_factor(server, now),
            self._stated_factor(server, now),
        )

    def _stated_factor(
        self, server: ids.BackendServerId, now: units.Instant
    ) -> float:
        factor, until = self._stated.get(server, (1.0, now))
        return factor if until > now and factor >= _MIN_SLOWDOWN else 1.0

    def _observed_factor(
        self, server: ids.BackendServerId, now: units.Instant
    ) -> float:
        ratios = self._latency_ratios.get(server, ())
        if (
            len(ratios) < _MIN_SAMPLES
            or now - self._last_sample_at[server] > _SAMPLE_LIFETIME
            or self._last_sample_at[server]
            < self._cold_until.get(server, now)
            <= now
        ):
            return 1.0
        smallest = min(ratios)
        return smallest if smallest >= _MIN_SLOWDOWN else 1.0
