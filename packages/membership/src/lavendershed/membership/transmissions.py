"""Queue of records to piggy-back, and the byte budget for them."""

from __future__ import annotations

from collections.abc import Hashable
import dataclasses
import math
from typing import Generic
from typing import TypeVar

from lavendershed.core import units

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

# An infection-style broadcast reaches all members with high probability after
# a number of transmissions that grows with the logarithm of their number (Das,
# Gupta and Motivala, "SWIM", 2002); the factor covers lost datagrams.
_RETRANSMIT_FACTOR = 3
# Entries that don't fit are skipped, but only this many, so that one message
# costs a bounded time.
_MAX_SKIPPED = 8


def retransmissions(members: int) -> int:
    """Returns how often each daemon sends a record to `members` daemons."""
    return _RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))


@dataclasses.dataclass(frozen=True, slots=True)
class _Item(Generic[V]):
    value: V
    size: units.Bytes
    limit: int


class TransmissionQueue(Generic[K, V]):
    """Gives the least transmitted entries first, each up to its limit."""

    def __init__(self) -> None:
        # Entries by the number of transmissions made.
        self._buckets: list[dict[K, _Item[V]]] = []
        self._counts: dict[K, int] = {}

    def __len__(self) -> int:
        """Returns the number of entries that are still to be sent."""
        return len(self._counts)

    def put(self, key: K, value: V, size: units.Bytes, limit: int) -> None:
        """Adds an entry, in place of an older one with the same key."""
        self.discard(key)
        self._place(key, _Item(value, size, limit), 0)

    def discard(self, key: K) -> None:
        """Removes an entry if it is there."""
        count = self._counts.pop(key, None)
        if count is not None:
            del self._buckets[count][key]

    def take(self, room: units.Bytes) -> tuple[list[V], units.Bytes]:
        """Returns entries that fit into `room` bytes, and their size."""
        chosen: list[tuple[K, _Item[V], int]] = []
        used = skipped = 0
        for count, bucket in enumerate(self._buckets):
            for key, item in bucket.items():
                if used + item.size > room:
                    skipped += 1
                    if skipped >= _MAX_SKIPPED:
                        break
                    continue
                used += item.size
                chosen.append((key, item, count))
            if skipped >= _MAX_SKIPPED:
                break
        for key, item, count in chosen:
            self.discard(key)
            if count + 1 < item.limit:
                self._place(key, item, count + 1)
        return [item.value for _, item, _ in chosen], units.Bytes(used)

    def _place(self, key: K, item: _Item[V], count: int) -> None:
        while len(self._buckets) <= count:
            self._buckets.append({})
        self._buckets[count][key] = item
        self._counts[key] = count


class ByteBudget:
    """Token bucket of bytes."""

    def __init__(self, bytes_per_second: float, burst: units.Bytes) -> None:
        self._rate = bytes_per_second
        self._burst = burst
        self._level = float(burst)
        self._updated: units.Instant | None = None

    def available(self, now: units.Instant) -> units.Bytes:
        """Returns the bytes that may be sent at `now`; never negative."""
        if self._updated is not None:
            gained = self._rate * max(0.0, now - self._updated)
            self._level = min(float(self._burst), self._level + gained)
        self._updated = now
        return units.Bytes(max(0, int(self._level)))

    def spend(self, size: units.Bytes, now: units.Instant) -> None:
        """Counts sent bytes; mandatory messages may overdraw the budget."""
        self.available(now)
        self._level -= size
