"""Delays between attempts."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.core import units

_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffLimits:
    """Bounds of the delays.

    Attributes:
        initial: Longest delay before the second attempt.
        longest: Longest delay before any attempt.
    """

    initial: units.Seconds = units.Seconds(0.1)
    longest: units.Seconds = units.Seconds(10.0)


class Backoff:
    """Exponential delays with jitter.

    Each delay is drawn from the upper half of its range: the spread keeps
    processes that failed together from coming back together, and the lower
    bound keeps a run of small draws from becoming a burst.
    """

    def __init__(
        self,
        generator: random.Random,
        limits: BackoffLimits = BackoffLimits(),  # noqa: B008
    ) -> None:
        self._random = generator
        self._limits = limits
        self._range = limits.initial

    def next_delay(self) -> units.Seconds:
        """Returns the delay before the next attempt and widens the range."""
        current = self._range
        self._range = units.Seconds(
            min(current * _FACTOR, self._limits.longest)
        )
        return units.Seconds(self._random.uniform(current / 2, current))

    def reset(self) -> None:
        """Starts over after a success."""
        self._range = self._limits.initial
