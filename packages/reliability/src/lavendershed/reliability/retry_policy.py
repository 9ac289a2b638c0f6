"""Decision whether and when a failed attempt is followed by another."""

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
        max_attempts: Attempts of one request, the first one included.
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
        incarnation: Incarnation that ran the attempt, if it is known.
        dead: Whether that incarnation was found dead.
    """

    engine: ids.BackendServerId
    incarnation: ids.Incarnation | None
    error: backend_servers.BackendError
    execution: states.Execution
    dead: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Command: run another attempt at `when`, preferably not on `excluded`."""

    when: units.Instant
    excluded: frozenset[ids.BackendServerId]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Command: fail the request."""

    failure: outcomes.RequestFailure


class RetryPolicy:
    """Retries with full jitter within a budget and the deadline.

    Full jitter: a delay drawn evenly from zero to the exponential bound, which
    spreads the retries of streams that one engine's death has ended together.
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
        """Counts a new request towards the budget."""
        self._budget.on_request(now)

    def on_attempt_failed(
        self,
        attempts: Sequence[FailedAttempt],
        deadline: deadlines.Deadline,
        idempotent: bool,
        now: units.Instant,
    ) -> Retry | GiveUp:
        """Decides after the last of `attempts` failed.

        Args:
            attempts: All attempts of the request, oldest first; at least one.
            deadline: Deadline of the request.
            idempotent: Whether the request may run more than once.
            now: Current time.
        """
        known = execution_module.combined(a.execution for a in attempts)
        detail = attempts[-1].error.detail
        if known is not states.Execution.NOT_RUN and not idempotent:
            return _give_up(known, f"{detail}; the call must not be repeated")
        if len(attempts) >= self._limits.max_attempts:
            return _give_up(known, f"{detail}; {len(attempts)} attempts failed")
        bound = min(
            self._limits.max_delay,
            self._limits.base_delay * 2 ** (len(attempts) - 1),
        )
        when = units.after(now, units.Seconds(self._random.uniform(0, bound)))
        if deadline.is_expired(when):
            return GiveUp(
                outcomes.RequestFailure(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    known,
                    f"{detail}; the deadline leaves no time for a retry",
                )
            )
        if not self._budget.spend(now):
            return _give_up(known, f"{detail}; the retry budget is used up")
        return Retry(when, frozenset(a.engine for a in attempts))


def dead_engines(
    attempts: Sequence[FailedAttempt],
    incarnations: Mapping[ids.BackendServerId, ids.Incarnation],
) -> frozenset[ids.BackendServerId]:
    """Returns the engines that must not run another attempt.

    Other engines that failed are avoided only while there is a choice.

    Args:
        attempts: All attempts of the request.
        incarnations: The latest incarnation seen of each engine. An engine
            that runs with a new one is no longer the one that died.
    """
    return frozenset(
        attempt.engine
        for attempt in attempts
        if attempt.dead
        and incarnations.get(attempt.engine) in (None, attempt.incarnation)
    )


def _give_up(execution: states.Execution, detail: str) -> GiveUp:
    return GiveUp(
        outcomes.RequestFailure(
            states.FailureReason.BACKEND_SERVER_FAILED, execution, detail
        )
    )
