"""Predicted loss of credit by work at an engine."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routes import engine_profile
from lavendershed.routing import choice_weights
from lavendershed.routing import load_board
from lavendershed.routing import memory_shares
from lavendershed.routing import pass_model
from lavendershed.routing import placements

# Slots of each engine that are kept free for requests which other daemons place
# before a load report tells of them. In bursts of a hundred short requests a
# second, up to three meet at an engine.
_SPARE_SLOTS = 2.4
# Shares of the comfortable number of answers between which the time of the
# engines becomes scarce.
_FREE_UP_TO = 0.5
_SCARCE_FROM = 0.9
_SHORTEST_ANSWER = units.Seconds(0.5)


@dataclasses.dataclass(slots=True)
class Candidate:
    """An engine with its load; durations in milliseconds.

    Attributes:
        entry: The engine.
        load: Open work there.
        pace: How many times longer it takes than its figures say.
        pass_ms: Length of a pass with one more writer.
        backlog_ms: Reading time of the prompts that wait there.
        slot_wait_ms: Time until a slot is free.
        penalty: Loss if it gets a request more, for being crowded.
    """

    entry: server_directory.ServerEntry
    load: load_board.EngineLoad
    pace: float
    pass_ms: float
    backlog_ms: float
    slot_wait_ms: float
    penalty: float


def comfortable_requests(profile: engine_profile.EngineProfile) -> float:
    """Returns the number of requests up to which an engine isn't crowded."""
    return max(1.0, profile.slots - _SPARE_SLOTS)


class PredictedLoss:
    """Losses of a request itself and of the requests that it delays."""

    def __init__(
        self,
        model: pass_model.PassModel,
        weights: choice_weights.ChoiceWeights,
    ) -> None:
        self._model = model
        self._weights = weights

    def credit(self, size: pass_model.PromptSize) -> float:
        """Returns what a request of this size is worth on time."""
        return self._model.work_tokens(size) * self._weights.credit_per_token

    def occupation_loss(
        self, engines: list[Candidate], whole_ms: float
    ) -> float:
        """Returns the loss of requests that find the engines occupied.

        Time of the engines costs nothing while they have slots to spare, and
        what short answers bring in this time when they have none.
        """
        writers = [w for engine in engines for w in engine.load.writers]
        comfortable = comfortable_requests(self._model.profile)
        busy = len(writers) / comfortable
        used = busy / len(engines)
        scarcity = (used - _FREE_UP_TO) / (_SCARCE_FROM - _FREE_UP_TO)
        if not writers or scarcity <= 0:
            return 0.0
        credit_per_second = sum(
            work.credit / max(_SHORTEST_ANSWER, work.ends_at - work.ready_at)
            for work in writers
        )
        return min(1.0, scarcity) * whole_ms / 1_000 * credit_per_second / busy

    def crowding(self, load: load_board.EngineLoad) -> float:
        """Returns the loss if one more request makes the engine crowded."""
        comfortable = comfortable_requests(self._model.profile)
        above = load.requests + 1 - comfortable
        return self._weights.crowding * max(0.0, above)

    def own_loss(
        self,
        demand: placements.Demand,
        first_token_ms: float,
        pass_ms: float,
        now: units.Instant,
    ) -> float:
        """Returns the loss of the request itself.

        It is late by its first token or by the pauses of its answer.
        """
        late = max(
            choice_weights.lateness(
                first_token_ms, (demand.due_at - now) * 1_000
            ),
            choice_weights.lateness(pass_ms, demand.longest_pause * 1_000),
        )
        return (
            first_token_ms * self._weights.waiting / 1_000
            + self.credit(demand.size) * self._weights.late_share * late
        )

    def writer_loss(
        self, demand: placements.Demand, engine: Candidate
    ) -> float:
        """Returns the loss if the answer is written at this engine."""
        weights = self._weights
        loss = 0.0 if engine.load.writers else weights.opening
        if not self.has_room(demand, engine):
            loss += weights.crowded_memory
        if engine.entry.availability_zone != demand.zone:
            loss += weights.byte * (demand.body + 3 * demand.size.answer)
        return loss

    def has_room(self, demand: placements.Demand, engine: Candidate) -> bool:
        """Returns whether the engine has the memory for the whole request."""
        free = self._model.profile.memory - engine.load.memory
        return demand.size.memory <= free

    def room_loss(
        self,
        demand: placements.Demand,
        first: Candidate,
        shares: tuple[memory_shares.MemoryShare, ...],
    ) -> float:
        """Returns the loss if the memory for the prompt may not suffice."""
        if shares:
            return self._weights.order * 3 * len(shares)
        if self.has_room(demand, first):
            return 0.0
        return self.credit(demand.size) * self._weights.overcommitted

    def harm(
        self,
        engine: Candidate,
        part_ms: float,
        helper: bool,
        now: units.Instant,
    ) -> dict[int, float]:
        """Returns the loss of each request that is already there."""
        before = engine.pass_ms + engine.backlog_ms
        after = before + part_ms
        share = self._weights.late_share
        losses: dict[int, float] = {}
        for work in engine.load.writers:
            limit = work.longest_pause * 1_000
            late = choice_weights.lateness(
                after, limit
            ) - choice_weights.lateness(before, limit)
            if late > 0:
                losses[work.request] = work.credit * late * share
        # A part is read before other reads, and a pass with writers gives
        # all its first tokens together at its end.
        if helper or engine.load.writers:
            delay = part_ms * self._weights.waiting / 1_000
            for work in engine.load.reads:
                limit = (work.due_at - now) * 1_000
                late = choice_weights.lateness(
                    after, limit
                ) - choice_weights.lateness(before, limit)
                losses[work.request] = delay + work.credit * late * share
        return losses
