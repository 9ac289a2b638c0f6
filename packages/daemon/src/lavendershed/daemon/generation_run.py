"""The attempts of one generate request."""

from __future__ import annotations

import collections
import dataclasses
import uuid

import result

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.daemon import delivered_text
from lavendershed.daemon import dispatcher as dispatcher_module
from lavendershed.daemon import engine_incarnations
from lavendershed.daemon import generation_parts
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import execution as execution_module
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import retry_policy
from lavendershed.reliability import stream_tracker
from lavendershed.routing import prompt_classes
from lavendershed.telemetry import events
from lavendershed.transport import event_loop_timers

# Wait for an engine to come back when each one that is left has died.
_REPLACEMENT_WAIT = units.Seconds(15.0)
_REPLACEMENT_POLL = units.Seconds(0.25)


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """The attempt has delivered the end of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Lost:
    """The attempt has failed; another one may go on."""

    error: backend_servers.BackendError


@dataclasses.dataclass(frozen=True, slots=True)
class _Stopped:
    """No other attempt can complete the answer."""

    reason: states.FailureReason
    detail: str


_AttemptEnd = _Finished | _Lost | _Stopped


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    attempt_id: ids.AttemptId
    assignment: dispatcher_module.Assignment
    client: backend_servers.ModelEngine
    key: memory_ledger.AllocationKey
    expected_incarnation: ids.Incarnation | None

    @property
    def engine(self) -> ids.BackendServerId:
        return self.assignment.engine

    @property
    def stream_id(self) -> ids.StreamId:
        return ids.StreamId(self.key.allocation_id)


class GenerationRun:
    """Runs attempts one after the other until the answer is whole.

    Only one attempt exists at any time. An attempt that ends in any other way
    than with a whole answer or a refusal leaves a ledger entry, whose release
    the ledger keeper sees to.
    """

    def __init__(
        self,
        parts: generation_parts.GenerationParts,
        request: requests.GenerateRequest,
        sink: requests.ResponseSink,
        fingerprint: ids.Fingerprint,
    ) -> None:
        self._parts = parts
        self._request = request
        self._sink = sink
        self._fingerprint = fingerprint
        self._arrived = parts.timers.now()
        self._tracker = stream_tracker.StreamTracker()
        self._text = delivered_text.DeliveredText()
        self._failed: list[retry_policy.FailedAttempt] = []
        self._attempts = 0
        self._connection: backend_servers.EngineStream | None = None
        self._pending: collections.deque[backend_servers.StreamEvent] = (
            collections.deque()
        )
        self._alone = False
        self._prompt_sent = False
        self._prefilling = False
        self._first_token_seen = False

    @property
    def attempts(self) -> int:
        """Attempts started so far."""
        return self._attempts

    @property
    def delivered(self) -> int:
        """Tokens passed to the caller so far."""
        return self._tracker.delivered_tokens

    def interrupted(self, caller_left: bool) -> outcomes.RequestFailure:
        """Returns the failure of a run that was cut off."""
        if caller_left:
            return outcomes.RequestFailure(
                states.FailureReason.CALLER_DISCONNECTED,
                self._execution,
                "the caller closed its connection",
            )
        return outcomes.RequestFailure(
            states.FailureReason.DEADLINE_EXCEEDED,
            self._execution,
            "the deadline passed before the answer was complete; "
            f"{self.delivered} tokens were delivered",
        )

    async def execute(self) -> result.Result[None, outcomes.RequestFailure]:
        """Runs attempts; the caller sets the time limit."""
        excluded: frozenset[ids.BackendServerId] = frozenset()
        while True:
            acquired = await self._acquire(excluded)
            if isinstance(acquired, result.Err):
                return result.Err(self._with_execution(acquired.err_value))
            try:
                end = await self._run_attempt(acquired.ok_value)
            finally:
                self._parts.dispatcher.release(self._request, acquired.ok_value)
            if isinstance(end, _Finished):
                return result.Ok(None)
            if isinstance(end, _Stopped):
                return self._failure(end.reason, end.detail)
            if self.delivered >= self._request.max_tokens:
                # Only the end event was lost; nothing is left to generate.
                await self._sink.end(
                    self._request.max_tokens, states.FinishReason.LENGTH
                )
                return result.Ok(None)
            if not self._text.complete:
                return self._failure(
                    states.FailureReason.BACKEND_SERVER_FAILED,
                    f"{end.error.detail}; the answer is too long to be "
                    "continued on another engine",
                )
            decision = self._parts.retry_policy.on_attempt_failed(
                self._failed,
                self._request.deadline,
                idempotent=True,
                now=self._parts.timers.now(),
            )
            if isinstance(decision, retry_policy.FailRequest):
                return result.Err(decision.failure)
            await event_loop_timers.sleep_until(
                self._parts.timers, decision.retry_at
            )
            excluded = decision.avoided_engines

    @property
    def _service(self) -> model.Service | None:
        services = self._parts.configuration.current.services
        return services.get(self._request.service)

    @property
    def _execution(self) -> states.Execution:
        return execution_module.combine_executions(
            [
                *(attempt.execution for attempt in self._failed),
                execution_module.infer_execution(
                    execution_module.AttemptEvidence(sent=self._prompt_sent)
                ),
                execution_module.infer_execution(self._tracker.evidence),
            ]
        )

    def _failure(
        self, reason: states.FailureReason, detail: str
    ) -> result.Err[outcomes.RequestFailure]:
        return result.Err(
            outcomes.RequestFailure(reason, self._execution, detail)
        )

    def _with_execution(
        self, refusal: outcomes.RequestFailure
    ) -> outcomes.RequestFailure:
        # The dispatcher speaks of the attempt that it refused; earlier
        # attempts may have run.
        return dataclasses.replace(refusal, execution=self._execution)

    async def _acquire(
        self, excluded: frozenset[ids.BackendServerId]
    ) -> result.Result[dispatcher_module.Assignment, outcomes.RequestFailure]:
        give_up = units.after(self._parts.timers.now(), _REPLACEMENT_WAIT)
        while True:
            verdict = self._verdict()
            if isinstance(verdict, result.Err):
                return verdict
            self._alone = verdict.ok_value
            acquired = await self._parts.dispatcher.acquire(
                self._request,
                dispatcher_module.Constraints(
                    excluded, self._alone, self._note_prompt_sent
                ),
            )
            if isinstance(acquired, result.Ok):
                if self._verdict() == verdict:
                    return acquired
                # The request has become a suspect while it was queued.
                self._parts.dispatcher.release(self._request, acquired.ok_value)
                continue
            if (
                not self._failed
                or acquired.err_value.reason
                is not states.FailureReason.NO_BACKEND_SERVER
                or self._parts.timers.now() >= give_up
            ):
                return acquired
            dead = retry_policy.dead_engines(
                self._failed, self._parts.incarnations.latest
            )
            if dead == excluded:
                await event_loop_timers.sleep(
                    self._parts.timers, _REPLACEMENT_POLL
                )
                await self._probe(dead)
            excluded = dead

    def _note_prompt_sent(self) -> None:
        self._prompt_sent = True

    def _verdict(self) -> result.Result[bool, outcomes.RequestFailure]:
        """Returns whether the request must run alone, or why it may not run."""
        now = self._parts.timers.now()
        suspects = self._parts.suspects
        verdict = suspects.verdict(self._fingerprint, now)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.QUARANTINED,
                    "this request has crashed two engines and is refused for "
                    "some time; change the prompt before sending it again",
                    suspects.quarantine_remaining(self._fingerprint, now),
                )
            )
        return result.Ok(verdict is crash_suspects.Verdict.ISOLATED)

    async def _probe(self, engines: frozenset[ids.BackendServerId]) -> None:
        for name in engines:
            client = self._parts.directory.engine(name)
            if client is not None:
                await self._parts.incarnations.probe(name, client, None)

    async def _run_attempt(
        self, assignment: dispatcher_module.Assignment
    ) -> _AttemptEnd:
        client = self._parts.directory.engine(assignment.engine)
        service = self._service
        if client is None or service is None:
            return self._not_sent(assignment, "it left the configuration")
        attempt = _Attempt(
            ids.AttemptId(uuid.uuid4().hex),
            assignment,
            client,
            memory_ledger.AllocationKey(
                assignment.engine,
                backend_servers.AllocationKind.STREAM,
                uuid.uuid4().hex,
            ),
            self._parts.incarnations.latest.get(assignment.engine),
        )
        entered = self._parts.keeper.enter(
            attempt.key, client, attempt.attempt_id
        )
        if isinstance(entered, result.Err):
            return _Stopped(
                states.FailureReason.QUEUE_FULL,
                "too much engine memory waits for its release; send the "
                "request again later",
            )
        self._attempts += 1
        self._prefilling = True
        self._tracker.on_attempt_started(attempt.attempt_id)
        self._parts.suspects.on_attempt_started(
            attempt.attempt_id, self._fingerprint, attempt.engine, self._alone
        )
        outcome = "interrupted"
        try:
            end = await self._relay(
                attempt, self._stream_request(attempt, service)
            )
            if isinstance(end, _Lost):
                outcome = end.error.kind.value
                await self._on_lost(attempt, end.error)
            else:
                outcome = type(end).__name__.strip("_").lower()
            return end
        finally:
            self._settle(attempt)
            self._parts.instruments.count_attempt(
                self._request.service, outcome
            )

    def _not_sent(
        self, assignment: dispatcher_module.Assignment, detail: str
    ) -> _Lost:
        error = backend_servers.BackendError(
            backend_servers.BackendErrorKind.CONNECTION_REFUSED,
            False,
            f"{assignment.engine}: {detail}",
        )
        self._failed.append(
            retry_policy.FailedAttempt(
                assignment.engine, None, error, states.Execution.NOT_RUN
            )
        )
        return _Lost(error)

    def _settle(self, attempt: _Attempt) -> None:
        """Ends the bookkeeping of an attempt, however it ended."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._pending.clear()
        evidence = self._tracker.evidence
        if evidence.completed:
            # The engine frees a stream's KV with its last token.
            self._parts.keeper.close(attempt.key)
            self._parts.suspects.on_completed(attempt.attempt_id)
            return
        if (
            execution_module.infer_execution(evidence)
            is states.Execution.NOT_RUN
        ):
            self._parts.keeper.close(attempt.key)
        else:
            self._parts.keeper.give_back(attempt.key)
        self._parts.suspects.on_attempt_ended(attempt.attempt_id)

    async def _relay(
        self, attempt: _Attempt, request: backend_servers.StreamRequest
    ) -> _AttemptEnd:
        commands = await self._start(attempt, request)
        while True:
            for command in commands:
                if isinstance(command, stream_tracker.Deliver):
                    self._text.add(command.events, attempt.client)
                    self._note_first_token(attempt)
                    if not await self._sink.deliver(command.events):
                        return _Stopped(
                            states.FailureReason.CALLER_DISCONNECTED,
                            "the caller closed its connection",
                        )
                elif isinstance(command, stream_tracker.Finish):
                    await self._sink.end(command.token_count, command.reason)
                    return _Finished()
                elif isinstance(command, stream_tracker.Resume):
                    commands = await self._resume(attempt, command)
                    break
                elif isinstance(command, stream_tracker.FailOver):
                    return _Lost(command.error)
                else:
                    return _Stopped(
                        states.FailureReason.BACKEND_SERVER_FAILED,
                        command.error.detail,
                    )
            else:
                commands = await self._next_commands(attempt)

    async def _start(
        self, attempt: _Attempt, request: backend_servers.StreamRequest
    ) -> tuple[stream_tracker.Command, ...]:
        self._parts.health.on_sent(attempt.engine)
        opened = await attempt.client.start_stream(request)
        if isinstance(opened, result.Err):
            self._parts.health.on_error(attempt.engine, opened.err_value)
            return self._tracker.on_start_error(
                attempt.attempt_id, opened.err_value
            )
        self._connection = opened.ok_value
        return ()

    async def _resume(
        self, attempt: _Attempt, command: stream_tracker.Resume
    ) -> tuple[stream_tracker.Command, ...]:
        self._parts.log.emit(
            events.Event.STREAM_RESUMED,
            request_id=self._request.request_id,
            attempt=attempt.attempt_id,
            engine=attempt.engine,
            offset=command.offset,
            reason=command.detail,
        )
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._pending.clear()
        opened = await attempt.client.resume_stream(
            attempt.stream_id, command.offset
        )
        if isinstance(opened, result.Err):
            return self._tracker.on_error(attempt.attempt_id, opened.err_value)
        self._connection = opened.ok_value
        return ()

    async def _next_commands(
        self, attempt: _Attempt
    ) -> tuple[stream_tracker.Command, ...]:
        if not self._pending:
            assert self._connection is not None
            taken = await self._connection.read()
            if isinstance(taken, result.Err):
                return self._tracker.on_error(
                    attempt.attempt_id, taken.err_value
                )
            self._pending.extend(taken.ok_value)
        event = self._pending.popleft()
        commands = self._tracker.on_event(attempt.attempt_id, event)
        if isinstance(event, backend_servers.StreamAccepted) and not commands:
            self._parts.health.on_success(attempt.engine)
            self._parts.keeper.confirm(attempt.key, event.incarnation)
            self._parts.suspects.on_accepted(
                attempt.attempt_id, event.incarnation
            )
        return commands

    async def _on_lost(
        self, attempt: _Attempt, error: backend_servers.BackendError
    ) -> None:
        self._text.decode(attempt.client)
        dead = await self._is_dead(attempt, error)
        now = self._parts.timers.now()
        self._parts.log.emit(
            events.Event.ATTEMPT_FAILED,
            request_id=self._request.request_id,
            attempt=attempt.attempt_id,
            engine=attempt.engine,
            tokens=self.delivered,
            engine_died=dead,
            reason=error.kind.value,
            detail=error.detail,
        )
        self._failed.append(
            retry_policy.FailedAttempt(
                attempt.engine,
                self._tracker.incarnation or attempt.expected_incarnation,
                error,
                execution_module.infer_execution(self._tracker.evidence),
                dead,
            )
        )
        # A request that the engine never got can't have crashed it.
        if not dead or not self._tracker.evidence.sent:
            return
        # An engine that refuses connections gets no work either, but that is
        # what a crash looks like.
        planned = (
            self._parts.health.health_of(attempt.engine)
            is states.BackendServerHealth.LEAVING
        )
        for command in self._parts.suspects.on_engine_crash(
            attempt.attempt_id, planned, now
        ):
            self._parts.exchange.publish(command.record)
            self._parts.log.emit(
                events.Event.REQUEST_QUARANTINED
                if isinstance(command, crash_suspects.PublishQuarantine)
                else events.Event.REQUEST_SUSPECTED,
                request_id=self._request.request_id,
                fingerprint=str(command.record.fingerprint),
                lifetime=command.record.lifetime,
            )

    async def _is_dead(
        self, attempt: _Attempt, error: backend_servers.BackendError
    ) -> bool:
        if error.kind is backend_servers.BackendErrorKind.CONNECTION_REFUSED:
            return True
        if self._tracker.evidence.refused:
            return False
        liveness = await self._parts.incarnations.probe(
            attempt.engine,
            attempt.client,
            self._tracker.incarnation or attempt.expected_incarnation,
        )
        return liveness is engine_incarnations.Liveness.DEAD

    def _note_first_token(self, attempt: _Attempt) -> None:
        if not self._prefilling:
            return
        self._prefilling = False
        self._parts.dispatcher.on_first_token(self._request, attempt.assignment)
        if self._first_token_seen:
            return
        self._first_token_seen = True
        service = self._service
        if service is None:
            return
        self._parts.instruments.record_time_to_first_token(
            service.name,
            prompt_classes.classify(
                self._request.prompt_tokens,
                self._request.max_tokens,
                service.engine_memory_tokens,
            ),
            units.elapsed(self._arrived, self._parts.timers.now()),
        )

    def _stream_request(
        self, attempt: _Attempt, service: model.Service
    ) -> backend_servers.StreamRequest:
        request = self._request
        remaining = request.deadline.remaining(self._parts.timers.now())
        return backend_servers.StreamRequest(
            attempt.stream_id,
            attempt.attempt_id,
            self._parts.owner,
            service.model,
            request.adapter,
            request.prompt,
            units.Tokens(request.prompt_tokens + self.delivered),
            attempt.assignment.block_hashes,
            units.Tokens(request.max_tokens - self.delivered),
            attempt.assignment.priority,
            units.Milliseconds(int(remaining * 1000)),
            attempt.assignment.kv_imports,
            resume_text=self._text.text(),
            first_offset=self.delivered,
            reservation=attempt.assignment.hold,
        )
