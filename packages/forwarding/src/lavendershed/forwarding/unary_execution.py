"""Execution of a request to a plain service."""

from __future__ import annotations

import asyncio

from lavendershed.admission import waiting_request
from lavendershed.core import addresses
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import relayed_attempt
from lavendershed.forwarding import request_execution
from lavendershed.forwarding import requests
from lavendershed.forwarding import unary_attempt
from lavendershed.membership import server_directory
from lavendershed.telemetry import events


class UnaryExecution(request_execution.RequestExecution):
    """Execution of one request to a plain service."""

    async def _select_attempt(
        self,
    ) -> parallel_attempts.Attempt | outcomes.RequestFailure | None:
        server = await self._select_server()
        if server is None:
            return self._no_server_failure()
        self._log_dispatch(server)
        return unary_attempt.UnaryAttempt(
            self._context, self._admitted_request, self._attempts, server
        )

    def _new_relayed_attempt(
        self, peer: addresses.Address
    ) -> parallel_attempts.Attempt:
        return relayed_attempt.RelayedAttempt(
            self._context, self._admitted_request, self._attempts, peer
        )

    async def _complete(
        self,
        attempt: parallel_attempts.Attempt,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        assert attempt_result.response is not None
        await self._respond(attempt_result.response)

    async def _finish_failed(self, failure: outcomes.RequestFailure) -> None:
        if self._failed_response is not None:
            await self._respond(self._failed_response)
            return
        await self._fail(failure)

    @property
    def _has_server_beside(self) -> bool:
        return self._context.relay.is_cut_off or bool(self._candidates)

    @property
    def _candidates(self) -> tuple[server_directory.ServerEntry, ...]:
        return context_module.servers_beside(
            self._context,
            self._context.view.servers_accepting_work(
                self._admitted_request.service.id
            ),
            self._attempts.open_servers,
        )

    def _no_server_failure(self) -> outcomes.RequestFailure:
        service = self._admitted_request.service.id
        wait = self._context.permits.wait_time(
            self._candidates, self._attempts.failed_servers
        )
        if not wait and self._candidates and self._running.is_empty:
            return self._attempts.build_failure(
                states.FailureReason.NO_BACKEND_SERVER,
                f"all servers of service {service} refuse calls",
                self._context.plain_services.return_time(
                    service, self._candidates, self._attempts.time_left
                ),
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
        services = self._context.plain_services
        service = self._admitted_request.service.id
        call = self._waiting_call
        while True:
            candidates = permits.candidates(
                self._candidates, self._attempts.failed_servers
            )
            server = self._choose_server(candidates, call)
            if server is not None and not await permits.acquire((server,)):
                return server
            if not self._running.is_empty:
                return None
            if server is None and candidates:
                if not services.is_worth_waiting(service, call, candidates):
                    return None
                if not await services.wait(service, call, candidates):
                    return None
                continue
            wait = permits.wait_time(
                self._candidates, self._attempts.failed_servers
            )
            if server is None and not wait:
                return None
            if units.after(self._context.timers.now(), wait) >= call.due_at:
                return None
            await asyncio.sleep(wait)

    def _choose_server(
        self,
        candidates: tuple[server_directory.ServerEntry, ...],
        call: waiting_request.WaitingRequest,
    ) -> server_directory.ServerEntry | None:
        context = self._context
        services = context.plain_services
        if not services.is_first(self._admitted_request.service.id, call):
            return None
        avoided = context_module.avoided_servers(
            context, candidates, self._attempts.failed_servers
        )
        return services.choose(candidates, avoided)

    @property
    def _waiting_call(self) -> waiting_request.WaitingRequest:
        admitted = self._admitted_request
        call_time = self._context.plain_services.call_time(admitted.service.id)
        return waiting_request.WaitingRequest(
            admitted.request.id,
            admitted.organisation,
            1.0 / (1.0 + max(0, admitted.priority)),
            call_time,
            call_time,
            admitted.received_at,
            units.after(admitted.received_at, admitted.route.target_latency),
            admitted.deadline,
            units.Bytes(len(admitted.request.body)),
        )

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
            **context.plain_services.log_fields(server),
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
