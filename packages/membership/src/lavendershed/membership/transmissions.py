"""Queue of records to piggy-back, and their byte budget."""

from __future__ import annotations

from collections.abc import Hashable
import dataclasses
import math
from typing import Generic
from typing import TypeVar

from lavendershed.core import units

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

# Gossip reaches all members with high probability after a number of
# transmissions per daemon that is logarithmic in the number of members (Das,
# Gupta and Motivala, "SWIM", 2002); the factor covers lost datagrams.
_TRANSMISSION_FACTOR = 3
# Entries that don't fit are skipped; the bound limits the CPU time per message.
_MAX_SKIPPED_ENTRIES = 8


def transmission_limit(member_count: int) -> int:
    """Returns how often each daemon transmits a record."""
    return _TRANSMISSION_FACTOR * math.ceil(math.log2(member_count + 1))


@dataclasses.dataclass(frozen=True, slots=True)
class _Item(Generic[V]):
    value: V
    size: units.Bytes
    limit: int


class TransmissionQueue(Generic[K, V]):
    """Queue that returns the least transmitted entries first.

    An entry is removed after its maximum number of transmissions.
    """

    def __init__(self) -> None:
        # The index is the number of transmissions so far.
        self._by_transmission_count: list[dict[K, _Item[V]]] = []
        self._transmission_counts: dict[K, int] = {}

    def __len__(self) -> int:
        """Returns the number of queued entries."""
        return len(self._transmission_counts)

    def put(self, key: K, value: V, size: units.Bytes, limit: int) -> None:
        """Adds an entry; replaces an older one with the same key."""
        self.discard(key)
        self._insert(key, _Item(value, size, limit), 0)

    def discard(self, key: K) -> None:
        """Removes an entry if it is queued."""
        count = self._transmission_counts.pop(key, None)
        if count is not None:
            del self._by_transmission_count[count][key]

    def take(self, max_size: units.Bytes) -> tuple[list[V], units.Bytes]:
        """Returns entries of at most `max_size` bytes and their total size."""
        selected: list[tuple[K, _Item[V], int]] = []
        total_size = skipped = 0
        for count, bucket in enumerate(self._by_transmission_count):
            for key, item in bucket.items():
                if total_size + item.size > max_size:
                    skipped += 1
                    if skipped >= _MAX_SKIPPED_ENTRIES:
                        break
                    continue
                total_size += item.size
                selected.append((key, item, count))
            if skipped >= _MAX_SKIPPED_ENTRIES:
                break
        for key, item, count in selected:
            self.discard(key)
            if count + 1 < item.limit:
                self._insert(key, item, count + 1)
        return [item.value for _, item, _ in selected], units.Bytes(total_size)

    def _insert(self, key: K, item: _Item[V], count: int) -> None:
        while len(self._by_transmission_count) <= count:
            self._by_transmission_count.append({})
        self._by_transmission_count[count][key] = item
        self._transmission_counts[key] = count


class ByteBudget:
    """Token bucket of bytes."""

    def __init__(self, bytes_per_second: float, burst: units.Bytes) -> None:
        self._rate = bytes_per_second
        self._burst = burst
        self._available = float(burst)
        self._updated_at: units.Instant | None = None

    def available(self, now: units.Instant) -> units.Bytes:
        """Returns the number of bytes that may be sent at `now`, at least 0."""
        if self._updated_at is not None:
            refill = self._rate * max(0.0, now - self._updated_at)
            self._available = min(float(self._burst), self._available + refill)
        self._updated_at = now
        return units.Bytes(max(0, int(self._available)))

    def spend(self, size: units.Bytes, now: units.Instant) -> None:
        """Deducts sent bytes; mandatory messages may overdraw the budget."""
        self.available(now)
        self._available -= size
