"""Base class for the execution of requests."""

from __future__ import annotations

import abc

from lavendershed.core import addresses
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import requests
from lavendershed.transport import handlers

# A regained link is noticed within about this time.
_CUT_OFF_RETRY_AFTER = units.Seconds(1.0)


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

    def _select_peer(self) -> addresses.Address | None:
        """Returns the daemon that has to run the request instead of this."""
        if self._admitted_request.relayed:
            return None
        return self._context.relay.select_peer(
            self._attempts.failed_peers, self._attempts.unsent_in_a_row
        )

    def _cut_off_failure(self) -> outcomes.RequestFailure | None:
        """Returns why the request has to end if no daemon reaches servers."""
        if not self._context.relay.is_cut_off or self._responder.started:
            return None
        return self._attempts.build_failure(
            states.FailureReason.NO_BACKEND_SERVER,
            "daemon is cut off from the servers, and no other one can help",
            _CUT_OFF_RETRY_AFTER,
        )

    async def _fail(self, failure: context_module.Failure) -> None:
        context_module.log_failure(
            self._context, self._admitted_request, failure
        )
        await context_module.respond_failure(
            self._context, self._responder, failure
        )
