"""Weights of the predicted loss by which engines are chosen."""

from __future__ import annotations

import dataclasses

# A value counts as late from this share of its limit on, and surely from the
# second on; between them the probability grows evenly.
_POSSIBLE_MISS_RATIO = 0.85
_CERTAIN_MISS_RATIO = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class LossWeights:
    """Weights of the expected loss; credit is what a request is worth.

    The worths of the kinds of requests are not on the wire. Over the stated
    workloads, one credit stands for about 10,000 tokens of work.

    Attributes:
        credit_per_token: Credit per token of work.
        late_share: Part of the credit that a late answer loses.
        waiting: Loss per second to the first token, of any request.
        opening: Loss for the first writer of an engine, which long prompts
            could have used without delaying anyone.
        crowding: Loss per request above the comfortable number.
        overcommitted: Share of the credit that is lost if the memory of the
            engine doesn't suffice and the request is read again.
        crowded_memory: Loss for writing at an engine without enough memory,
            which orders the engines that hold a share.
        order: Price of an order to an engine, which the stated price lists
            put at a fiftieth of a short answer.
        helper: Loss per additional engine that reads.
        byte: Loss per byte that crosses availability zones.
        joined_read_ms: Shortest reading time that is divided among engines.
        spread: Loss up to which engines count as equally good; one of them is
            drawn, since daemons that decide within the delay of the load
            reports would all take the same engine. It is worth 10 ms, and less
            than a short answer loses by crossing availability zones.
        most_parts: Most engines that read one prompt, the limit of the
            engines' protocol with the first engine included.
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
    max_shards: int = 16


def target_miss_probability(value: float, limit: float) -> float:
    """Returns the probability that a predicted value exceeds its limit."""
    if limit <= 0:
        return 1.0
    position = (value / limit - _POSSIBLE_MISS_RATIO) / (
        _CERTAIN_MISS_RATIO - _POSSIBLE_MISS_RATIO
    )
    return min(1.0, max(0.0, position))


def is_certain_miss(value: float, limit: float) -> bool:
    """Returns whether a predicted value exceeds its limit for sure."""
    return value > limit * _CERTAIN_MISS_RATIO
