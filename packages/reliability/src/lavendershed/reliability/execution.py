"""Execution status of a request, derived from the evidence of its attempts."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import states

# From the strongest statement to the weakest. A request has run if any of its
# attempts has, so the strongest status of all attempts is reported.
_BY_CERTAINTY = (
    states.Execution.COMPLETED,
    states.Execution.FAILED_AFTER_START,
    states.Execution.UNKNOWN,
    states.Execution.NOT_RUN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """Observations of one attempt.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        refused: Whether the server rejected the request before execution.
        started: Whether the server confirmed the start of execution.
        completed: Whether the complete response was read.
    """

    sent: bool = False
    refused: bool = False
    started: bool = False
    completed: bool = False


def infer_execution(evidence: AttemptEvidence) -> states.Execution:
    """Returns the execution status of an attempt.

    An attempt that was both refused and started counts as started: `not_run`
    is a guarantee, which contradictory evidence doesn't support.
    """
    if evidence.completed:
        return states.Execution.COMPLETED
    if evidence.started:
        return states.Execution.FAILED_AFTER_START
    if not evidence.sent or evidence.refused:
        return states.Execution.NOT_RUN
    return states.Execution.UNKNOWN


def evidence_from_start_error(
    error: backend_servers.BackendError,
) -> AttemptEvidence:
    """Returns the evidence given by a failed call to start execution."""
    return AttemptEvidence(
        sent=error.sent,
        refused=error.kind
        is backend_servers.BackendErrorKind.REFUSED_BEFORE_START,
    )


def combine_executions(
    executions: Iterable[states.Execution],
) -> states.Execution:
    """Returns the execution status of a request from all of its attempts."""
    return min(executions, key=_BY_CERTAINTY.index, default=_BY_CERTAINTY[-1])
