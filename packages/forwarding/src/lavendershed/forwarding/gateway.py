"""Admission and execution of caller requests."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import result
import xxhash

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import request_execution
from lavendershed.forwarding import requests
from lavendershed.forwarding import stream_execution
from lavendershed.forwarding import unary_execution
from lavendershed.forwarding import waiting_room
from lavendershed.routes import model
from lavendershed.routes import table
from lavendershed.telemetry import events
from lavendershed.transport import handlers

# A daemon that has just started gets its configuration from the store or a peer
# within this time, unless it reaches neither. Requests wait for it: callers
# that were told to return would be late, and after a failure of all daemons
# they would meet others that have just started.
_MAX_READINESS_WAIT = units.Seconds(1.5)
# Share of the caller's time that a request may wait, so that another daemon can
# still serve it.
_READINESS_WAIT_SHARE = 0.3
_NOT_READY_RETRY_AFTER = units.Seconds(0.5)
_NO_SERVICE_RETRY_AFTER = units.Seconds(1.0)
# A stopping daemon admits a request only if its response can complete in time.
# Nearly all streams of the target workloads end within this time. With a grace
# period of 8 s they are admitted until 3 s after the stop request, when the
# platform no longer sends new connections.
_STREAM_COMPLETION_TIME = units.Seconds(4.7)
_CALL_COMPLETION_TIME = units.Seconds(1.0)
# Executions end at the deadline by themselves, unless their caller does not
# read the response, which would hold a server for as long.
_OVERDUE_MARGIN = units.Seconds(0.5)
# Time for the callers of requests that the stop has ended to be told.
_END_TIME = units.Seconds(0.1)
_INTERNAL_ERROR = "unexpected error in this daemon"


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenRequest:
    """A request whose execution runs.

    Attributes:
        execution: Its execution.
        responder: Sends its response.
        handling: The task of its connection that waits for the execution.
    """

    execution: request_execution.RequestExecution
    responder: handlers.Responder
    handling: asyncio.Task[object] | None


class Gateway(handlers.Handler):
    """Authenticates, admits and executes requests of callers."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        generator: random.Random,
    ) -> None:
        self._context = context
        self._random = generator
        self._stop_deadline: units.Instant | None = None
        self._open_requests: dict[asyncio.Task[None], _OpenRequest] = {}
        self._readiness_waits: set[asyncio.Task[bool]] = set()
        self._ended_by_stop: set[asyncio.Task[None]] = set()

    def set_stop_deadline(self, deadline: units.Instant) -> None:
        """Admits only requests that can complete before `deadline`."""
        self._stop_deadline = deadline
        self._context.waiting_room.stop()
        for waiting in self._readiness_waits:
            waiting.cancel()

    def end_unanswered_requests(self) -> None:
        """Ends the requests whose response has not begun, with a failure."""
        for task, open_request in tuple(self._open_requests.items()):
            if not open_request.responder.started:
                self._end_by_stop(task)

    async def end_all_requests(self) -> None:
        """Ends all requests with a failure, and waits until they have ended.

        Complete responses that their callers are still reading are left alone.
        """
        ended = {
            task: open_request.handling
            for task, open_request in self._open_requests.items()
            if not open_request.execution.is_completing
        }
        for task in ended:
            self._end_by_stop(task)
        handling = [task for task in ended.values() if task is not None]
        if handling:
            await asyncio.wait(handling, timeout=_END_TIME)

    def _end_by_stop(self, task: asyncio.Task[None]) -> None:
        self._ended_by_stop.add(task)
        task.cancel()

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Admits and executes one request, or responds with a failure."""
        try:
            admitted = await self._receive(request, responder)
        except Exception as error:  # noqa: BLE001
            self._context.errors.record("admission", error)
            await context_module.respond_failure(
                self._context,
                responder,
                outcomes.not_run(
                    states.FailureReason.INTERNAL, _INTERNAL_ERROR
                ),
            )
            return
        if admitted is not None:
            await self._execute(admitted, responder)

    async def _receive(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> context_module.AdmittedRequest | None:
        """Returns the request if it is admitted, else responds."""
        received_at = self._context.timers.now()
        decoded = self._context.caller_codec.decode(request)
        if isinstance(decoded, result.Err):
            await self._reject(None, decoded.err_value, responder)
            return None
        caller_request = decoded.ok_value
        await self._wait_until_ready(caller_request, responder)
        admission = self._admit(caller_request, received_at)
        if isinstance(admission, result.Err):
            await self._reject(caller_request, admission.err_value, responder)
            return None
        return admission.ok_value

    async def _wait_until_ready(
        self,
        caller_request: requests.CallerRequest,
        responder: handlers.Responder,
    ) -> None:
        """Waits for the first configuration, as long as the caller does."""
        view = self._context.view
        if view.complete or self._stop_deadline is not None:
            return
        timeout = _MAX_READINESS_WAIT
        if caller_request.timeout is not None:
            timeout = min(
                timeout,
                units.Seconds(caller_request.timeout * _READINESS_WAIT_SHARE),
            )
        waiting = asyncio.get_running_loop().create_task(
            view.wait_complete(timeout)
        )
        responder.on_disconnect(waiting.cancel)
        self._readiness_waits.add(waiting)
        try:
            await asyncio.wait((waiting,))
        finally:
            self._readiness_waits.discard(waiting)
            responder.on_disconnect(None)
            waiting.cancel()

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request that is not handled."""
        return detail.encode()

    @property
    def rejection_content_type(self) -> str:
        """Content type of `rejection_body`."""
        return "text/plain"

    def _admit(
        self, caller_request: requests.CallerRequest, received_at: units.Instant
    ) -> result.Result[context_module.AdmittedRequest, outcomes.RequestFailure]:
        view = self._context.view
        route_table = view.table
        if route_table is None or not view.complete:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NOT_READY,
                    "no configuration loaded yet; retry shortly",
                    _NOT_READY_RETRY_AFTER,
                )
            )
        # The body may have arrived before the first configuration.
        max_body = route_table.configuration.limits.max_body
        if len(caller_request.body) > max_body:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.BODY_TOO_LARGE,
                    f"request body exceeds {max_body} bytes",
                )
            )
        route = route_table.route(caller_request.host, caller_request.path)
        if route is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"no route for {caller_request.host}{caller_request.path}",
                )
            )
        authenticated = self._authenticate(route_table, route, caller_request)
        if isinstance(authenticated, result.Err):
            return authenticated
        if self._stops_before_completion(route, received_at):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.STOPPING,
                    "daemon is shutting down; retry on another daemon",
                    waiting_room.STOPPING_RETRY_AFTER,
                )
            )
        service_id = table.pick_weighted_service(route, self._random)
        service = (
            route_table.service(service_id) if service_id is not None else None
        )
        if service is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NO_BACKEND_SERVER,
                    f"route {route.name} has no available service",
                    _NO_SERVICE_RETRY_AFTER,
                )
            )
        organisation = authenticated.ok_value
        fingerprint = _compute_fingerprint(caller_request, organisation)
        remaining = self._context.crash_attribution.quarantine_remaining(
            context_module.crash_suspects(caller_request, fingerprint),
            received_at,
        )
        if remaining is not None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.QUARANTINED,
                    "backend servers crashed on this request or a part of it",
                    remaining,
                )
            )
        timeout = route.timeout
        if caller_request.timeout is not None:
            timeout = min(timeout, caller_request.timeout)
        priority = organisation.priority if organisation is not None else None
        return result.Ok(
            context_module.AdmittedRequest(
                caller_request,
                route,
                service,
                organisation.id if organisation is not None else None,
                route.priority if priority is None else priority,
                fingerprint,
                received_at,
                units.after(received_at, units.Seconds(timeout)),
            )
        )

    def check_relayed(
        self, admitted_request: context_module.AdmittedRequest
    ) -> str | None:
        """Returns why a request of a peer can't run here, or None if it can."""
        if self._stops_before_completion(
            admitted_request.route, self._context.timers.now()
        ):
            return "daemon is shutting down"
        return None

    async def execute_relayed(
        self,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        """Executes a request that passed admission at a peer."""
        await self._execute(admitted_request, responder)

    def _stops_before_completion(
        self, route: model.Route, received_at: units.Instant
    ) -> bool:
        """Returns whether the daemon may stop before the response completes."""
        if self._stop_deadline is None:
            return False
        streaming = route.kind is model.RequestKind.STREAMING
        completion_time = (
            _STREAM_COMPLETION_TIME if streaming else _CALL_COMPLETION_TIME
        )
        return units.after(received_at, completion_time) > self._stop_deadline

    def _authenticate(
        self,
        route_table: table.RouteTable,
        route: model.Route,
        caller_request: requests.CallerRequest,
    ) -> result.Result[model.Organisation | None, outcomes.RequestFailure]:
        if caller_request.api_key is not None:
            organisation = route_table.organisation(caller_request.api_key)
            if organisation is not None:
                return result.Ok(organisation)
        if route.public or not route_table.keys_required:
            return result.Ok(None)
        return result.Err(
            outcomes.not_run(
                states.FailureReason.UNAUTHENTICATED,
                "API key is missing or unknown",
            )
        )

    async def _reject(
        self,
        caller_request: requests.CallerRequest | None,
        failure: outcomes.RequestFailure,
        responder: handlers.Responder,
    ) -> None:
        self._context.instruments.count_refusal(failure.reason.value)
        self._context.log.emit(
            events.Event.REQUEST_REFUSED,
            request=caller_request.id if caller_request is not None else "",
            reason=failure.reason.value,
            detail=failure.detail,
            version=self._context.view.version,
            version_age_ms=self._context.version_age_ms,
            retry_after_s=failure.retry_after,
        )
        await context_module.respond_failure(self._context, responder, failure)

    async def _execute(
        self,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        context = self._context
        if not admitted_request.relayed:
            # The budget of all daemons counts each request once.
            context.retry_budget.on_request(
                admitted_request.service.id, admitted_request.received_at
            )
        execution: request_execution.RequestExecution
        if admitted_request.route.kind is model.RequestKind.STREAMING:
            execution = stream_execution.StreamExecution(
                context, admitted_request, responder
            )
        else:
            execution = unary_execution.UnaryExecution(
                context, admitted_request, responder
            )
        # Runs as a separate task, so that a disconnect of the caller cancels
        # the work on the backend server immediately.
        task = asyncio.get_running_loop().create_task(execution.run())
        responder.on_disconnect(task.cancel)
        self._open_requests[task] = _OpenRequest(
            execution, responder, asyncio.current_task()
        )
        overdue = False
        try:
            overdue = await self._wait_until_ended(
                task, execution, admitted_request.deadline
            )
        finally:
            responder.on_disconnect(None)
            task.cancel()
            del self._open_requests[task]
        ended_by_stop = task in self._ended_by_stop
        self._ended_by_stop.discard(task)
        if (
            task.cancelled()
            and ended_by_stop
            and not responder.disconnected.is_set()
        ):
            # It may be running at a server, which is told by the close of the
            # connection.
            failure = outcomes.RequestFailure(
                states.FailureReason.STOPPING,
                states.Execution.UNKNOWN,
                "daemon shuts down before the answer is complete",
            )
            await self._end_with(failure, admitted_request, responder)
            return
        if overdue and task.cancelled() and not responder.disconnected.is_set():
            failure = outcomes.RequestFailure(
                states.FailureReason.DEADLINE_EXCEEDED,
                states.Execution.UNKNOWN,
                "response not read by its caller before the deadline"
                if responder.started
                else "execution did not end at the deadline",
            )
            await self._end_with(failure, admitted_request, responder)
            return
        if task.cancelled() and not responder.disconnected.is_set():
            await self._end_faulty_request(
                RuntimeError("execution was cancelled"),
                admitted_request,
                responder,
            )
            return
        if task.cancelled():
            seconds = units.elapsed(
                admitted_request.received_at, context.timers.now()
            )
            reason = states.FailureReason.CALLER_DISCONNECTED.value
            context.instruments.record_duration(
                admitted_request.route.kind.value, reason, seconds
            )
            context.log.emit(
                events.Event.REQUEST_FAILED,
                request=admitted_request.request.id,
                reason=reason,
                seconds=round(seconds, 3),
            )
            return
        error = task.exception()
        if error is not None:
            await self._end_faulty_request(error, admitted_request, responder)

    async def _wait_until_ended(
        self,
        task: asyncio.Task[None],
        execution: request_execution.RequestExecution,
        deadline: units.Instant,
    ) -> bool:
        """Waits until an execution ends.

        Returns:
            Whether it was cancelled, because its deadline had passed.
        """
        time_left = units.elapsed(self._context.timers.now(), deadline)
        await asyncio.wait(
            (task,), timeout=max(0.0, time_left) + _OVERDUE_MARGIN
        )
        overdue = not task.done() and not execution.is_completing
        if overdue:
            task.cancel()
        if not task.done():
            await asyncio.wait((task,))
        return overdue

    async def _end_faulty_request(
        self,
        error: BaseException,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        """Ends a request whose execution raised; a server may have run it."""
        context = self._context
        context.errors.record("request", error, admitted_request.request.id)
        failure = outcomes.RequestFailure(
            states.FailureReason.INTERNAL,
            states.Execution.UNKNOWN,
            _INTERNAL_ERROR,
        )
        await self._end_with(failure, admitted_request, responder)

    async def _end_with(
        self,
        failure: outcomes.RequestFailure,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        """Logs a failure and tells it to the caller, if that is possible."""
        context = self._context
        context_module.log_failure(context, admitted_request, failure)
        if responder.started:
            # Without its end the caller detects the truncation.
            responder.abort()
            return
        await context_module.respond_failure(context, responder, failure)


def _compute_fingerprint(
    caller_request: requests.CallerRequest,
    organisation: model.Organisation | None,
) -> ids.Fingerprint:
    """Returns a hash of the target, the organisation and the body."""
    digest = xxhash.xxh3_64(caller_request.target.encode())
    organisation_id = organisation.id if organisation is not None else ""
    digest.update(organisation_id.encode())
    digest.update(caller_request.body)
    return ids.Fingerprint(digest.intdigest())
