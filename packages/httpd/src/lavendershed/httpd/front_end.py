"""HTTP front end for callers, the load balancer and operators."""

from __future__ import annotations

import asyncio
import re
import uuid

import orjson
import result

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.httpd import application
from lavendershed.httpd import problem
from lavendershed.httpd import request_decoder
from lavendershed.transport import handlers

REQUEST_ID_HEADER = "request-id"
_GENERATE_PATH = re.compile(r"/v1/services/([^/]+)/generate")
_CALL_PATH = re.compile(r"/v1/services/([^/]+)/call/(.+)")
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_BEARER_PREFIX = "Bearer "
_REASONS_BY_STATUS = {413: states.FailureReason.BODY_TOO_LARGE}
_INTERNAL_ERROR_STATUS = 500
_JSON_HEADERS = (("content-type", "application/json"),)
# Time limit for writing an error event to a slow caller.
_FAILURE_WRITE_TIMEOUT = units.Seconds(0.5)


class _EventStreamSink(requests.ResponseSink):
    """Writes a response as server-sent events."""

    def __init__(
        self, responder: handlers.Responder, request_id: ids.RequestId
    ) -> None:
        self._responder = responder
        self._request_id = request_id
        self._end_sent = False

    async def deliver(self, events: tuple[bytes, ...]) -> bool:
        self._start()
        return await self._responder.write(b"".join(events))

    async def wait_for_disconnect(self) -> None:
        await self._responder.disconnected.wait()

    async def end(
        self, token_count: units.Tokens, reason: states.FinishReason
    ) -> None:
        self._start()
        self._end_sent = True
        content = orjson.dumps(
            {"token_count": token_count, "finish_reason": reason.value}
        )
        await self._responder.write(b"event: end\ndata: " + content + b"\n\n")
        await self._responder.finish()

    async def fail(self, failure: outcomes.RequestFailure) -> None:
        """Ends a started response with an error event instead of `end`.

        A caller that does not read is disconnected, since the request must end
        by its deadline.
        """
        if self._end_sent:
            self._responder.abort()
            return
        content = problem.encode(failure, self._request_id)
        try:
            async with asyncio.timeout(_FAILURE_WRITE_TIMEOUT):
                await self._responder.write(
                    b"event: error\ndata: " + content + b"\n\n"
                )
                await self._responder.finish()
        except TimeoutError:
            self._responder.abort()

    def _start(self) -> None:
        if not self._responder.started:
            self._responder.start(
                200,
                (
                    ("content-type", "text/event-stream"),
                    ("cache-control", "no-store"),
                    ("request-id", self._request_id),
                ),
            )


class FrontEnd(handlers.Handler):
    """Maps HTTP requests to calls of the application."""

    def __init__(
        self, app: application.Application, timer_service: timers.TimerService
    ) -> None:
        self._app = app
        self._timers = timer_service

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Handles one request."""
        request_id = _request_id(request)
        if request.path.startswith("/v1/services/"):
            await self._handle_service(request, responder, request_id)
        elif request.path == "/health/live":
            await responder.respond(200, b"live\n")
        elif request.path == "/health/ready":
            await self._respond_ready(responder)
        elif request.path == "/metrics":
            await responder.respond(
                200,
                self._app.metrics(),
                (("content-type", "text/plain; version=0.0.4"),),
            )
        elif request.path == "/v1/status":
            body = orjson.dumps(dict(self._app.status()))
            await responder.respond(200, body, _JSON_HEADERS)
        else:
            await _respond_failure(
                responder,
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"no resource at {request.path}",
                ),
                request_id,
            )

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request that is not handled."""
        if status == _INTERNAL_ERROR_STATUS:
            # The handler had the request, so that a server may have run it.
            return problem.encode(
                outcomes.RequestFailure(
                    states.FailureReason.INTERNAL,
                    states.Execution.UNKNOWN,
                    detail,
                ),
                "",
            )
        reason = _REASONS_BY_STATUS.get(
            status, states.FailureReason.BAD_REQUEST
        )
        return problem.encode(outcomes.not_run(reason, detail), "")

    async def _respond_ready(self, responder: handlers.Responder) -> None:
        if self._app.ready:
            await responder.respond(200, b"ready\n")
            return
        await responder.respond(503, b"not ready\n")

    async def _handle_service(
        self,
        request: handlers.ServerRequest,
        responder: handlers.Responder,
        request_id: ids.RequestId,
    ) -> None:
        sink = _EventStreamSink(responder, request_id)
        outcome = await self._dispatch(request, responder, request_id, sink)
        if isinstance(outcome, result.Ok):
            return
        if not responder.started:
            await _respond_failure(responder, outcome.err_value, request_id)
            return
        await sink.fail(outcome.err_value)

    async def _dispatch(
        self,
        request: handlers.ServerRequest,
        responder: handlers.Responder,
        request_id: ids.RequestId,
        sink: _EventStreamSink,
    ) -> result.Result[None, outcomes.RequestFailure]:
        if self._app.refusal is not None:
            return result.Err(self._app.refusal)
        generate = _GENERATE_PATH.fullmatch(request.path)
        call = _CALL_PATH.fullmatch(request.path)
        match = generate or call
        if match is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"no resource at {request.path}",
                )
            )
        if request.method != "POST":
            return request_decoder.bad_request(
                f"method {request.method}: use POST"
            )
        organisation = self._authenticate(request)
        if isinstance(organisation, result.Err):
            return organisation
        service = ids.ServiceId(match[1])
        limits = self._app.request_limits(service)
        if isinstance(limits, result.Err):
            return limits
        deadline = request_decoder.deadline(
            request, limits.ok_value, self._timers.now()
        )
        if isinstance(deadline, result.Err):
            return deadline
        if generate is not None:
            decoded = request_decoder.generate_request(
                request,
                request_id,
                organisation.ok_value,
                service,
                deadline.ok_value,
            )
            if isinstance(decoded, result.Err):
                return decoded
            return await self._app.generate(decoded.ok_value, sink)
        key = request_decoder.idempotency_key(request)
        if isinstance(key, result.Err):
            return key
        return await self._call(
            requests.CallRequest(
                request_id,
                organisation.ok_value,
                service,
                match[2],
                request.body,
                request.header("content-type") or "application/octet-stream",
                key.ok_value,
                deadline.ok_value,
            ),
            responder,
        )

    async def _call(
        self, request: requests.CallRequest, responder: handlers.Responder
    ) -> result.Result[None, outcomes.RequestFailure]:
        response = await self._app.call(request)
        if isinstance(response, result.Err):
            return response
        await responder.respond(
            response.ok_value.status,
            response.ok_value.body,
            (
                ("content-type", response.ok_value.content_type),
                ("request-id", request.request_id),
                ("execution", states.Execution.COMPLETED.value),
            ),
        )
        return result.Ok(None)

    def _authenticate(
        self, request: handlers.ServerRequest
    ) -> result.Result[ids.OrganisationId, outcomes.RequestFailure]:
        authorization = request.header("authorization") or ""
        if not authorization.startswith(_BEARER_PREFIX):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNAUTHENTICATED,
                    "header Authorization: send 'Bearer <token>'",
                )
            )
        return self._app.authenticate(authorization[len(_BEARER_PREFIX) :])


async def _respond_failure(
    responder: handlers.Responder,
    failure: outcomes.RequestFailure,
    request_id: ids.RequestId,
) -> None:
    await responder.respond(
        problem.http_status(failure),
        problem.encode(failure, request_id),
        (
            ("content-type", problem.CONTENT_TYPE),
            ("request-id", request_id),
        ),
    )


def _request_id(request: handlers.ServerRequest) -> ids.RequestId:
    header = request.header(REQUEST_ID_HEADER)
    if header is not None and _REQUEST_ID.fullmatch(header):
        return ids.RequestId(header)
    return ids.RequestId(uuid.uuid4().hex)
