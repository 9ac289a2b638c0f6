"""Types of quantities with units."""

from __future__ import annotations

from typing import NewType

# Time on the monotonic clock of one process, in seconds.
Instant = NewType("Instant", float)
Seconds = NewType("Seconds", float)
Milliseconds = NewType("Milliseconds", int)
Tokens = NewType("Tokens", int)
Bytes = NewType("Bytes", int)
RequestsPerSecond = NewType("RequestsPerSecond", float)


def after(instant: Instant, duration: Seconds) -> Instant:
    """Returns the instant `duration` seconds after `instant`."""
    return Instant(instant + duration)


def elapsed(start: Instant, end: Instant) -> Seconds:
    """Returns the seconds from `start` to `end`; negative if `end` is first."""
    return Seconds(end - start)
