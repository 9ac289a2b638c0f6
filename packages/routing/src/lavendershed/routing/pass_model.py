"""Time that a model engine needs to read prompts and to write answers."""

from __future__ import annotations

import dataclasses

from lavendershed.core import units
from lavendershed.routes import engine_profile

_MILLION = 1_000_000.0
_WRITTEN_WEIGHT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """Size of a request to a model engine in tokens.

    Attributes:
        prompt: Tokens to read.
        answer: Most tokens that may be written.
        expected: Tokens that the caller expects to be written, if it says so.
    """

    prompt: units.Tokens
    answer: units.Tokens
    expected: units.Tokens | None = None

    @property
    def memory(self) -> int:
        """Tokens of engine memory that the request can need."""
        return self.prompt + self.answer


class PassModel:
    """Predictions for the engines of one service; durations in milliseconds."""

    def __init__(self, profile: engine_profile.EngineProfile) -> None:
        self._profile = profile

    @property
    def profile(self) -> engine_profile.EngineProfile:
        """Figures of the engines."""
        return self._profile

    def work_tokens(self, size: PromptSize) -> float:
        """Returns the work of a request in prompt tokens.

        A token that is written counts as ten that are read, the weight that
        the users give it.
        """
        return size.prompt + _WRITTEN_WEIGHT * self.expected_answer(size)

    def expected_answer(self, size: PromptSize) -> int:
        """Returns the tokens that are probably written."""
        expected = size.expected
        if expected is None:
            expected = self._profile.usual_answer
        return min(size.answer, expected)

    def write_ms(self, size: PromptSize, pass_ms: float) -> float:
        """Returns the time to write the expected answer."""
        passes = self.expected_answer(size) / self._profile.steps_per_pass
        return passes * pass_ms

    def pass_ms(self, writers: int, context: int) -> float:
        """Returns the length of a pass without reading.

        Args:
            writers: Answers that are being written.
            context: Tokens of all their contexts together.
        """
        profile = self._profile
        step = (
            profile.step_ms
            + profile.writer_step_ms * writers
            + profile.context_step_ms * context / 1_000
        )
        return step * profile.steps_per_pass

    def read_ms(self, prompt: int, parts: int = 1) -> float:
        """Returns the time to read one of `parts` even parts of a prompt."""
        profile = self._profile
        linear = prompt / profile.read_tokens_per_ms
        pairs = prompt * prompt / 2 / _MILLION * profile.pairs_ms
        return (linear + pairs) / parts
