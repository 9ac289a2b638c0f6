"""Figures of a model engine that its configuration states."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and size of the engines of one service.

    An engine works in passes. A pass in which answers are written has
    `steps_per_pass` token steps, and prompts are read inside these steps.

    Attributes:
        slots: Requests that run at the same time.
        memory: Tokens that fit into the memory of one engine.
        steps_per_pass: Token steps of a pass with writers.
        step_ms: Milliseconds of one token step.
        writer_step_ms: Milliseconds that each writer adds to a step.
        context_step_ms: Milliseconds that each 1,000 tokens of a writer's
            context add to a step.
        read_tokens_per_ms: Prompt tokens that are read in a millisecond.
        pairs_ms: Milliseconds per million pairs of a token and an earlier one.
        read_tokens_per_step: Most prompt tokens that are read in a step.
        usual_answer: Mean tokens of an answer.
        helper_hop_ms: Milliseconds that a joint request adds to a step.
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
