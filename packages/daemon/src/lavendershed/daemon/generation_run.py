"""Attempts of one generate request, with failover between engines."""

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
from lavendershed.daemon import generation_components
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import execution as execution_module
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import retry_policy
from lavendershed.reliability import stream_tracker
from lavendershed.routing import prompt_classes
from lavendershed.telemetry import events
from lavendershed.transport import event_loop_timers

# How long a request waits for an engine to restart when every engine that it
# may still use has died.
_ENGINE_RESTART_TIMEOUT = units.Seconds(15.0)
_ENGINE_RESTART_POLL_INTERVAL = units.Seconds(0.25)


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """The attempt has delivered the complete response."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    """The attempt has failed; another attempt may continue the response."""

    error: backend_servers.BackendError


@dataclasses.dataclass(frozen=True, slots=True)
class _Stopped:
    """The request has failed; no further attempt can complete it."""

    reason: states.FailureReason
    detail: str


_AttemptResult = _Finished | _Failed | _Stopped


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
    """Runs attempts sequentially until the response is complete.

    At most one attempt is active at any time. An attempt that ends without a
    complete response or a refusal leaves an entry in the memory ledger; the
    allocation manager releases its engine memory.
    """

    def __init__(
        self,
        components: generation_components.GenerationComponents,
        request: requests.GenerateRequest,
        sink: requests.ResponseSink,
        fingerprint: ids.Fingerprint,
    ) -> None:
        self._components = components
        self._request = request
        self._sink = sink
        self._fingerprint = fingerprint
        self._arrived_at = components.timers.now()
        self._tracker = stream_tracker.StreamTracker()
        self._delivered_text = delivered_text.DeliveredText()
        self._failed_attempts: list[retry_policy.FailedAttempt] = []
        self._attempt_count = 0
        self._engine_stream: backend_servers.EngineStream | None = None
        self._pending_events: collections.deque[backend_servers.StreamEvent] = (
            collections.deque()
        )
        self._exclusive = False
        self._prompt_sent = False
        self._prefilling = False
        self._first_token_delivered = False

    @property
    def attempt_count(self) -> int:
        """Number of attempts started so far."""
        return self._attempt_count

    @property
    def delivered_tokens(self) -> int:
        """Number of tokens delivered to the caller so far."""
        return self._tracker.delivered_tokens

    def interruption_failure(
        self, caller_disconnected: bool
    ) -> outcomes.RequestFailure:
        """Returns the failure of a cancelled run.

        Args:
            caller_disconnected: Whether the caller closed its connection; if
                not, the deadline has passed.
        """
        if caller_disconnected:
            return outcomes.RequestFailure(
                states.FailureReason.CALLER_DISCONNECTED,
                self._execution,
                "the caller closed its connection",
            )
        return outcomes.RequestFailure(
            states.FailureReason.DEADLINE_EXCEEDED,
            self._execution,
            "the deadline passed before the response was complete; "
            f"{self.delivered_tokens} tokens were delivered",
        )

    async def execute(self) -> result.Result[None, outcomes.RequestFailure]:
        """Runs attempts until the request ends.

        The deadline is not enforced here: the caller cancels this method.
        """
        excluded: frozenset[ids.BackendServerId] = frozenset()
        while True:
            acquired = await self._acquire(excluded)
            if isinstance(acquired, result.Err):
                return result.Err(self._with_execution(acquired.err_value))
            try:
                attempt_result = await self._run_attempt(acquired.ok_value)
            finally:
                self._components.dispatcher.release(
                    self._request, acquired.ok_value
                )
            if isinstance(attempt_result, _Finished):
                return result.Ok(None)
            if isinstance(attempt_result, _Stopped):
                return self._failure(
                    attempt_result.reason, attempt_result.detail
                )
            if self.delivered_tokens >= self._request.max_tokens:
                # All tokens were delivered and only the end event was lost.
                await self._sink.end(
                    self._request.max_tokens, states.FinishReason.LENGTH
                )
                return result.Ok(None)
            if not self._delivered_text.complete:
                return self._failure(
                    states.FailureReason.BACKEND_SERVER_FAILED,
                    f"{attempt_result.error.detail}; the response is too long "
                    "to be continued on another engine",
                )
            decision = self._components.retry_policy.on_attempt_failed(
                self._failed_attempts,
                self._request.deadline,
                idempotent=True,
                now=self._components.timers.now(),
            )
            if isinstance(decision, retry_policy.FailRequest):
                return result.Err(decision.failure)
            await event_loop_timers.sleep_until(
                self._components.timers, decision.retry_at
            )
            excluded = decision.avoided_engines

    @property
    def _service(self) -> model.Service | None:
        services = self._components.configuration.current.services
        return services.get(self._request.service)

    @property
    def _execution(self) -> states.Execution:
        return execution_module.combine_executions(
            [
                *(attempt.execution for attempt in self._failed_attempts),
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
        # The dispatcher's refusal covers only the attempt that it refused;
        # earlier attempts may have run.
        return dataclasses.replace(refusal, execution=self._execution)

    async def _acquire(
        self, excluded: frozenset[ids.BackendServerId]
    ) -> result.Result[dispatcher_module.Assignment, outcomes.RequestFailure]:
        give_up_at = units.after(
            self._components.timers.now(), _ENGINE_RESTART_TIMEOUT
        )
        while True:
            suspect_check = self._check_suspect()
            if isinstance(suspect_check, result.Err):
                return suspect_check
            self._exclusive = suspect_check.ok_value
            acquired = await self._components.dispatcher.acquire(
                self._request,
                dispatcher_module.Constraints(
                    excluded, self._exclusive, self._mark_prompt_sent
                ),
            )
            if isinstance(acquired, result.Ok):
                if self._check_suspect() == suspect_check:
                    return acquired
                # The request became a crash suspect while it was queued.
                self._components.dispatcher.release(
                    self._request, acquired.ok_value
                )
                continue
            if (
                not self._failed_attempts
                or acquired.err_value.reason
                is not states.FailureReason.NO_BACKEND_SERVER
                or self._components.timers.now() >= give_up_at
            ):
                return acquired
            dead_engines = retry_policy.dead_engines(
                self._failed_attempts, self._components.incarnations.latest
            )
            if dead_engines == excluded:
                await event_loop_timers.sleep(
                    self._components.timers, _ENGINE_RESTART_POLL_INTERVAL
                )
                await self._probe_engines(dead_engines)
            excluded = dead_engines

    def _mark_prompt_sent(self) -> None:
        self._prompt_sent = True

    def _check_suspect(self) -> result.Result[bool, outcomes.RequestFailure]:
        """Returns whether to run the request exclusively, or a refusal."""
        now = self._components.timers.now()
        suspects = self._components.suspects
        verdict = suspects.verdict(self._fingerprint, now)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.QUARANTINED,
                    "this request has crashed two engines and is quarantined "
                    "for some time; change the prompt before sending it again",
                    suspects.quarantine_remaining(self._fingerprint, now),
                )
            )
        return result.Ok(verdict is crash_suspects.Verdict.EXCLUSIVE)

    async def _probe_engines(
        self, engines: frozenset[ids.BackendServerId]
    ) -> None:
        for name in engines:
            client = self._components.directory.engine(name)
            if client is not None:
                await self._components.incarnations.probe(name, client, None)

    async def _run_attempt(
        self, assignment: dispatcher_module.Assignment
    ) -> _AttemptResult:
        client = self._components.directory.engine(assignment.engine)
        service = self._service
        if client is None or service is None:
            return self._record_unsent_attempt(
                assignment, "removed from the configuration"
            )
        attempt = _Attempt(
            ids.AttemptId(uuid.uuid4().hex),
            assignment,
            client,
            memory_ledger.AllocationKey(
                assignment.engine,
                backend_servers.AllocationKind.STREAM,
                uuid.uuid4().hex,
            ),
            self._components.incarnations.latest.get(assignment.engine),
        )
        registered = self._components.allocation_manager.register(
            attempt.key, client, attempt.attempt_id
        )
        if isinstance(registered, result.Err):
            return _Stopped(
                states.FailureReason.QUEUE_FULL,
                "the memory ledger of this router is full of unreleased engine "
                "allocations; send the request again later",
            )
        self._attempt_count += 1
        self._prefilling = True
        self._tracker.on_attempt_started(attempt.attempt_id)
        self._components.suspects.on_attempt_started(
            attempt.attempt_id,
            self._fingerprint,
            attempt.engine,
            self._exclusive,
        )
        outcome = "interrupted"
        try:
            attempt_result = await self._relay_stream(
                attempt, self._stream_request(attempt, service)
            )
            if isinstance(attempt_result, _Failed):
                outcome = attempt_result.error.kind.value
                await self._on_attempt_failed(attempt, attempt_result.error)
            else:
                # The metric label follows the class names.
                outcome = type(attempt_result).__name__.strip("_").lower()
            return attempt_result
        finally:
            self._finalize_attempt(attempt)
            self._components.instruments.count_attempt(
                self._request.service, outcome
            )

    def _record_unsent_attempt(
        self, assignment: dispatcher_module.Assignment, detail: str
    ) -> _Failed:
        error = backend_servers.BackendError(
            backend_servers.BackendErrorKind.CONNECTION_REFUSED,
            False,
            f"{assignment.engine}: {detail}",
        )
        self._failed_attempts.append(
            retry_policy.FailedAttempt(
                assignment.engine, None, error, states.Execution.NOT_RUN
            )
        )
        return _Failed(error)

    def _finalize_attempt(self, attempt: _Attempt) -> None:
        """Closes the stream and settles the ledger entry and suspect record."""
        if self._engine_stream is not None:
            self._engine_stream.close()
            self._engine_stream = None
        self._pending_events.clear()
        evidence = self._tracker.evidence
        if evidence.completed:
            # The engine frees the KV memory of a stream with its last token.
            self._components.allocation_manager.mark_freed(attempt.key)
            self._components.suspects.on_completed(attempt.attempt_id)
            return
        if (
            execution_module.infer_execution(evidence)
            is states.Execution.NOT_RUN
        ):
            self._components.allocation_manager.mark_freed(attempt.key)
        else:
            self._components.allocation_manager.start_release(attempt.key)
        self._components.suspects.on_attempt_ended(attempt.attempt_id)

    async def _relay_stream(
        self, attempt: _Attempt, request: backend_servers.StreamRequest
    ) -> _AttemptResult:
        commands = await self._start_stream(attempt, request)
        while True:
            for command in commands:
                if isinstance(command, stream_tracker.Deliver):
                    self._delivered_text.add(command.events, attempt.client)
                    self._on_first_token(attempt)
                    if not await self._sink.deliver(command.events):
                        return _Stopped(
                            states.FailureReason.CALLER_DISCONNECTED,
                            "the caller closed its connection",
                        )
                elif isinstance(command, stream_tracker.Finish):
                    await self._sink.end(command.token_count, command.reason)
                    return _Finished()
                elif isinstance(command, stream_tracker.Resume):
                    commands = await self._resume_stream(attempt, command)
                    break
                elif isinstance(command, stream_tracker.FailOver):
                    return _Failed(command.error)
                else:
                    return _Stopped(
                        states.FailureReason.BACKEND_SERVER_FAILED,
                        command.error.detail,
                    )
            else:
                commands = await self._next_commands(attempt)

    async def _start_stream(
        self, attempt: _Attempt, request: backend_servers.StreamRequest
    ) -> tuple[stream_tracker.Command, ...]:
        self._components.health.on_request_sent(attempt.engine)
        opened = await attempt.client.start_stream(request)
        if isinstance(opened, result.Err):
            self._components.health.on_error(attempt.engine, opened.err_value)
            return self._tracker.on_start_error(
                attempt.attempt_id, opened.err_value
            )
        self._engine_stream = opened.ok_value
        return ()

    async def _resume_stream(
        self, attempt: _Attempt, command: stream_tracker.Resume
    ) -> tuple[stream_tracker.Command, ...]:
        self._components.log.emit(
            events.Event.STREAM_RESUMED,
            request_id=self._request.request_id,
            attempt=attempt.attempt_id,
            engine=attempt.engine,
            offset=command.offset,
            reason=command.detail,
        )
        if self._engine_stream is not None:
            self._engine_stream.close()
            self._engine_stream = None
        self._pending_events.clear()
        opened = await attempt.client.resume_stream(
            attempt.stream_id, command.offset
        )
        if isinstance(opened, result.Err):
            return self._tracker.on_error(attempt.attempt_id, opened.err_value)
        self._engine_stream = opened.ok_value
        return ()

    async def _next_commands(
        self, attempt: _Attempt
    ) -> tuple[stream_tracker.Command, ...]:
        if not self._pending_events:
            assert self._engine_stream is not None
            received = await self._engine_stream.read()
            if isinstance(received, result.Err):
                return self._tracker.on_error(
                    attempt.attempt_id, received.err_value
                )
            self._pending_events.extend(received.ok_value)
        event = self._pending_events.popleft()
        commands = self._tracker.on_event(attempt.attempt_id, event)
        if isinstance(event, backend_servers.StreamAccepted) and not commands:
            self._components.health.on_success(attempt.engine)
            self._components.allocation_manager.confirm(
                attempt.key, event.incarnation
            )
            self._components.suspects.on_accepted(
                attempt.attempt_id, event.incarnation
            )
        return commands

    async def _on_attempt_failed(
        self, attempt: _Attempt, error: backend_servers.BackendError
    ) -> None:
        self._delivered_text.decode(attempt.client)
        engine_died = await self._is_dead(attempt, error)
        now = self._components.timers.now()
        self._components.log.emit(
            events.Event.ATTEMPT_FAILED,
            request_id=self._request.request_id,
            attempt=attempt.attempt_id,
            engine=attempt.engine,
            tokens=self.delivered_tokens,
            engine_died=engine_died,
            reason=error.kind.value,
            detail=error.detail,
        )
        self._failed_attempts.append(
            retry_policy.FailedAttempt(
                attempt.engine,
                self._tracker.incarnation or attempt.expected_incarnation,
                error,
                execution_module.infer_execution(self._tracker.evidence),
                engine_died,
            )
        )
        # A request that was not sent to the engine can't have crashed it.
        if not engine_died or not self._tracker.evidence.sent:
            return
        # Only LEAVING marks a planned stop. DOWN doesn't: an engine that has
        # crashed refuses connections and is DOWN as well.
        is_leaving = (
            self._components.health.health_of(attempt.engine)
            is states.BackendServerHealth.LEAVING
        )
        for command in self._components.suspects.on_engine_crash(
            attempt.attempt_id, is_leaving, now
        ):
            self._components.exchange.publish(command.record)
            self._components.log.emit(
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
        liveness = await self._components.incarnations.probe(
            attempt.engine,
            attempt.client,
            self._tracker.incarnation or attempt.expected_incarnation,
        )
        return liveness is engine_incarnations.Liveness.DEAD

    def _on_first_token(self, attempt: _Attempt) -> None:
        if not self._prefilling:
            return
        self._prefilling = False
        self._components.dispatcher.on_first_token(
            self._request, attempt.assignment
        )
        if self._first_token_delivered:
            return
        self._first_token_delivered = True
        service = self._service
        if service is None:
            return
        self._components.instruments.record_time_to_first_token(
            service.name,
            prompt_classes.classify(
                self._request.prompt_tokens,
                self._request.max_tokens,
                service.engine_memory_tokens,
            ),
            units.elapsed(self._arrived_at, self._components.timers.now()),
        )

    def _stream_request(
        self, attempt: _Attempt, service: model.Service
    ) -> backend_servers.StreamRequest:
        request = self._request
        remaining = request.deadline.remaining(self._components.timers.now())
        return backend_servers.StreamRequest(
            attempt.stream_id,
            attempt.attempt_id,
            self._components.owner,
            service.model,
            request.adapter,
            request.prompt,
            units.Tokens(request.prompt_tokens + self.delivered_tokens),
            attempt.assignment.block_hashes,
            units.Tokens(request.max_tokens - self.delivered_tokens),
            attempt.assignment.priority,
            units.Milliseconds(int(remaining * 1000)),
            attempt.assignment.kv_imports,
            resume_text=self._delivered_text.text(),
            first_offset=self.delivered_tokens,
            reservation=attempt.assignment.reservation,
        )
