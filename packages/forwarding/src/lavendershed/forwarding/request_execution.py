"""Base class for the execution of requests."""

from __future__ import annotations

import abc
import asyncio

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import requests
from lavendershed.transport import handlers

# A regained link is noticed within about this time.
_CUT_OFF_RETRY_AFTER = units.Seconds(1.0)
# An overdue attempt is joined by another as soon as a server can take it.
_RECHECK_INTERVAL = units.Seconds(0.1)
# A request that waits for retries takes one attempt in this time at most, since
# a server that refuses connections may do so until it is replaced.
_RETRY_INTERVAL = units.Seconds(0.5)

_COMPLETE = forwarding_states.AttemptOutcome.COMPLETE


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
        self._running = parallel_attempts.ParallelAttempts(self._attempts)
        # An error response of a server, forwarded if no attempt succeeds.
        self._failed_response: requests.BackendResponse | None = None
        self._is_completing = False

    @property
    def is_completing(self) -> bool:
        """Whether the whole response, or a failure, is being handed over."""
        return self._is_completing

    async def run(self) -> None:
        """Executes the request and sends the response."""
        try:
            while True:
                failure = None
                if self._running.needs_another:
                    failure = await self._start_attempt()
                    if failure is not None and self._running.is_empty:
                        await self._end_failed(failure)
                        return
                ended = await self._running.wait(
                    _RECHECK_INTERVAL if self._running.needs_another else None
                )
                if ended is not None and await self._finish_attempt(*ended):
                    return
        finally:
            self._running.close()
            self._running.release_buffers()

    @abc.abstractmethod
    async def _select_attempt(
        self,
    ) -> parallel_attempts.Attempt | outcomes.RequestFailure | None:
        """Returns the next attempt at a server, or why there is none.

        Waits for a server if no attempt runs. None if servers may be available
        after that.
        """

    @abc.abstractmethod
    def _new_relayed_attempt(
        self, peer: addresses.Address
    ) -> parallel_attempts.Attempt:
        """Returns an attempt that has a peer run the request."""

    @abc.abstractmethod
    async def _complete(
        self,
        attempt: parallel_attempts.Attempt,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        """Completes the response."""

    @abc.abstractmethod
    async def _finish_failed(self, failure: outcomes.RequestFailure) -> None:
        """Ends a request without a complete response."""

    @property
    @abc.abstractmethod
    def _has_server_beside(self) -> bool:
        """Whether a server could take an attempt beside the overdue ones."""

    @property
    def _waits_for_retries(self) -> bool:
        """Whether the request waits if it may not be retried now."""
        return False

    async def _wait_for_retry(self) -> None:
        """Waits until the request may look for a server again."""
        await asyncio.sleep(
            max(0.0, min(_RETRY_INTERVAL, self._attempts.time_left))
        )
        self._attempts.extend_search()

    async def _on_attempt_failed(
        self, attempt_result: attempts.AttemptResult
    ) -> outcomes.RequestFailure | None:
        """Returns why the request has to end after a failed attempt, if so."""
        return None

    async def _start_attempt(self) -> outcomes.RequestFailure | None:
        """Starts an attempt; returns why none may be started."""
        beside = not self._running.is_empty
        if beside and not self._has_server_beside:
            # Nothing is better than to wait on, and nothing is charged.
            return None
        selected: parallel_attempts.Attempt | outcomes.RequestFailure | None = (
            None
        )
        while selected is None:
            failure = self._attempts.check_next_attempt()
            if failure is not None:
                return failure
            failure = self._attempts.check_retry_limits()
            if failure is not None:
                if beside or not self._waits_for_retries:
                    return failure
                await self._wait_for_retry()
                continue
            peer = self._select_peer()
            if peer is not None:
                selected = self._new_relayed_attempt(peer)
                break
            failure = self._cut_off_failure()
            if failure is not None:
                return failure
            selected = await self._select_attempt()
        if isinstance(selected, outcomes.RequestFailure):
            return selected
        # The attempts that were overdue may have gone on in the meantime.
        if self._running.needs_another:
            self._running.start(selected)
        return None

    async def _finish_attempt(
        self,
        attempt: parallel_attempts.Attempt,
        attempt_result: attempts.AttemptResult,
    ) -> bool:
        """Handles the end of an attempt; returns whether the request ends."""
        if attempt_result.outcome is _COMPLETE:
            self._running.close()
            self._is_completing = True
            await self._complete(attempt, attempt_result)
            return True
        attempt.record_end(self._attempts, attempt_result)
        # A response that has begun can't become that of a failed attempt.
        response = None if self._responder.started else attempt_result.response
        if response is None:
            attempt.release_buffer()
        self._failed_response = response or self._failed_response
        if not self._running.is_empty:
            return False
        failure = await self._on_attempt_failed(attempt_result)
        if failure is None:
            return False
        await self._end_failed(failure)
        return True

    def _select_peer(self) -> addresses.Address | None:
        """Returns the daemon that has to run the request instead of this."""
        if self._admitted_request.relayed:
            return None
        return self._context.relay.select_peer(
            self._attempts.used_peers, self._attempts.unsent_in_a_row
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

    async def _end_failed(self, failure: outcomes.RequestFailure) -> None:
        self._is_completing = True
        await self._finish_failed(failure)

    async def _fail(self, failure: context_module.Failure) -> None:
        context_module.log_failure(
            self._context, self._admitted_request, failure
        )
        await context_module.respond_failure(
            self._context, self._responder, failure
        )
