"""Crashes of engines before answers had begun, as daemons know of them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from lavendershed.core import ids
from lavendershed.core import units

Parts = frozenset[ids.PromptPartId]

# Engines that end within this time have a common cause that is no request, such
# as their VM.
_COMMON_CAUSE_PERIOD = units.Seconds(0.1)
# Evidence about rare requests has to last until the third one.
_LIFETIME = units.Seconds(120.0)
_MAX_CRASHES = 128
_MAX_PARTS_PER_CRASH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine that ended before the answers of requests had begun.

    Attributes:
        engine: Hash of the engine's incarnation, which ends only once.
        age: Time since the crash.
        parts: Shared parts of these requests.
    """

    engine: int
    age: units.Seconds
    parts: Parts


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a daemon tells the others.

    Attributes:
        crashes: Crashes that it has observed itself.
        begun: Suspected parts on which answers have begun at it, with the time
            since then.
        quarantines: Sets of parts in quarantine, with the remaining time.
    """

    crashes: tuple[Crash, ...] = ()
    begun: tuple[tuple[ids.PromptPartId, units.Seconds], ...] = ()
    quarantines: tuple[tuple[Parts, units.Seconds], ...] = ()


@dataclasses.dataclass(slots=True)
class ObservedCrash:
    """A crash that this daemon knows of, with all suspect parts.

    Attributes:
        engine: Hash of the engine's incarnation.
        at: Earliest time that is known.
        parts: Shared parts of the requests that waited for their answers.
    """

    engine: int
    at: units.Instant
    parts: Parts


class CrashLog:
    """Bounded list of crashes, one for each incarnation of an engine."""

    def __init__(self) -> None:
        self._crashes: list[ObservedCrash] = []

    def __iter__(self) -> Iterator[ObservedCrash]:
        """Yields the crashes in the order in which they became known."""
        return iter(self._crashes)

    def add(self, engine: int, parts: Parts, at: units.Instant) -> None:
        """Adds a crash, or its parts to the known crash of the incarnation.

        A report that an aggregator repeats states an age that is too small, so
        that the earliest time counts.
        """
        same = next((c for c in self._crashes if c.engine == engine), None)
        if same is None:
            self._crashes.append(ObservedCrash(engine, at, _bounded(parts)))
            return
        same.at = min(same.at, at)
        same.parts = _bounded((*same.parts, *parts - same.parts))

    def remove_parts(self, parts: Parts) -> None:
        """Removes parts from all crashes."""
        for crash in self._crashes:
            crash.parts -= parts

    def expire(self, now: units.Instant) -> None:
        """Drops what is too old, and the oldest of what is too much."""
        self._crashes = [
            crash for crash in self._crashes if now - crash.at < _LIFETIME
        ][-_MAX_CRASHES:]


def count_causes(times: Iterable[units.Instant]) -> int:
    """Returns the number of crashes that can have different causes.

    Args:
        times: Times of the crashes, the first one first.
    """
    causes: list[units.Instant] = []
    for at in times:
        if not causes or at - causes[-1] > _COMMON_CAUSE_PERIOD:
            causes.append(at)
    return len(causes)


def _bounded(parts: Iterable[ids.PromptPartId]) -> Parts:
    return frozenset(itertools.islice(parts, _MAX_PARTS_PER_CRASH))
