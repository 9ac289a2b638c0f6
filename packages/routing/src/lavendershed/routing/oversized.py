"""Admission of prompts that do not fit into one engine's KV cache."""

from __future__ import annotations

import abc

from lavendershed.configuration import model
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.routing import attempts


class OversizedPolicy(abc.ABC):
    """Decides whether an oversized prompt is admitted."""

    @abc.abstractmethod
    def refusal(
        self, attempt: attempts.Attempt, service: model.Service
    ) -> outcomes.RequestFailure | None:
        """Returns why the prompt is refused, or None to admit it."""


class RefuseOversized(OversizedPolicy):
    """Refuses all oversized prompts."""

    def refusal(
        self, attempt: attempts.Attempt, service: model.Service
    ) -> outcomes.RequestFailure | None:
        """Returns a refusal that names the limit."""
        return outcomes.not_run(
            states.FailureReason.BODY_TOO_LARGE,
            f"the prompt and its answer take {attempt.total_tokens} tokens; "
            f"service '{service.name}' serves up to "
            f"{service.engine_memory_tokens}",
        )
