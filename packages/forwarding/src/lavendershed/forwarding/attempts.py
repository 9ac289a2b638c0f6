"""Attempt history of one request and its retry decisions."""

from __future__ import annotations

import dataclasses
import itertools

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.membership import server_directory
from lavendershed.reliability import execution
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Retry-After of a request that was not run: a backend server that was at
# capacity is likely to accept requests again after this time.
_RETRY_AFTER = units.Seconds(0.5)
# An attempt with less time left than this can't succeed on any server.
MIN_ATTEMPT_TIME = units.Seconds(0.03)

# The attempt limit of the route does not count servers that refuse the
# connection. This limit ends such a search, since a retry by the caller at
# another daemon is more likely to succeed.
_MAX_COUNTED_ATTEMPTS = 4
# Refusals because of a prefill helper name one failed engine each. While the
# store is away, several engines may have left without notice.
_MAX_HELPER_FAILURES = 8

_EXECUTION_BY_OUTCOME = {
    forwarding_states.AttemptOutcome.NOT_SENT: states.Execution.NOT_RUN,
    forwarding_states.AttemptOutcome.REFUSED: states.Execution.NOT_RUN,
    forwarding_states.AttemptOutcome.WRONG_SERVER: states.Execution.NOT_RUN,
    forwarding_states.AttemptOutcome.NO_MEMORY: states.Execution.NOT_RUN,
    forwarding_states.AttemptOutcome.SERVER_FAILURE: (
        states.Execution.FAILED_AFTER_START
    ),
    forwarding_states.AttemptOutcome.LOST: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.STALLED: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.SLOW_ENGINE: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.INVALID_RESPONSE: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.COMPLETE: states.Execution.COMPLETED,
}
# Outcomes after which no engine has begun to work on the request.
OUTCOMES_NOT_STARTED = frozenset(
    outcome
    for outcome, execution_state in _EXECUTION_BY_OUTCOME.items()
    if execution_state is states.Execution.NOT_RUN
)
_OUTCOMES_BEFORE_SEND = frozenset(
    {
        forwarding_states.AttemptOutcome.NOT_SENT,
        forwarding_states.AttemptOutcome.NO_MEMORY,
    }
)
# Outcomes after which the server has received the request.
_OUTCOMES_AFTER_DELIVERY = frozenset(forwarding_states.AttemptOutcome) - {
    forwarding_states.AttemptOutcome.NOT_SENT,
    forwarding_states.AttemptOutcome.WRONG_SERVER,
    forwarding_states.AttemptOutcome.NO_MEMORY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of one attempt and its cause.

    Attributes:
        outcome: How the attempt ended.
        detail: Cause, for logs.
        servers_without_memory: Engines that could not reserve memory.
        helper_failed: Whether the server refused because a prefill helper
            failed, so that it may be retried with other helpers.
        answer_begun: Whether the attempt had brought an event.
    """

    outcome: forwarding_states.AttemptOutcome
    detail: str = ""
    servers_without_memory: tuple[ids.BackendServerId, ...] = ()
    helper_failed: bool = False
    answer_begun: bool = False


class AttemptTracker:
    """Decides whether and on which servers a request is retried."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
    ) -> None:
        self._context = context
        self._admitted_request = admitted_request
        self._results: list[AttemptResult] = []
        self._failed_servers: set[ids.BackendServerId] = set()
        self._failed_peers: set[addresses.Address] = set()
        # Servers that received the request; the route limits their number.
        self._delivered_to: set[ids.BackendServerId] = set()
        # All attempts but those that failed to reserve memory, or because of
        # a prefill helper.
        self._counted_attempts = 0
        self._helper_failures = 0
        # The result whose retry has been charged to the retry budget.
        self._budgeted_result: AttemptResult | None = None

    @property
    def failed_servers(self) -> frozenset[ids.BackendServerId]:
        """Servers that failed this request."""
        return frozenset(self._failed_servers)

    @property
    def failed_peers(self) -> frozenset[addresses.Address]:
        """Daemons that failed to run this request."""
        return frozenset(self._failed_peers)

    @property
    def unsent_in_a_row(self) -> int:
        """Number of last attempts that found no connection to a server."""
        return sum(
            1
            for _ in itertools.takewhile(
                lambda r: (
                    r.outcome is forwarding_states.AttemptOutcome.NOT_SENT
                ),
                reversed(self._results),
            )
        )

    @property
    def remaining_servers(self) -> int:
        """Further servers that may receive the request, at least one."""
        return max(1, self._remaining_new_servers)

    @property
    def retryable_servers(self) -> frozenset[ids.BackendServerId]:
        """Servers that may receive the request again.

        They refused it because a prefill helper failed. Once the route allows
        no further server, only these may be retried.
        """
        return frozenset(self._delivered_to - self._failed_servers)

    @property
    def new_servers_exhausted(self) -> bool:
        """Whether the route allows no further server for the request."""
        return self._remaining_new_servers <= 0

    @property
    def _remaining_new_servers(self) -> int:
        return self._admitted_request.route.max_attempts - len(
            self._delivered_to
        )

    @property
    def servers_without_memory(self) -> frozenset[ids.BackendServerId]:
        """Engines that had no memory in the last attempt."""
        return frozenset(
            self._results[-1].servers_without_memory if self._results else ()
        )

    @property
    def count(self) -> int:
        """Number of failed attempts so far."""
        return len(self._results)

    @property
    def execution(self) -> states.Execution:
        """Execution state of the request over all attempts."""
        return execution.combine_executions(
            _EXECUTION_BY_OUTCOME[r.outcome] for r in self._results
        )

    @property
    def time_left(self) -> units.Seconds:
        """Time until the deadline of the request."""
        return units.elapsed(
            self._context.timers.now(), self._admitted_request.deadline
        )

    def record(
        self,
        server: server_directory.ServerEntry,
        attempt_result: AttemptResult,
    ) -> None:
        """Records an attempt that returned no complete response."""
        self._results.append(attempt_result)
        if (
            attempt_result.outcome
            is not forwarding_states.AttemptOutcome.NO_MEMORY
        ):
            if attempt_result.helper_failed:
                self._helper_failures += 1
            else:
                self._counted_attempts += 1
                self._failed_servers.add(server.id)
        if attempt_result.outcome in _OUTCOMES_AFTER_DELIVERY:
            self._delivered_to.add(server.id)
        self._context.instruments.count_failed_attempt(
            self._admitted_request.service.id,
            server.id,
            attempt_result.outcome.value,
        )
        self._context.log.emit(
            events.Event.ATTEMPT_FAILED,
            request=self._admitted_request.request.id,
            server=server.id,
            reason=attempt_result.outcome.value,
            detail=attempt_result.detail,
            attempt=self.count,
            execution=self.execution.value,
            **self._crash_fields(attempt_result),
        )

    def record_relay(
        self, peer: addresses.Address, attempt_result: AttemptResult
    ) -> None:
        """Records an attempt of a peer that returned no complete response."""
        self._results.append(attempt_result)
        self._counted_attempts += 1
        self._failed_peers.add(peer)
        if attempt_result.outcome in _OUTCOMES_AFTER_DELIVERY:
            # The peer may have sent it to one server or more.
            self._delivered_to.add(ids.BackendServerId(str(peer)))
            self._failed_servers.add(ids.BackendServerId(str(peer)))
        self._context.log.emit(
            events.Event.ATTEMPT_FAILED,
            request=self._admitted_request.request.id,
            peer=str(peer),
            reason=attempt_result.outcome.value,
            detail=attempt_result.detail,
            attempt=self.count,
            execution=self.execution.value,
        )

    def _crash_fields(
        self, attempt_result: AttemptResult
    ) -> dict[str, log.LogValue]:
        """Returns what a lost attempt says about the cause of a crash."""
        if attempt_result.outcome is not forwarding_states.AttemptOutcome.LOST:
            return {}
        parts = self._admitted_request.request.prompt_parts
        return {
            "answer_begun": attempt_result.answer_begun,
            "parts": [f"{part:x}" for part in sorted(parts)],
        }

    def check_next_attempt(self) -> outcomes.RequestFailure | None:
        """Returns why no further attempt is allowed, or None if one is.

        Charges a retry to the retry budget.
        """
        now = self._context.timers.now()
        remaining = self._context.crash_attribution.quarantine_remaining(
            self._admitted_request.crash_suspects, now
        )
        if remaining is not None:
            return self.build_failure(
                states.FailureReason.QUARANTINED,
                "backend servers crashed on this request or a part of it",
                remaining,
            )
        if self.time_left < MIN_ATTEMPT_TIME:
            return self.build_failure(
                states.FailureReason.DEADLINE_EXCEEDED,
                "no time left for another attempt",
            )
        if not self._results or self._results[-1] is self._budgeted_result:
            return None
        last_result = self._results[-1]
        idempotent = self._admitted_request.route.idempotent
        if not idempotent and self.execution is not states.Execution.NOT_RUN:
            return self._backend_server_failure(
                f"not retried, the request may have run: {last_result.detail}"
            )
        if (
            (self._remaining_new_servers <= 0 and not self.retryable_servers)
            or self._counted_attempts >= _MAX_COUNTED_ATTEMPTS
            or self._helper_failures >= _MAX_HELPER_FAILURES
        ):
            return self._backend_server_failure(
                f"attempt limit reached: {last_result.detail}"
            )
        # A request that was not sent adds no load to a server.
        exempt_from_budget = last_result.outcome in _OUTCOMES_BEFORE_SEND
        if not exempt_from_budget and not self._context.retry_budget.try_spend(
            self._admitted_request.service.id, now
        ):
            return self._backend_server_failure("retry budget exhausted")
        self._budgeted_result = last_result
        return None

    @property
    def may_try_another_engine(self) -> bool:
        """Whether the route allows another engine besides the current one."""
        return (
            self._admitted_request.route.idempotent
            and self._remaining_new_servers > 1
            and self._counted_attempts + 1 < _MAX_COUNTED_ATTEMPTS
        )

    def build_failure(
        self,
        reason: states.FailureReason,
        detail: str,
        retry_after: units.Seconds | None = _RETRY_AFTER,
    ) -> outcomes.RequestFailure:
        """Returns a failure with the execution state of all attempts.

        Args:
            reason: Why the request fails.
            detail: Cause, for the caller and for logs.
            retry_after: When the caller may return if the request has not run;
                None if no return can be served.
        """
        execution_state = self.execution
        not_run = execution_state is states.Execution.NOT_RUN
        return outcomes.RequestFailure(
            reason, execution_state, detail, retry_after if not_run else None
        )

    def _backend_server_failure(self, detail: str) -> outcomes.RequestFailure:
        return self.build_failure(
            states.FailureReason.BACKEND_SERVER_FAILED, detail
        )
