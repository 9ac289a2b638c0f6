"""Age of a daemon's copy of shared state."""

from __future__ import annotations

from lavendershed.core import units


class Freshness:
    """When a copy of shared state was last confirmed to be the newest.

    A source that reports changes only is silent both when there are none and
    when it is broken. The age of the last confirmation tells them apart.
    """

    def __init__(self) -> None:
        self._confirmed_at: units.Instant | None = None

    def confirm(self, at: units.Instant) -> None:
        """Records that the copy was the newest at `at`."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age(self, now: units.Instant) -> units.Seconds | None:
        """Returns the time since the confirmation; None before the first."""
        if self._confirmed_at is None:
            return None
        return units.elapsed(self._confirmed_at, now)
