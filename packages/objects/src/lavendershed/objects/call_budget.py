"""Budget of calls to the object store."""

from __future__ import annotations

import dataclasses
import enum

import result

from lavendershed.core import units


class CallClass(enum.Enum):
    """Class of calls that share one budget."""

    BACKGROUND = "background"
    BOOKING = "booking"


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Rate and burst of a budget.

    Attributes:
        calls_per_second: Average rate of all classes together.
        burst: Size of the token bucket.
        booking_share: Share of the burst that only bookings may use, so that
            background calls can't make bookings fail.
    """

    calls_per_second: float = 20.0
    burst: float = 40.0
    booking_share: float = 0.5


class CallBudget:
    """Token bucket that reserves a share for bookings."""

    def __init__(self, limits: BudgetLimits, now: units.Instant) -> None:
        self._limits = limits
        self._tokens = limits.burst
        self._refilled_at = now
        self._blocked_until = now

    @property
    def _booking_reserve(self) -> float:
        return self._limits.burst * self._limits.booking_share

    def try_acquire(
        self, call_class: CallClass, now: units.Instant
    ) -> result.Result[None, units.Seconds]:
        """Takes one token; returns the time to wait if none is available."""
        self._refill(now)
        reserved_tokens = (
            self._booking_reserve if call_class is CallClass.BACKGROUND else 0.0
        )
        missing_tokens = reserved_tokens + 1.0 - self._tokens
        waits = [missing_tokens / self._limits.calls_per_second]
        if call_class is CallClass.BACKGROUND:
            waits.append(units.elapsed(now, self._blocked_until))
        wait = max(waits)
        if wait > 0:
            return result.Err(units.Seconds(wait))
        self._tokens -= 1.0
        return result.Ok(None)

    def on_unavailable(self, now: units.Instant) -> None:
        """Handles a call that failed because the store is unavailable.

        Background calls lose their burst, so that a daemon resumes at its
        average rate when the store recovers.
        """
        self._refill(now)
        self._tokens = min(self._tokens, self._booking_reserve)

    def on_throttled(self, wait: units.Seconds, now: units.Instant) -> None:
        """Blocks background calls for `wait`; bookings are still tried."""
        self.on_unavailable(now)
        self._blocked_until = max(self._blocked_until, units.after(now, wait))

    def _refill(self, now: units.Instant) -> None:
        elapsed = units.elapsed(self._refilled_at, now)
        self._refilled_at = now
        self._tokens = min(
            self._limits.burst,
            self._tokens + elapsed * self._limits.calls_per_second,
        )
