"""Share of the fleet that a daemon sees."""

from __future__ import annotations

import collections

from lavendershed.core import units

# Daemons that were seen within this time count as part of the fleet, because
# they may be alive on the other side of a partition.
_MEMORY = units.Seconds(30.0)


class VisibleFleet:
    """Ratio of the daemons that are visible now to those seen recently.

    If a partition divides the fleet, the shares of its sides add up to one, so
    that a limit that each side applies to its share holds for all of them.
    """

    def __init__(self) -> None:
        # Sizes in descending order, each with the last time it was observed.
        self._maxima: collections.deque[tuple[int, units.Instant]] = (
            collections.deque()
        )

    def observe(self, size: int, now: units.Instant) -> None:
        """Records the number of visible daemons, this one included."""
        while self._maxima and self._maxima[-1][0] <= size:
            self._maxima.pop()
        self._maxima.append((size, now))
        while now - self._maxima[0][1] > _MEMORY:
            self._maxima.popleft()

    @property
    def share(self) -> float:
        """Visible share of the fleet, above 0 and at most 1."""
        if not self._maxima:
            return 1.0
        return self._maxima[-1][0] / self._maxima[0][0]
