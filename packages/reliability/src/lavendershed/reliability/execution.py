"""What may be said about the execution of a request: the truth table."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import states

# From the strongest statement to the weakest. What is true of one attempt
# holds for the request, so that the strongest statement is the one to report.
_BY_CERTAINTY = (
    states.Execution.COMPLETED,
    states.Execution.FAILED_AFTER_START,
    states.Execution.UNKNOWN,
    states.Execution.NOT_RUN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """What was observed of one attempt.

    Attributes:
        sent: Whether any byte of the request may have reached the server.
        refused: Whether the server answered that it refused before starting.
        started: Whether the server confirmed that it had started.
        completed: Whether the whole answer was read.
    """

    sent: bool = False
    refused: bool = False
    started: bool = False
    completed: bool = False


def infer_execution(evidence: AttemptEvidence) -> states.Execution:
    """Returns what is known of an attempt with this evidence.

    A server that both refused and started counts as started: `not_run` is a
    guarantee, and contradictory evidence is no ground for it.
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
    """Returns the evidence that a failed call to start the work gives."""
    return AttemptEvidence(
        sent=error.sent,
        refused=error.kind
        is backend_servers.BackendErrorKind.REFUSED_BEFORE_START,
    )


def combine_executions(
    executions: Iterable[states.Execution],
) -> states.Execution:
    """Returns what is known of a request from all of its attempts."""
    return min(executions, key=_BY_CERTAINTY.index, default=_BY_CERTAINTY[-1])
