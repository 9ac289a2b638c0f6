"""Predicted loss of utility caused by placing a request on engines."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routes import engine_profile
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import loss_weights
from lavendershed.routing import memory_shares
from lavendershed.routing import placements

# Batch slots of each engine that stay free for requests of other daemons that
# no load report contains yet. In bursts of a hundred short requests per second,
# up to three are sent to the same engine.
_RESERVED_SLOTS = 2.4
# Mean utilisation of the soft slot limit between which the cost of engine time
# grows from nothing to its full value.
_ABUNDANT_UTILISATION = 0.5
_SCARCE_UTILISATION = 0.9
_MIN_DECODE_TIME = units.Seconds(0.5)


@dataclasses.dataclass(slots=True)
class Candidate:
    """An engine with its load; durations in milliseconds.

    Attributes:
        entry: The engine.
        load: Tasks of the engine.
        slowdown: Ratio of its observed to its predicted latency.
        iteration_ms: Duration of an iteration with one more decoding request.
        prefill_backlog_ms: Prefill time of the prompts queued there.
        slot_wait_ms: Time until a batch slot is free.
        contention_loss: Loss if one more request exceeds the soft slot limit.
        prefill_share: Share of the prompt's prefill time that is left there.
    """

    entry: server_directory.ServerEntry
    load: load_tracker.EngineLoad
    slowdown: float
    iteration_ms: float
    prefill_backlog_ms: float
    slot_wait_ms: float
    contention_loss: float
    prefill_share: float = 1.0

    @property
    def prefill_factor(self) -> float:
        """Ratio of the prompt's prefill time there to the predicted one."""
        return self.slowdown * self.prefill_share


def soft_slot_limit(profile: engine_profile.EngineProfile) -> float:
    """Returns the number of requests per engine without slot contention."""
    return max(1.0, profile.slots - _RESERVED_SLOTS)


class PredictedLoss:
    """Predicts the losses of a request and of the requests that it delays."""

    def __init__(
        self,
        model: latency_model.LatencyModel,
        weights: loss_weights.LossWeights,
    ) -> None:
        self._latency_model = model
        self._weights = weights

    def utility(self, size: latency_model.RequestSize) -> float:
        """Returns the utility of a request that meets its latency targets."""
        return (
            self._latency_model.weighted_tokens(size)
            * self._weights.utility_per_token
        )

    def opportunity_loss(
        self, engines: list[Candidate], prefill_ms: float
    ) -> float:
        """Returns the loss of later requests while the engines are occupied.

        Engine time costs nothing while batch slots are free. Without free
        slots, it costs the utility that short answers earn in the same time.
        """
        decoding = [
            decode_task
            for engine in engines
            for decode_task in engine.load.decoding
        ]
        slot_limit = soft_slot_limit(self._latency_model.profile)
        busy_engines = len(decoding) / slot_limit
        utilisation = busy_engines / len(engines)
        scarcity = (utilisation - _ABUNDANT_UTILISATION) / (
            _SCARCE_UTILISATION - _ABUNDANT_UTILISATION
        )
        if not decoding or scarcity <= 0:
            return 0.0
        utility_per_second = sum(
            task.utility
            / max(_MIN_DECODE_TIME, task.completes_at - task.first_token_at)
            for task in decoding
        )
        return (
            min(1.0, scarcity)
            * prefill_ms
            / 1_000
            * utility_per_second
            / busy_engines
        )

    def contention_loss(self, load: load_tracker.EngineLoad) -> float:
        """Returns the loss if one more request exceeds the soft slot limit."""
        slot_limit = soft_slot_limit(self._latency_model.profile)
        excess = load.requests + 1 - slot_limit
        return self._weights.slot_contention * max(0.0, excess)

    def request_loss(
        self,
        demand: placements.Demand,
        ttft_ms: float,
        iteration_ms: float,
        now: units.Instant,
    ) -> float:
        """Returns the loss of the request itself.

        A request is late if it misses the target of its time to first token
        or of its inter-token latency.
        """
        miss_probability = max(
            loss_weights.target_miss_probability(
                ttft_ms, (demand.first_token_due_at - now) * 1_000
            ),
            loss_weights.target_miss_probability(
                iteration_ms, demand.target_inter_token_latency * 1_000
            ),
        )
        return (
            ttft_ms * self._weights.ttft_per_second / 1_000
            + self.utility(demand.size)
            * self._weights.late_loss_share
            * miss_probability
        )

    def decode_engine_loss(
        self, demand: placements.Demand, engine: Candidate
    ) -> float:
        """Returns the loss of decoding the request on this engine."""
        weights = self._weights
        loss = 0.0 if engine.load.decoding else weights.idle_engine
        if not self.has_kv_capacity(demand, engine):
            loss += weights.kv_contention
        if engine.entry.availability_zone != demand.zone:
            loss += weights.cross_zone_byte * (
                demand.body_size + 3 * demand.size.max_output_tokens
            )
        return loss

    def has_kv_capacity(
        self, demand: placements.Demand, engine: Candidate
    ) -> bool:
        """Returns whether the KV cache of the whole request fits."""
        free_tokens = (
            self._latency_model.profile.kv_capacity - engine.load.kv_tokens
        )
        return demand.size.kv_tokens <= free_tokens

    def kv_shortage_loss(
        self,
        demand: placements.Demand,
        decode_engine: Candidate,
        shares: tuple[memory_shares.MemoryShare, ...],
    ) -> float:
        """Returns the loss of reserving KV cache, or of running out of it."""
        if shares:
            return self._weights.control_call * 3 * len(shares)
        if self.has_kv_capacity(demand, decode_engine):
            return 0.0
        return self.utility(demand.size) * self._weights.kv_overcommit

    def interference_losses(
        self,
        engine: Candidate,
        shard_ms: float,
        parallel: bool,
        now: units.Instant,
    ) -> dict[int, float]:
        """Returns the loss of each request that a prefill on an engine delays.

        Args:
            engine: The engine.
            shard_ms: Prefill time of the prompt or of its shard.
            parallel: Whether the engine prefills a shard of the prompt only.
            now: Current time.

        Returns:
            Losses by request number.
        """
        before_ms = engine.iteration_ms + engine.prefill_backlog_ms
        after_ms = before_ms + shard_ms
        late_loss_share = self._weights.late_loss_share
        losses: dict[int, float] = {}
        for task in engine.load.decoding:
            limit = task.target_inter_token_latency * 1_000
            miss_increase = loss_weights.target_miss_probability(
                after_ms, limit
            ) - loss_weights.target_miss_probability(before_ms, limit)
            if miss_increase > 0:
                losses[task.request] = (
                    task.utility * miss_increase * late_loss_share
                )
        # Shards are prefilled before other prompts, and an iteration with
        # decoding requests returns all first tokens together at its end.
        if parallel or engine.load.decoding:
            delay = shard_ms * self._weights.ttft_per_second / 1_000
            for task in engine.load.prefilling:
                limit = (task.first_token_due_at - now) * 1_000
                miss_increase = loss_weights.target_miss_probability(
                    after_ms, limit
                ) - loss_weights.target_miss_probability(before_ms, limit)
                losses[task.request] = (
                    delay + task.utility * miss_increase * late_loss_share
                )
        return losses
