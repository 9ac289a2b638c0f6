"""Attempt history of one request and its retry decisions."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import itertools

from lavendershed.admission import return_schedule
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.reliability import execution
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Retry-After of a request that was not run: a backend server that was at
# capacity is likely to accept requests again after this time.
_RETRY_AFTER = units.Seconds(0.5)
# Share of the target latency by which returns after a pause follow each other
# at one server, which takes several requests at a time.
_RETURN_SPACING = 0.1
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
    forwarding_states.AttemptOutcome.WITHDRAWN: states.Execution.NOT_RUN,
    forwarding_states.AttemptOutcome.SERVER_FAILURE: (
        states.Execution.FAILED_AFTER_START
    ),
    forwarding_states.AttemptOutcome.LOST: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.STALLED: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.INVALID_RESPONSE: states.Execution.UNKNOWN,
    forwarding_states.AttemptOutcome.COMPLETE: states.Execution.COMPLETED,
}
# Outcomes after which no engine has begun to work on the request.
OUTCOMES_NOT_STARTED = frozenset(
    outcome
    for outcome, execution_state in _EXECUTION_BY_OUTCOME.items()
    if execution_state is states.Execution.NOT_RUN
)
# Outcomes that are no failure of the server, which may get the request again.
_UNCOUNTED_OUTCOMES = frozenset(
    {
        forwarding_states.AttemptOutcome.NO_MEMORY,
        forwarding_states.AttemptOutcome.WITHDRAWN,
    }
)
_OUTCOMES_BEFORE_SEND = _UNCOUNTED_OUTCOMES | {
    forwarding_states.AttemptOutcome.NOT_SENT
}
# Outcomes after which the server has received the request.
_OUTCOMES_AFTER_DELIVERY = (
    frozenset(forwarding_states.AttemptOutcome)
    - _OUTCOMES_BEFORE_SEND
    - {forwarding_states.AttemptOutcome.WRONG_SERVER}
)


# Failures after which a return may be served, once servers take requests.
_REASONS_OF_SERVERS = frozenset(
    {
        states.FailureReason.NO_BACKEND_SERVER,
        states.FailureReason.BACKEND_SERVER_FAILED,
    }
)


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
        response: Complete response, to be forwarded as it is; None if there is
            none, or if a stream has been forwarded already.
    """

    outcome: forwarding_states.AttemptOutcome
    detail: str = ""
    servers_without_memory: tuple[ids.BackendServerId, ...] = ()
    helper_failed: bool = False
    answer_begun: bool = False
    response: requests.BackendResponse | None = None


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
        # Servers and peers that attempts run on now.
        self._open_servers: set[ids.BackendServerId] = set()
        self._open_peers: set[addresses.Address] = set()
        # All attempts but those that failed to reserve memory, or because of
        # a prefill helper.
        self._counted_attempts = 0
        self._helper_failures = 0
        self._max_counted_attempts = _MAX_COUNTED_ATTEMPTS
        self._max_helper_failures = _MAX_HELPER_FAILURES
        # Attempts that were sent, or are being sent, to a server or a peer. All
        # but the first are charged to the retry budget.
        self._sent_attempts = 0
        self._charged_attempts = 0

    @property
    def failed_servers(self) -> frozenset[ids.BackendServerId]:
        """Servers that failed this request."""
        return frozenset(self._failed_servers)

    @property
    def used_peers(self) -> frozenset[addresses.Address]:
        """Daemons that run this request, or failed to."""
        return frozenset(self._failed_peers | self._open_peers)

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

        They refused it because a prefill helper failed, or were silent while
        another one went on. Once the route allows no further server, only these
        may be retried.
        """
        return frozenset(
            self._delivered_to - self._failed_servers - self._open_servers
        )

    @property
    def open_servers(self) -> frozenset[ids.BackendServerId]:
        """Servers that attempts run on now."""
        return frozenset(self._open_servers)

    @property
    def new_servers_exhausted(self) -> bool:
        """Whether the route allows no further server for the request."""
        return self._remaining_new_servers <= 0

    @property
    def _remaining_new_servers(self) -> int:
        return self._admitted_request.route.max_attempts - len(
            self._delivered_to | self._open_servers
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

    def may_run_elsewhere(self, peer: addresses.Address) -> bool:
        """Returns whether an attempt that is not at `peer` may have run."""
        return (
            bool(self._open_servers - {_peer_key(peer)})
            or self.execution is not states.Execution.NOT_RUN
        )

    def record_start(self, server: ids.BackendServerId) -> None:
        """Records that an attempt runs on a server."""
        self._open_servers.add(server)
        self._sent_attempts += 1

    def record_relay_start(self, peer: addresses.Address) -> None:
        """Records that an attempt runs at a peer."""
        self._open_peers.add(peer)
        self.record_start(_peer_key(peer))

    def record_relay_close(self, peer: addresses.Address) -> None:
        """Records that an attempt at a peer was closed."""
        self._open_peers.discard(peer)
        # It is not known which servers the peer has sent it to.
        self._failed_servers.add(_peer_key(peer))
        self.record_close(_peer_key(peer))

    def record_close(self, server: ids.BackendServerId) -> None:
        """Records that an attempt was closed, because another one went on.

        The server has not failed the request, and has received it.
        """
        self._open_servers.discard(server)
        self._delivered_to.add(server)
        self._context.log.emit(
            events.Event.ATTEMPT_CLOSED,
            request=self._admitted_request.request.id,
            server=server,
            attempt=self.count + 1,
        )

    def record(
        self,
        server: server_directory.ServerEntry,
        attempt_result: AttemptResult,
    ) -> None:
        """Records an attempt that returned no complete response."""
        self._record_result(server.id, attempt_result)
        if attempt_result.outcome not in _UNCOUNTED_OUTCOMES:
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
        self._open_peers.discard(peer)
        self._record_result(_peer_key(peer), attempt_result)
        self._counted_attempts += 1
        self._failed_peers.add(peer)
        if attempt_result.outcome in _OUTCOMES_AFTER_DELIVERY:
            # The peer may have sent it to one server or more.
            self._delivered_to.add(_peer_key(peer))
            self._failed_servers.add(_peer_key(peer))
        self._context.log.emit(
            events.Event.ATTEMPT_FAILED,
            request=self._admitted_request.request.id,
            peer=str(peer),
            reason=attempt_result.outcome.value,
            detail=attempt_result.detail,
            attempt=self.count,
            execution=self.execution.value,
        )

    def _record_result(
        self, server: ids.BackendServerId, attempt_result: AttemptResult
    ) -> None:
        self._open_servers.discard(server)
        self._results.append(attempt_result)
        if attempt_result.outcome in _OUTCOMES_BEFORE_SEND:
            # It has added no load to a server.
            self._sent_attempts -= 1

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
        """Returns why no further attempt can be allowed, or None if one can.

        The limits of `check_retry_limits` apply besides.
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
        if not self._results and not self._open_servers:
            return None
        detail = self._results[-1].detail if self._results else "silent"
        idempotent = self._admitted_request.route.idempotent
        may_have_run = (
            bool(self._open_servers)
            or self.execution is not states.Execution.NOT_RUN
        )
        if not idempotent and may_have_run:
            return self._backend_server_failure(
                f"not retried, the request may have run: {detail}"
            )
        if self._remaining_new_servers <= 0 and not self.retryable_servers:
            return self._backend_server_failure(
                f"attempt limit reached: {detail}"
            )
        return None

    def check_retry_limits(self) -> outcomes.RequestFailure | None:
        """Returns which limit allows no attempt now, or None if one may start.

        A request that can wait may be allowed another attempt later. Charges
        an attempt beyond the first one to the retry budget.
        """
        if (
            self._counted_attempts + len(self._open_servers)
            >= self._max_counted_attempts
            or self._helper_failures >= self._max_helper_failures
        ):
            detail = self._results[-1].detail if self._results else "silent"
            return self._backend_server_failure(
                f"attempt limit reached: {detail}"
            )
        if self._charged_attempts < self._sent_attempts:
            if not self._context.retry_budget.try_spend(
                self._admitted_request.service.id, self._context.timers.now()
            ):
                return self._backend_server_failure("retry budget exhausted")
            self._charged_attempts += 1
        return None

    def extend_search(self) -> None:
        """Allows one attempt beyond the limits on the search for a server.

        Servers and peers that have not received the request may have returned
        since and are no longer avoided. Those that have received it stay
        subject to the limit of the route.
        """
        self._max_counted_attempts = max(
            self._max_counted_attempts,
            self._counted_attempts + len(self._open_servers) + 1,
        )
        self._max_helper_failures = max(
            self._max_helper_failures, self._helper_failures + 1
        )
        self._failed_servers &= self._delivered_to
        self._failed_peers = {
            peer
            for peer in self._failed_peers
            if _peer_key(peer) in self._delivered_to
        }

    @property
    def may_try_another_engine(self) -> bool:
        """Whether the route allows another engine besides the current one."""
        return (
            self._admitted_request.route.idempotent
            and self._remaining_new_servers > 0
            and self._counted_attempts + len(self._open_servers)
            < _MAX_COUNTED_ATTEMPTS
        )

    def build_failure(
        self,
        reason: states.FailureReason,
        detail: str,
        retry_after: units.Seconds | None = _RETRY_AFTER,
        *,
        is_scheduled: bool = False,
    ) -> outcomes.RequestFailure:
        """Returns a failure with the execution state of all attempts.

        Args:
            reason: Why the request fails.
            detail: Cause, for the caller and for logs.
            retry_after: When the caller may return if the request has not run;
                None if no return can be served.
            is_scheduled: Whether this time considers pauses of the servers.
        """
        execution_state = self.execution
        not_run = execution_state is states.Execution.NOT_RUN
        if (
            not_run
            and not is_scheduled
            and retry_after is not None
            and reason in _REASONS_OF_SERVERS
        ):
            retry_after = self._return_after_pauses(retry_after)
        return outcomes.RequestFailure(
            reason, execution_state, detail, retry_after if not_run else None
        )

    def _return_after_pauses(
        self, retry_after: units.Seconds
    ) -> units.Seconds | None:
        """Returns when to return; after the earliest pause if all pause."""
        context = self._context
        servers = context.view.servers_accepting_work(
            self._admitted_request.service.id
        )
        pause = context.view.notices.pause_time(servers)
        if not pause:
            return retry_after
        return context.return_schedule.issue(
            units.Seconds(
                self._admitted_request.route.target_latency * _RETURN_SPACING
            ),
            return_schedule.Capacity(
                len(servers),
                context.retry_budget.daemon_count,
                retry_after,
                pause,
            ),
            self.time_left,
            context.timers.now(),
        )

    def _backend_server_failure(self, detail: str) -> outcomes.RequestFailure:
        return self.build_failure(
            states.FailureReason.BACKEND_SERVER_FAILED, detail
        )


def withdrawal(
    context: context_module.ForwardingContext,
    servers: Iterable[server_directory.ServerEntry],
) -> AttemptResult | None:
    """Returns the end of an attempt if a server may get no new work any more.

    Called immediately before a request is sent: a server may have said that it
    leaves or pauses, or an operator may have evacuated its zone, since it was
    chosen. One that has left by its entry serves what is under way for some
    time, and there may be no other.
    """
    withdrawn = [s.id for s in servers if context.view.forbids_sending(s)]
    if not withdrawn:
        return None
    return AttemptResult(
        forwarding_states.AttemptOutcome.WITHDRAWN,
        f"no new work for {', '.join(withdrawn)}",
    )


def _peer_key(peer: addresses.Address) -> ids.BackendServerId:
    """Returns what stands for the servers of a peer."""
    return ids.BackendServerId(str(peer))
