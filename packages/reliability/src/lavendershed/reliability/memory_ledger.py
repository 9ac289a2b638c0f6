"""Ledger of the engine memory that this daemon has asked for."""

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
    """Name of one allocation on one engine."""

    engine: ids.BackendServerId
    kind: backend_servers.AllocationKind
    allocation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Command: ask the engine to release an allocation."""

    key: AllocationKey


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerFull:
    """Refusal: nothing more may be requested until something is released."""

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of the ledger.

    Attributes:
        max_entries: Entries kept; more are refused before anything is sent.
        base_delay: Delay before a release is asked for a second time.
        max_delay: Longest delay between two release orders.
    """

    max_entries: int = 100_000
    base_delay: units.Seconds = units.Seconds(0.1)
    max_delay: units.Seconds = units.Seconds(10.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerEntry:
    """One allocation as the ledger knows it.

    Attributes:
        incarnation: Engine incarnation that confirmed it, if any.
        attempt: Attempt for which it was requested, if any.
        orders: Release orders given so far.
        due: Time of the next release order while it is being released.
    """

    state: states.AllocationState
    incarnation: ids.Incarnation | None
    attempt: ids.AttemptId | None
    orders: int = 0
    due: units.Instant = units.Instant(0.0)


class MemoryLedger:
    """Entries from before a request is sent until its memory is free.

    An entry ends when the engine confirms the release, or is seen with another
    incarnation than the one that confirmed the allocation: its memory is gone.
    """

    def __init__(self, limits: LedgerLimits) -> None:
        self._limits = limits
        self._entries: dict[AllocationKey, LedgerEntry] = {}
        self._releasing: set[AllocationKey] = set()
        # Times of release orders, earliest first; entries that have ended or
        # were ordered anew are skipped when their turn comes. The number keeps
        # keys from being compared.
        self._due: list[tuple[units.Instant, int, AllocationKey]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def __contains__(self, key: AllocationKey) -> bool:
        """Returns whether an allocation may hold memory."""
        return key in self._entries

    @property
    def releasing(self) -> int:
        """Number of entries whose release is not confirmed yet."""
        return len(self._releasing)

    @property
    def next_due(self) -> units.Instant | None:
        """Time of the next release order, or None."""
        while self._due and not self._is_due_entry(*self._due[0]):
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def entry(self, key: AllocationKey) -> LedgerEntry | None:
        """Returns an entry, or None once its memory is free."""
        return self._entries.get(key)

    def on_request(
        self, key: AllocationKey, attempt: ids.AttemptId | None
    ) -> result.Result[None, LedgerFull]:
        """Enters an allocation; called before the request is sent."""
        if len(self._entries) >= self._limits.max_entries:
            return result.Err(LedgerFull(self._limits.max_entries))
        self._entries[key] = LedgerEntry(
            states.AllocationState.REQUESTED, None, attempt
        )
        return result.Ok(None)

    def on_confirmed(
        self, key: AllocationKey, incarnation: ids.Incarnation
    ) -> None:
        """Notes which engine incarnation holds an allocation."""
        entry = self._entries.get(key)
        if entry is None:
            return
        if entry.state is states.AllocationState.REQUESTED:
            entry = dataclasses.replace(
                entry, state=states.AllocationState.HELD
            )
        self._entries[key] = dataclasses.replace(entry, incarnation=incarnation)

    def on_released(self, key: AllocationKey) -> None:
        """Ends an entry: the engine confirmed, or never allocated anything."""
        self._entries.pop(key, None)
        self._releasing.discard(key)

    def on_no_longer_needed(
        self, key: AllocationKey, now: units.Instant
    ) -> tuple[ReleaseOrder, ...]:
        """Starts to release an allocation; the order is due at once."""
        entry = self._entries.get(key)
        if entry is None or key in self._releasing:
            return ()
        self._entries[key] = dataclasses.replace(
            entry, state=states.AllocationState.RELEASING
        )
        self._releasing.add(key)
        return (self._order(key, now),)

    def on_time(self, now: units.Instant) -> tuple[ReleaseOrder, ...]:
        """Returns the release orders that are due.

        An order is repeated with exponentially growing delays until
        `on_released` or `on_incarnation` ends the entry.
        """
        orders = []
        while (due := self.next_due) is not None and due <= now:
            _, _, key = heapq.heappop(self._due)
            orders.append(self._order(key, now))
        return tuple(orders)

    def on_incarnation(
        self, engine: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> tuple[AllocationKey, ...]:
        """Drops the entries of an engine's earlier incarnations.

        Entries without a confirmed incarnation stay, because the request may
        have reached the new one.
        """
        gone = tuple(
            key
            for key, entry in self._entries.items()
            if key.engine == engine
            and entry.incarnation not in (None, incarnation)
        )
        for key in gone:
            self.on_released(key)
        return gone

    def _order(self, key: AllocationKey, now: units.Instant) -> ReleaseOrder:
        entry = self._entries[key]
        # The exponent is bounded to keep the power in range.
        delay = min(
            self._limits.max_delay,
            self._limits.base_delay * 2 ** min(entry.orders, 30),
        )
        due = units.after(now, units.Seconds(delay))
        self._entries[key] = dataclasses.replace(
            entry, orders=entry.orders + 1, due=due
        )
        heapq.heappush(self._due, (due, next(self._sequence), key))
        return ReleaseOrder(key)

    def _is_due_entry(
        self, due: units.Instant, sequence: int, key: AllocationKey
    ) -> bool:
        return key in self._releasing and self._entries[key].due == due
