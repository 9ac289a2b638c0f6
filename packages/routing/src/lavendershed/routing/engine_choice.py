"""Selection of the engines that prefill a prompt and decode its answer."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
import operator
import random

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routing import engine_slowdown
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import loss_weights
from lavendershed.routing import memory_shares
from lavendershed.routing import placements
from lavendershed.routing import predicted_loss
from lavendershed.routing import retained_prompts

# One engine in this many prefills no shard of a parallel prefill, so that
# requests that arrive meanwhile find an engine that is not blocked.
_ENGINES_PER_UNUSED_ENGINE = 7
# A longer prefill makes the decoding requests of its engine miss their targets.
_BLOCKING_SHARD_MS = 180.0
# Engines stay unblocked for this multiple of the decoding requests, because
# bursts double the traffic within seconds.
_TRAFFIC_GROWTH_FACTOR = 1.3
# Prompts with a longer prefill are placed only if their utility exceeds the
# loss of the other requests.
_LONG_PREFILL_MS = 1_000.0
# Maximum share of the time to the deadline that the first token may take.
_MAX_DEADLINE_SHARE = 0.9
# Requests that no report contains yet are spread over this multiple of engines,
# so that few of them meet at one engine.
_ENGINES_PER_UNSEEN_REQUEST = 2.0
_SHARD_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)


@dataclasses.dataclass(frozen=True, slots=True)
class _PrefillEngine:
    """An engine that may prefill a prompt or one shard of it.

    Attributes:
        engine: The engine.
        shard_done_ms: Time until the prefill is complete.
        interference_losses: Losses of the delayed requests by request number.
    """

    engine: predicted_loss.Candidate
    shard_done_ms: float
    interference_losses: dict[int, float]

    @property
    def newly_blocked(self) -> bool:
        """Whether no other long prefill blocks the engine already."""
        return self.engine.prefill_backlog_ms < _BLOCKING_SHARD_MS

    @property
    def loss(self) -> float:
        """Loss of all requests on the engine."""
        return (
            sum(self.interference_losses.values()) + self.engine.contention_loss
        )


def _limit_newly_blocked(
    prefill_engines: Iterable[_PrefillEngine], max_newly_blocked: int
) -> Iterator[_PrefillEngine]:
    """Yields engines, with at most `max_newly_blocked` unblocked ones."""
    for prefill_engine in prefill_engines:
        if prefill_engine.newly_blocked:
            if max_newly_blocked <= 0:
                continue
            max_newly_blocked -= 1
        yield prefill_engine


def _combined_loss(prefill_engines: Sequence[_PrefillEngine]) -> float:
    """Returns the loss of the requests on all these engines.

    A request that is delayed on several engines counts once, with its largest
    loss.
    """
    max_losses: dict[int, float] = {}
    for prefill_engine in prefill_engines:
        for request, loss in prefill_engine.interference_losses.items():
            max_losses[request] = max(max_losses.get(request, 0.0), loss)
    return sum(max_losses.values()) + sum(
        prefill.engine.contention_loss for prefill in prefill_engines
    )


class PredictedLossChooser(placements.EngineChooser):
    """Minimises the predicted loss of utility over all requests."""

    def __init__(
        self,
        model: latency_model.LatencyModel,
        tracker: load_tracker.LoadTracker,
        slowdowns: engine_slowdown.EngineSlowdowns,
        generator: random.Random,
        weights: loss_weights.LossWeights = loss_weights.LossWeights(),  # noqa: B008
    ) -> None:
        self._latency_model = model
        self._load_tracker = tracker
        self._slowdowns = slowdowns
        self._random = generator
        self._weights = weights
        self._losses = predicted_loss.PredictedLoss(model, weights)
        self._retained_prompts = retained_prompts.RetainedPrompts(model)

    @property
    def retained_prompts(self) -> retained_prompts.RetainedPrompts:
        """What the engines still hold of earlier prompts."""
        return self._retained_prompts

    def utility(self, size: latency_model.RequestSize) -> float:
        """Returns the utility of a request that meets its latency targets."""
        return self._losses.utility(size)

    def engine_time(self, size: latency_model.RequestSize) -> units.Seconds:
        """Returns the prefill time of a prompt on one engine."""
        prefill_ms = self._latency_model.prefill_ms(size.prompt_tokens)
        return units.Seconds(prefill_ms / 1_000)

    def shortest_time(
        self, size: latency_model.RequestSize, engine_count: int
    ) -> units.Seconds:
        """Returns the time to first token on that many idle engines."""
        shards = max(1, min(engine_count, self._weights.max_shards))
        prefill_ms = self._latency_model.prefill_ms(size.prompt_tokens, shards)
        iteration_ms = self._latency_model.iteration_ms(1, size.prompt_tokens)
        return units.Seconds((prefill_ms + iteration_ms) / 1_000)

    def fits(self, size: latency_model.RequestSize, engine_count: int) -> bool:
        """Returns whether the KV cache of that many engines suffices."""
        kv_capacity = self._latency_model.profile.kv_capacity
        return (
            memory_shares.min_holders(size.kv_tokens, kv_capacity)
            <= engine_count
        )

    def backlog(
        self,
        candidates: Sequence[server_directory.ServerEntry],
        now: units.Instant,
    ) -> units.Seconds:
        """Returns the mean time until the engines have prefilled what waits."""
        if not candidates:
            return units.Seconds(0.0)
        backlogs_ms = (
            self._load_tracker.load(entry.id).prefill_backlog_ms(
                now, self._latency_model.iteration_ms(1, 0)
            )
            for entry in candidates
        )
        return units.Seconds(sum(backlogs_ms) / len(candidates) / 1_000)

    def choose(
        self,
        demand: placements.Demand,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
        now: units.Instant,
    ) -> placements.Placement | None:
        """Returns the engines with the smallest predicted loss."""
        usable = [c for c in candidates if c.id not in avoided] or candidates
        if not usable:
            return None
        # Daemons that place long prompts before they know of each other's would
        # use the same helpers, if equally good engines were in a common order.
        engines = [
            self._candidate(entry, demand, now)
            for entry in self._random.sample(usable, len(usable))
        ]
        # What an engine holds saves nothing if others prefill shards for it.
        holders = self._retained_prompts.apply(demand, engines)
        prefill_ms = self._latency_model.prefill_ms(demand.size.prompt_tokens)
        max_shards = min(
            len(engines) - len(engines) // _ENGINES_PER_UNUSED_ENGINE,
            self._weights.max_shards,
        )
        shard_counts = [
            shard_count
            for shard_count in _SHARD_COUNTS
            if shard_count == 1
            or (
                prefill_ms > self._weights.min_parallel_prefill_ms
                and shard_count <= max_shards
            )
        ]
        plans = [
            self._plan(
                demand,
                holders if shard_count == 1 else engines,
                prefill_ms / shard_count,
                shard_count,
                now,
            )
            for shard_count in shard_counts
        ]
        feasible = [
            plan
            for plan in plans
            if plan is not None
            and (
                plan.shares
                or demand.size.kv_tokens
                <= self._latency_model.profile.kv_capacity
            )
            and plan.ttft_ms
            <= (demand.deadline - now) * 1_000 * _MAX_DEADLINE_SHARE
        ]
        best = min(feasible, key=lambda plan: plan.loss, default=None)
        if best is None or prefill_ms < _LONG_PREFILL_MS:
            return best
        return (
            best
            if self._is_worthwhile(demand, best, engines, prefill_ms, now)
            else None
        )

    def _is_worthwhile(
        self,
        demand: placements.Demand,
        plan: placements.Placement,
        engines: list[predicted_loss.Candidate],
        prefill_ms: float,
        now: units.Instant,
    ) -> bool:
        """Returns whether a prompt's utility exceeds the loss of others."""
        request_loss = self._losses.request_loss(
            demand, plan.ttft_ms, plan.iteration_ms, now
        )
        gain = self._losses.utility(demand.size) - request_loss
        others_loss = plan.loss - request_loss
        return (
            others_loss + self._losses.opportunity_loss(engines, prefill_ms)
            < gain
        )

    def _candidate(
        self,
        entry: server_directory.ServerEntry,
        demand: placements.Demand,
        now: units.Instant,
    ) -> predicted_loss.Candidate:
        load = self._load_tracker.load(entry.id)
        slowdown = self._slowdowns.factor(entry.id, now)
        iteration_ms = slowdown * self._latency_model.iteration_ms(
            len(load.decoding) + 1,
            load.context_tokens + demand.size.prompt_tokens,
        )
        return predicted_loss.Candidate(
            entry,
            load,
            slowdown,
            iteration_ms,
            load.prefill_backlog_ms(now, iteration_ms),
            load.slot_wait_ms(now, self._latency_model.profile.slots),
            self._losses.contention_loss(load),
        )

    def _plan(
        self,
        demand: placements.Demand,
        engines: list[predicted_loss.Candidate],
        shard_ms: float,
        shard_count: int,
        now: units.Instant,
    ) -> placements.Placement | None:
        """Returns the best placement with up to `shard_count` shards."""
        parallel = shard_count > 1
        ttft_loss_per_ms = self._weights.ttft_per_second / 1_000
        prefill_engines = sorted(
            (
                _PrefillEngine(
                    engine,
                    engine.prefill_backlog_ms
                    + shard_ms * engine.prefill_factor,
                    self._losses.interference_losses(
                        engine, shard_ms * engine.prefill_factor, parallel, now
                    ),
                )
                for engine in engines
            ),
            key=lambda prefill: (
                prefill.loss + prefill.shard_done_ms * ttft_loss_per_ms
            ),
        )
        scored = [
            (
                prefill.loss
                + self._losses.decode_engine_loss(demand, prefill.engine)
                + self._losses.request_loss(
                    demand,
                    self._ttft_ms(
                        prefill.engine, prefill.shard_done_ms, shard_ms
                    ),
                    prefill.engine.iteration_ms,
                    now,
                ),
                prefill,
            )
            for prefill in prefill_engines
            if demand.allows_engine(prefill.engine.entry.id)
        ]
        if not scored:
            return None
        best = self._pick_among_best(scored, now)
        others = [
            prefill_engine
            for prefill_engine in prefill_engines
            if prefill_engine is not best
            and prefill_engine.engine.entry.id not in demand.excluded_helpers
        ]
        if shard_ms >= _BLOCKING_SHARD_MS:
            max_newly_blocked = (
                self._max_newly_blocked(demand, engines) - best.newly_blocked
            )
            others = list(_limit_newly_blocked(others, max_newly_blocked))
        prefill_engines = [best, *others[: shard_count - 1]]
        shard_ms = shard_ms * shard_count / len(prefill_engines)
        decode_engine = best.engine
        last_shard_done_ms = max(
            prefill.engine.prefill_backlog_ms
            + shard_ms * prefill.engine.prefill_factor
            for prefill in prefill_engines
        )
        shares: tuple[memory_shares.MemoryShare, ...] = ()
        if not self._losses.has_kv_capacity(demand, decode_engine):
            shares = self._kv_shares(
                demand, [prefill.engine for prefill in prefill_engines]
            )
            holders = {share.holder.id for share in shares}
            # The decode engine has to hold a share itself.
            eligible = [
                prefill_engine.engine
                for prefill_engine in prefill_engines
                if prefill_engine.engine.entry.id in holders
                and demand.allows_engine(prefill_engine.engine.entry.id)
            ]
            if holders and not eligible:
                return None
            decode_engine = min(
                eligible or [decode_engine],
                key=lambda engine: self._losses.decode_engine_loss(
                    demand, engine
                ),
            )
        ttft_ms = self._ttft_ms(decode_engine, last_shard_done_ms, shard_ms)
        loss = (
            _combined_loss(prefill_engines)
            + self._losses.decode_engine_loss(demand, decode_engine)
            + self._losses.kv_shortage_loss(demand, decode_engine, shares)
            + self._losses.request_loss(
                demand, ttft_ms, decode_engine.iteration_ms, now
            )
            + (len(prefill_engines) - 1) * self._weights.helper
        )
        return placements.Placement(
            decode_engine.entry,
            tuple(
                prefill.engine.entry
                for prefill in prefill_engines
                if prefill.engine is not decode_engine
            ),
            shard_ms * decode_engine.prefill_share,
            ttft_ms,
            decode_engine.iteration_ms,
            self._latency_model.decode_ms(
                demand.size, decode_engine.iteration_ms
            ),
            loss,
            not loss_weights.is_certain_miss(
                ttft_ms, (demand.first_token_due_at - now) * 1_000
            ),
            shares,
        )

    def _pick_among_best(
        self,
        scored: Sequence[tuple[float, _PrefillEngine]],
        now: units.Instant,
    ) -> _PrefillEngine:
        """Returns a random engine of those that are about equally good.

        Daemons that decide before they know of each other's placements would
        all take the best engine. So the choice is among as many of the best
        engines as there are placements that no report contains yet (load
        balancing with old information, Mitzenmacher 1997).
        """
        by_loss = sorted(scored, key=operator.itemgetter(0))
        lowest = by_loss[0][0]
        spread = math.ceil(
            _ENGINES_PER_UNSEEN_REQUEST
            * self._load_tracker.unseen_requests(now)
        )
        candidates = [
            prefill
            for position, (loss, prefill) in enumerate(by_loss)
            if loss <= lowest + self._weights.tie_margin
            or (
                position < spread
                and loss <= lowest + self._weights.spread_margin
            )
        ]
        return self._random.choice(candidates)

    def _ttft_ms(
        self,
        engine: predicted_loss.Candidate,
        shard_done_ms: float,
        shard_ms: float,
    ) -> float:
        """Returns the time to first token, given the end of the prefill."""
        # On average half of the current decode iteration remains.
        iteration_wait_ms = (
            engine.iteration_ms / 2 if engine.load.decoding else 0.0
        )
        return (
            max(
                shard_done_ms + iteration_wait_ms,
                engine.slot_wait_ms + shard_ms * engine.prefill_factor,
            )
            + engine.iteration_ms
        )

    def _max_newly_blocked(
        self, demand: placements.Demand, engines: list[predicted_loss.Candidate]
    ) -> int:
        """Returns how many more engines long prefills may block.

        Short requests need some unblocked engines; their number is estimated
        from the requests that are decoding now. A prompt always gets the
        engines that its KV cache requires.
        """
        unblocked = sum(
            engine.prefill_backlog_ms < _BLOCKING_SHARD_MS for engine in engines
        )
        decoding = sum(len(engine.load.decoding) for engine in engines)
        slot_limit = predicted_loss.soft_slot_limit(self._latency_model.profile)
        kept_unblocked = 1 + _TRAFFIC_GROWTH_FACTOR * decoding / slot_limit
        holders = memory_shares.min_holders(
            demand.size.kv_tokens, self._latency_model.profile.kv_capacity
        )
        return max(holders, int(unblocked - kept_unblocked))

    def _kv_shares(
        self,
        demand: placements.Demand,
        prefill_engines: list[predicted_loss.Candidate],
    ) -> tuple[memory_shares.MemoryShare, ...]:
        kv_capacity = self._latency_model.profile.kv_capacity
        return memory_shares.divide(
            demand.size.kv_tokens,
            kv_capacity,
            [
                memory_shares.FreeMemory(
                    prefill_engine.entry,
                    kv_capacity - prefill_engine.load.kv_tokens,
                )
                for prefill_engine in prefill_engines
            ],
        )
