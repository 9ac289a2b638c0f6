"""Admission of callers' requests and their execution."""

from __future__ import annotations

import asyncio
import random

import result
import xxhash

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import call_run
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import request_run
from lavendershed.forwarding import requests
from lavendershed.forwarding import stream_run
from lavendershed.routes import model
from lavendershed.routes import table
from lavendershed.telemetry import events
from lavendershed.transport import handlers

# A daemon that takes requests without a configuration has started while the
# store is away, which lasts for seconds. Callers wait for a third of the time
# that they have left at most.
_NOT_READY_RETRY = units.Seconds(3.0)
_NO_SERVICE_RETRY = units.Seconds(1.0)
# A stopping daemon takes a request only if its answer can be whole in time. Of
# the streams of the stated workloads nearly all end within this time; with a
# grace of 8 s they are taken until 3 s after the stop was asked for, when the
# platform sends no new connections any more.
_STREAM_TIME = units.Seconds(4.7)
_CALL_TIME = units.Seconds(1.0)
# Another daemon takes the request at once.
_STOPPING_RETRY = units.Seconds(0.05)
# The quarantine of a harmful request lasts for minutes.
_QUARANTINE_RETRY = units.Seconds(60.0)


class Gateway(handlers.Handler):
    """Answers the requests of callers."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        generator: random.Random,
    ) -> None:
        self._context = context
        self._random = generator
        self._ends_at: units.Instant | None = None

    def stop_at(self, when: units.Instant) -> None:
        """Takes only requests whose answers can be whole by `when`."""
        self._ends_at = when

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Answers one request."""
        received = self._context.timers.now()
        decoded = self._context.callers.decode(request)
        if isinstance(decoded, result.Err):
            await self._refuse(None, decoded.err_value, responder)
            return
        caller = decoded.ok_value
        admitted = self._admit(caller, received)
        if isinstance(admitted, result.Err):
            await self._refuse(caller, admitted.err_value, responder)
            return
        await self._run(admitted.ok_value, responder)

    def rejection(self, status: int, detail: str) -> bytes:
        """Returns the body of an answer to a request that is not handled."""
        return detail.encode()

    @property
    def rejection_type(self) -> str:
        """Content type of `rejection`."""
        return "text/plain"

    def _admit(
        self, caller: requests.CallerRequest, received: units.Instant
    ) -> result.Result[context_module.Admitted, outcomes.RequestFailure]:
        view = self._context.view
        routes = view.table
        if routes is None or not view.complete:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NOT_READY,
                    "no configuration is known yet; try again soon",
                    _NOT_READY_RETRY,
                )
            )
        route = routes.route(caller.host, caller.path)
        if route is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"no route for {caller.host}{caller.path}",
                )
            )
        organisation = self._organisation(routes, route, caller)
        if isinstance(organisation, result.Err):
            return organisation
        if self._too_late(route, received):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.STOPPING,
                    "this daemon stops; send the request to another one",
                    _STOPPING_RETRY,
                )
            )
        drawn = table.pick_weighted_service(route, self._random)
        service = routes.service(drawn) if drawn is not None else None
        if service is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NO_BACKEND_SERVER,
                    f"route {route.name} has no service",
                    _NO_SERVICE_RETRY,
                )
            )
        found = organisation.ok_value
        fingerprint = _fingerprint(caller, found)
        if self._context.crashes.is_refused(fingerprint, received):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.QUARANTINED,
                    "backend servers ended while they ran this request",
                    _QUARANTINE_RETRY,
                )
            )
        limit = route.timeout
        if caller.patience is not None:
            limit = min(limit, caller.patience)
        priority = found.priority if found is not None else None
        return result.Ok(
            context_module.Admitted(
                caller,
                route,
                service,
                found.id if found is not None else None,
                route.priority if priority is None else priority,
                fingerprint,
                received,
                units.after(received, units.Seconds(limit)),
            )
        )

    def _too_late(self, route: model.Route, received: units.Instant) -> bool:
        """Returns whether the daemon ends before the answer would."""
        if self._ends_at is None:
            return False
        streaming = route.kind is model.RequestKind.STREAMING
        needed = _STREAM_TIME if streaming else _CALL_TIME
        return units.after(received, needed) > self._ends_at

    def _organisation(
        self,
        routes: table.RouteTable,
        route: model.Route,
        caller: requests.CallerRequest,
    ) -> result.Result[model.Organisation | None, outcomes.RequestFailure]:
        if caller.key is not None:
            found = routes.organisation(caller.key)
            if found is not None:
                return result.Ok(found)
        if route.public or not routes.keys_required:
            return result.Ok(None)
        return result.Err(
            outcomes.not_run(
                states.FailureReason.UNAUTHENTICATED,
                "the key is missing or unknown",
            )
        )

    async def _refuse(
        self,
        caller: requests.CallerRequest | None,
        failure: outcomes.RequestFailure,
        responder: handlers.Responder,
    ) -> None:
        self._context.instruments.count_refusal(failure.reason.value)
        self._context.log.emit(
            events.Event.REQUEST_REFUSED,
            request=caller.id if caller is not None else "",
            reason=failure.reason.value,
            detail=failure.detail,
            version=self._context.view.version,
            retry_after_s=failure.retry_after,
        )
        await context_module.respond_failure(self._context, responder, failure)

    async def _run(
        self,
        admitted: context_module.Admitted,
        responder: handlers.Responder,
    ) -> None:
        context = self._context
        context.budget.on_request(admitted.service.id, admitted.received)
        run: request_run.RequestRun
        if admitted.route.kind is model.RequestKind.STREAMING:
            run = stream_run.StreamRun(context, admitted, responder)
        else:
            run = call_run.CallRun(context, admitted, responder)
        # A task of its own, so that the caller's leaving ends the work at the
        # backend server at once.
        task = asyncio.get_running_loop().create_task(run.run())
        responder.on_disconnect(task.cancel)
        try:
            await asyncio.wait((task,))
        finally:
            responder.on_disconnect(None)
            task.cancel()
        if task.cancelled():
            seconds = units.elapsed(admitted.received, context.timers.now())
            reason = states.FailureReason.CALLER_DISCONNECTED.value
            context.instruments.record_duration(
                admitted.route.kind.value, reason, seconds
            )
            context.log.emit(
                events.Event.REQUEST_FAILED,
                request=admitted.caller.id,
                reason=reason,
                seconds=round(seconds, 3),
            )
            return
        error = task.exception()
        if error is not None:
            raise error


def _fingerprint(
    caller: requests.CallerRequest, organisation: model.Organisation | None
) -> ids.Fingerprint:
    """Returns hash(path, organisation, body)."""
    digest = xxhash.xxh3_64(caller.target.encode())
    name = organisation.id if organisation is not None else ""
    digest.update(name.encode())
    digest.update(caller.body)
    return ids.Fingerprint(digest.intdigest())
