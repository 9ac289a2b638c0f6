"""Retention of booking records, measured without a wall clock.

One object in the store, the retention clock, is a logical clock. A daemon
writes the next tick once the object has not changed for one tick interval of
the daemon's own monotonic clock. Versions order all writes of the store, so a
record whose version is older than that of the tick `n` ticks ago was last
written at least `n` intervals ago. Clock jumps, clock differences, restarts and
store outages can only lengthen the retention.
"""

from __future__ import annotations

import dataclasses

from lavendershed.core import ids
from lavendershed.core import units

CLOCK_KEY = ids.ObjectKey("booking-retention/clock")


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionLimits:
    """How long records are kept.

    Attributes:
        tick_interval: Minimum time between two ticks.
        retention_ticks: Ticks for which a record is kept after its last write.
    """

    tick_interval: units.Seconds = units.Seconds(600.0)
    retention_ticks: int = 144

    @property
    def retention(self) -> units.Seconds:
        """Minimum time for which a record is kept after its last write."""
        return units.Seconds(self.tick_interval * self.retention_ticks)


@dataclasses.dataclass(frozen=True, slots=True)
class ClockRecord:
    """Content of the retention clock.

    Attributes:
        ticks: Versions that the object had at earlier ticks, oldest first.
    """

    ticks: tuple[ids.ObjectVersion, ...] = ()


class RetentionClock:
    """One daemon's view of the retention clock."""

    def __init__(self, limits: RetentionLimits) -> None:
        self._limits = limits
        self._ticks: tuple[ids.ObjectVersion, ...] = ()
        self._observed_at = units.Instant(0.0)

    @property
    def version(self) -> ids.ObjectVersion | None:
        """Version of the latest tick, or None before the first read."""
        return self._ticks[-1] if self._ticks else None

    def on_clock(
        self,
        record: ClockRecord,
        version: ids.ObjectVersion,
        now: units.Instant,
    ) -> None:
        """Handles the clock as read from the store at `now`."""
        if version != self.version:
            self._ticks = (*record.ticks, version)
            self._observed_at = now

    def next_record(self, now: units.Instant) -> ClockRecord | None:
        """Returns the next tick to write over `version`, or None if not due."""
        age = units.elapsed(self._observed_at, now)
        if not self._ticks or age < self._limits.tick_interval:
            return None
        return ClockRecord(self._ticks[-self._limits.retention_ticks - 1 :])

    def is_expired(self, version: ids.ObjectVersion) -> bool:
        """Returns whether a record last written as `version` may be deleted."""
        if len(self._ticks) <= self._limits.retention_ticks:
            return False
        return version < self._ticks[-1 - self._limits.retention_ticks]
