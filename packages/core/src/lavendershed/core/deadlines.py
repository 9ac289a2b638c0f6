"""Request deadlines."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """Monotonic time by which a request has to complete."""

    at: units.Instant

    @classmethod
    def from_timeout(
        cls, now: units.Instant, timeout: units.Seconds
    ) -> Deadline:
        """Returns the deadline `timeout` seconds after `now`."""
        return cls(units.after(now, timeout))

    def remaining(self, now: units.Instant) -> units.Seconds:
        """Returns the remaining seconds at `now`; never negative."""
        return units.Seconds(max(0.0, self.at - now))

    def is_expired(self, now: units.Instant) -> bool:
        """Returns whether the deadline has been reached at `now`."""
        return now >= self.at
