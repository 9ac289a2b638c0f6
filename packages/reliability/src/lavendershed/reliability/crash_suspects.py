"""Requests that are suspected of crashing the engines that run them."""

from __future__ import annotations

import collections
import dataclasses
import enum

from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import units


class Verdict(enum.Enum):
    """Restriction on running the requests with a fingerprint."""

    CLEAN = "clean"
    EXCLUSIVE = "alone"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectLimits:
    """Bounds on suspects and quarantines.

    Attributes:
        suspect_lifetime: Time after a crash for which a suspect is kept.
        quarantine_lifetime: Time for which a request is refused after two
            crashes.
        max_suspects: Maximum number of suspects, and of quarantines.
    """

    suspect_lifetime: units.Seconds = units.Seconds(900.0)
    quarantine_lifetime: units.Seconds = units.Seconds(900.0)
    max_suspects: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class PublishQuarantine:
    """Command: publish a quarantine, so that all daemons reject the request."""

    record: cluster.QuarantineRecord


@dataclasses.dataclass(frozen=True, slots=True)
class PublishSuspect:
    """Command: publish a suspect, so that all daemons run it exclusively."""

    record: cluster.CrashSuspectRecord


Command = PublishQuarantine | PublishSuspect

# About the number of concurrent streams of an engine; each record takes about
# 60 bytes of the gossip byte budget.
_MAX_PUBLISHED_SUSPECTS_PER_CRASH = 64


@dataclasses.dataclass(slots=True)
class _InFlight:
    fingerprint: ids.Fingerprint
    engine: ids.BackendServerId
    exclusive: bool
    incarnation: ids.Incarnation | None = None


class CrashSuspects:
    """Finds the requests that crash engines, from the requests in flight.

    Every request in flight at a crash becomes a suspect, whose next attempt
    runs without other requests on its engine (exclusively). A second crash
    leads to quarantine if the cause is unambiguous: the suspect ran
    exclusively, or was the only suspect in flight. The others remain suspects
    until they complete.
    """

    def __init__(self, limits: SuspectLimits) -> None:
        self._limits = limits
        self._in_flight: dict[ids.AttemptId, _InFlight] = {}
        self._by_engine: dict[ids.BackendServerId, set[ids.AttemptId]] = (
            collections.defaultdict(set)
        )
        # Both map a fingerprint to its expiry time, oldest entry first.
        self._suspects: dict[ids.Fingerprint, units.Instant] = {}
        self._quarantined: dict[ids.Fingerprint, units.Instant] = {}

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight."""
        return len(self._in_flight)

    def verdict(
        self, fingerprint: ids.Fingerprint, now: units.Instant
    ) -> Verdict:
        """Returns the restriction on running a request."""
        if self.quarantine_remaining(fingerprint, now) is not None:
            return Verdict.QUARANTINED
        if _is_unexpired(self._suspects, fingerprint, now):
            return Verdict.EXCLUSIVE
        return Verdict.CLEAN

    def quarantine_remaining(
        self, fingerprint: ids.Fingerprint, now: units.Instant
    ) -> units.Seconds | None:
        """Returns the remaining time of a request's quarantine, or None."""
        if not _is_unexpired(self._quarantined, fingerprint, now):
            return None
        return units.elapsed(now, self._quarantined[fingerprint])

    def on_attempt_started(
        self,
        attempt: ids.AttemptId,
        fingerprint: ids.Fingerprint,
        engine: ids.BackendServerId,
        exclusive: bool,
    ) -> None:
        """Registers an attempt before it is sent."""
        self._in_flight[attempt] = _InFlight(fingerprint, engine, exclusive)
        self._by_engine[engine].add(attempt)

    def on_accepted(
        self, attempt: ids.AttemptId, incarnation: ids.Incarnation
    ) -> None:
        """Records which engine incarnation runs an attempt."""
        if attempt in self._in_flight:
            self._in_flight[attempt].incarnation = incarnation

    def on_attempt_ended(self, attempt: ids.AttemptId) -> None:
        """Removes an attempt that ended without an engine crash."""
        entry = self._in_flight.pop(attempt, None)
        if entry is None:
            return
        attempts = self._by_engine[entry.engine]
        attempts.discard(attempt)
        if not attempts:
            del self._by_engine[entry.engine]

    def on_completed(self, attempt: ids.AttemptId) -> None:
        """Clears the suspicion of a request that completed."""
        entry = self._in_flight.get(attempt)
        if entry is not None:
            self._suspects.pop(entry.fingerprint, None)
        self.on_attempt_ended(attempt)

    def on_engine_crash(
        self,
        attempt: ids.AttemptId,
        planned: bool,
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Processes the crash of the engine incarnation that ran `attempt`.

        Each attempt counts for one crash only: the first report removes all
        attempts of that incarnation, and later reports about them have no
        effect. Attempts that no incarnation has accepted are reported
        individually, since they may run on the engine's next incarnation.

        Args:
            attempt: An attempt that the crash ended.
            planned: Whether the engine had announced its shutdown.
            now: Current time.
        """
        trigger = self._in_flight.get(attempt)
        if trigger is None:
            return ()
        ended = {attempt: trigger}
        if trigger.incarnation is not None:
            ended |= {
                other: self._in_flight[other]
                for other in self._by_engine[trigger.engine]
                if self._in_flight[other].incarnation == trigger.incarnation
            }
        for other in ended:
            self.on_attempt_ended(other)
        if planned:
            return ()
        # Unaccepted attempts, which are reported individually, were in flight
        # at the same time.
        unaccepted = [
            self._in_flight[other].fingerprint
            for other in self._by_engine.get(trigger.engine, ())
            if self._in_flight[other].incarnation is None
        ]
        return self._classify_attempts(tuple(ended.values()), unaccepted, now)

    def on_quarantine_record(
        self, record: cluster.QuarantineRecord, now: units.Instant
    ) -> None:
        """Adds a quarantine that another daemon has published."""
        expires_at = units.after(now, record.lifetime)
        known_expiry = self._quarantined.get(record.fingerprint, expires_at)
        self._insert_bounded(
            self._quarantined, record.fingerprint, max(expires_at, known_expiry)
        )

    def on_suspect_record(
        self, record: cluster.CrashSuspectRecord, now: units.Instant
    ) -> None:
        """Adds a suspect that another daemon has published.

        If the caller resends the request to this daemon, the next crash counts
        as the second one.
        """
        expires_at = units.after(now, record.lifetime)
        self._insert_bounded(self._suspects, record.fingerprint, expires_at)

    def _classify_attempts(
        self,
        ended: tuple[_InFlight, ...],
        unaccepted: list[ids.Fingerprint],
        now: units.Instant,
    ) -> tuple[Command, ...]:
        fingerprints = {entry.fingerprint for entry in ended}
        known_suspects = {
            fingerprint
            for fingerprint in fingerprints.union(unaccepted)
            if _is_unexpired(self._suspects, fingerprint, now)
        }
        culprits = {
            entry.fingerprint
            for entry in ended
            if entry.fingerprint in known_suspects
            and (entry.exclusive or len(known_suspects) == 1)
        }
        for fingerprint in fingerprints - culprits:
            expires_at = units.after(now, self._limits.suspect_lifetime)
            self._insert_bounded(self._suspects, fingerprint, expires_at)
        for fingerprint in culprits:
            del self._suspects[fingerprint]
            expires_at = units.after(now, self._limits.quarantine_lifetime)
            self._insert_bounded(self._quarantined, fingerprint, expires_at)
        quarantines = tuple(
            PublishQuarantine(
                cluster.QuarantineRecord(
                    fingerprint, self._limits.quarantine_lifetime
                )
            )
            for fingerprint in sorted(culprits)
        )
        new_suspects = sorted(fingerprints - culprits)[
            :_MAX_PUBLISHED_SUSPECTS_PER_CRASH
        ]
        return quarantines + tuple(
            PublishSuspect(
                cluster.CrashSuspectRecord(
                    fingerprint, self._limits.suspect_lifetime
                )
            )
            for fingerprint in new_suspects
        )

    def _insert_bounded(
        self,
        table: dict[ids.Fingerprint, units.Instant],
        fingerprint: ids.Fingerprint,
        expires_at: units.Instant,
    ) -> None:
        table.pop(fingerprint, None)
        table[fingerprint] = expires_at
        if len(table) > self._limits.max_suspects:
            del table[next(iter(table))]


def _is_unexpired(
    table: dict[ids.Fingerprint, units.Instant],
    fingerprint: ids.Fingerprint,
    now: units.Instant,
) -> bool:
    expires_at = table.get(fingerprint)
    if expires_at is None:
        return False
    if expires_at > now:
        return True
    del table[fingerprint]
    return False
