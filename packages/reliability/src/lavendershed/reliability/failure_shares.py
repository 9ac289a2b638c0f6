"""Share of the calls that each server of a plain service fails.

A server may answer a part of its calls with a failure while its health check
is good. One daemon of a large fleet makes too few calls to see that, so that
the counts of all daemons are added up.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import math
from typing import TypeVar

from lavendershed.core import ids
from lavendershed.core import units

# Counts halve in this time. A few calls a second give a sample of about ten
# calls, and a server that works again gets its share back within some seconds.
_HALF_LIFE = units.Seconds(3.0)
# Calls that every server is taken to have answered besides. They make up the
# minimum sample: a single failure among seven answers is no share.
_PRIOR_ANSWERS = 3.0
# Smaller shares are no reason to prefer another server, for example in another
# availability zone.
_SHARE_STEP = 0.1
# Counts below this are forgotten.
_MIN_COUNT = 0.05
# Bounds the size of reports.
_MAX_REPORTED_SERVERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts:
    """Recent calls at one server; older calls count less.

    Attributes:
        answered: Calls that the server answered.
        failed: Calls that it failed.
    """

    answered: float = 0.0
    failed: float = 0.0

    @property
    def total(self) -> float:
        """All calls."""
        return self.answered + self.failed

    def decayed(self, age: units.Seconds) -> CallCounts:
        """Returns the counts `age` later."""
        factor = 0.5 ** (max(0.0, age) / _HALF_LIFE)
        return CallCounts(self.answered * factor, self.failed * factor)


K = TypeVar("K")

ReportedCounts = tuple[ids.ServerNumber, CallCounts]
# Called when peers should know the counts; with whether it is urgent.
Listener = Callable[[bool], object]


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    counts: CallCounts
    at: units.Instant

    def current(self, now: units.Instant) -> CallCounts:
        return self.counts.decayed(units.elapsed(self.at, now))


class FailureShares:
    """Counts answers and failures of servers at this daemon and its peers."""

    def __init__(self) -> None:
        self._local: dict[ids.ServerNumber, _Sample] = {}
        self._peers: dict[ids.ServerNumber, dict[ids.Incarnation, _Sample]] = {}
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` when the counts of a failing server change."""
        self._listeners.append(listener)

    def record(
        self, server: ids.ServerNumber, now: units.Instant, *, failed: bool
    ) -> None:
        """Counts a call of this daemon that a server answered or failed."""
        sample = self._local.get(server)
        counts = sample.current(now) if sample is not None else CallCounts()
        self._local[server] = _Sample(
            CallCounts(counts.answered + (not failed), counts.failed + failed),
            now,
        )
        # Answers matter to others only where there are failures.
        if failed or self.share(server, now):
            for listener in self._listeners:
                listener(failed)

    def on_report(
        self,
        daemon: ids.Incarnation,
        reported: Iterable[ReportedCounts],
        now: units.Instant,
    ) -> None:
        """Replaces the counts that another daemon has reported."""
        for server, counts in reported:
            self._peers.setdefault(server, {})[daemon] = _Sample(counts, now)

    def local_counts(self, now: units.Instant) -> tuple[ReportedCounts, ...]:
        """Returns the counts of this daemon, those with most failures first."""
        counted = [
            (server, counts)
            for server, sample in self._local.items()
            if (counts := sample.current(now)).total >= _MIN_COUNT
        ]
        counted.sort(key=lambda c: (-c[1].failed, -c[1].answered, c[0]))
        return tuple(counted[:_MAX_REPORTED_SERVERS])

    def expire(self, now: units.Instant) -> None:
        """Forgets counts that have decayed."""
        self._local = _without_decayed(self._local, now)
        self._peers = {
            server: remaining
            for server, samples in self._peers.items()
            if (remaining := _without_decayed(samples, now))
        }

    def share(self, server: ids.ServerNumber, now: units.Instant) -> float:
        """Returns the share of its calls that a server fails, from 0 to 1.

        It is rounded down, and 0 if too few calls are known.
        """
        local = self._local.get(server)
        known = tuple(
            itertools.chain(
                self._peers.get(server, {}).values(),
                () if local is None else (local,),
            )
        )
        if not any(sample.counts.failed for sample in known):
            return 0.0
        counts = [sample.current(now) for sample in known]
        failed = sum(c.failed for c in counts)
        total = sum(c.total for c in counts) + _PRIOR_ANSWERS
        steps = math.floor(failed / total / _SHARE_STEP)
        return round(steps * _SHARE_STEP, 3)


def _without_decayed(
    samples: dict[K, _Sample], now: units.Instant
) -> dict[K, _Sample]:
    return {
        key: sample
        for key, sample in samples.items()
        if sample.current(now).total >= _MIN_COUNT
    }
