"""Exponential backoff with jitter."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.core import units

_MULTIPLIER = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffLimits:
    """Bounds of the retry delays.

    Attributes:
        initial_delay: Upper bound of the delay before the second attempt.
        max_delay: Upper bound of the delay before any attempt.
    """

    initial_delay: units.Seconds = units.Seconds(0.1)
    max_delay: units.Seconds = units.Seconds(10.0)


class Backoff:
    """Exponential delays with jitter.

    Each delay is drawn from the upper half of its range. The jitter prevents
    synchronised retries of processes that failed at the same time; the lower
    bound prevents bursts of retries after a series of small random values.
    """

    def __init__(
        self,
        generator: random.Random,
        limits: BackoffLimits = BackoffLimits(),  # noqa: B008
    ) -> None:
        self._random = generator
        self._limits = limits
        self._upper_bound = limits.initial_delay

    def next_delay(self) -> units.Seconds:
        """Returns the delay before the next attempt and doubles the bound."""
        upper_bound = self._upper_bound
        self._upper_bound = units.Seconds(
            min(upper_bound * _MULTIPLIER, self._limits.max_delay)
        )
        return units.Seconds(self._random.uniform(upper_bound / 2, upper_bound))

    def reset(self) -> None:
        """Resets the delay to its initial bound after a success."""
        self._upper_bound = self._limits.initial_delay
