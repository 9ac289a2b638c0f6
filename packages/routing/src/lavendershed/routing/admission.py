"""Admission control for the queue of a service."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.configuration import model
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import limits
from lavendershed.routing import oversized
from lavendershed.routing import work as work_module

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
        work: work_module.Work,
        service: model.Service,
        preset: model.Preset,
        backlog: Backlog,
        now: units.Instant,
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Admits and charges a request, or returns its refusal."""
        if work.prompt_class is states.PromptClass.OVERSIZED:
            refusal = self._oversized.refusal(work, service)
            if refusal is not None:
                return result.Err(refusal)
        refusal = self._check_queue(
            work, preset, backlog
        ) or self._check_deadline(work, backlog, now)
        if refusal is not None:
            return result.Err(refusal)
        if work.retry:
            return result.Ok(None)
        within = self._limits.check(work.organisation, work.total_tokens, now)
        if isinstance(within, result.Err):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.RATE_LIMITED,
                    f"organisation '{work.organisation}' is over its limit",
                    within.err_value.retry_after,
                )
            )
        self._limits.charge(work.organisation, work.total_tokens)
        return result.Ok(None)

    def _check_queue(
        self, work: work_module.Work, preset: model.Preset, backlog: Backlog
    ) -> outcomes.RequestFailure | None:
        capacity = preset.max_queue * shedding_threshold(
            work.prompt_class, preset
        )
        if backlog.queued < capacity:
            return None
        return outcomes.not_run(
            states.FailureReason.QUEUE_FULL,
            f"{backlog.queued} requests are queued; the limit for "
            f"{work.prompt_class.value} prompts is {capacity:.0f}",
            backlog.queue_wait,
        )

    def _check_deadline(
        self, work: work_module.Work, backlog: Backlog, now: units.Instant
    ) -> outcomes.RequestFailure | None:
        needed = (
            backlog.queue_wait
            + backlog.ttft
            + work.max_tokens * backlog.decode_step
        )
        remaining = work.deadline.remaining(now)
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
