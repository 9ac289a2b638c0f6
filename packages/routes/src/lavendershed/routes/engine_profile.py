"""Configured performance and capacity of a service's model engines."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance and KV cache capacity of the engines of one service.

    An engine runs in iterations. While requests decode, one iteration consists
    of `steps_per_iteration` decode steps, each of which may also prefill a
    chunk of the queued prompts (chunked prefill).

    Attributes:
        slots: Maximum batch size in requests.
        kv_capacity: KV cache capacity of one engine in tokens.
        steps_per_iteration: Decode steps of an iteration.
        step_ms: Base duration of a decode step in milliseconds.
        step_ms_per_sequence: Milliseconds that each decoding request adds to a
            step.
        step_ms_per_1k_context: Milliseconds that each 1,000 context tokens of
            the decoding requests add to a step.
        prefill_tokens_per_ms: Prefill throughput, without attention.
        attention_ms_per_1m_pairs: Attention time of the prefill per million
            pairs of a token and an earlier one.
        prefill_chunk_tokens: Maximum number of prompt tokens per step.
        mean_output_tokens: Mean length of an answer.
        parallel_step_overhead_ms: Milliseconds that a request which several
            engines serve together adds to a step.
        retains_prompts: Whether engines keep prompts after their requests, in
            memory that other requests don't need.
    """

    slots: int
    kv_capacity: units.Tokens
    steps_per_iteration: int
    step_ms: float
    step_ms_per_sequence: float
    step_ms_per_1k_context: float
    prefill_tokens_per_ms: float
    attention_ms_per_1m_pairs: float
    prefill_chunk_tokens: int
    mean_output_tokens: units.Tokens
    parallel_step_overhead_ms: float
    retains_prompts: bool = False
