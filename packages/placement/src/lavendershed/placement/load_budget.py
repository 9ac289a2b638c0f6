"""Rate limit of loads from the weight store."""

from __future__ import annotations

from lavendershed.core import units


class LoadBudget:
    """Token bucket of the lease holder.

    It starts empty: the previous holder may have used up the burst.
    """

    def __init__(self, loads_per_second: float, burst: float) -> None:
        self._rate = loads_per_second
        self._burst = burst
        self._tokens = 0.0
        self._updated: units.Instant | None = None

    def on_rate(self, loads_per_second: float) -> None:
        """Takes the rate from now on."""
        self._rate = loads_per_second

    def restart(self, now: units.Instant) -> None:
        """Empties the bucket for a new holder."""
        self._tokens = 0.0
        self._updated = now

    def take(self, now: units.Instant) -> bool:
        """Takes one load; returns False if none is allowed yet."""
        if self._updated is None:
            self._updated = now
        elapsed = units.elapsed(self._updated, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
