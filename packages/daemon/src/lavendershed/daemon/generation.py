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
from lavendershed.daemon import generation_components
from lavendershed.daemon import generation_run
from lavendershed.reliability import fingerprints
from lavendershed.telemetry import events


class GenerationExecutor:
    """Runs generate requests and enforces their deadlines."""

    def __init__(
        self, components: generation_components.GenerationComponents
    ) -> None:
        self._components = components
        components.exchange.subscribe(self._on_record)

    async def run(
        self, request: requests.GenerateRequest, sink: requests.ResponseSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Runs a request until it ends, expires or its caller disconnects."""
        components = self._components
        components.retry_policy.on_request(components.timers.now())
        run = generation_run.GenerationRun(
            components, request, sink, fingerprints.fingerprint_of(request)
        )
        remaining = request.deadline.remaining(components.timers.now())
        disconnect = asyncio.create_task(sink.wait_for_disconnect())
        try:
            async with asyncio.timeout(remaining) as timeout_scope:
                disconnect.add_done_callback(lambda _: _expire(timeout_scope))
                outcome = await run.execute()
        except TimeoutError:
            outcome = result.Err(run.interruption_failure(disconnect.done()))
        finally:
            disconnect.cancel()
        self._report_outcome(request, run, outcome)
        return outcome

    def _report_outcome(
        self,
        request: requests.GenerateRequest,
        run: generation_run.GenerationRun,
        outcome: result.Result[None, outcomes.RequestFailure],
    ) -> None:
        components = self._components
        if isinstance(outcome, result.Err):
            failure = outcome.err_value
            components.instruments.count_execution(
                request.service, failure.execution
            )
            components.log.emit(
                events.Event.REQUEST_FAILED,
                request_id=request.request_id,
                reason=failure.reason.value,
                execution=failure.execution.value,
                attempts=run.attempt_count,
                tokens=run.delivered_tokens,
                detail=failure.detail,
            )
            return
        components.instruments.count_execution(
            request.service, states.Execution.COMPLETED
        )
        components.log.emit(
            events.Event.REQUEST_FINISHED,
            request_id=request.request_id,
            attempts=run.attempt_count,
            tokens=run.delivered_tokens,
        )

    def _on_record(
        self, origin: backend_servers.Owner, record: cluster.PeerRecord
    ) -> None:
        now = self._components.timers.now()
        if isinstance(record, cluster.QuarantineRecord):
            self._components.suspects.on_quarantine_record(record, now)
        elif isinstance(record, cluster.CrashSuspectRecord):
            self._components.suspects.on_suspect_record(record, now)


def _expire(timeout_scope: asyncio.Timeout) -> None:
    """Cancels the run of a request whose caller has disconnected."""
    # The scope may have been exited between the disconnect and this callback.
    with contextlib.suppress(RuntimeError):
        timeout_scope.reschedule(asyncio.get_running_loop().time())
