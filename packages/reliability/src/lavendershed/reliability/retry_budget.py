"""Retry budget relative to the number of recent requests."""

from __future__ import annotations

import collections
import dataclasses

from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of a retry budget.

    Attributes:
        retry_ratio: Retries per request in the window.
        window: Length of the sliding window.
        min_retries: Retries per window that are allowed without any traffic, so
            that a quiet daemon can still move the streams of one dead engine.
    """

    retry_ratio: float = 0.1
    window: units.Seconds = units.Seconds(60.0)
    min_retries: int = 32


class RetryBudget:
    """Counts requests and retries in slots of a sliding window.

    Memory is bounded by the number of slots.
    """

    _SLOTS = 30

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._slot_length = limits.window / self._SLOTS
        self._requests: collections.Counter[int] = collections.Counter()
        self._retries: collections.Counter[int] = collections.Counter()

    def on_request(self, now: units.Instant) -> None:
        """Counts a new request, not a retry."""
        self._requests[self._expire_slots(now)] += 1

    def try_spend(self, now: units.Instant) -> bool:
        """Counts one retry; returns False if the budget is exhausted."""
        slot = self._expire_slots(now)
        allowed_retries = self._limits.retry_ratio * self._requests.total()
        if self._retries.total() >= max(
            allowed_retries, self._limits.min_retries
        ):
            return False
        self._retries[slot] += 1
        return True

    def _expire_slots(self, now: units.Instant) -> int:
        current = int(now // self._slot_length)
        for counter in (self._requests, self._retries):
            for slot in [s for s in counter if s <= current - self._SLOTS]:
                del counter[slot]
        return current
