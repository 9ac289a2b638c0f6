"""What the loss of an engine is taken for, as far as one daemon can tell."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import ids
from lavendershed.core import units

# Engines lost within this time may have a common cause on this daemon's path.
_COMMON_PERIOD = units.Seconds(1.0)
# A VM that runs two engines may take both with it.
_MIN_COMMON_LOSSES = 3
_MAX_ENGINES = 16_384


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
    NO_OTHER_ENGINE_ANSWERS = "no_other_engine_answers"


# Losses after which the engine may have ended because of a request.
_COUNTED_CAUSES = frozenset({LossCause.CRASH, LossCause.SILENCE})


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of an engine under one request.

    Attributes:
        cause: What the loss is taken for.
        evidence: What it was judged by.
        age: Time since the engine last answered here; None if it never did.
    """

    cause: LossCause
    evidence: LossEvidence
    age: units.Seconds | None

    @property
    def is_counted(self) -> bool:
        """Whether the engine may have ended because of the request."""
        return self.cause in _COUNTED_CAUSES


class EngineLosses:
    """Tells crashes of engines from a failure of this daemon's own path.

    If several engines are lost within a short time and no other one has
    answered since, the own path is the more likely cause.
    """

    def __init__(self) -> None:
        self._answered_at: dict[ids.ServerNumber, units.Instant] = {}
        self._lost_at: dict[ids.ServerNumber, units.Instant] = {}

    def on_answer(self, engine: ids.ServerNumber, now: units.Instant) -> None:
        """Records that an engine has sent a part of an answer."""
        if engine not in self._answered_at and (
            len(self._answered_at) >= _MAX_ENGINES
        ):
            del self._answered_at[next(iter(self._answered_at))]
        self._answered_at[engine] = now

    def on_loss(
        self,
        engine: ids.ServerNumber,
        evidence: LossEvidence,
        now: units.Instant,
        *,
        leaving: bool,
    ) -> Loss:
        """Returns what the loss of an engine under a request is taken for.

        Args:
            engine: Number of the engine's incarnation.
            evidence: How the loss was noticed.
            now: Current time.
            leaving: Whether the engine is known to be leaving.
        """
        answered_at = self._answered_at.get(engine)
        age = None if answered_at is None else units.elapsed(answered_at, now)
        self._lost_at = {
            lost: at
            for lost, at in self._lost_at.items()
            if now - at <= _COMMON_PERIOD
        }
        self._lost_at.setdefault(engine, now)
        if leaving:
            return Loss(LossCause.PLANNED, LossEvidence.ENTRY_LEAVING, age)
        if self._is_path_suspected():
            return Loss(
                LossCause.OWN_PATH, LossEvidence.NO_OTHER_ENGINE_ANSWERS, age
            )
        cause = (
            LossCause.SILENCE
            if evidence is LossEvidence.NO_DATA
            else LossCause.CRASH
        )
        return Loss(cause, evidence, age)

    def _is_path_suspected(self) -> bool:
        if len(self._lost_at) < _MIN_COMMON_LOSSES:
            return False
        since = min(self._lost_at.values())
        return not any(
            at > since
            for engine, at in self._answered_at.items()
            if engine not in self._lost_at
        )
