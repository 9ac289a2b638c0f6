"""Engines that ended while they ran a request, counted by fingerprint."""

from __future__ import annotations

from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import units

# Time for which a suspect is remembered; a caller that sends a harmful request
# again does so within minutes.
LIFETIME = units.Seconds(120.0)
# Lost engines after which a request is refused: one loss may be a coincidence.
REFUSED_FROM = 2
_MAX_SUSPECTS = 1_000


class CrashCounts:
    """Counts of this daemon and the largest count of each peer."""

    def __init__(self) -> None:
        # Suspects with their count and expiry, oldest first.
        self._own: dict[ids.Fingerprint, tuple[int, units.Instant]] = {}
        self._reported: dict[ids.Fingerprint, tuple[int, units.Instant]] = {}

    def on_crash(self, fingerprint: ids.Fingerprint, now: units.Instant) -> int:
        """Counts an engine that was lost; returns the new count."""
        count = self.count(fingerprint, now) + 1
        self._remember(self._own, fingerprint, count, now)
        return count

    def on_success(self, fingerprint: ids.Fingerprint) -> None:
        """Forgets a request that has been answered whole."""
        self._own.pop(fingerprint, None)

    def on_report(
        self,
        reported: Iterable[tuple[ids.Fingerprint, int]],
        now: units.Instant,
    ) -> None:
        """Takes the counts of another daemon."""
        for fingerprint, count in reported:
            known, _ = self._reported.get(fingerprint, (0, now))
            self._remember(self._reported, fingerprint, max(known, count), now)

    def own(
        self, now: units.Instant
    ) -> tuple[tuple[ids.Fingerprint, int], ...]:
        """Returns what to tell the other daemons."""
        return tuple(
            (fingerprint, count)
            for fingerprint, (count, until) in self._own.items()
            if until > now
        )

    def count(self, fingerprint: ids.Fingerprint, now: units.Instant) -> int:
        """Returns how many engines were lost with this request."""
        counts = [
            found[0]
            for table in (self._own, self._reported)
            if (found := table.get(fingerprint)) is not None and found[1] > now
        ]
        return max(counts, default=0)

    def refused(self, fingerprint: ids.Fingerprint, now: units.Instant) -> bool:
        """Returns whether the request must not run again."""
        return self.count(fingerprint, now) >= REFUSED_FROM

    def _remember(
        self,
        table: dict[ids.Fingerprint, tuple[int, units.Instant]],
        fingerprint: ids.Fingerprint,
        count: int,
        now: units.Instant,
    ) -> None:
        table.pop(fingerprint, None)
        table[fingerprint] = (count, units.after(now, LIFETIME))
        if len(table) > _MAX_SUSPECTS:
            del table[next(iter(table))]
