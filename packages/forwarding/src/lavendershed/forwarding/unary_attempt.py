"""One attempt of a request at a server of a plain service."""

from __future__ import annotations

import result

from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.reliability import engine_losses
from lavendershed.transport import errors

# Responses of plain services are buffered, so that a truncated response is
# never forwarded as a complete one.
_MAX_RESPONSE_BODY = units.Bytes(8_000_000)
# A response is overdue after this multiple of the target latency, by which most
# responses have arrived.
_OVERDUE_FACTOR = 1.0
# Outcomes that count as failures of the server.
_SERVER_FAULTS = frozenset(
    {
        forwarding_states.AttemptOutcome.SERVER_FAILURE,
        forwarding_states.AttemptOutcome.LOST,
        forwarding_states.AttemptOutcome.INVALID_RESPONSE,
    }
)
_FIRST_SERVER_ERROR = 500


class UnaryAttempt(parallel_attempts.Attempt):
    """Sends a request to a server and receives the whole response."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        attempt_tracker: attempts.AttemptTracker,
        server: server_directory.ServerEntry,
    ) -> None:
        super().__init__(context.timers, context.response_buffers)
        self._context = context
        self._admitted_request = admitted_request
        self._attempts = attempt_tracker
        self._server = server
        self._sent_at = context.timers.now()
        self._silence_recorded = False

    def record_start(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt runs."""
        tracker.record_start(self._server.id)
        # At once, so that the next call sees it.
        self._context.plain_services.on_sent(self._server)

    def on_ended(self) -> None:
        """Records that the server has one call less."""
        self._context.plain_services.on_ended(self._server)

    def record_end(
        self,
        tracker: attempts.AttemptTracker,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        """Records that this attempt has brought no complete response."""
        tracker.record(self._server, attempt_result)

    def record_close(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt was closed."""
        tracker.record_close(self._server.id)

    def _record_silence(self) -> None:
        self._record_loss(engine_losses.LossEvidence.NO_DATA)
        # One daemon of many makes too few calls to notice a server that hangs
        # before it loses several.
        self._context.plain_services.on_overdue(self._server)
        context_module.record_silence(
            self._context,
            self._admitted_request,
            self._server,
            units.elapsed(self._sent_at, self._context.timers.now()),
        )

    async def _run(self) -> attempts.AttemptResult:
        attempt_result = await self._connect_and_exchange()
        self._record_outcome(attempt_result)
        return attempt_result

    def _record_outcome(self, attempt_result: attempts.AttemptResult) -> None:
        """Records what the attempt says about the server."""
        services = self._context.plain_services
        match attempt_result.outcome:
            case forwarding_states.AttemptOutcome.COMPLETE:
                services.on_answered(self._server, self._sent_at)
            case forwarding_states.AttemptOutcome.REFUSED:
                services.on_refused(self._server, self._sent_at)
            case outcome if outcome in _SERVER_FAULTS:
                if not _is_caller_fault(attempt_result):
                    services.on_failed(
                        self._server, counted=self._silence_recorded
                    )

    async def _connect_and_exchange(self) -> attempts.AttemptResult:
        context = self._context
        server = self._server
        idempotent = self._admitted_request.route.idempotent
        # After a reset of a reused connection it is unknown whether the request
        # ran, so a request that is not idempotent gets a new connection.
        acquired = await context.connections.acquire(
            server.address, new_connection=not idempotent
        )
        if isinstance(acquired, result.Err):
            context_module.exclude_failed_server(
                context,
                server,
                "connect_failed",
                self._admitted_request.request.id,
                unreachable=True,
            )
            return _failed_attempt(
                forwarding_states.AttemptOutcome.NOT_SENT,
                acquired.err_value.detail,
            )
        lease = acquired.ok_value
        withdrawal = attempts.withdrawal(context, (server,))
        if withdrawal is not None:
            lease.connection.close()
            return withdrawal
        returned_to_pool = False
        try:
            response = await self._exchange(lease)
            if isinstance(response, result.Ok):
                returned_to_pool = True
                context.connections.release(
                    server.address,
                    lease.connection,
                    response.ok_value.head.reuse_period,
                )
            return self._classify(lease, response)
        finally:
            if not returned_to_pool:
                lease.connection.close()

    async def _exchange(
        self, lease: connections.ConnectionLease
    ) -> result.Result[requests.BackendResponse, errors.TransportError]:
        context = self._context
        server = self._server
        time_left = self._attempts.time_left
        request = requests.BackendRequest(
            self._admitted_request.request,
            server.id,
            self._admitted_request.organisation,
            time_left,
            priority=min(
                self._admitted_request.priority, requests.LOWEST_PRIORITY
            ),
        )
        connection = lease.connection
        self._sent_at = context.timers.now()
        self._progress.expect_by(
            units.after(
                self._sent_at,
                units.Seconds(
                    self._admitted_request.route.target_latency
                    * _OVERDUE_FACTOR
                ),
            )
        )
        sent = await connection.send(
            context.backend_codec.encode(request),
            self._admitted_request.request.body,
            self._time_left,
        )
        if isinstance(sent, result.Err):
            return sent
        head = await connection.read_head(self._time_left)
        if isinstance(head, result.Err):
            return head
        response_head = context.backend_codec.decode(
            head.ok_value, self._admitted_request.request
        )
        context.view.notices.on_answer(server, response_head.notices)
        if response_head.is_from_server:
            context_module.record_answer(context, server)
            context.limit_observer.on_answer(
                server, head.ok_value, self._sent_at
            )
        body = await connection.read_body(
            self._time_left, _MAX_RESPONSE_BODY, self._buffer
        )
        if isinstance(body, result.Err):
            return body
        return result.Ok(requests.BackendResponse(response_head, body.ok_value))

    @property
    def _time_left(self) -> units.Seconds:
        """Time until the deadline of the request."""
        return units.Seconds(max(0.0, self._attempts.time_left))

    def _classify(
        self,
        lease: connections.ConnectionLease,
        response: result.Result[
            requests.BackendResponse, errors.TransportError
        ],
    ) -> attempts.AttemptResult:
        context = self._context
        server = self._server
        request_id = self._admitted_request.request.id
        if isinstance(response, result.Err):
            error = response.err_value
            if not error.sent:
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.NOT_SENT, error.detail
                )
            if error.kind is errors.TransportErrorKind.NO_BUFFER:
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    error.detail,
                )
            if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
                self._record_loss(engine_losses.LossEvidence.NO_DATA)
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.STALLED, error.detail
                )
            if error.kind is not errors.TransportErrorKind.PROTOCOL:
                self._record_loss(engine_losses.LossEvidence.CONNECTION_LOST)
            if not lease.reused:
                context_module.record_failed_response(
                    context, server, error.kind.value, request_id
                )
            return _failed_attempt(
                forwarding_states.AttemptOutcome.LOST, error.detail
            )
        backend_response = response.ok_value
        match backend_response.head.kind:
            case requests.ResponseKind.SUCCESS:
                context.health.on_success(server.id, server.incarnation)
                context.crash_attribution.on_answer_begun(
                    self._admitted_request.crash_suspects, context.timers.now()
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.COMPLETE,
                    response=backend_response,
                )
            case requests.ResponseKind.FAILURE:
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.SERVER_FAILURE,
                    f"status {backend_response.head.status}",
                    response=backend_response,
                )
            case requests.ResponseKind.NOT_RUN:
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.REFUSED,
                    f"status {backend_response.head.status}",
                )
            case requests.ResponseKind.WRONG_SERVER:
                context_module.exclude_failed_server(
                    context,
                    server,
                    "another server has the address",
                    request_id,
                )
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.WRONG_SERVER
                )
            case _:
                context_module.record_failed_response(
                    context,
                    server,
                    backend_response.head.kind.value,
                    request_id,
                )
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    backend_response.head.kind.value,
                )

    def _record_loss(self, evidence: engine_losses.LossEvidence) -> None:
        if evidence is engine_losses.LossEvidence.NO_DATA:
            # Once, although the attempt goes on after it is overdue.
            if self._silence_recorded:
                return
            self._silence_recorded = True
        context_module.record_loss(
            self._context, self._admitted_request, self._server, evidence
        )


def _is_caller_fault(attempt_result: attempts.AttemptResult) -> bool:
    """Returns whether a server has rejected the request as a faulty one."""
    response = attempt_result.response
    return response is not None and response.head.status < _FIRST_SERVER_ERROR


def _failed_attempt(
    outcome: forwarding_states.AttemptOutcome, detail: str = ""
) -> attempts.AttemptResult:
    return attempts.AttemptResult(outcome, detail)
