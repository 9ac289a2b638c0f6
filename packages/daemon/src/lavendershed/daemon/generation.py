"""Execution of generate requests on model engines."""

from __future__ import annotations

import asyncio
import uuid

import result

from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_directory
from lavendershed.daemon import dispatcher as dispatcher_module


class Generation:
    """Runs generate requests: assignment, attempts, delivery."""

    def __init__(
        self,
        owner: backend_servers.Owner,
        configuration: state.ConfigurationState,
        directory: backend_directory.BackendDirectory,
        dispatcher: dispatcher_module.Dispatcher,
        timer_service: timers.TimerService,
    ) -> None:
        self._owner = owner
        self._configuration = configuration
        self._directory = directory
        self._dispatcher = dispatcher
        self._timers = timer_service

    async def run(
        self, request: requests.GenerateRequest, sink: requests.AnswerSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Runs one request within its deadline."""
        remaining = request.deadline.remaining(self._timers.now())
        try:
            async with asyncio.timeout(remaining):
                return await self._run_attempt(request, sink)
        except TimeoutError:
            return result.Err(
                outcomes.RequestFailure(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    states.Execution.UNKNOWN,
                    "the deadline passed before the answer was complete",
                )
            )

    async def _run_attempt(
        self, request: requests.GenerateRequest, sink: requests.AnswerSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        acquired = await self._dispatcher.acquire(
            request, dispatcher_module.Constraints()
        )
        if isinstance(acquired, result.Err):
            return acquired
        assignment = acquired.ok_value
        engine = self._directory.engine(assignment.engine)
        try:
            if engine is None:
                return _failed(False, f"{assignment.engine} was removed")
            opened = await engine.start_stream(
                self._stream_request(request, assignment)
            )
            if isinstance(opened, result.Err):
                error = opened.err_value
                return _failed(error.sent, error.detail)
            return await self._relay(opened.ok_value, sink, request, assignment)
        finally:
            self._dispatcher.release(request, assignment)

    async def _relay(
        self,
        stream: backend_servers.EngineStream,
        sink: requests.AnswerSink,
        request: requests.GenerateRequest,
        assignment: dispatcher_module.Assignment,
    ) -> result.Result[None, outcomes.RequestFailure]:
        started = False
        try:
            while True:
                batch = await stream.read()
                if isinstance(batch, result.Err):
                    return _failed(True, batch.err_value.detail)
                for event in batch.ok_value:
                    if isinstance(event, backend_servers.TokenBatch):
                        if not started:
                            started = True
                            self._dispatcher.on_first_token(request, assignment)
                        await sink.deliver(event.events)
                    elif isinstance(event, backend_servers.StreamEnd):
                        await sink.end(event.token_count, event.reason)
                        return result.Ok(None)
        finally:
            stream.close()

    def _stream_request(
        self,
        request: requests.GenerateRequest,
        assignment: dispatcher_module.Assignment,
    ) -> backend_servers.StreamRequest:
        service = self._configuration.current.services[request.service]
        remaining = request.deadline.remaining(self._timers.now())
        return backend_servers.StreamRequest(
            ids.StreamId(uuid.uuid4().hex),
            ids.AttemptId(uuid.uuid4().hex),
            self._owner,
            service.model,
            request.adapter,
            request.prompt,
            request.prompt_tokens,
            assignment.block_hashes,
            request.max_tokens,
            assignment.priority,
            units.Milliseconds(int(remaining * 1000)),
        )


def _failed(sent: bool, detail: str) -> result.Err[outcomes.RequestFailure]:
    execution = (
        states.Execution.FAILED_AFTER_START
        if sent
        else states.Execution.NOT_RUN
    )
    return result.Err(
        outcomes.RequestFailure(
            states.FailureReason.BACKEND_SERVER_FAILED, execution, detail
        )
    )
