"""Execution of a request whose response is an event stream."""

from __future__ import annotations

import dataclasses

from lavendershed.admission import return_schedule
from lavendershed.admission import waiting_request
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import relayed_attempt
from lavendershed.forwarding import request_execution
from lavendershed.forwarding import stream_attempt
from lavendershed.forwarding import stream_delivery
from lavendershed.forwarding import waiting_room
from lavendershed.membership import server_directory
from lavendershed.routing import engine_choice
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.routing import placements
from lavendershed.telemetry import events
from lavendershed.transport import handlers

# Assumed for a request that states no size: a short prompt and output.
_DEFAULT_REQUEST_SIZE = latency_model.RequestSize(
    units.Tokens(1_000), units.Tokens(1_000)
)
# Target inter-token latency of a route that states none.
_DEFAULT_INTER_TOKEN_LATENCY = units.Seconds(0.5)
# Engines that deny a permit are left out of the next choice. Each of them costs
# a message to another daemon and some milliseconds, so that after the first
# number only engines without a limit are chosen as long as there are any.
_MAX_DENIALS_BEFORE_UNLIMITED = 3
_MAX_DENIALS = 12


class StreamExecution(request_execution.RequestExecution):
    """Execution of one streaming request; all attempts share a response."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        super().__init__(context, admitted_request, responder)
        self._size = (
            admitted_request.request.request_size or _DEFAULT_REQUEST_SIZE
        )
        self._target_inter_token_latency = (
            admitted_request.route.target_inter_token_latency
            or _DEFAULT_INTER_TOKEN_LATENCY
        )
        self._delivery = stream_delivery.StreamDelivery(
            context, admitted_request, responder
        )
        self._predicted_ms = 0.0
        self._created_at = context.timers.now()
        # Most engines that an attempt was placed among.
        self._most_candidates = 1

    async def _select_attempt(
        self,
    ) -> parallel_attempts.Attempt | outcomes.RequestFailure | None:
        placement = await self._select_placement()
        if placement is None:
            if self._running.is_empty:
                return await self._wait_for_capacity()
            return self._attempts.build_failure(
                states.FailureReason.NO_BACKEND_SERVER,
                "no engine can take another attempt",
            )
        self._on_placed(placement)
        return stream_attempt.StreamAttempt(
            self._context,
            self._admitted_request,
            self._delivery,
            self._attempts,
            placement,
            self._size,
            self._target_inter_token_latency,
            self._predict_restart_ms,
        )

    def _new_relayed_attempt(
        self, peer: addresses.Address
    ) -> parallel_attempts.Attempt:
        return relayed_attempt.RelayedAttempt(
            self._context,
            self._admitted_request,
            self._attempts,
            peer,
            self._delivery,
        )

    async def _on_attempt_failed(
        self, attempt_result: attempts.AttemptResult
    ) -> outcomes.RequestFailure | None:
        if (
            attempt_result.outcome
            is not forwarding_states.AttemptOutcome.NO_MEMORY
        ):
            return None
        if self._waits_for_retries:
            # Each end of another task would have it ask the engines again, as
            # long as its caller waits.
            await self._wait_for_retry()
            return None
        return await self._wait_for_capacity()

    @property
    def _waits_for_retries(self) -> bool:
        # The caller can't send the rest of a stream to another daemon.
        return self._has_begun

    @property
    def _has_begun(self) -> bool:
        """Whether the caller has a part of the response."""
        return self._responder.started or self._admitted_request.begun

    @property
    def _has_server_beside(self) -> bool:
        return self._context.relay.is_cut_off or bool(self._candidates)

    async def _wait_for_capacity(self) -> outcomes.RequestFailure | None:
        """Waits until engines may have capacity for the request.

        Returns:
            Why the request has to end, or None if it may look for engines
            again.
        """
        context = self._context
        service = self._admitted_request.service
        chooser = context.choosers.chooser(service)
        candidates = self._candidates
        if chooser is not None and self._has_begun:
            return await self._wait_to_resume(chooser)
        if chooser is None or not candidates:
            return self._attempts.build_failure(
                states.FailureReason.NO_BACKEND_SERVER,
                f"service {service.id} has no engine",
            )
        waiting = self._waiting_request(chooser, len(candidates))
        now = context.timers.now()
        if not chooser.fits(self._size, len(candidates)):
            return self._reject(
                chooser, candidates, "too large for its engines"
            )
        if not waiting.can_meet_deadline(now):
            return self._reject(chooser, candidates, "can't end in time")
        if now >= waiting.due_at:
            return self._reject(
                chooser, candidates, "found no capacity in time"
            )
        permit_wait = context.permits.wait_time(
            candidates, self._attempts.failed_servers
        )
        if units.after(now, permit_wait) >= waiting.due_at:
            return self._reject(
                chooser, candidates, "exceeds the limits of its engines"
            )
        outcome = await context.waiting_room.wait(
            service.id,
            waiting,
            committed=False,
            recheck_after=permit_wait,
        )
        if outcome is waiting_room.WaitOutcome.STOPPING:
            return self._stopping_failure()
        if outcome is waiting_room.WaitOutcome.DROPPED:
            return self._reject(chooser, candidates, "waits behind too many")
        return None

    async def _wait_to_resume(
        self, chooser: engine_choice.PredictedLossChooser
    ) -> outcomes.RequestFailure | None:
        """Waits until engines may have capacity for the rest of a stream.

        Its caller has events and can't be told to return later, so that only
        the deadline ends the wait. Engines that leave are replaced within
        seconds, and limits end; what has to be known for certain is compared
        with the engines that there were.
        """
        context = self._context
        service = self._admitted_request.service
        candidates = self._candidates
        engine_count = max(len(candidates), self._most_candidates)
        waiting = self._waiting_request(chooser, engine_count)
        if not chooser.fits(self._size, engine_count):
            return self._attempts.build_failure(
                states.FailureReason.NO_BACKEND_SERVER,
                f"prompt of {self._size.prompt_tokens} tokens is too large for "
                "its engines",
            )
        if not waiting.can_meet_deadline(context.timers.now()):
            return self._attempts.build_failure(
                states.FailureReason.DEADLINE_EXCEEDED,
                f"prompt of {self._size.prompt_tokens} tokens can't be read "
                "again in time",
            )
        permit_wait = context.permits.wait_time(
            candidates, self._attempts.failed_servers
        )
        outcome = await context.waiting_room.wait(
            service.id,
            waiting,
            committed=self._responder.started,
            recheck_after=min(
                permit_wait or self._attempts.time_left,
                self._attempts.time_left,
            ),
        )
        if outcome is waiting_room.WaitOutcome.STOPPING:
            return self._stopping_failure()
        return None

    def _stopping_failure(self) -> outcomes.RequestFailure:
        return self._attempts.build_failure(
            states.FailureReason.STOPPING,
            "daemon is shutting down; retry on another daemon",
            waiting_room.STOPPING_RETRY_AFTER,
        )

    def _waiting_request(
        self, chooser: engine_choice.PredictedLossChooser, engine_count: int
    ) -> waiting_request.WaitingRequest:
        admitted_request = self._admitted_request
        event_gap: units.Seconds | None = None
        if self._has_begun:
            event_gap = self._target_inter_token_latency
        return waiting_request.WaitingRequest(
            admitted_request.request.id,
            admitted_request.organisation,
            chooser.utility(self._size),
            chooser.engine_time(self._size),
            chooser.shortest_time(self._size, engine_count),
            admitted_request.received_at,
            self._next_event_due_at,
            admitted_request.deadline,
            units.Bytes(len(admitted_request.request.body)),
            admitted_request.priority,
            event_gap,
        )

    @property
    def _next_event_due_at(self) -> units.Instant:
        """When the next event is due.

        That of a resumed stream is due within the target inter-token latency,
        like any other event.
        """
        if self._has_begun:
            return units.after(
                max(self._delivery.last_event_at, self._created_at),
                self._target_inter_token_latency,
            )
        return units.after(
            self._admitted_request.received_at,
            self._admitted_request.route.target_latency,
        )

    def _reject(
        self,
        chooser: engine_choice.PredictedLossChooser,
        candidates: tuple[server_directory.ServerEntry, ...],
        cause: str,
    ) -> outcomes.RequestFailure:
        """Returns a rejection with the time at which a return can be served."""
        context = self._context
        service = self._admitted_request.service
        now = context.timers.now()
        waiting_time = context.waiting_room.backlog(service.id)
        retry_after = None
        if chooser.fits(self._size, len(candidates)):
            retry_after = context.return_schedule.issue(
                chooser.engine_time(self._size),
                return_schedule.Capacity(
                    len(candidates),
                    context.retry_budget.daemon_count,
                    units.Seconds(
                        max(
                            chooser.backlog(candidates, now)
                            + waiting_time / len(candidates),
                            context.permits.wait_time(
                                candidates, self._attempts.failed_servers
                            ),
                        )
                    ),
                    context.view.notices.pause_time(candidates),
                ),
                self._attempts.time_left,
                now,
            )
        if retry_after is not None:
            context.instruments.record_return(service.id, retry_after)
        return self._attempts.build_failure(
            states.FailureReason.NO_BACKEND_SERVER,
            f"prompt of {self._size.prompt_tokens} tokens {cause}",
            retry_after,
            is_scheduled=True,
        )

    async def _select_placement(self) -> placements.Placement | None:
        """Returns the engines for the next attempt."""
        for denials in range(_MAX_DENIALS):
            placement = None
            if denials >= _MAX_DENIALS_BEFORE_UNLIMITED:
                placement = self._choose_placement(unlimited_only=True)
            placement = placement or self._choose_placement()
            if placement is None:
                return None
            denied = await self._context.permits.acquire(
                (placement.decode_engine, *placement.prefill_helpers)
            )
            permitted = placement.without(denied)
            if permitted is not None:
                return permitted
        return None

    def _choose_placement(
        self, *, unlimited_only: bool = False
    ) -> placements.Placement | None:
        without_memory = self._attempts.servers_without_memory
        placement = self._choose_engines(
            self._attempts.failed_servers,
            without_memory,
            unlimited_only=unlimited_only,
        )
        if placement is None and without_memory:
            placement = self._choose_engines(
                self._attempts.failed_servers, unlimited_only=unlimited_only
            )
        return placement

    def _on_placed(self, placement: placements.Placement) -> None:
        context = self._context
        candidates = self._candidates
        self._most_candidates = max(self._most_candidates, len(candidates))
        now = context.timers.now()
        context.waiting_room.on_placed(
            self._admitted_request.organisation,
            units.Seconds(placement.prefill_ms / 1_000),
        )
        self._predicted_ms = placement.ttft_ms
        context.log.emit(
            events.Event.REQUEST_DISPATCHED,
            request=self._admitted_request.request.id,
            route=self._admitted_request.route.name,
            server=placement.decode_engine.id,
            helpers=[engine.id for engine in placement.prefill_helpers],
            prompt=self._size.prompt_tokens,
            answer=self._size.max_output_tokens,
            predicted_ms=round(placement.ttft_ms, 1),
            loss=round(placement.loss, 3),
            urgent=placement.urgent,
            candidates=len(candidates),
            avoided=len(
                context_module.avoided_servers(
                    context, candidates, self._attempts.failed_servers
                )
            ),
            attempt=self._attempts.count + 1,
            version=context.view.version,
            version_age_ms=context.version_age_ms,
            servers=context.view.directory.revision.number,
            load_age_ms=round(context.load_tracker.age(now) * 1_000),
            **context.limit_observer.log_fields(placement.decode_engine),
            **context.permits.log_fields(placement.decode_engine),
        )

    def _predict_restart_ms(self, current: ids.BackendServerId) -> float | None:
        """Returns the predicted time to first token without an engine."""
        placement = self._choose_engines(
            self._attempts.failed_servers | {current}
        )
        return None if placement is None else placement.ttft_ms

    @property
    def _candidates(self) -> tuple[server_directory.ServerEntry, ...]:
        return context_module.servers_beside(
            self._context,
            self._context.view.servers_accepting_work(
                self._admitted_request.service.id
            ),
            self._attempts.open_servers,
        )

    def _choose_engines(
        self,
        failed_servers: frozenset[ids.BackendServerId],
        without_memory: frozenset[ids.BackendServerId] = frozenset(),
        *,
        unlimited_only: bool = False,
    ) -> placements.Placement | None:
        context = self._context
        chooser = context.choosers.chooser(self._admitted_request.service)
        if chooser is None:
            return None
        candidates = context.permits.candidates(
            self._candidates, failed_servers
        )
        limited = frozenset(
            engine.id
            for engine in candidates
            if context.permits.is_limited(engine)
        )
        if unlimited_only:
            candidates = tuple(e for e in candidates if e.id not in limited)
        avoided = context_module.avoided_servers(
            context, candidates, failed_servers
        )
        if context.crash_attribution.is_suspected(
            self._admitted_request.crash_suspects
        ):
            # Another crash harms no other request at an idle engine.
            avoided |= self._busy_engines(candidates)
        demand = placements.Demand(
            self._size,
            self._next_event_due_at,
            self._admitted_request.deadline,
            self._target_inter_token_latency,
            context.zone,
            units.Bytes(len(self._admitted_request.request.body)),
            self._attempts.retryable_servers
            if self._attempts.new_servers_exhausted
            else frozenset(),
            limited,
            self._attractive_prefix(),
        )
        now = context.timers.now()
        placement = chooser.choose(
            demand, candidates, avoided | without_memory, now
        )
        if placement is None and demand.excluded_helpers:
            # A prompt may need the memory of more engines than have no limit.
            demand = dataclasses.replace(demand, excluded_helpers=frozenset())
            placement = chooser.choose(
                demand, candidates, avoided | without_memory, now
            )
        return placement

    def _attractive_prefix(self) -> held_prompts.PromptPrefix:
        """Returns the beginning of the prompt, if no crash is laid to it."""
        suspects = self._admitted_request.crash_suspects
        if self._context.crash_attribution.was_in_crash(suspects):
            return held_prompts.NO_PREFIX
        return self._admitted_request.request.prompt_prefix

    def _busy_engines(
        self, candidates: tuple[server_directory.ServerEntry, ...]
    ) -> frozenset[ids.BackendServerId]:
        tracker = self._context.load_tracker
        return frozenset(
            engine.id
            for engine in candidates
            if tracker.load(engine.id).requests
        )

    async def _complete(
        self,
        attempt: parallel_attempts.Attempt,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        if attempt_result.response is not None:
            # The whole answer of a peer.
            await self._responder.respond(
                attempt_result.response.head.status,
                attempt_result.response.body,
                attempt_result.response.head.headers,
            )
            return
        if isinstance(attempt, stream_attempt.StreamAttempt):
            self._record_completion(attempt.engine)
        await self._responder.finish()

    def _record_completion(self, engine: server_directory.ServerEntry) -> None:
        context = self._context
        # Parts of the prompt are cleared by the first event already.
        context.crash_attribution.on_cleared(
            self._admitted_request.crash_suspects
            - self._admitted_request.request.prompt_parts,
            context.timers.now(),
        )
        received_at = self._admitted_request.received_at
        first_event_at = self._delivery.first_event_at
        seconds = units.elapsed(received_at, context.timers.now())
        context.instruments.record_duration(
            self._admitted_request.route.kind.value, "complete", seconds
        )
        context.log.emit(
            events.Event.REQUEST_FINISHED,
            request=self._admitted_request.request.id,
            server=engine.id,
            attempts=self._attempts.count + 1,
            first_ms=round((first_event_at - received_at) * 1_000)
            if first_event_at
            else None,
            predicted_ms=round(self._predicted_ms),
            pause_ms=round(self._delivery.longest_event_gap * 1_000),
            after_pause_ms=None
            if (gap := self._delivery.gap_after_longest) is None
            else round(gap * 1_000),
            local=engine.availability_zone == context.zone,
            seconds=round(seconds, 3),
        )

    async def _finish_failed(self, failure: outcomes.RequestFailure) -> None:
        if self._responder.started:
            context_module.log_failure(
                self._context, self._admitted_request, failure
            )
            # Without the final chunk the caller detects the truncation.
            self._responder.abort()
            return
        if self._failed_response is None:
            await self._fail(failure)
            return
        context_module.log_failure(
            self._context, self._admitted_request, failure
        )
        await self._responder.respond(
            self._failed_response.head.status,
            self._failed_response.body,
            self._failed_response.head.headers,
        )
