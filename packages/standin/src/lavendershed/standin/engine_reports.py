"""Load reports and cache events of an engine, delayed and with gaps."""

from __future__ import annotations

import collections
import random

from lavendershed.core import timers
from lavendershed.core import units

_MAX_EVENTS = 10_000


class CacheEventLog:
    """Cache events with sequence numbers, visible after a delay."""

    def __init__(
        self,
        delay: units.Seconds,
        loss_share: float,
        timer_service: timers.TimerService,
        generator: random.Random,
    ) -> None:
        self._delay = delay
        self._loss_share = loss_share
        self._timers = timer_service
        self._generator = generator
        self._last_sequence = 0
        self._events: collections.deque[
            tuple[units.Instant, dict[str, object]]
        ] = collections.deque(maxlen=_MAX_EVENTS)

    def add(self, stored: tuple[int, ...], evicted: tuple[int, ...]) -> None:
        """Adds an event, or drops it and leaves a gap in the numbers."""
        self._last_sequence += 1
        if self._generator.random() < self._loss_share:
            return
        visible_at = units.after(self._timers.now(), self._delay)
        event: dict[str, object] = {
            "sequence": self._last_sequence,
            "stored": stored,
            "evicted": evicted,
        }
        self._events.append((visible_at, event))

    def events_after(self, sequence: int) -> list[dict[str, object]]:
        """Returns the visible events with a greater sequence number."""
        now = self._timers.now()
        return [
            event
            for visible_at, event in self._events
            if visible_at <= now and int(str(event["sequence"])) > sequence
        ]


class LaggingReport:
    """Load report that is refreshed at most once per `lag`."""

    def __init__(
        self, lag: units.Seconds, timer_service: timers.TimerService
    ) -> None:
        self._lag = lag
        self._timers = timer_service
        self._report: dict[str, object] = {}
        self._reported_at: units.Instant | None = None

    def read(self, current: dict[str, object]) -> dict[str, object]:
        """Returns a report that is up to `lag` old."""
        now = self._timers.now()
        if (
            self._reported_at is None
            or units.elapsed(self._reported_at, now) >= self._lag
        ):
            self._report = current | {"timestamp": now}
            self._reported_at = now
        return self._report
