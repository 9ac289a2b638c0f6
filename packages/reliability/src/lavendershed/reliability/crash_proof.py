"""Judges whether crashes of engines under a suspect are more than chance."""

from __future__ import annotations

import collections
from collections.abc import Collection

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import engine_crashes

# Crashes of a suspect before it is held responsible; two may be a coincidence.
MIN_CRASHES = 3
# Other daemons need this time to tell that answers have begun.
_SETTLING_TIME = units.Seconds(0.3)
# Probability that a sound part was in all of its crashes, and expected number
# of sound requests that were.
_MAX_CHANCE = 0.02
# Where engines crash for other reasons, some requests meet several crashes. A
# request is held responsible only if there are at most this many other causes
# for each of its crashes, from this time before the first one on.
_MAX_OTHER_CAUSES = 2
_BACKGROUND_PERIOD = units.Seconds(10.0)
_MAX_OUTCOMES = 256

Crashes = Collection[engine_crashes.ObservedCrash]


class CrashProof:
    """Compares the crashes of a suspect with the other requests here."""

    def __init__(self) -> None:
        # Outcomes of requests at this daemon.
        self._answers: collections.deque[units.Instant] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self._losses: collections.deque[tuple[units.Instant, int]] = (
            collections.deque(maxlen=_MAX_OUTCOMES)
        )

    def on_answer(self, now: units.Instant) -> None:
        """Records that the answer of a request has begun."""
        self._answers.append(now)

    def on_loss(self, engine: int, at: units.Instant) -> None:
        """Records that an engine was lost under a request."""
        self._losses.append((at, engine))

    def count_answers(self, since: units.Instant) -> int:
        """Returns how many answers have begun here after an instant."""
        return sum(at > since for at in self._answers)

    def has_enough_crashes(
        self, suspect: ids.CrashSuspectId, crashes: Crashes
    ) -> bool:
        """Returns whether a suspect was in enough crashes to be judged."""
        return _count(suspect, crashes) >= MIN_CRASHES

    def is_proved(
        self,
        suspect: ids.CrashSuspectId,
        crashes: Crashes,
        known_crashes: Crashes,
        now: units.Instant,
    ) -> bool:
        """Returns whether a suspect is at fault.

        Args:
            suspect: A request or a part of prompts.
            crashes: Crashes that it was in, without an answer since.
            known_crashes: All crashes that are known.
            now: Current time.
        """
        since = min(crash.at for crash in crashes)
        if now - since < _SETTLING_TIME:
            return False
        engines = {crash.engine for crash in crashes}
        count = _count(suspect, crashes)
        others = engine_crashes.count_causes(
            sorted(
                crash.at
                for crash in known_crashes
                if crash.at >= since - _BACKGROUND_PERIOD
                and crash.engine not in engines
            )
        )
        few_others = others <= count * _MAX_OTHER_CAUSES
        if engine_crashes.is_request(suspect) and not few_others:
            return False
        if self._chance(suspect, since, count, engines) <= _MAX_CHANCE:
            return True
        # Without answers of other requests here the own path may be at fault,
        # unless the ends of the engines are known from elsewhere.
        confirmed = sum(crash.confirmed for crash in crashes)
        return confirmed >= MIN_CRASHES and few_others

    def _chance(
        self,
        suspect: ids.CrashSuspectId,
        since: units.Instant,
        crashes: int,
        engines: set[int],
    ) -> float:
        """Returns how likely a sound suspect was in all of its crashes.

        Without any answer of another request the engines may be at fault. Of
        many sound requests a few meet several crashes, so that for a request
        the expected number of such requests is returned.
        """
        answers = self.count_answers(since)
        if not answers:
            return 1.0
        others = sum(
            at >= since and engine not in engines for at, engine in self._losses
        )
        chance = ((others + 1) / (others + answers + 2)) ** crashes
        if not engine_crashes.is_request(suspect):
            return chance
        return chance * (others + answers + 1)


def _count(suspect: ids.CrashSuspectId, crashes: Crashes) -> int:
    """Returns the number of crashes that count."""
    count = engine_crashes.count_causes(sorted(c.at for c in crashes))
    if count > 1 and engine_crashes.is_request(suspect):
        # Its attempts follow each other within milliseconds.
        return len(crashes)
    return count
