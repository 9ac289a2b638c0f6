"""What the executions of all kinds of requests have in common."""

from __future__ import annotations

import abc

from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import requests
from lavendershed.transport import handlers


class RequestExecution(abc.ABC):
    """One admitted request with all its attempts."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._responder = responder
        self._attempts = attempts.AttemptTracker(context, admitted)
        # A server's own failure, which is passed on if nothing better comes.
        self._failed_response: requests.BackendResponse | None = None

    @abc.abstractmethod
    async def run(self) -> None:
        """Answers the request."""

    async def _fail(self, failure: context_module.Failure) -> None:
        context_module.log_failure(self._context, self._admitted, failure)
        await context_module.respond_failure(
            self._context, self._responder, failure
        )
