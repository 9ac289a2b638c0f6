"""What the loss of an engine is taken for, as far as one daemon can tell."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import engine_crashes

# Engines that are lost here within this time have a common cause.
HOLD_PERIOD = units.Seconds(0.25)
# A VM that runs two engines may take both with it.
_MIN_COMMON_LOSSES = 3
# The list of servers lacks an engine after three missed heartbeats of 1.2 s.
_MAX_HOLD = units.Seconds(8.0)
# Parts of an answer may be on their way when the connection is lost.
_ANSWER_DELAY = units.Seconds(0.1)
_MAX_ENGINES = 16_384
_MAX_HELD = 256


class LossCause(enum.Enum):
    """What a loss is taken for."""

    CRASH = "crash"
    SILENCE = "silence"
    PLANNED = "planned"
    OWN_PATH = "own_path"


class LossEvidence(enum.Enum):
    """What a loss was judged by."""

    CONNECTION_LOST = "connection_lost"
    BODY_CUT = "body_cut"
    NO_DATA = "no_data"
    ENTRY_LEAVING = "entry_leaving"
    ENTRY_GONE = "entry_gone"
    ENGINE_ANSWERED = "engine_answered"
    ENGINE_ACCEPTED = "engine_accepted"
    ENGINE_REFUSED = "engine_refused"
    SEVERAL_ENGINES_LOST = "several_engines_lost"
    NO_OTHER_ENGINE_ANSWERED = "no_other_engine_answered"


# Losses after which the engine may have ended because of a request.
_COUNTED_CAUSES = frozenset({LossCause.CRASH, LossCause.SILENCE})


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of an engine under one request.

    Attributes:
        request: Id of the request.
        server: Id of the engine.
        engine: Number of the engine's incarnation.
        suspects: The request, and the shared parts of its prompt if its answer
            had not begun.
        evidence: How the loss was noticed.
        at: When it was noticed.
        leaving: Whether the engine was known to be leaving.
    """

    request: ids.RequestId
    server: ids.BackendServerId
    engine: ids.ServerNumber
    suspects: engine_crashes.Suspects
    evidence: LossEvidence
    at: units.Instant
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JudgedLoss:
    """A loss with what it is taken for.

    Attributes:
        loss: The loss.
        cause: What it is taken for.
        evidence: What it was judged by.
        age: Time since the engine last answered here; None if it never did.
    """

    loss: Loss
    cause: LossCause
    evidence: LossEvidence
    age: units.Seconds | None

    @property
    def is_counted(self) -> bool:
        """Whether the engine may have ended because of the request."""
        return self.cause in _COUNTED_CAUSES


class EngineLosses:
    """Tells ends of engines from failures of this daemon's own path.

    A loss is held until more is known. It counts if the list of servers says
    that the engine has ended, or if another engine has answered here since and
    the lost one refuses connections or is one of at most two lost together.
    """

    def __init__(self) -> None:
        self._answered_at: dict[ids.ServerNumber, units.Instant] = {}
        self._last_answers: tuple[
            tuple[ids.ServerNumber, units.Instant], ...
        ] = ()
        self._held: list[Loss] = []
        # Engines lost of late, each with the time of its first loss.
        self._lost_at: dict[ids.ServerNumber, units.Instant] = {}
        self._ended: set[ids.ServerNumber] = set()
        self._accepted: set[ids.ServerNumber] = set()
        self._refused: set[ids.ServerNumber] = set()

    @property
    def has_held(self) -> bool:
        """Whether any loss has not been judged."""
        return bool(self._held)

    def on_answer(self, engine: ids.ServerNumber, now: units.Instant) -> None:
        """Records that an engine has sent a part of an answer."""
        if engine not in self._answered_at and (
            len(self._answered_at) >= _MAX_ENGINES
        ):
            del self._answered_at[next(iter(self._answered_at))]
        self._answered_at[engine] = now
        # The last answers of two engines tell whether another one than a given
        # engine has answered.
        others = tuple(last for last in self._last_answers if last[0] != engine)
        self._last_answers = ((engine, now), *others[:1])

    def on_loss(self, loss: Loss) -> None:
        """Holds a loss; the oldest one is dropped if there are too many."""
        self._held.append(loss)
        del self._held[:-_MAX_HELD]
        self._lost_at.setdefault(loss.engine, loss.at)

    def on_ended(self, engine: ids.ServerNumber) -> None:
        """Records that the list of servers lacks an engine by now."""
        if any(loss.engine == engine for loss in self._held):
            self._ended.add(engine)

    def on_accepted(self, engine: ids.ServerNumber) -> None:
        """Records that an engine has accepted a connection after its loss."""
        if any(loss.engine == engine for loss in self._held):
            self._accepted.add(engine)

    def on_refused(self, engine: ids.ServerNumber) -> None:
        """Records that an engine has refused a connection after its loss."""
        if any(loss.engine == engine for loss in self._held):
            self._refused.add(engine)

    def judge(self, now: units.Instant) -> tuple[JudgedLoss, ...]:
        """Returns the losses of which enough is known, and drops them."""
        self._lost_at = {
            engine: at
            for engine, at in self._lost_at.items()
            if now - at <= _MAX_HOLD + 2 * HOLD_PERIOD
        }
        judged = []
        held = []
        for loss in self._held:
            verdict = self._judge(loss, now)
            if verdict is None:
                held.append(loss)
                continue
            answered_at = self._answered_at.get(loss.engine)
            age = (
                None
                if answered_at is None
                else units.elapsed(answered_at, loss.at)
            )
            judged.append(JudgedLoss(loss, *verdict, age))
        self._held = held
        held_engines = {loss.engine for loss in held}
        self._ended &= held_engines
        self._accepted &= held_engines
        self._refused &= held_engines
        return tuple(judged)

    def _judge(
        self, loss: Loss, now: units.Instant
    ) -> tuple[LossCause, LossEvidence] | None:
        if loss.leaving:
            return LossCause.PLANNED, LossEvidence.ENTRY_LEAVING
        if loss.engine in self._ended:
            return LossCause.CRASH, LossEvidence.ENTRY_GONE
        if loss.engine in self._accepted:
            return LossCause.OWN_PATH, LossEvidence.ENGINE_ACCEPTED
        others_answer = any(
            engine != loss.engine and at > loss.at
            for engine, at in self._last_answers
        )
        if loss.engine in self._refused and others_answer:
            return LossCause.CRASH, LossEvidence.ENGINE_REFUSED
        if now - loss.at < HOLD_PERIOD:
            return None
        answered_at = self._answered_at.get(loss.engine, loss.at)
        if answered_at - loss.at > _ANSWER_DELAY:
            return LossCause.OWN_PATH, LossEvidence.ENGINE_ANSWERED
        lost_together = sum(
            abs(at - loss.at) <= HOLD_PERIOD for at in self._lost_at.values()
        )
        if lost_together >= _MIN_COMMON_LOSSES:
            evidence = LossEvidence.SEVERAL_ENGINES_LOST
        elif others_answer:
            cause = (
                LossCause.SILENCE
                if loss.evidence is LossEvidence.NO_DATA
                else LossCause.CRASH
            )
            return cause, loss.evidence
        else:
            evidence = LossEvidence.NO_OTHER_ENGINE_ANSWERED
        if now - loss.at < _MAX_HOLD:
            return None
        return LossCause.OWN_PATH, evidence
