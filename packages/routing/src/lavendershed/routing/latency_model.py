"""Prediction of prefill and decode times of a model engine."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units
from lavendershed.routes import engine_profile

_MILLION = 1_000_000.0
_OUTPUT_TOKEN_WEIGHT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Size of a request to a model engine in tokens.

    Attributes:
        prompt_tokens: Tokens to prefill.
        max_output_tokens: Maximum length of the answer.
        expected_output_tokens: Length of the answer that the caller expects;
            None if it states none.
    """

    prompt_tokens: units.Tokens
    max_output_tokens: units.Tokens
    expected_output_tokens: units.Tokens | None = None

    @property
    def kv_tokens(self) -> int:
        """KV cache that the request may need at most."""
        return self.prompt_tokens + self.max_output_tokens


class LatencyModel:
    """Predictions for the engines of one service; durations in milliseconds."""

    def __init__(self, profile: engine_profile.EngineProfile) -> None:
        self._profile = profile

    @property
    def profile(self) -> engine_profile.EngineProfile:
        """Profile of the engines."""
        return self._profile

    def weighted_tokens(self, size: RequestSize) -> float:
        """Returns the cost of a request in prompt tokens.

        An output token counts as ten prompt tokens, the ratio given in
        the requirements.
        """
        return (
            size.prompt_tokens
            + _OUTPUT_TOKEN_WEIGHT * self.expected_output_tokens(size)
        )

    def expected_output_tokens(self, size: RequestSize) -> int:
        """Returns the expected length of the answer in tokens."""
        expected = size.expected_output_tokens
        if expected is None:
            expected = self._profile.mean_output_tokens
        return min(size.max_output_tokens, expected)

    def decode_ms(self, size: RequestSize, iteration_ms: float) -> float:
        """Returns the decode time of the expected answer."""
        iterations = (
            self.expected_output_tokens(size)
            / self._profile.steps_per_iteration
        )
        return iterations * iteration_ms

    def iteration_ms(self, sequences: int, context_tokens: int) -> float:
        """Returns the duration of an iteration without prefill.

        Args:
            sequences: Requests in the decode phase.
            context_tokens: Total context length of these requests.
        """
        profile = self._profile
        step_ms = (
            profile.step_ms
            + profile.step_ms_per_sequence * sequences
            + profile.step_ms_per_1k_context * context_tokens / 1_000
        )
        return step_ms * profile.steps_per_iteration

    def prefill_ms(self, prompt_tokens: int, shards: int = 1) -> float:
        """Returns the prefill time of one of `shards` even prompt shards."""
        profile = self._profile
        linear_ms = prompt_tokens / profile.prefill_tokens_per_ms
        attention_ms = (
            prompt_tokens
            * prompt_tokens
            / 2
            / _MILLION
            * profile.attention_ms_per_1m_pairs
        )
        return (linear_ms + attention_ms) / shards
