"""Crashes of engines under requests, as daemons know of them."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from lavendershed.core import ids
from lavendershed.core import units

# Requests, and shared parts of their prompts.
Suspects = frozenset[ids.CrashSuspectId]

# Engines that end within this time have a common cause that is no request, such
# as their VM.
_COMMON_CAUSE_PERIOD = units.Seconds(0.1)
# Evidence about rare requests has to last until the third one.
_LIFETIME = units.Seconds(120.0)
_MAX_CRASHES = 128
_MAX_SUSPECTS_PER_CRASH = 64
# A crash is told with this many suspects at most, which fits into a report.
MAX_REPORTED_SUSPECTS = 12
_MAX_ANSWERS = 16_384
_MAX_ENDED = 1_024
# An answer that was on its way when the engine ended arrives within this time.
# Crashes that others report seem later than they were.
_ANSWER_DELAY = units.Seconds(0.1)


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine that ended while it had requests.

    Attributes:
        engine: Hash of the engine's incarnation, which ends only once.
        age: Time since the crash.
        suspects: These requests, and the shared parts of the prompts of those
            whose answers had not begun.
    """

    engine: int
    age: units.Seconds
    suspects: Suspects


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What a daemon tells the others.

    Attributes:
        crashes: Crashes that it has observed itself.
        cleared: Suspects that an answer has cleared at it, with the time since
            then.
        quarantines: Sets of suspects in quarantine, with the remaining time.
    """

    crashes: tuple[Crash, ...] = ()
    cleared: tuple[tuple[ids.CrashSuspectId, units.Seconds], ...] = ()
    quarantines: tuple[tuple[Suspects, units.Seconds], ...] = ()


@dataclasses.dataclass(slots=True)
class ObservedCrash:
    """A crash that this daemon knows of, with all suspects.

    Attributes:
        engine: Hash of the engine's incarnation.
        at: Earliest time that is known.
        suspects: Requests that the engine had, and parts of their prompts.
        confirmed: Whether the end of the engine is known from elsewhere than
            the paths of one daemon.
    """

    engine: int
    at: units.Instant
    suspects: Suspects
    confirmed: bool = False


class CrashLog:
    """Bounded list of crashes, one for each incarnation of an engine.

    An engine that answers after its loss has not ended; the connection to it
    has. Its crash is dropped then.
    """

    def __init__(self) -> None:
        self._crashes: dict[int, ObservedCrash] = {}
        # When engines last answered here, oldest entry first.
        self._answered_at: dict[int, units.Instant] = {}
        # Engines that are known to have ended, oldest entry first.
        self._ended: dict[int, None] = {}

    def __iter__(self) -> Iterator[ObservedCrash]:
        """Yields the crashes in the order in which they became known."""
        return iter(self._crashes.values())

    def __contains__(self, engine: object) -> bool:
        """Returns whether the end of an engine's incarnation is known."""
        return engine in self._crashes

    def add(self, engine: int, suspects: Suspects, at: units.Instant) -> None:
        """Adds a crash, or its suspects to the known crash of the incarnation.

        A report that an aggregator repeats states an age that is too small, so
        that the earliest time counts.
        """
        answered_at = self._answered_at.get(engine)
        if answered_at is not None and answered_at - at > _ANSWER_DELAY:
            return
        same = self._crashes.get(engine)
        if same is None:
            self._crashes[engine] = ObservedCrash(
                engine, at, _bounded(suspects), engine in self._ended
            )
            return
        same.at = min(same.at, at)
        same.suspects = _bounded((*same.suspects, *suspects - same.suspects))

    def on_answer(self, engine: int, now: units.Instant) -> bool:
        """Records a part of an answer; returns whether a crash is dropped."""
        if engine not in self._answered_at and (
            len(self._answered_at) >= _MAX_ANSWERS
        ):
            del self._answered_at[next(iter(self._answered_at))]
        self._answered_at[engine] = now
        crash = self._crashes.get(engine)
        if crash is None or now - crash.at <= _ANSWER_DELAY:
            return False
        del self._crashes[engine]
        return True

    def confirm(self, engine: int) -> bool:
        """Marks a crash as confirmed, also one that becomes known later.

        Returns:
            Whether a known crash was not confirmed before.
        """
        self._ended[engine] = None
        if len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        crash = self._crashes.get(engine)
        if crash is None or crash.confirmed:
            return False
        crash.confirmed = True
        return True

    def remove_suspects(self, suspects: Suspects) -> None:
        """Removes suspects from all crashes."""
        for crash in self._crashes.values():
            crash.suspects -= suspects

    def expire(self, now: units.Instant) -> None:
        """Drops what is too old, and the oldest of what is too much."""
        expired = [
            engine
            for engine, crash in self._crashes.items()
            if now - crash.at >= _LIFETIME
        ]
        excess = max(0, len(self._crashes) - len(expired) - _MAX_CRASHES)
        for engine in expired:
            del self._crashes[engine]
        for engine in tuple(itertools.islice(self._crashes, excess)):
            del self._crashes[engine]


def request_suspect(fingerprint: ids.Fingerprint) -> ids.CrashSuspectId:
    """Returns the suspect that stands for a whole request.

    It is negative, unlike those of parts of prompts.
    """
    return ids.CrashSuspectId(-1 - (fingerprint >> 1))


def is_request(suspect: ids.CrashSuspectId) -> bool:
    """Returns whether a suspect is a whole request."""
    return suspect < 0


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


def _bounded(suspects: Collection[ids.CrashSuspectId]) -> Suspects:
    return frozenset(itertools.islice(suspects, _MAX_SUSPECTS_PER_CRASH))
