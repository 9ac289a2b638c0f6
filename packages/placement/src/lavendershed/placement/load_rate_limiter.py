"""Rate limiter for model and adapter loads from the weight store."""

from __future__ import annotations

from lavendershed.core import units


class LoadRateLimiter:
    """Token bucket that limits the loads of all engines of a service.

    The bucket starts empty, since the previous holder may have used the burst.
    """

    def __init__(self, loads_per_second: float, burst: float) -> None:
        self._loads_per_second = loads_per_second
        self._burst = burst
        self._tokens = 0.0
        self._refilled_at: units.Instant | None = None

    def set_rate(self, loads_per_second: float) -> None:
        """Sets the refill rate."""
        self._loads_per_second = loads_per_second

    def reset(self, now: units.Instant) -> None:
        """Empties the bucket for a new holder."""
        self._tokens = 0.0
        self._refilled_at = now

    def try_acquire(self, now: units.Instant) -> bool:
        """Takes one token; returns False if no load is allowed yet."""
        if self._refilled_at is None:
            self._refilled_at = now
        elapsed = units.elapsed(self._refilled_at, now)
        self._tokens = min(
            self._burst, self._tokens + elapsed * self._loads_per_second
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
