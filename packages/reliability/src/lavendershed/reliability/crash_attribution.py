"""Attribution of engine crashes to requests and to parts that prompts share.

A request may crash each engine that runs it, and a part of a prompt each engine
that begins to write an answer on it. All requests that an engine had when it
ended are suspect, and so are the parts of those that were waiting for their
answers. Later crashes and answers tell the cause from what was there by chance:
the cause was in each of its crashes, and no answer has cleared it since.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import enum
import itertools
import math
from typing import TypeVar

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import crash_proof
from lavendershed.reliability import engine_crashes

# First quarantine of a set of parts, and the limit of its doubling.
QUARANTINE_TIME = units.Seconds(120.0)
_MAX_QUARANTINE_TIME = units.Seconds(960.0)
# Daemons that end a quarantine at different times would prolong it for each
# other.
_MIN_ADOPTED_TIME = units.Seconds(1.0)
# Evidence is reported for this long, several times to each daemon.
_REPORT_PERIOD = units.Seconds(5.0)
_MAX_CLEARED = 4_096
_MAX_QUARANTINES = 64
_MAX_FORMER_QUARANTINES = 256


class Verdict(enum.Enum):
    """What a decision says about a set of parts."""

    QUARANTINED = "quarantined"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision about suspects, with its grounds.

    Attributes:
        verdict: What was decided.
        parts: Suspects that can't be told apart; requests with all of them are
            refused.
        crashes: Crashes of engines that were counted.
        answers: Answers of other requests that began here since the first one.
        seconds: Time from the first crash to the decision.
        duration: Time for which requests are refused.
        from_peer: Whether another daemon has decided.
    """

    verdict: Verdict
    parts: engine_crashes.Suspects
    crashes: int = 0
    answers: int = 0
    seconds: units.Seconds = units.Seconds(0.0)
    duration: units.Seconds = units.Seconds(0.0)
    from_peer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Quarantine:
    since: units.Instant
    expires_at: units.Instant


# Called with a decision, or with None if there is other news to tell.
Listener = Callable[[Decision | None], object]
_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class CrashAttribution:
    """Finds what crashes engines, and quarantines it.

    Evidence of all daemons is combined as a set of incarnations of engines, so
    that the order and the number of reports don't matter. Suspects that were in
    the same crashes can't be told apart; then only requests with all of them
    are refused, until an answer clears one of them, or a crash without it.
    """

    def __init__(self) -> None:
        self._crashes = engine_crashes.CrashLog()
        self._own_crashes = engine_crashes.CrashLog()
        # Time of the last answer that began on a part, oldest entry first; at
        # any daemon, and at this one.
        self._cleared_at: dict[ids.CrashSuspectId, units.Instant] = {}
        self._cleared_here_at: dict[ids.CrashSuspectId, units.Instant] = {}
        self._proof = crash_proof.CrashProof()
        self._quarantines: dict[engine_crashes.Suspects, _Quarantine] = {}
        # Number of former quarantines, oldest entry first.
        self._former: dict[engine_crashes.Suspects, int] = {}
        # Parts that an answer has cleared during or after a quarantine.
        self._released: dict[ids.CrashSuspectId, units.Instant] = {}
        self._listeners: list[Listener] = []
        # Whether parts have enough crashes and no verdict yet.
        self._undecided = False

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with decisions, and with None for other news."""
        self._listeners.append(listener)

    def quarantine_remaining(
        self, parts: engine_crashes.Suspects, now: units.Instant
    ) -> units.Seconds | None:
        """Returns for how long a request with `parts` is refused, or None."""
        remaining = [
            units.elapsed(now, quarantine.expires_at)
            for quarantined, quarantine in self._quarantines.items()
            if quarantined <= parts and quarantine.expires_at > now
        ]
        return max(remaining, default=None)

    def is_suspected(self, suspects: engine_crashes.Suspects) -> bool:
        """Returns whether a whole request among them was in a crash.

        Parts of prompts don't count, since most of them are sound.
        """
        return any(
            engine_crashes.is_request(suspect) and self._is_suspected(suspect)
            for suspect in suspects
        )

    def was_in_crash(self, suspects: engine_crashes.Suspects) -> bool:
        """Returns whether any of them was in a crash since its last answer."""
        return any(map(self._is_suspected, suspects))

    def quarantine_count(self, now: units.Instant) -> int:
        """Returns the number of sets of parts in quarantine."""
        return sum(q.expires_at > now for q in self._quarantines.values())

    def on_answer_begun(
        self, parts: engine_crashes.Suspects, now: units.Instant
    ) -> None:
        """Records that an engine has begun to write an answer."""
        self._proof.on_answer(now)
        cleared = any(self._is_suspected(part) for part in parts)
        for part in parts:
            _insert_bounded(self._cleared_here_at, part, now, _MAX_CLEARED)
            self._record_cleared(part, now)
        if cleared:
            self._notify(None)
        if self._undecided:
            self._decide(now)

    def on_cleared(
        self, suspects: engine_crashes.Suspects, now: units.Instant
    ) -> None:
        """Records that an answer has shown suspects to be sound."""
        told = any(self._is_suspected(suspect) for suspect in suspects)
        for suspect in suspects:
            _insert_bounded(self._cleared_here_at, suspect, now, _MAX_CLEARED)
            self._record_cleared(suspect, now)
        if told:
            self._notify(None)

    def on_crash(
        self,
        engine: int,
        suspects: engine_crashes.Suspects,
        at: units.Instant,
        now: units.Instant,
    ) -> None:
        """Records that an engine was lost under a request.

        Args:
            engine: Hash of the engine's incarnation.
            suspects: The request, and the shared parts of its prompt if its
                answer had not begun.
            at: When it was lost.
            now: Current time.
        """
        self._expire(now)
        self._proof.on_loss(engine, at)
        if not suspects:
            return
        if engine in self._crashes and engine not in self._own_crashes:
            self._crashes.confirm(engine)
        for crashes in (self._own_crashes, self._crashes):
            crashes.add(engine, suspects, at)
        self._notify(None)
        self._decide(now)

    def on_engine_answered(self, engine: int, now: units.Instant) -> bool:
        """Records a part of an answer of an engine.

        Returns:
            Whether the engine was taken for one that had crashed.
        """
        told = self._own_crashes.on_answer(engine, now)
        dropped = self._crashes.on_answer(engine, now)
        if told:
            self._notify(None)
        return dropped

    def on_engine_ended(self, engine: int, now: units.Instant) -> None:
        """Records that an incarnation is known to have ended."""
        if self._crashes.confirm(engine) and self._undecided:
            self._decide(now)

    def on_peer_evidence(
        self, evidence: engine_crashes.Evidence, now: units.Instant
    ) -> None:
        """Adds what another daemon has told."""
        self._expire(now)
        for crash in evidence.crashes:
            at = units.Instant(now - crash.age)
            self._crashes.add(crash.engine, crash.suspects, at)
            if crash.engine in self._own_crashes:
                self._crashes.confirm(crash.engine)
        for part, age in evidence.cleared:
            self._record_cleared(part, units.Instant(now - age))
        for parts, remaining in evidence.quarantines:
            self._adopt(parts, remaining, now)
        if evidence.crashes or self._undecided:
            self._decide(now)

    def evidence(self, now: units.Instant) -> engine_crashes.Evidence:
        """Returns what to tell the other daemons."""
        self._expire(now)
        crashes_of = self._unexplained_crashes()
        reports = (
            engine_crashes.Crash(
                crash.engine,
                units.elapsed(crash.at, now),
                self._select_reported(crash, crashes_of),
            )
            for crash in self._recent_crashes(crashes_of, now)
        )
        return engine_crashes.Evidence(
            tuple(report for report in reports if report.suspects),
            tuple(
                (part, units.elapsed(self._cleared_here_at[part], now))
                for part in sorted(self._cleared_here(now))
            ),
            tuple(
                (parts, units.elapsed(now, quarantine.expires_at))
                for parts, quarantine in self._quarantines.items()
            ),
        )

    def report_state(self, now: units.Instant) -> object:
        """Returns a value that changes when there is news to tell."""
        return (
            tuple(
                (crash.engine, crash.suspects)
                for crash in self._recent_crashes(
                    self._unexplained_crashes(), now
                )
            ),
            self._cleared_here(now),
            frozenset(self._quarantines),
        )

    def _decide(self, now: units.Instant) -> None:
        """Quarantines the best explanations of the known crashes."""
        self._expire(now)
        self._undecided = False
        while len(self._quarantines) < _MAX_QUARANTINES:
            decision = self._next_quarantine(now)
            if decision is None:
                return
            self._quarantine(decision.parts, decision.duration, now)
            self._notify(decision)

    def _next_quarantine(self, now: units.Instant) -> Decision | None:
        crashes_of = self._unexplained_crashes()
        known_crashes = tuple(self._crashes)
        known = frozenset().union(*self._former)
        candidates = [
            part
            for part, indices in crashes_of.items()
            if len(indices) >= crash_proof.MIN_CRASHES or part in known
        ]
        # The part with most crashes is the best explanation.
        for part in sorted(candidates, key=lambda p: (-len(crashes_of[p]), p)):
            indices = crashes_of[part]
            # Parts that crash engines again after their quarantine need no
            # further proof.
            former = self._former_quarantine(indices, part, crashes_of)
            inseparable = former or frozenset(
                other for other, its in crashes_of.items() if indices <= its
            )
            if self._is_quarantined(inseparable):
                continue
            times = sorted(known_crashes[index].at for index in indices)
            if former is None:
                crashes = tuple(known_crashes[index] for index in indices)
                if not self._proof.has_enough_crashes(part, crashes):
                    continue
                # More answers or time may prove it without another crash.
                self._undecided = True
                if not self._proof.is_proved(part, crashes, known_crashes, now):
                    continue
            count = engine_crashes.count_causes(times)
            answers = self._proof.count_answers(times[0])
            return Decision(
                Verdict.QUARANTINED,
                inseparable,
                count,
                answers,
                units.elapsed(times[0], now),
                units.Seconds(
                    min(
                        QUARANTINE_TIME * 2 ** self._former.get(inseparable, 0),
                        _MAX_QUARANTINE_TIME,
                    )
                ),
            )
        return None

    def _former_quarantine(
        self,
        indices: set[int],
        part: ids.CrashSuspectId,
        crashes_of: dict[ids.CrashSuspectId, set[int]],
    ) -> engine_crashes.Suspects | None:
        """Returns a former quarantine that would explain these crashes."""
        return next(
            (
                former
                for former in self._former
                if part in former
                and all(
                    indices <= crashes_of.get(other, set()) for other in former
                )
            ),
            None,
        )

    def _unexplained_crashes(self) -> dict[ids.CrashSuspectId, set[int]]:
        """Returns the crashes of each part since its last answer, by index.

        A crash that other parts are in quarantine for is no evidence.
        """
        crashes_of: dict[ids.CrashSuspectId, set[int]] = {}
        for index, crash in enumerate(self._crashes):
            causes = [q for q in self._quarantines if q <= crash.suspects]
            for part in crash.suspects:
                if any(part not in cause for cause in causes):
                    continue
                if not self._cleared_after(part, crash.at):
                    crashes_of.setdefault(part, set()).add(index)
        return crashes_of

    def _is_suspected(self, part: ids.CrashSuspectId) -> bool:
        """Returns whether a part was in a crash since its last answer."""
        return any(
            part in crash.suspects and not self._cleared_after(part, crash.at)
            for crash in self._crashes
        )

    def _is_quarantined(self, parts: engine_crashes.Suspects) -> bool:
        return any(quarantined <= parts for quarantined in self._quarantines)

    def _cleared_after(
        self, part: ids.CrashSuspectId, instant: units.Instant
    ) -> bool:
        return self._cleared_at.get(part, -math.inf) > instant

    def _record_cleared(
        self, part: ids.CrashSuspectId, at: units.Instant
    ) -> None:
        """Clears a part of the crashes before `at`."""
        if self._cleared_after(part, at):
            return
        _insert_bounded(self._cleared_at, part, at, _MAX_CLEARED)
        for former in [former for former in self._former if part in former]:
            del self._former[former]
            _insert_bounded(self._released, part, at, _MAX_QUARANTINES)
        for parts, quarantine in tuple(self._quarantines.items()):
            if part not in parts or at <= quarantine.since:
                continue
            del self._quarantines[parts]
            _insert_bounded(self._released, part, at, _MAX_QUARANTINES)
            rest = parts - {part}
            if rest and not self._is_quarantined(rest):
                self._quarantines[rest] = quarantine
            self._notify(Decision(Verdict.RELEASED, frozenset({part})))

    def _adopt(
        self,
        parts: engine_crashes.Suspects,
        remaining: units.Seconds,
        now: units.Instant,
    ) -> None:
        """Takes a quarantine over from another daemon."""
        cleared = any(
            now - self._cleared_at.get(part, -math.inf) < _REPORT_PERIOD
            for part in parts
        )
        if (
            not parts
            or cleared
            or remaining < _MIN_ADOPTED_TIME
            or self._is_quarantined(parts)
        ):
            return
        duration = units.Seconds(min(remaining, _MAX_QUARANTINE_TIME))
        self._quarantine(parts, duration, now)
        self._notify(
            Decision(
                Verdict.QUARANTINED, parts, duration=duration, from_peer=True
            )
        )

    def _quarantine(
        self,
        parts: engine_crashes.Suspects,
        duration: units.Seconds,
        now: units.Instant,
    ) -> None:
        for quarantined in tuple(self._quarantines):
            if parts < quarantined:
                del self._quarantines[quarantined]
        _insert_bounded(
            self._quarantines,
            parts,
            _Quarantine(now, units.after(now, duration)),
            _MAX_QUARANTINES,
        )
        _insert_bounded(
            self._former,
            parts,
            self._former.get(parts, 0) + 1,
            _MAX_FORMER_QUARANTINES,
        )

    def _recent_crashes(
        self,
        crashes_of: dict[ids.CrashSuspectId, set[int]],
        now: units.Instant,
    ) -> Iterator[engine_crashes.ObservedCrash]:
        """Yields the own crashes that are still told to others.

        Crashes of what is suspected of several are told as long as they count,
        for daemons that have just started.
        """
        return (
            crash
            for crash in self._own_crashes
            if now - crash.at <= _REPORT_PERIOD
            or any(len(crashes_of.get(s, ())) > 1 for s in crash.suspects)
        )

    def _select_reported(
        self,
        crash: engine_crashes.ObservedCrash,
        crashes_of: dict[ids.CrashSuspectId, set[int]],
    ) -> engine_crashes.Suspects:
        """Returns the suspects to report, those in most crashes first."""
        suspects = sorted(
            (s for s in crash.suspects if not self._cleared_after(s, crash.at)),
            key=lambda s: (-len(crashes_of.get(s, ())), s),
        )
        return frozenset(suspects[: engine_crashes.MAX_REPORTED_SUSPECTS])

    def _cleared_here(self, now: units.Instant) -> engine_crashes.Suspects:
        """Returns the suspected parts on which an answer has begun here."""
        suspected = itertools.chain(
            itertools.chain.from_iterable(
                ((part, crash.at) for part in crash.suspects)
                for crash in self._crashes
                if now - crash.at <= _REPORT_PERIOD
            ),
            (
                (part, math.nextafter(at, -math.inf))
                for part, at in self._released.items()
                if now - at <= _REPORT_PERIOD
            ),
        )
        return frozenset(
            part
            for part, at in suspected
            if self._cleared_here_at.get(part, -math.inf) > at
        )

    def _expire(self, now: units.Instant) -> None:
        """Drops old evidence and ends quarantines."""
        logs = (self._crashes, self._own_crashes)
        for crashes in logs:
            crashes.expire(now)
        for parts, quarantine in tuple(self._quarantines.items()):
            if quarantine.expires_at <= now:
                del self._quarantines[parts]
                # Crashes before the quarantine count no more.
                for crashes in logs:
                    crashes.remove_suspects(parts)

    def _notify(self, decision: Decision | None) -> None:
        for listener in self._listeners:
            listener(decision)


def _insert_bounded(
    table: dict[_Key, _Value], key: _Key, value: _Value, limit: int
) -> None:
    table.pop(key, None)
    table[key] = value
    if len(table) > limit:
        del table[next(iter(table))]
