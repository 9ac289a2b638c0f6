"""Timer service that replaces direct access to the clock."""

from __future__ import annotations

import abc
from collections.abc import Callable
import heapq
import itertools

from lavendershed.core import units

Callback = Callable[[], object]


class Timer(abc.ABC):
    """A pending timer."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the timer. Idempotent."""


class TimerService(abc.ABC):
    """Monotonic clock and timers."""

    @abc.abstractmethod
    def now(self) -> units.Instant:
        """Returns the monotonic time in seconds."""

    @abc.abstractmethod
    def schedule_at(self, when: units.Instant, callback: Callback) -> Timer:
        """Calls `callback` once at `when`, or as soon as possible after it."""

    def schedule_every(
        self, interval: units.Seconds, callback: Callback
    ) -> Timer:
        """Calls `callback` every `interval` seconds until cancelled."""
        return _PeriodicTimer(self, interval, callback)


class _PeriodicTimer(Timer):
    def __init__(
        self, timers: TimerService, interval: units.Seconds, callback: Callback
    ) -> None:
        self._timers = timers
        self._interval = interval
        self._callback = callback
        self._cancelled = False
        self._current = self._schedule()

    def cancel(self) -> None:
        self._cancelled = True
        self._current.cancel()

    def _schedule(self) -> Timer:
        when = units.after(self._timers.now(), self._interval)
        return self._timers.schedule_at(when, self._fire)

    def _fire(self) -> None:
        if self._cancelled:
            return
        # Reschedules before the callback, so that the callback can cancel.
        self._current = self._schedule()
        self._callback()


class _VirtualTimer(Timer):
    def __init__(self, callback: Callback) -> None:
        self._callback: Callback | None = callback

    def cancel(self) -> None:
        self._callback = None

    def fire(self) -> None:
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class VirtualTimerService(TimerService):
    """Timers on a virtual clock that only `advance` moves."""

    def __init__(self) -> None:
        self._now = units.Instant(0.0)
        self._sequence = itertools.count()
        self._pending: list[tuple[units.Instant, int, _VirtualTimer]] = []

    def now(self) -> units.Instant:
        """Returns the virtual time in seconds."""
        return self._now

    def schedule_at(self, when: units.Instant, callback: Callback) -> Timer:
        """Calls `callback` once `advance` reaches `when`."""
        timer = _VirtualTimer(callback)
        entry = (max(when, self._now), next(self._sequence), timer)
        heapq.heappush(self._pending, entry)
        return timer

    def advance(self, duration: units.Seconds) -> None:
        """Advances the clock by `duration` seconds and fires due timers."""
        end = units.after(self._now, duration)
        while self._pending and self._pending[0][0] <= end:
            self._now, _, timer = heapq.heappop(self._pending)
            timer.fire()
        self._now = end
