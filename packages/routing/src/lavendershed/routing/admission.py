"""Admission control for the queue of a service."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.configuration import model
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import attempts
from lavendershed.routing import limits
from lavendershed.routing import oversized

# Fill level of the queue at which the first class of a preset's shedding order
# is refused; the following classes are refused at even steps up to capacity.
_SHEDDING_START = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Queue state and estimated latency that admission depends on.

    Attributes:
        queued: Requests queued in this daemon.
        queue_wait: Estimated queueing time of the request.
        ttft: Estimated time from its dispatch to its first token.
        decode_step: Estimated time per output token after the first.
    """

    queued: int
    queue_wait: units.Seconds
    ttft: units.Seconds
    decode_step: units.Seconds


class Admission:
    """Admits requests, or refuses them before they are sent to an engine."""

    def __init__(
        self,
        organisation_limits: limits.OrganisationLimits,
        oversized_policy: oversized.OversizedPolicy,
    ) -> None:
        self._limits = organisation_limits
        self._oversized = oversized_policy

    def on_arrival(
        self,
        attempt: attempts.Attempt,
        service: model.Service,
        preset: model.Preset,
        backlog: Backlog,
        now: units.Instant,
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Admits and charges a request, or returns its refusal."""
        if attempt.prompt_class is states.PromptClass.OVERSIZED:
            refusal = self._oversized.refusal(attempt, service)
            if refusal is not None:
                return result.Err(refusal)
        refusal = self._check_queue(
            attempt, preset, backlog
        ) or self._check_deadline(attempt, backlog, now)
        if refusal is not None:
            return result.Err(refusal)
        if attempt.retry:
            return result.Ok(None)
        limit_check = self._limits.check(
            attempt.organisation, attempt.total_tokens, now
        )
        if isinstance(limit_check, result.Err):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.RATE_LIMITED,
                    f"organisation '{attempt.organisation}' is over its limit",
                    limit_check.err_value.retry_after,
                )
            )
        self._limits.charge(attempt.organisation, attempt.total_tokens)
        return result.Ok(None)

    def _check_queue(
        self, attempt: attempts.Attempt, preset: model.Preset, backlog: Backlog
    ) -> outcomes.RequestFailure | None:
        capacity = preset.max_queue * shedding_threshold(
            attempt.prompt_class, preset
        )
        if backlog.queued < capacity:
            return None
        return outcomes.not_run(
            states.FailureReason.QUEUE_FULL,
            f"{backlog.queued} requests are queued; the limit for "
            f"{attempt.prompt_class.value} prompts is {capacity:.0f}",
            backlog.queue_wait,
        )

    def _check_deadline(
        self, attempt: attempts.Attempt, backlog: Backlog, now: units.Instant
    ) -> outcomes.RequestFailure | None:
        needed = (
            backlog.queue_wait
            + backlog.ttft
            + attempt.max_tokens * backlog.decode_step
        )
        remaining = attempt.deadline.remaining(now)
        if needed <= remaining:
            return None
        return outcomes.not_run(
            states.FailureReason.DEADLINE_UNREACHABLE,
            f"the answer is expected in {needed:.1f} s, but the deadline is "
            f"in {remaining:.1f} s",
            backlog.queue_wait,
        )


def shedding_threshold(
    prompt_class: states.PromptClass, preset: model.Preset
) -> float:
    """Returns the fill level of the queue at which a class is refused."""
    if prompt_class not in preset.shed_first:
        return 1.0
    position = preset.shed_first.index(prompt_class)
    step = (1.0 - _SHEDDING_START) / len(preset.shed_first)
    return _SHEDDING_START + position * step
