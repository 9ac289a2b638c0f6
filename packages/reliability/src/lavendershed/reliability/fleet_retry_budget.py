"""This daemon's share of the fleet-wide retry budget of each service."""

from __future__ import annotations

import collections
import dataclasses
import math

from lavendershed.core import ids
from lavendershed.core import units

# Fraction of the budget that is used; the rest is a margin for requests in
# flight while the number of daemons changes.
_SAFETY_FACTOR = 0.8
# Slack of a new process, which allows one retry.
_FIRST_SLACK = 1.0 / _SAFETY_FACTOR


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBudgetLimits:
    """Limits on the retries of all daemons together.

    Attributes:
        ratio: Retries per request.
        slack: Retries per window in addition to the ratio.
        window: Length of the sliding window.
    """

    ratio: float
    slack: float
    window: units.Seconds


class FleetRetryBudget:
    """Counts requests and retries per service in a sliding window.

    The process that ran on this VM before may have spent its share of the
    slack, so that the share of a new process grows over one window.
    """

    def __init__(
        self,
        limits: FleetBudgetLimits,
        started_at: units.Instant | None = None,
    ) -> None:
        """Creates the budget of one process.

        Args:
            limits: Limits on the retries of all daemons together.
            started_at: When the process started; None if long ago.
        """
        self._limits = limits
        self._started_at = -math.inf if started_at is None else started_at
        self._max_daemon_count = 1
        self._requests: dict[ids.ServiceId, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._retries: dict[ids.ServiceId, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the budget, at most so far."""
        return self._max_daemon_count

    def set_limits(self, limits: FleetBudgetLimits) -> None:
        """Replaces the limits and keeps the counts."""
        self._limits = limits

    def set_daemon_count(self, daemon_count: int) -> None:
        """Updates the number of daemons that share the slack.

        The largest number so far is used, because unreachable daemons may
        still be spending their shares.
        """
        self._max_daemon_count = max(self._max_daemon_count, daemon_count)

    def on_request(self, service: ids.ServiceId, now: units.Instant) -> None:
        """Counts a request for a service."""
        requests = self._requests[service]
        requests.append(now)
        _discard_before(requests, now - self._limits.window)

    def try_spend(self, service: ids.ServiceId, now: units.Instant) -> bool:
        """Counts one retry; returns False if the share is exhausted."""
        window_start = now - self._limits.window
        requests = _discard_before(self._requests[service], window_start)
        retries = _discard_before(self._retries[service], window_start)
        slack = self._limits.slack / self._max_daemon_count
        if window_start < self._started_at:
            age_share = (now - self._started_at) / self._limits.window
            slack = min(slack, max(_FIRST_SLACK, slack * age_share))
        allowed_retries = _SAFETY_FACTOR * (
            self._limits.ratio * len(requests) + slack
        )
        if len(retries) + 1 > allowed_retries:
            return False
        retries.append(now)
        return True


def _discard_before(
    times: collections.deque[float], window_start: float
) -> collections.deque[float]:
    while times and times[0] < window_start:
        times.popleft()
    return times
