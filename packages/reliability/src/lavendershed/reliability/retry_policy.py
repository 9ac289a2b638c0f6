"""Retry policy: whether and when to retry a failed attempt."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random

from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.reliability import execution as execution_module
from lavendershed.reliability import retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of retries.

    Attributes:
        max_attempts: Maximum attempts of a request, including the first one.
        base_delay: Upper bound of the delay before the first retry.
        max_delay: Upper bound of any delay.
    """

    max_attempts: int = 6
    base_delay: units.Seconds = units.Seconds(0.05)
    max_delay: units.Seconds = units.Seconds(2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Outcome of one attempt that did not complete.

    Attributes:
        incarnation: Incarnation that ran the attempt, if known.
        incarnation_dead: Whether that incarnation is known to be dead.
    """

    engine: ids.BackendServerId
    incarnation: ids.Incarnation | None
    error: backend_servers.BackendError
    execution: states.Execution
    incarnation_dead: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Command: run another attempt at `retry_at`.

    Attributes:
        avoided_engines: Engines to use only if no other is available.
    """

    retry_at: units.Instant
    avoided_engines: frozenset[ids.BackendServerId]


@dataclasses.dataclass(frozen=True, slots=True)
class FailRequest:
    """Command: fail the request."""

    failure: outcomes.RequestFailure


class RetryPolicy:
    """Exponential backoff with full jitter, within a budget and the deadline.

    With full jitter, the delay is uniform between zero and the exponential
    bound. This spreads the retries of streams that one engine crash ended at
    the same time.
    """

    def __init__(
        self,
        limits: RetryLimits,
        budget: retry_budget.RetryBudget,
        generator: random.Random,
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._random = generator

    def on_request(self, now: units.Instant) -> None:
        """Counts a new request for the retry budget."""
        self._budget.on_request(now)

    def on_attempt_failed(
        self,
        attempts: Sequence[FailedAttempt],
        deadline: deadlines.Deadline,
        idempotent: bool,
        now: units.Instant,
    ) -> Retry | FailRequest:
        """Decides whether to retry after the last of `attempts` failed.

        Args:
            attempts: All attempts of the request, oldest first; at least one.
            deadline: Deadline of the request.
            idempotent: Whether the request may be executed more than once.
            now: Current time.
        """
        execution = execution_module.combine_executions(
            a.execution for a in attempts
        )
        detail = attempts[-1].error.detail
        if execution is not states.Execution.NOT_RUN and not idempotent:
            return _backend_failure(
                execution, f"{detail}; the request is not idempotent"
            )
        if len(attempts) >= self._limits.max_attempts:
            return _backend_failure(
                execution, f"{detail}; {len(attempts)} attempts failed"
            )
        max_delay = min(
            self._limits.max_delay,
            self._limits.base_delay * 2 ** (len(attempts) - 1),
        )
        retry_at = units.after(
            now, units.Seconds(self._random.uniform(0, max_delay))
        )
        if deadline.is_expired(retry_at):
            return FailRequest(
                outcomes.RequestFailure(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    execution,
                    f"{detail}; a retry would exceed the deadline",
                )
            )
        if not self._budget.try_spend(now):
            return _backend_failure(
                execution, f"{detail}; the retry budget is exhausted"
            )
        return Retry(retry_at, frozenset(a.engine for a in attempts))


def dead_engines(
    attempts: Sequence[FailedAttempt],
    incarnations: Mapping[ids.BackendServerId, ids.Incarnation],
) -> frozenset[ids.BackendServerId]:
    """Returns the engines that must not run another attempt.

    Other engines that failed are avoided only if alternatives exist.

    Args:
        attempts: All attempts of the request.
        incarnations: The latest incarnation seen of each engine. An engine
            with a new incarnation has restarted and may be used.
    """
    return frozenset(
        attempt.engine
        for attempt in attempts
        if attempt.incarnation_dead
        and incarnations.get(attempt.engine) in (None, attempt.incarnation)
    )


def _backend_failure(execution: states.Execution, detail: str) -> FailRequest:
    return FailRequest(
        outcomes.RequestFailure(
            states.FailureReason.BACKEND_SERVER_FAILED, execution, detail
        )
    )
