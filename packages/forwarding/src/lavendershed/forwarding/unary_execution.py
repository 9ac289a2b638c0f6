"""Execution of a request to a plain service."""

from __future__ import annotations

import asyncio

import result

from lavendershed.core import forwarding_states
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import relayed_attempt
from lavendershed.forwarding import request_execution
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.reliability import engine_losses
from lavendershed.telemetry import events
from lavendershed.transport import errors

# Responses of plain services are buffered, so that a truncated response is
# never forwarded as a complete one.
_MAX_RESPONSE_BODY = units.Bytes(8_000_000)
# An idempotent request is sent to a second server after this multiple of the
# target latency, by which most responses have arrived.
_ATTEMPT_TIMEOUT_FACTOR = 1.0


class UnaryExecution(request_execution.RequestExecution):
    """Execution of one request to a plain service."""

    async def run(self) -> None:
        """Executes the request and sends the response."""
        while True:
            failure = self._attempts.check_next_attempt()
            if failure is None and (peer := self._select_peer()) is not None:
                outcome = await relayed_attempt.RelayedAttempt(
                    self._context, self._admitted_request, self._attempts, peer
                ).run()
                if outcome.response is not None:
                    await self._respond(outcome.response)
                    return
                self._attempts.record_relay(peer, outcome.attempt)
                continue
            failure = failure or self._cut_off_failure()
            server = (
                None if failure is not None else await self._select_server()
            )
            if server is None:
                if self._failed_response is not None:
                    await self._respond(self._failed_response)
                    return
                await self._fail(failure or self._no_server_failure())
                return
            response = await self._attempt(server)
            if isinstance(response, result.Ok):
                await self._respond(response.ok_value)
                return
            self._attempts.record(server, response.err_value)

    @property
    def _candidates(self) -> tuple[server_directory.ServerEntry, ...]:
        return self._context.view.directory.servers_accepting_work(
            self._admitted_request.service.id
        )

    def _no_server_failure(self) -> outcomes.RequestFailure:
        service = self._admitted_request.service.id
        wait = self._context.permits.wait_time(
            self._candidates, self._attempts.failed_servers
        )
        if not wait:
            return self._attempts.build_failure(
                states.FailureReason.NO_BACKEND_SERVER,
                f"service {service} has no server",
            )
        return self._attempts.build_failure(
            states.FailureReason.NO_BACKEND_SERVER,
            f"all servers of service {service} are at their request limits",
            wait,
        )

    async def _select_server(self) -> server_directory.ServerEntry | None:
        """Returns the server for the next attempt.

        Waits for a limited server as long as the request is not late for it.
        """
        permits = self._context.permits
        due_at = units.after(
            self._admitted_request.received_at,
            self._admitted_request.route.target_latency,
        )
        while True:
            server = self._choose_server()
            if server is not None and not await permits.acquire((server,)):
                self._log_dispatch(server)
                return server
            wait = permits.wait_time(
                self._candidates, self._attempts.failed_servers
            )
            if server is None and not wait:
                return None
            if units.after(self._context.timers.now(), wait) >= due_at:
                return None
            await asyncio.sleep(wait)

    def _choose_server(self) -> server_directory.ServerEntry | None:
        context = self._context
        candidates = context.permits.candidates(
            self._candidates, self._attempts.failed_servers
        )
        avoided = context_module.avoided_servers(
            context, candidates, self._attempts.failed_servers
        )
        return context.plain_service_balancer.choose(candidates, avoided)

    def _log_dispatch(self, server: server_directory.ServerEntry) -> None:
        context = self._context
        candidates = self._candidates
        avoided = context_module.avoided_servers(
            context, candidates, self._attempts.failed_servers
        )
        context.log.emit(
            events.Event.REQUEST_DISPATCHED,
            request=self._admitted_request.request.id,
            route=self._admitted_request.route.name,
            server=server.id,
            zone=server.availability_zone,
            candidates=len(candidates),
            avoided=len(avoided),
            attempt=self._attempts.count + 1,
            version=context.view.version,
            version_age_ms=context.version_age_ms,
            servers=context.view.directory.revision.number,
            **context.limit_observer.log_fields(server),
            **context.permits.log_fields(server),
        )

    async def _attempt(
        self, server: server_directory.ServerEntry
    ) -> result.Result[requests.BackendResponse, attempts.AttemptResult]:
        context = self._context
        context.plain_service_balancer.started(server.id)
        try:
            return await self._connect_and_exchange(server)
        finally:
            context.plain_service_balancer.ended(server.id)

    async def _connect_and_exchange(
        self, server: server_directory.ServerEntry
    ) -> result.Result[requests.BackendResponse, attempts.AttemptResult]:
        context = self._context
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
        returned_to_pool = False
        try:
            response = await self._exchange(server, lease)
            if isinstance(response, result.Ok):
                returned_to_pool = True
                context.connections.release(
                    server.address,
                    lease.connection,
                    response.ok_value.head.reuse_period,
                )
            return self._classify(server, lease, response)
        finally:
            if not returned_to_pool:
                lease.connection.close()

    async def _exchange(
        self,
        server: server_directory.ServerEntry,
        lease: connections.ConnectionLease,
    ) -> result.Result[requests.BackendResponse, errors.TransportError]:
        context = self._context
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
        timeout = self._response_timeout(time_left)
        sent_at = context.timers.now()
        sent = await connection.send(
            context.backend_codec.encode(request),
            self._admitted_request.request.body,
            timeout,
        )
        if isinstance(sent, result.Err):
            return sent
        head = await connection.read_head(timeout)
        if isinstance(head, result.Err):
            return head
        response_head = context.backend_codec.decode(
            head.ok_value, self._admitted_request.request
        )
        if response_head.is_from_server:
            context.losses.on_answer(server)
            context.limit_observer.on_answer(server, head.ok_value, sent_at)
        body = await connection.read_body(
            units.Seconds(max(0.0, self._attempts.time_left)),
            _MAX_RESPONSE_BODY,
        )
        if isinstance(body, result.Err):
            return body
        return result.Ok(requests.BackendResponse(response_head, body.ok_value))

    def _response_timeout(self, time_left: units.Seconds) -> units.Seconds:
        """Returns how long this attempt waits for the response head."""
        is_last_attempt = (
            self._attempts.count + 1
            >= self._admitted_request.route.max_attempts
        )
        if is_last_attempt or not self._admitted_request.route.idempotent:
            return time_left
        attempt_timeout = (
            self._admitted_request.route.target_latency
            * _ATTEMPT_TIMEOUT_FACTOR
        )
        return units.Seconds(min(time_left, attempt_timeout))

    def _classify(
        self,
        server: server_directory.ServerEntry,
        lease: connections.ConnectionLease,
        response: result.Result[
            requests.BackendResponse, errors.TransportError
        ],
    ) -> result.Result[requests.BackendResponse, attempts.AttemptResult]:
        context = self._context
        request_id = self._admitted_request.request.id
        if isinstance(response, result.Err):
            error = response.err_value
            if not error.sent:
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.NOT_SENT, error.detail
                )
            silent = error.kind is errors.TransportErrorKind.IDLE_TIMEOUT
            if error.kind is not errors.TransportErrorKind.PROTOCOL:
                context_module.record_loss(
                    context,
                    self._admitted_request,
                    server,
                    engine_losses.LossEvidence.NO_DATA
                    if silent
                    else engine_losses.LossEvidence.CONNECTION_LOST,
                )
            if silent:
                context_module.record_failed_response(
                    context, server, "silent", request_id
                )
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.STALLED, error.detail
                )
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
                return result.Ok(backend_response)
            case requests.ResponseKind.FAILURE:
                self._failed_response = backend_response
                return _failed_attempt(
                    forwarding_states.AttemptOutcome.SERVER_FAILURE,
                    f"status {backend_response.head.status}",
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

    async def _respond(self, response: requests.BackendResponse) -> None:
        seconds = units.elapsed(
            self._admitted_request.received_at, self._context.timers.now()
        )
        self._context.instruments.record_duration(
            self._admitted_request.route.kind.value,
            str(response.head.status),
            seconds,
        )
        self._context.log.emit(
            events.Event.REQUEST_FINISHED,
            request=self._admitted_request.request.id,
            status=response.head.status,
            attempts=self._attempts.count + 1,
            seconds=round(seconds, 3),
        )
        await self._responder.respond(
            response.head.status, response.body, response.head.headers
        )


def _failed_attempt(
    outcome: forwarding_states.AttemptOutcome, detail: str = ""
) -> result.Err[attempts.AttemptResult]:
    return result.Err(attempts.AttemptResult(outcome, detail))
