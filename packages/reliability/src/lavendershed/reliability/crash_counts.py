"""Engine crashes counted by the fingerprint of the request in flight."""

from __future__ import annotations

from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import units

# Callers that resend a crashing request do so within minutes.
COUNT_LIFETIME = units.Seconds(120.0)
# Engine crashes after which a request is refused; a single crash may be a
# coincidence.
REFUSAL_THRESHOLD = 2
_MAX_COUNTED_REQUESTS = 1_000


class CrashCounts:
    """Crash counts of this daemon and the maximum reported by its peers."""

    def __init__(self) -> None:
        # Crash count and expiry time by fingerprint, oldest entry first.
        self._local: dict[ids.Fingerprint, tuple[int, units.Instant]] = {}
        self._remote: dict[ids.Fingerprint, tuple[int, units.Instant]] = {}
        # Requests whose answers a crash has interrupted once.
        self._interrupted: dict[ids.Fingerprint, tuple[int, units.Instant]] = {}

    def on_crash(
        self,
        fingerprint: ids.Fingerprint,
        now: units.Instant,
        *,
        answer_begun: bool = False,
    ) -> int:
        """Counts an engine crash; returns the new count.

        The first crash in the middle of an answer is not counted: another
        request that waited at the engine is the more likely cause.

        Args:
            fingerprint: The request that was in flight.
            now: Current time.
            answer_begun: Whether the attempt had brought a part of the answer.
        """
        _, expires_at = self._interrupted.get(fingerprint, (0, now))
        if answer_begun and expires_at <= now:
            self._insert_bounded(self._interrupted, fingerprint, 0, now)
            return self.count(fingerprint, now)
        count = self.count(fingerprint, now) + 1
        self._insert_bounded(self._local, fingerprint, count, now)
        return count

    def on_success(self, fingerprint: ids.Fingerprint) -> None:
        """Removes the local count of a request that completed."""
        self._local.pop(fingerprint, None)
        self._interrupted.pop(fingerprint, None)

    def on_peer_counts(
        self,
        peer_counts: Iterable[tuple[ids.Fingerprint, int]],
        now: units.Instant,
    ) -> None:
        """Merges the counts of another daemon."""
        for fingerprint, count in peer_counts:
            known_count, _ = self._remote.get(fingerprint, (0, now))
            self._insert_bounded(
                self._remote, fingerprint, max(known_count, count), now
            )

    def local_counts(
        self, now: units.Instant
    ) -> tuple[tuple[ids.Fingerprint, int], ...]:
        """Returns the counts to report to the other daemons."""
        return tuple(
            (fingerprint, count)
            for fingerprint, (count, expires_at) in self._local.items()
            if expires_at > now
        )

    def count(self, fingerprint: ids.Fingerprint, now: units.Instant) -> int:
        """Returns how many engines crashed while running this request."""
        counts = [
            entry[0]
            for table in (self._local, self._remote)
            if (entry := table.get(fingerprint)) is not None and entry[1] > now
        ]
        return max(counts, default=0)

    def is_refused(
        self, fingerprint: ids.Fingerprint, now: units.Instant
    ) -> bool:
        """Returns whether the request must be refused."""
        return self.count(fingerprint, now) >= REFUSAL_THRESHOLD

    def _insert_bounded(
        self,
        table: dict[ids.Fingerprint, tuple[int, units.Instant]],
        fingerprint: ids.Fingerprint,
        count: int,
        now: units.Instant,
    ) -> None:
        table.pop(fingerprint, None)
        table[fingerprint] = (count, units.after(now, COUNT_LIFETIME))
        if len(table) > _MAX_COUNTED_REQUESTS:
            del table[next(iter(table))]
