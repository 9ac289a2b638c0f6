"""Execution of calls to plain services."""

from __future__ import annotations

import random
import uuid

import result

from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.daemon import backend_directory


class Calls:
    """Runs calls to plain services."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        directory: backend_directory.BackendDirectory,
        timer_service: timers.TimerService,
        generator: random.Random,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._timers = timer_service
        self._random = generator

    async def run(
        self, request: requests.CallRequest
    ) -> result.Result[backend_servers.PlainAnswer, outcomes.RequestFailure]:
        """Runs one call within its deadline."""
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
        if not route.idempotent and request.idempotency_key is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.MISSING_IDEMPOTENCY_KEY,
                    f"route '{route.path}' is not idempotent: send an "
                    "Idempotency-Key header",
                )
            )
        server = self._random.choice(service.backend_servers)
        client = self._directory.plain_service(server.name)
        if client is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NO_BACKEND_SERVER,
                    f"{server.name} was removed",
                )
            )
        answer = await client.call(
            backend_servers.PlainCall(
                "POST",
                request.path,
                (
                    backend_servers.Header(
                        "content-type", request.content_type
                    ),
                    backend_servers.Header("request-id", request.request_id),
                ),
                request.body,
                ids.AttemptId(uuid.uuid4().hex),
                not route.idempotent,
                request.deadline.remaining(self._timers.now()),
            )
        )
        return answer.map_err(_failure)


def _failure(
    error: backend_servers.BackendError,
) -> outcomes.RequestFailure:
    not_started = (
        not error.sent
        or error.kind is backend_servers.BackendErrorKind.REFUSED_BEFORE_START
    )
    return outcomes.RequestFailure(
        states.FailureReason.BACKEND_SERVER_FAILED,
        states.Execution.NOT_RUN if not_started else states.Execution.UNKNOWN,
        error.detail,
    )
