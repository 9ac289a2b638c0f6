"""Times at which rejected callers may return."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units

# Callers follow a Retry-After up to this share of the time that they have left.
_MAX_SHARE_OF_TIME_LEFT = 1 / 3
_MIN_RETRY_AFTER = units.Seconds(0.1)
# The schedule never runs further ahead than this: estimates of a longer backlog
# are not reliable, and callers have left by then.
_MAX_AHEAD = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity that rejected requests return to.

    Attributes:
        engines: Engines that accept requests.
        daemons: Daemons that issue times of return independently.
        backlog: Time until the engines have done what they have now.
        opens_after: Time before which no engine takes requests.
    """

    engines: int
    daemons: int
    backlog: units.Seconds
    opens_after: units.Seconds = units.Seconds(0.0)


class ReturnSchedule:
    """Spreads the returns of rejected callers over the capacity.

    It answers the load pattern of many callers that are rejected at once and
    would return at once: each gets a time of its own, not before the backlog
    is done, and at the rate at which this daemon's share of the engines serves
    them.
    """

    def __init__(self) -> None:
        self._next_return_at = units.Instant(0.0)

    def issue(
        self,
        engine_time: units.Seconds,
        capacity: Capacity,
        time_left: units.Seconds,
        now: units.Instant,
    ) -> units.Seconds | None:
        """Returns a Retry-After for a rejected request.

        Args:
            engine_time: Time that one engine alone needs for it.
            capacity: The capacity that it returns to.
            time_left: Time until the caller's deadline.
            now: Current time.

        Returns:
            The Retry-After; None if no return can be served in time.
        """
        if not capacity.engines:
            return None
        opens_after = capacity.opens_after
        earliest = units.after(now, max(capacity.backlog, opens_after))
        latest = units.after(now, units.Seconds(opens_after + _MAX_AHEAD))
        return_at = units.Instant(
            min(latest, max(earliest, self._next_return_at))
        )
        spacing = engine_time * capacity.daemons / capacity.engines
        self._next_return_at = units.after(return_at, units.Seconds(spacing))
        retry_after = max(_MIN_RETRY_AFTER, return_at - now)
        shortest_time = engine_time / capacity.engines
        if retry_after + shortest_time >= time_left:
            return None
        if opens_after:
            # A caller that returns earlier would be refused again.
            return units.Seconds(retry_after)
        return units.Seconds(
            min(retry_after, time_left * _MAX_SHARE_OF_TIME_LEFT)
        )
