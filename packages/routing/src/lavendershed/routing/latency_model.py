"""Time that a model engine needs to read prompts and to write answers."""

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
        prompt: Tokens to read.
        answer: Most tokens that may be written.
        expected: Tokens that the caller expects to be written, if it says so.
    """

    prompt_tokens: units.Tokens
    max_output_tokens: units.Tokens
    expected_output_tokens: units.Tokens | None = None

    @property
    def kv_tokens(self) -> int:
        """Tokens of engine memory that the request can need."""
        return self.prompt_tokens + self.max_output_tokens


class LatencyModel:
    """Predictions for the engines of one service; durations in milliseconds."""

    def __init__(self, profile: engine_profile.EngineProfile) -> None:
        self._profile = profile

    @property
    def profile(self) -> engine_profile.EngineProfile:
        """Figures of the engines."""
        return self._profile

    def weighted_tokens(self, size: RequestSize) -> float:
        """Returns the work of a request in prompt tokens.

        A token that is written counts as ten that are read, the weight that
        the users give it.
        """
        return (
            size.prompt_tokens
            + _OUTPUT_TOKEN_WEIGHT * self.expected_output_tokens(size)
        )

    def expected_output_tokens(self, size: RequestSize) -> int:
        """Returns the tokens that are probably written."""
        expected = size.expected_output_tokens
        if expected is None:
            expected = self._profile.mean_output_tokens
        return min(size.max_output_tokens, expected)

    def decode_ms(self, size: RequestSize, iteration_ms: float) -> float:
        """Returns the time to write the expected answer."""
        iterations = (
            self.expected_output_tokens(size)
            / self._profile.steps_per_iteration
        )
        return iterations * iteration_ms

    def iteration_ms(self, sequences: int, context_tokens: int) -> float:
        """Returns the length of a pass without reading.

        Args:
            sequences: Requests in the decode phase.
            context_tokens: Tokens of all their contexts together.
        """
        profile = self._profile
        step_ms = (
            profile.step_ms
            + profile.step_ms_per_sequence * sequences
            + profile.step_ms_per_1k_context * context_tokens / 1_000
        )
        return step_ms * profile.steps_per_iteration

    def prefill_ms(self, prompt_tokens: int, shards: int = 1) -> float:
        """Returns the time to read one of `parts` even parts of a prompt."""
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
