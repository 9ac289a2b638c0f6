"""Execution of calls to plain services."""

from __future__ import annotations

import uuid

import result

from lavendershed.booking import commands
from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import bookings as bookings_module
from lavendershed.daemon import server_choice
from lavendershed.reliability import execution
from lavendershed.reliability import retry_policy
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

# A silent server can't be told from one that is still working; the first
# attempt gets this share of the time so that another one remains possible.
_ATTEMPT_SHARE = 0.5
# Time for which the answer to a booking is waited for after the deadline of
# its caller, so that a late answer is recorded and can be asked for again.
_LATE_ANSWER_WAIT = units.Seconds(25.0)

CallResult = result.Result[
    backend_servers.PlainResponse, outcomes.RequestFailure
]


class Calls:
    """Runs calls to plain services, idempotent or booked."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        directory: backend_directory.BackendDirectory,
        health: backend_health.BackendHealth,
        choice: server_choice.ServerChoice,
        bookings: bookings_module.Bookings,
        retries: retry_policy.RetryPolicy,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._choice = choice
        self._bookings = bookings
        self._retries = retries
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments

    async def run(self, request: requests.CallRequest) -> CallResult:
        """Runs one call within its deadline."""
        outcome = await self._run(request)
        failure = outcome.err()
        self._instruments.count_execution(
            request.service,
            states.Execution.COMPLETED
            if failure is None
            else failure.execution,
        )
        return outcome

    async def _run(self, request: requests.CallRequest) -> CallResult:
        service = self._configuration.current.services[request.service]
        route = next(
            (r for r in service.routes if r.path == request.path), None
        )
        if route is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"service {service.name} has no route '{request.path}'",
                )
            )
        if route.idempotent:
            return await self._run_idempotent(request)
        if request.idempotency_key is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.MISSING_IDEMPOTENCY_KEY,
                    f"route '{route.path}' is not idempotent: send an "
                    "Idempotency-Key header",
                )
            )
        return await self._bookings.book(request, _Booked(self, request))

    async def _run_idempotent(
        self, request: requests.CallRequest
    ) -> CallResult:
        self._retries.on_request(self._timers.now())
        failed: list[retry_policy.FailedAttempt] = []
        excluded: frozenset[ids.BackendServerId] = frozenset()
        while True:
            server = self._choose(request.service, excluded)
            if server is None:
                return result.Err(
                    _no_server(
                        request.service,
                        execution.combine_executions(
                            a.execution for a in failed
                        ),
                    )
                )
            remaining = request.deadline.remaining(self._timers.now())
            answer = await self.send(
                request,
                server,
                ids.AttemptId(uuid.uuid4().hex),
                units.Seconds(
                    remaining * _ATTEMPT_SHARE if not failed else remaining
                ),
            )
            if isinstance(answer, result.Ok):
                return answer
            failed.append(_failed_attempt(server, answer.err_value))
            decision = self._retries.on_attempt_failed(
                failed, request.deadline, True, self._timers.now()
            )
            if isinstance(decision, retry_policy.FailRequest):
                return result.Err(decision.failure)
            excluded = decision.avoided_engines
            await event_loop_timers.sleep_until(self._timers, decision.retry_at)

    async def send(
        self,
        request: requests.CallRequest,
        server: ids.BackendServerId,
        attempt: ids.AttemptId,
        timeout: units.Seconds,
        send_before: units.Instant | None = None,
    ) -> result.Result[
        backend_servers.PlainResponse, backend_servers.BackendError
    ]:
        """Sends the call once to one server.

        With `send_before`, a connection is opened for this call only, and
        nothing is sent at or after that instant.
        """
        client = self._directory.plain_service(server)
        if client is None:
            return result.Err(
                backend_servers.BackendError(
                    backend_servers.BackendErrorKind.CONNECTION_REFUSED,
                    False,
                    f"{server} was removed",
                )
            )
        self._health.on_sent(server)
        with self._choice.outstanding(server):
            self._health.on_sent(server)
            answer = await client.call(
                backend_servers.PlainCall(
                    "POST",
                    request.path,
                    (
                        backend_servers.Header(
                            "content-type", request.content_type
                        ),
                        backend_servers.Header(
                            "request-id", request.request_id
                        ),
                        backend_servers.Header("attempt-id", attempt),
                    ),
                    request.body,
                    attempt,
                    send_before is not None,
                    timeout,
                    send_before,
                )
            )
        self._note(request, server, attempt, answer)
        return answer

    async def send_booked(
        self,
        request: requests.CallRequest,
        attempt: ids.AttemptId,
        before: units.Instant,
        failed: list[retry_policy.FailedAttempt],
    ) -> commands.SendOutcome:
        """Sends the call of a booking to one server.

        Args:
            request: The call.
            attempt: Id of the attempt that holds the claim.
            before: Nothing is sent at or after this instant.
            failed: Earlier sends of the attempt, which did not run; a failed
                send is appended.
        """
        now = self._timers.now()
        if not failed:
            self._retries.on_request(now)
        server = self._choose(
            request.service, frozenset(a.engine for a in failed)
        )
        if server is None:
            return commands.NotRun(
                _no_server(request.service, states.Execution.NOT_RUN), False
            )
        self._log.emit(
            events.Event.BOOKING_SENT,
            request_id=request.request_id,
            attempt=attempt,
            server=server,
        )
        remaining = request.deadline.remaining(now)
        answer = await self.send(
            request,
            server,
            attempt,
            units.Seconds(remaining + _LATE_ANSWER_WAIT),
            before,
        )
        if isinstance(answer, result.Ok):
            return commands.Completed(answer.ok_value)
        failed.append(_failed_attempt(server, answer.err_value))
        decision = self._retries.on_attempt_failed(
            failed, request.deadline, False, self._timers.now()
        )
        if isinstance(decision, retry_policy.Retry):
            await event_loop_timers.sleep_until(self._timers, decision.retry_at)
            return commands.NotRun(
                outcomes.not_run(
                    states.FailureReason.BACKEND_SERVER_FAILED,
                    answer.err_value.detail,
                ),
                True,
            )
        if decision.failure.execution is states.Execution.NOT_RUN:
            return commands.NotRun(decision.failure, False)
        return commands.ExecutionUnknown(decision.failure)

    def _choose(
        self,
        service: ids.ServiceId,
        tried: frozenset[ids.BackendServerId],
    ) -> ids.BackendServerId | None:
        # Read again for each attempt: the configuration may have changed.
        current = self._configuration.current.services.get(service)
        configured: model.Service | None = current
        if configured is None:
            return None
        return self._choice.choose(configured, tried)

    def _note(
        self,
        request: requests.CallRequest,
        server: ids.BackendServerId,
        attempt: ids.AttemptId,
        answer: result.Result[
            backend_servers.PlainResponse, backend_servers.BackendError
        ],
    ) -> None:
        if isinstance(answer, result.Ok):
            self._health.on_success(server)
            self._instruments.count_attempt(request.service, "answered")
            return
        error = answer.err_value
        self._health.on_error(server, error)
        self._instruments.count_attempt(request.service, error.kind.value)
        self._log.emit(
            events.Event.ATTEMPT_FAILED,
            request_id=request.request_id,
            attempt=attempt,
            server=server,
            kind=error.kind.value,
            sent=error.sent,
            detail=error.detail,
        )


class _Booked(bookings_module.BookedCall):
    def __init__(self, calls: Calls, request: requests.CallRequest) -> None:
        self._calls = calls
        self._request = request
        self._failed: list[retry_policy.FailedAttempt] = []

    async def send(
        self, attempt: ids.AttemptId, before: units.Instant
    ) -> commands.SendOutcome:
        """Sends the call once on a new connection, if `now` is `before`."""
        return await self._calls.send_booked(
            self._request, attempt, before, self._failed
        )


def _failed_attempt(
    server: ids.BackendServerId, error: backend_servers.BackendError
) -> retry_policy.FailedAttempt:
    return retry_policy.FailedAttempt(
        server,
        None,
        error,
        execution.infer_execution(execution.evidence_from_start_error(error)),
    )


def _no_server(
    service: ids.ServiceId, known: states.Execution
) -> outcomes.RequestFailure:
    return outcomes.RequestFailure(
        states.FailureReason.NO_BACKEND_SERVER,
        known,
        f"no backend server of service {service} accepts work",
    )
