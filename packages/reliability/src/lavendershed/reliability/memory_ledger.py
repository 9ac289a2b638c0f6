"""Ledger of the engine memory that this daemon has requested."""

from __future__ import annotations

import dataclasses
import heapq
import itertools

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class AllocationKey:
    """Identifies one allocation on one engine."""

    engine: ids.BackendServerId
    kind: backend_servers.AllocationKind
    allocation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseCommand:
    """Command: ask the engine to release an allocation."""

    key: AllocationKey


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerFull:
    """Error: no allocation may be requested until one is released."""

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of the ledger.

    Attributes:
        max_entries: Maximum number of entries; further allocations are refused
            before anything is sent.
        base_retry_delay: Delay before the first retry of a release.
        max_retry_delay: Upper bound of the delay between two retries.
    """

    max_entries: int = 100_000
    base_retry_delay: units.Seconds = units.Seconds(0.1)
    max_retry_delay: units.Seconds = units.Seconds(10.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerEntry:
    """One allocation in the ledger.

    Attributes:
        incarnation: Engine incarnation that confirmed it, if any.
        attempt: Attempt for which it was requested, if any.
        release_attempts: Number of release commands issued so far.
        next_release_at: Time of the next release command, while the release
            is pending.
    """

    state: states.AllocationState
    incarnation: ids.Incarnation | None
    attempt: ids.AttemptId | None
    release_attempts: int = 0
    next_release_at: units.Instant = units.Instant(0.0)


class MemoryLedger:
    """Tracks allocations from before the request until the memory is free.

    An entry is removed when the engine confirms the release, or when it is seen
    with another incarnation than the one that confirmed the allocation, because
    a restart frees its memory.
    """

    def __init__(self, limits: LedgerLimits) -> None:
        self._limits = limits
        self._entries: dict[AllocationKey, LedgerEntry] = {}
        self._pending_releases: set[AllocationKey] = set()
        # Heap of release times. Items whose entry was removed or rescheduled
        # are skipped. The sequence number is a tie-breaker, because keys can't
        # be compared.
        self._release_queue: list[tuple[units.Instant, int, AllocationKey]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def __contains__(self, key: AllocationKey) -> bool:
        """Returns whether an allocation may hold memory."""
        return key in self._entries

    @property
    def pending_releases(self) -> int:
        """Number of entries whose release has not been confirmed."""
        return len(self._pending_releases)

    @property
    def next_release_at(self) -> units.Instant | None:
        """Time of the next release command, or None."""
        while self._release_queue and not self._is_current(
            *self._release_queue[0]
        ):
            heapq.heappop(self._release_queue)
        return self._release_queue[0][0] if self._release_queue else None

    def entry(self, key: AllocationKey) -> LedgerEntry | None:
        """Returns an entry, or None once its memory is free."""
        return self._entries.get(key)

    def on_requested(
        self, key: AllocationKey, attempt: ids.AttemptId | None
    ) -> result.Result[None, LedgerFull]:
        """Adds an allocation; called before the request is sent."""
        if len(self._entries) >= self._limits.max_entries:
            return result.Err(LedgerFull(self._limits.max_entries))
        self._entries[key] = LedgerEntry(
            states.AllocationState.REQUESTED, None, attempt
        )
        return result.Ok(None)

    def on_confirmed(
        self, key: AllocationKey, incarnation: ids.Incarnation
    ) -> None:
        """Records which engine incarnation holds an allocation."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if entry.state is states.AllocationState.REQUESTED:
            entry = dataclasses.replace(
                entry, state=states.AllocationState.HELD
            )
        self._entries[key] = dataclasses.replace(entry, incarnation=incarnation)

    def on_released(self, key: AllocationKey) -> None:
        """Removes an entry that the engine released or never allocated."""
        self._entries.pop(key, None)
        self._pending_releases.discard(key)

    def start_release(
        self, key: AllocationKey, now: units.Instant
    ) -> tuple[ReleaseCommand, ...]:
        """Starts the release of an allocation; returns the first command."""
        entry = self._entries.get(key)
        if entry is None or key in self._pending_releases:
            return ()
        self._entries[key] = dataclasses.replace(
            entry, state=states.AllocationState.RELEASING
        )
        self._pending_releases.add(key)
        return (self._issue_release(key, now),)

    def on_timer(self, now: units.Instant) -> tuple[ReleaseCommand, ...]:
        """Returns the release commands that are due.

        A release is retried with exponential backoff until `on_released` or
        `on_incarnation_seen` removes the entry.
        """
        commands = []
        while (
            release_at := self.next_release_at
        ) is not None and release_at <= now:
            _, _, key = heapq.heappop(self._release_queue)
            commands.append(self._issue_release(key, now))
        return tuple(commands)

    def on_incarnation_seen(
        self, engine: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> tuple[AllocationKey, ...]:
        """Removes the entries of an engine's earlier incarnations.

        Entries without a confirmed incarnation stay, because the request may
        have reached the new one.
        """
        stale_keys = tuple(
            key
            for key, entry in self._entries.items()
            if key.engine == engine
            and entry.incarnation not in (None, incarnation)
        )
        for key in stale_keys:
            self.on_released(key)
        return stale_keys

    def _issue_release(
        self, key: AllocationKey, now: units.Instant
    ) -> ReleaseCommand:
        entry = self._entries[key]
        # The exponent is bounded to prevent a float overflow.
        delay = min(
            self._limits.max_retry_delay,
            self._limits.base_retry_delay
            * 2 ** min(entry.release_attempts, 30),
        )
        next_release_at = units.after(now, units.Seconds(delay))
        self._entries[key] = dataclasses.replace(
            entry,
            release_attempts=entry.release_attempts + 1,
            next_release_at=next_release_at,
        )
        heapq.heappush(
            self._release_queue, (next_release_at, next(self._sequence), key)
        )
        return ReleaseCommand(key)

    def _is_current(
        self, release_at: units.Instant, sequence: int, key: AllocationKey
    ) -> bool:
        return (
            key in self._pending_releases
            and self._entries[key].next_release_at == release_at
        )
