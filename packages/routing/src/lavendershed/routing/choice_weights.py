"""Weights of the predicted loss by which engines are chosen."""

from __future__ import annotations

import dataclasses

# A value counts as late from this share of its limit on, and surely from the
# second on; between them the probability grows evenly.
_LATE_FROM = 0.85
_LATE_TO = 1.1


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceWeights:
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

    credit_per_token: float = 1e-4
    late_share: float = 0.75
    waiting: float = 1.0
    opening: float = 0.3
    crowding: float = 0.3
    overcommitted: float = 0.75
    crowded_memory: float = 0.2
    order: float = 0.02
    helper: float = 0.005
    byte: float = 2.9e-6
    joined_read_ms: float = 50.0
    spread: float = 0.01
    most_parts: int = 16


def lateness(value: float, limit: float) -> float:
    """Returns the probability that a predicted value exceeds its limit."""
    if limit <= 0:
        return 1.0
    share = (value / limit - _LATE_FROM) / (_LATE_TO - _LATE_FROM)
    return min(1.0, max(0.0, share))


def surely_late(value: float, limit: float) -> bool:
    """Returns whether a predicted value exceeds its limit for sure."""
    return value > limit * _LATE_TO
