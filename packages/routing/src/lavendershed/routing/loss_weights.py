"""Weights of the predicted loss that engine selection minimises."""

from __future__ import annotations

import dataclasses

# The probability of missing a latency target grows linearly from 0 to 1 while
# the predicted latency grows between these multiples of the target.
_POSSIBLE_MISS_RATIO = 0.85
_CERTAIN_MISS_RATIO = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class LossWeights:
    """Weights of the expected loss of utility.

    The utility of a request is its value if it meets its latency targets.
    Requests don't carry it; it is estimated from their size. Over the target
    workloads, one unit corresponds to about 10,000 weighted tokens.

    Attributes:
        utility_per_token: Utility per weighted token.
        late_loss_share: Share of the utility that is lost if a target is
            missed.
        ttft_per_second: Loss per second of time to first token, for every
            request.
        idle_engine: Loss for the first decoding request of an engine, which
            could otherwise prefill long prompts without delaying anyone.
        slot_contention: Loss per request above the soft slot limit.
        kv_overcommit: Share of the utility that is lost if the KV cache of the
            engine runs out and the request has to be prefilled again.
        kv_contention: Loss for decoding at an engine without enough free KV
            cache; ranks the engines that hold a share of the KV cache.
        control_call: Loss per control call to an engine, which the price lists
            of the requirements put at a fiftieth of a short answer.
        helper: Loss per additional prefill engine.
        cross_zone_byte: Loss per byte sent between availability zones.
        min_parallel_prefill_ms: Prefill time from which a prompt is divided
            among several engines.
        tie_margin: Difference in loss up to which engines count as equally
            good; one of them is chosen at random, because daemons that decide
            within the delay of the load reports would all choose the same
            one. It corresponds to 10 ms, and is less than a short answer
            loses by crossing availability zones.
        spread_margin: Difference in loss up to which requests are spread over
            more engines because of placements that are not known yet. It
            allows an idle engine instead of one that decodes already.
        max_shards: Maximum number of engines that prefill one prompt, the
            decode engine included; a limit of the engines' protocol.
    """

    utility_per_token: float = 1e-4
    late_loss_share: float = 0.75
    ttft_per_second: float = 1.0
    idle_engine: float = 0.3
    slot_contention: float = 0.3
    kv_overcommit: float = 0.75
    kv_contention: float = 0.2
    control_call: float = 0.02
    helper: float = 0.005
    cross_zone_byte: float = 2.9e-6
    min_parallel_prefill_ms: float = 50.0
    tie_margin: float = 0.01
    spread_margin: float = 0.35
    max_shards: int = 16


def target_miss_probability(value: float, limit: float) -> float:
    """Returns the probability that a latency exceeds its target.

    Args:
        value: Predicted latency.
        limit: Target, in the same unit.
    """
    if limit <= 0:
        return 1.0
    position = (value / limit - _POSSIBLE_MISS_RATIO) / (
        _CERTAIN_MISS_RATIO - _POSSIBLE_MISS_RATIO
    )
    return min(1.0, max(0.0, position))


def is_certain_miss(value: float, limit: float) -> bool:
    """Returns whether a predicted latency is certain to miss its target."""
    return value > limit * _CERTAIN_MISS_RATIO
