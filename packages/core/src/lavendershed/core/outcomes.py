"""Request outcomes."""

from __future__ import annotations

import dataclasses

from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure:
    """A request failure, as reported to the caller.

    Attributes:
        reason: Machine-readable cause.
        execution: Whether the request was executed, as far as known.
        detail: Human-readable message: what was wrong and what to do.
        retry_after: Delay after which a retry can succeed, if known.
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
    """Returns a failure that guarantees that the request was not run."""
    return RequestFailure(reason, states.Execution.NOT_RUN, detail, retry_after)
