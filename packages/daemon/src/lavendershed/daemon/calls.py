"""Execution of calls to plain services, with retries and bookings."""

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
from lavendershed.daemon import load_balancer
from lavendershed.reliability import execution
from lavendershed.reliability import retry_policy
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

# A hung server looks like one that is still processing. The first attempt gets
# only this fraction of the remaining time, so that a retry is possible.
_FIRST_ATTEMPT_TIME_FRACTION = 0.5
# Extra time after the caller's deadline in which the response to a booking is
# still read, so that it is recorded and a repeated request can get it.
_LATE_RESPONSE_WAIT = units.Seconds(25.0)

CallResult = result.Result[
    backend_servers.PlainResponse, outcomes.RequestFailure
]


class CallExecutor:
    """Runs calls to plain services.

    Calls to idempotent routes are retried; all others are booked under their
    idempotency key.
    """

    def __init__(
        self,
        configuration: state.ConfigurationState,
        directory: backend_directory.BackendDirectory,
        health: backend_health.BackendHealth,
        balancer: load_balancer.LeastOutstandingBalancer,
        bookings: bookings_module.BookingExecutor,
        policy: retry_policy.RetryPolicy,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._balancer = balancer
        self._bookings = bookings
        self._retry_policy = policy
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments

    async def run(self, request: requests.CallRequest) -> CallResult:
        """Runs one call and counts its execution state."""
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
            (
                candidate
                for candidate in service.routes
                if candidate.path == request.path
            ),
            None,
        )
        if route is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"service '{service.name}' has no route '{request.path}'",
                )
            )
        if route.idempotent:
            return await self._run_idempotent(request)
        if request.idempotency_key is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.MISSING_IDEMPOTENCY_KEY,
                    f"route '{route.path}' is not idempotent: the "
                    "Idempotency-Key header is required",
                )
            )
        return await self._bookings.book(
            request, _BookedPlainCall(self, request)
        )

    async def _run_idempotent(
        self, request: requests.CallRequest
    ) -> CallResult:
        self._retry_policy.on_request(self._timers.now())
        failed_attempts: list[retry_policy.FailedAttempt] = []
        excluded: frozenset[ids.BackendServerId] = frozenset()
        while True:
            server = self._choose_server(request.service, excluded)
            if server is None:
                return result.Err(
                    _no_server_failure(
                        request.service,
                        execution.combine_executions(
                            failed_attempt.execution
                            for failed_attempt in failed_attempts
                        ),
                    )
                )
            remaining = request.deadline.remaining(self._timers.now())
            response = await self.send(
                request,
                server,
                ids.AttemptId(uuid.uuid4().hex),
                units.Seconds(
                    remaining * _FIRST_ATTEMPT_TIME_FRACTION
                    if not failed_attempts
                    else remaining
                ),
            )
            if isinstance(response, result.Ok):
                return response
            failed_attempts.append(_failed_attempt(server, response.err_value))
            decision = self._retry_policy.on_attempt_failed(
                failed_attempts, request.deadline, True, self._timers.now()
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
        """Sends the call to a server without retries.

        With `send_before`, the call uses a new connection, and nothing is sent
        at or after that instant.
        """
        client = self._directory.plain_service(server)
        if client is None:
            return result.Err(
                backend_servers.BackendError(
                    backend_servers.BackendErrorKind.CONNECTION_REFUSED,
                    False,
                    f"{server} was removed from the configuration",
                )
            )
        self._health.on_request_sent(server)
        with self._balancer.track_call(server):
            self._health.on_request_sent(server)
            response = await client.call(
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
        self._record_outcome(request, server, attempt, response)
        return response

    async def send_booked(
        self,
        request: requests.CallRequest,
        attempt: ids.AttemptId,
        send_before: units.Instant,
        failed_attempts: list[retry_policy.FailedAttempt],
    ) -> commands.SendOutcome:
        """Sends the call of a booking to a server.

        Args:
            request: The call.
            attempt: Id of the attempt that has claimed the booking.
            send_before: Nothing is sent at or after this instant.
            failed_attempts: Earlier sends of the attempt, none of which has
                run; a failed send is appended.
        """
        now = self._timers.now()
        if not failed_attempts:
            self._retry_policy.on_request(now)
        server = self._choose_server(
            request.service,
            frozenset(
                failed_attempt.engine for failed_attempt in failed_attempts
            ),
        )
        if server is None:
            return commands.NotRun(
                _no_server_failure(request.service, states.Execution.NOT_RUN),
                False,
            )
        self._log.emit(
            events.Event.BOOKING_SENT,
            request_id=request.request_id,
            attempt=attempt,
            server=server,
        )
        remaining = request.deadline.remaining(now)
        response = await self.send(
            request,
            server,
            attempt,
            units.Seconds(remaining + _LATE_RESPONSE_WAIT),
            send_before,
        )
        if isinstance(response, result.Ok):
            return commands.Completed(response.ok_value)
        failed_attempts.append(_failed_attempt(server, response.err_value))
        decision = self._retry_policy.on_attempt_failed(
            failed_attempts, request.deadline, False, self._timers.now()
        )
        if isinstance(decision, retry_policy.Retry):
            await event_loop_timers.sleep_until(self._timers, decision.retry_at)
            return commands.NotRun(
                outcomes.not_run(
                    states.FailureReason.BACKEND_SERVER_FAILED,
                    response.err_value.detail,
                ),
                True,
            )
        if decision.failure.execution is states.Execution.NOT_RUN:
            return commands.NotRun(decision.failure, False)
        return commands.ExecutionUnknown(decision.failure)

    def _choose_server(
        self,
        service: ids.ServiceId,
        failed_servers: frozenset[ids.BackendServerId],
    ) -> ids.BackendServerId | None:
        # Looked up per attempt, because the configuration may have changed.
        configuration = self._configuration.current.services.get(service)
        service_configuration: model.Service | None = configuration
        if service_configuration is None:
            return None
        return self._balancer.choose_server(
            service_configuration, failed_servers
        )

    def _record_outcome(
        self,
        request: requests.CallRequest,
        server: ids.BackendServerId,
        attempt: ids.AttemptId,
        response: result.Result[
            backend_servers.PlainResponse, backend_servers.BackendError
        ],
    ) -> None:
        if isinstance(response, result.Ok):
            self._health.on_success(server)
            self._instruments.count_attempt(request.service, "answered")
            return
        error = response.err_value
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


class _BookedPlainCall(bookings_module.BookedCall):
    def __init__(
        self, executor: CallExecutor, request: requests.CallRequest
    ) -> None:
        self._executor = executor
        self._request = request
        self._failed_attempts: list[retry_policy.FailedAttempt] = []

    async def send(
        self, attempt: ids.AttemptId, send_before: units.Instant
    ) -> commands.SendOutcome:
        """Sends the call once on a new connection, before `send_before`."""
        return await self._executor.send_booked(
            self._request, attempt, send_before, self._failed_attempts
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


def _no_server_failure(
    service: ids.ServiceId, known_execution: states.Execution
) -> outcomes.RequestFailure:
    return outcomes.RequestFailure(
        states.FailureReason.NO_BACKEND_SERVER,
        known_execution,
        f"no backend server of service '{service}' is available",
    )
