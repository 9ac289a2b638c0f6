"""Base class for the execution of requests."""

from __future__ import annotations

import abc

from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import requests
from lavendershed.transport import handlers


class RequestExecution(abc.ABC):
    """Execution of one admitted request over all its attempts."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        self._context = context
        self._admitted_request = admitted_request
        self._responder = responder
        self._attempts = attempts.AttemptTracker(context, admitted_request)
        # An error response of a server, forwarded if no attempt succeeds.
        self._failed_response: requests.BackendResponse | None = None

    @abc.abstractmethod
    async def run(self) -> None:
        """Executes the request and sends the response."""

    async def _fail(self, failure: context_module.Failure) -> None:
        context_module.log_failure(
            self._context, self._admitted_request, failure
        )
        await context_module.respond_failure(
            self._context, self._responder, failure
        )
