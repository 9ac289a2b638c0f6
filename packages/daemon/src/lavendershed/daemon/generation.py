"""Execution of generate requests on model engines."""

from __future__ import annotations

import asyncio
import contextlib

import result

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.daemon import generation_parts
from lavendershed.daemon import generation_run
from lavendershed.reliability import fingerprints
from lavendershed.telemetry import events


class Generation:
    """Runs generate requests within their deadlines."""

    def __init__(self, parts: generation_parts.GenerationParts) -> None:
        self._parts = parts
        parts.exchange.subscribe(self._on_record)

    async def run(
        self, request: requests.GenerateRequest, sink: requests.ResponseSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Runs one request until it ends, its deadline or its caller leaves."""
        parts = self._parts
        parts.retry_policy.on_request(parts.timers.now())
        run = generation_run.GenerationRun(
            parts, request, sink, fingerprints.fingerprint_of(request)
        )
        remaining = request.deadline.remaining(parts.timers.now())
        left = asyncio.create_task(sink.wait_for_disconnect())
        try:
            async with asyncio.timeout(remaining) as scope:
                left.add_done_callback(lambda _: _expire(scope))
                outcome = await run.execute()
        except TimeoutError:
            outcome = result.Err(run.interrupted(left.done()))
        finally:
            left.cancel()
        self._report(request, run, outcome)
        return outcome

    def _report(
        self,
        request: requests.GenerateRequest,
        run: generation_run.GenerationRun,
        outcome: result.Result[None, outcomes.RequestFailure],
    ) -> None:
        parts = self._parts
        if isinstance(outcome, result.Err):
            failure = outcome.err_value
            parts.instruments.count_execution(
                request.service, failure.execution
            )
            parts.log.emit(
                events.Event.REQUEST_FAILED,
                request_id=request.request_id,
                reason=failure.reason.value,
                execution=failure.execution.value,
                attempts=run.attempts,
                tokens=run.delivered,
                detail=failure.detail,
            )
            return
        parts.instruments.count_execution(
            request.service, states.Execution.COMPLETED
        )
        parts.log.emit(
            events.Event.REQUEST_FINISHED,
            request_id=request.request_id,
            attempts=run.attempts,
            tokens=run.delivered,
        )

    def _on_record(
        self, origin: backend_servers.Owner, record: cluster.PeerRecord
    ) -> None:
        now = self._parts.timers.now()
        if isinstance(record, cluster.QuarantineRecord):
            self._parts.suspects.on_quarantine_record(record, now)
        elif isinstance(record, cluster.CrashSuspectRecord):
            self._parts.suspects.on_suspect_record(record, now)


def _expire(scope: asyncio.Timeout) -> None:
    """Ends the wait of a request whose caller has left."""
    # The scope may have ended between the disconnect and this callback.
    with contextlib.suppress(RuntimeError):
        scope.reschedule(asyncio.get_running_loop().time())
