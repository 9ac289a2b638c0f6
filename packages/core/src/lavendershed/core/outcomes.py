"""Outcomes of requests as values."""

from __future__ import annotations

import dataclasses

from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure:
    """A failure as it is reported to the caller.

    Attributes:
        reason: Machine-readable cause.
        execution: What is known about the execution of the request.
        detail: One sentence for people: what was wrong and what to do.
        retry_after: Earliest time at which a retry can succeed, if known.
    """

    reason: states.FailureReason
    execution: states.Execution
    detail: str
    retry_after: units.Seconds | None = None


def not_run(
    reason: states.FailureReason,
    detail: str,
    retry_after: units.Seconds | None = None,
) -> RequestFailure:
    """Returns a failure that promises that the request was not run."""
    return RequestFailure(reason, states.Execution.NOT_RUN, detail, retry_after)
