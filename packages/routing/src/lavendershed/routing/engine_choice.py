"""Choice of the engines that read a prompt and write its answer."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routing import choice_weights
from lavendershed.routing import engine_pace
from lavendershed.routing import load_board
from lavendershed.routing import memory_shares
from lavendershed.routing import pass_model
from lavendershed.routing import placements
from lavendershed.routing import predicted_loss

# One engine in this many reads no part of a joint prompt, so that requests
# which arrive meanwhile find an engine that is not held up.
_LEFT_OUT = 7
# A part that takes longer makes the answers at its engine late.
_BLOCKING_MS = 180.0
# Engines are kept for this multiple of the answers that are being written, as
# bursts double the traffic within seconds.
_GROWTH = 1.3
# Prompts that take longer to read are placed only if it pays.
_LONG_READ_MS = 1_000.0
# A prompt that needs more than this share of the time left is not sent.
_USED_TIME_SHARE = 0.9
_PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)


@dataclasses.dataclass(frozen=True, slots=True)
class _Reader:
    """An engine that may read a part.

    Attributes:
        engine: The engine.
        ready_ms: Time until the part is read.
        harm: Loss of each request there.
    """

    engine: predicted_loss.Candidate
    ready_ms: float
    harm: dict[int, float]

    @property
    def holds_up_more(self) -> bool:
        """Whether no other long part holds up the engine already."""
        return self.engine.backlog_ms < _BLOCKING_MS

    @property
    def loss(self) -> float:
        """Loss of all requests there."""
        return sum(self.harm.values()) + self.engine.penalty


def _limited(readers: Iterable[_Reader], spare: int) -> Iterator[_Reader]:
    """Yields readers, of those that nothing holds up yet at most `spare`."""
    for reader in readers:
        if reader.holds_up_more:
            if spare <= 0:
                continue
            spare -= 1
        yield reader


def _combined(readers: Sequence[_Reader]) -> float:
    """Returns the loss at all readers.

    A request that several of them delay is late only once.
    """
    worst: dict[int, float] = {}
    for reader in readers:
        for request, loss in reader.harm.items():
            worst[request] = max(worst.get(request, 0.0), loss)
    return sum(worst.values()) + sum(r.engine.penalty for r in readers)


class PredictedLossChooser(placements.EngineChooser):
    """Minimises the predicted loss of credit of all requests together."""

    def __init__(
        self,
        model: pass_model.PassModel,
        board: load_board.LoadBoard,
        paces: engine_pace.EnginePaces,
        generator: random.Random,
        weights: choice_weights.ChoiceWeights = choice_weights.ChoiceWeights(),  # noqa: B008
    ) -> None:
        self._model = model
        self._board = board
        self._paces = paces
        self._random = generator
        self._weights = weights
        self._losses = predicted_loss.PredictedLoss(model, weights)

    def credit(self, size: pass_model.PromptSize) -> float:
        """Returns what a request of this size is worth on time."""
        return self._losses.credit(size)

    def choose(
        self,
        demand: placements.Demand,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
        now: units.Instant,
    ) -> placements.Placement | None:
        """Returns the engines with the least predicted loss."""
        usable = [c for c in candidates if c.id not in avoided] or candidates
        if not usable:
            return None
        engines = [self._candidate(entry, demand, now) for entry in usable]
        whole_ms = self._model.read_ms(demand.size.prompt)
        most = min(
            len(engines) - len(engines) // _LEFT_OUT,
            self._weights.most_parts,
        )
        counts = [
            count
            for count in _PART_COUNTS
            if count == 1
            or (whole_ms > self._weights.joined_read_ms and count <= most)
        ]
        plans = [
            self._plan(demand, engines, whole_ms / count, count, now)
            for count in counts
        ]
        feasible = [
            plan
            for plan in plans
            if plan is not None
            and (
                plan.shares or demand.size.memory <= self._model.profile.memory
            )
            and plan.first_token_ms
            <= (demand.limit_at - now) * 1_000 * _USED_TIME_SHARE
        ]
        best = min(feasible, key=lambda plan: plan.loss, default=None)
        if best is None or whole_ms < _LONG_READ_MS:
            return best
        return (
            best if self._pays(demand, best, engines, whole_ms, now) else None
        )

    def _pays(
        self,
        demand: placements.Demand,
        plan: placements.Placement,
        engines: list[predicted_loss.Candidate],
        whole_ms: float,
        now: units.Instant,
    ) -> bool:
        """Returns whether a long prompt is worth what others lose by it."""
        own = self._losses.own_loss(
            demand, plan.first_token_ms, plan.pass_ms, now
        )
        gain = self._losses.credit(demand.size) - own
        others = plan.loss - own
        return others + self._losses.occupation_loss(engines, whole_ms) < gain

    def _candidate(
        self,
        entry: server_directory.ServerEntry,
        demand: placements.Demand,
        now: units.Instant,
    ) -> predicted_loss.Candidate:
        load = self._board.load(entry.id)
        pace = self._paces.factor(entry.id, now)
        pass_ms = pace * self._model.pass_ms(
            len(load.writers) + 1, load.context + demand.size.prompt
        )
        return predicted_loss.Candidate(
            entry,
            load,
            pace,
            pass_ms,
            load.backlog_ms(now, pass_ms),
            load.slot_wait_ms(now, self._model.profile.slots),
            self._losses.crowding(load),
        )

    def _plan(
        self,
        demand: placements.Demand,
        engines: list[predicted_loss.Candidate],
        part_ms: float,
        count: int,
        now: units.Instant,
    ) -> placements.Placement | None:
        """Returns the best plan with `count` readers, if there is one."""
        helper = count > 1
        waiting = self._weights.waiting / 1_000
        readers = sorted(
            (
                _Reader(
                    engine,
                    engine.backlog_ms + part_ms * engine.pace,
                    self._losses.harm(
                        engine, part_ms * engine.pace, helper, now
                    ),
                )
                for engine in engines
            ),
            key=lambda r: r.loss + r.ready_ms * waiting,
        )
        rated = [
            (
                r.loss
                + self._losses.writer_loss(demand, r.engine)
                + self._losses.own_loss(
                    demand,
                    self._first_token_ms(r.engine, r.ready_ms, part_ms),
                    r.engine.pass_ms,
                    now,
                ),
                r,
            )
            for r in readers
            if demand.may_write(r.engine.entry.id)
        ]
        if not rated:
            return None
        best = self._draw(rated)
        others = [reader for reader in readers if reader is not best]
        if part_ms >= _BLOCKING_MS:
            spare = self._spare_engines(demand, engines) - best.holds_up_more
            others = list(_limited(others, spare))
        readers = [best, *others[: count - 1]]
        part_ms = part_ms * count / len(readers)
        first = best.engine
        slowest = max(
            r.engine.backlog_ms + part_ms * r.engine.pace for r in readers
        )
        shares: tuple[memory_shares.MemoryShare, ...] = ()
        if not self._losses.has_room(demand, first):
            shares = self._shares(demand, [r.engine for r in readers])
            holders = {share.holder.id for share in shares}
            # The engine that writes has to hold a share itself.
            held = [
                reader.engine
                for reader in readers
                if reader.engine.entry.id in holders
                and demand.may_write(reader.engine.entry.id)
            ]
            if holders and not held:
                return None
            first = min(
                held or [first],
                key=lambda engine: self._losses.writer_loss(demand, engine),
            )
        first_token_ms = self._first_token_ms(first, slowest, part_ms)
        loss = (
            _combined(readers)
            + self._losses.writer_loss(demand, first)
            + self._losses.room_loss(demand, first, shares)
            + self._losses.own_loss(demand, first_token_ms, first.pass_ms, now)
            + (len(readers) - 1) * self._weights.helper
        )
        return placements.Placement(
            first.entry,
            tuple(r.engine.entry for r in readers if r.engine is not first),
            part_ms,
            first_token_ms,
            first.pass_ms,
            self._model.write_ms(demand.size, first.pass_ms),
            loss,
            not choice_weights.surely_late(
                first_token_ms, (demand.due_at - now) * 1_000
            ),
            shares,
        )

    def _draw(self, rated: Sequence[tuple[float, _Reader]]) -> _Reader:
        """Returns one of the readers that are as good as the best."""
        limit = min(loss for loss, _ in rated) + self._weights.spread
        return self._random.choice([r for loss, r in rated if loss <= limit])

    def _first_token_ms(
        self, engine: predicted_loss.Candidate, ready_ms: float, part_ms: float
    ) -> float:
        """Returns the time to the first token if the parts are read then."""
        # Writers' passes are met half-way on the average.
        joining = engine.pass_ms / 2 if engine.load.writers else 0.0
        return (
            max(ready_ms + joining, engine.slot_wait_ms + part_ms * engine.pace)
            + engine.pass_ms
        )

    def _spare_engines(
        self, demand: placements.Demand, engines: list[predicted_loss.Candidate]
    ) -> int:
        """Returns the engines that long parts may hold up in addition.

        Short requests need some engines that no long part holds up. The
        answers that are being written now tell how many. A prompt gets the
        engines that its memory needs in any case.
        """
        free = sum(engine.backlog_ms < _BLOCKING_MS for engine in engines)
        writers = sum(len(engine.load.writers) for engine in engines)
        comfortable = predicted_loss.comfortable_requests(self._model.profile)
        needed = 1 + _GROWTH * writers / comfortable
        holders = memory_shares.least_holders(
            demand.size.memory, self._model.profile.memory
        )
        return max(holders, int(free - needed))

    def _shares(
        self, demand: placements.Demand, readers: list[predicted_loss.Candidate]
    ) -> tuple[memory_shares.MemoryShare, ...]:
        memory = self._model.profile.memory
        return memory_shares.divide(
            demand.size.memory,
            memory,
            [
                memory_shares.FreeMemory(
                    reader.entry, memory - reader.load.memory
                )
                for reader in readers
            ],
        )
