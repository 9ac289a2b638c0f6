"""One attempt of a streaming request on the selected engines."""

from __future__ import annotations

import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import engine_tasks
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import prefill_watch
from lavendershed.forwarding import requests
from lavendershed.forwarding import reservations
from lavendershed.forwarding import stream_delivery
from lavendershed.membership import server_directory
from lavendershed.reliability import engine_losses
from lavendershed.routing import latency_model
from lavendershed.routing import placements
from lavendershed.transport import client
from lavendershed.transport import errors

# The first event is overdue after this multiple of its predicted time plus this
# margin, or after a multiple of the target latency if that is later. Callers
# leave after two seconds or four times the target.
_FIRST_EVENT_PREDICTION_FACTOR = 1.5
_FIRST_EVENT_MARGIN = units.Seconds(1.0)
# Engines prefill chunks of other prompts first, so that a long prompt may need
# this multiple of its target latency.
_FIRST_EVENT_TARGET_FACTOR = 3.0
# The next event is overdue after this multiple of the target inter-token
# latency or of the predicted iteration time if that is longer, but not before
# this minimum: engines recompute the prefill of a request that they preempted.
_STALL_FACTOR = 3.0
_MIN_EVENT_TIMEOUT = units.Seconds(1.0)
_MAX_FAILED_RESPONSE_BODY = units.Bytes(1_000_000)
# Servers send a few bytes each second to keep a connection open.
_MAX_COMMENT_BYTES = units.Bytes(65_536)


class StreamAttempt(parallel_attempts.Attempt):
    """Sends a request to engines and relays the response."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        delivery: stream_delivery.StreamDelivery,
        attempt_tracker: attempts.AttemptTracker,
        placement: placements.Placement,
        size: latency_model.RequestSize,
        target_inter_token_latency: units.Seconds,
        predict_restart: prefill_watch.RestartPrediction,
    ) -> None:
        super().__init__(context.timers, context.response_buffers)
        self._context = context
        self._admitted_request = admitted_request
        self._delivery = delivery
        self._attempts = attempt_tracker
        self._placement = placement
        self._size = size
        self._target_inter_token_latency = target_inter_token_latency
        self._prefill_watch = prefill_watch.PrefillWatch(
            context, admitted_request.request.id, placement, predict_restart
        )
        self._answer_begun = False
        self._waits_since = context.timers.now()
        self._loss_recorded = False

    @property
    def engine(self) -> server_directory.ServerEntry:
        """The engine that decodes the answer."""
        return self._placement.decode_engine

    @property
    def _engines(self) -> tuple[server_directory.ServerEntry, ...]:
        """All engines that work on the request."""
        placement = self._placement
        return (
            placement.decode_engine,
            *placement.prefill_helpers,
            *(share.holder for share in placement.shares),
        )

    def record_start(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt runs."""
        tracker.record_start(self._placement.decode_engine.id)

    def record_end(
        self,
        tracker: attempts.AttemptTracker,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        """Records that this attempt has brought no complete response."""
        tracker.record(self._placement.decode_engine, attempt_result)

    def record_close(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt was closed."""
        tracker.record_close(self._placement.decode_engine.id)

    def _record_silence(self) -> None:
        engine = self._placement.decode_engine
        self._record_loss(engine_losses.LossEvidence.NO_DATA)
        context_module.record_silence(
            self._context,
            self._admitted_request,
            engine,
            units.elapsed(self._waits_since, self._context.timers.now()),
        )

    async def _run(self) -> attempts.AttemptResult:
        placement = self._placement
        # Registered before the first await, so that no other request plans
        # with the same memory.
        tasks = engine_tasks.EngineTasks(
            self._context,
            self._admitted_request,
            placement,
            self._size,
            self._target_inter_token_latency,
        )
        reservation: reservations.Reservation | None = None
        started = True
        try:
            if placement.shares:
                reserved = await self._context.reservations.reserve(
                    placement.shares
                )
                if isinstance(reserved, result.Err):
                    started = False
                    # Otherwise the next choice takes them again.
                    for holder in reserved.err_value.unreachable:
                        self._exclude_server(
                            holder, "connect_failed", unreachable=True
                        )
                    withdrawal = attempts.withdrawal(
                        self._context, reserved.err_value.holders
                    )
                    if withdrawal is not None:
                        return withdrawal
                    return attempts.AttemptResult(
                        forwarding_states.AttemptOutcome.NO_MEMORY,
                        "engines could not reserve memory",
                        tuple(
                            engine.id for engine in reserved.err_value.holders
                        ),
                    )
                reservation = reserved.ok_value
            attempt_result = await self._connect_and_exchange(
                reservation, tasks
            )
            started = (
                attempt_result.outcome not in attempts.OUTCOMES_NOT_STARTED
            )
            return attempt_result
        finally:
            if reservation is not None:
                reservation.release()
            tasks.end(started=started)

    async def _connect_and_exchange(
        self,
        reservation: reservations.Reservation | None,
        tasks: engine_tasks.EngineTasks,
    ) -> attempts.AttemptResult:
        context = self._context
        engine = self._placement.decode_engine
        acquired = await context.connections.acquire(
            engine.address,
            new_connection=not self._admitted_request.route.idempotent,
        )
        if isinstance(acquired, result.Err):
            self._exclude_server(engine, "connect_failed", unreachable=True)
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.NOT_SENT,
                acquired.err_value.detail,
            )
        lease = acquired.ok_value
        withdrawal = attempts.withdrawal(context, self._engines)
        if withdrawal is not None:
            lease.connection.close()
            return withdrawal
        returned_to_pool = False
        try:
            attempt_result, keep_alive_timeout = await self._exchange(
                lease, reservation, tasks
            )
            if keep_alive_timeout is not None:
                returned_to_pool = True
                context.connections.release(
                    engine.address, lease.connection, keep_alive_timeout
                )
            return attempt_result
        finally:
            if not returned_to_pool:
                lease.connection.close()

    async def _exchange(
        self,
        lease: connections.ConnectionLease,
        reservation: reservations.Reservation | None,
        tasks: engine_tasks.EngineTasks,
    ) -> tuple[attempts.AttemptResult, units.Seconds | None]:
        context = self._context
        engine = self._placement.decode_engine
        connection = lease.connection
        request = requests.BackendRequest(
            self._admitted_request.request,
            engine.id,
            self._admitted_request.organisation,
            self._attempts.time_left,
            last_event_id=self._delivery.last_event_id,
            prefill_helpers=_prefill_helpers(self._placement, reservation),
            priority=(
                min(
                    self._admitted_request.priority,
                    requests.LOWEST_PRIORITY - 1,
                )
                if self._placement.urgent
                else requests.LOWEST_PRIORITY
            ),
        )
        sent_at = context.timers.now()
        self._expect_within(self._first_event_timeout())
        sent = await connection.send(
            context.backend_codec.encode(request),
            self._admitted_request.request.body,
            self._time_left,
        )
        if isinstance(sent, result.Err):
            return self._on_transport_error(engine, lease, sent.err_value), None
        head = await self._read_head(connection)
        if isinstance(head, result.Err):
            return self._on_transport_error(engine, lease, head.err_value), None
        response = context.backend_codec.decode(
            head.ok_value, self._admitted_request.request
        )
        context.view.notices.on_answer(engine, response.notices)
        if response.is_from_server:
            context_module.record_answer(context, engine)
            context.limit_observer.on_answer(engine, head.ok_value, sent_at)
        if response.kind is requests.ResponseKind.SUCCESS:
            attempt_result = await self._relay(
                lease,
                response,
                tasks,
                delimited=head.ok_value.delimits_body,
            )
            complete = (
                attempt_result.outcome
                is forwarding_states.AttemptOutcome.COMPLETE
            )
            return (
                attempt_result,
                response.reuse_period if complete else None,
            )
        body = await connection.read_body(
            self._time_left, _MAX_FAILED_RESPONSE_BODY, self._buffer
        )
        if isinstance(body, result.Err):
            return self._on_transport_error(engine, lease, body.err_value), None
        return self._on_error_response(
            engine, response, body.ok_value
        ), response.reuse_period

    async def _read_head(
        self, connection: client.ClientConnection
    ) -> result.Result[client.ResponseHead, errors.TransportError]:
        """Reads the response head, which comes with the first token."""
        reading = connection.read_head(self._time_left)
        if not self._attempts.may_try_another_engine:
            return await reading
        return await self._prefill_watch.watch(reading, self._on_slow)

    async def _relay(
        self,
        lease: connections.ConnectionLease,
        response: requests.BackendResponseHead,
        tasks: engine_tasks.EngineTasks,
        *,
        delimited: bool,
    ) -> attempts.AttemptResult:
        """Relays complete events until the stream ends.

        Bytes without the next event are no progress.
        """
        engine = self._placement.decode_engine
        splitter = event_splitter.EventSplitter()
        comments: list[event_splitter.Event] = []
        comment_bytes = 0
        while True:
            chunk = await lease.connection.read_chunk(self._time_left)
            if isinstance(chunk, result.Err):
                return self._on_transport_error(engine, lease, chunk.err_value)
            if not chunk.ok_value:
                if splitter.has_partial_event:
                    return self._on_broken_off(
                        "stream ended with an incomplete event"
                    )
                # A stream without a length ends with its connection, also if
                # the engine has crashed before its first event.
                if self._delivery.last_event_id is None or not (
                    delimited or self._answer_begun
                ):
                    return self._on_broken_off("stream ended without an event")
                self._context.health.on_success(engine.id, engine.incarnation)
                # A resumed caller that has all events gets an empty stream.
                self._delivery.start(response)
                await self._delivery.forward_comments(tuple(comments))
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.COMPLETE
                )
            context_module.record_answer(self._context, engine)
            events = splitter.feed(chunk.ok_value)
            if splitter.is_oversized:
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    f"event exceeds {event_splitter.MAX_EVENT_BYTES} bytes",
                )
            if not self._buffer.resize(splitter.buffered_bytes):
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    "memory for events is used up",
                )
            if all(event.is_comment for event in events):
                # Kept until an event follows, because a head that has been
                # sent can't be taken back if the engine fails.
                comments += events
                comment_bytes += sum(len(event.raw) for event in events)
                if comment_bytes > _MAX_COMMENT_BYTES:
                    return attempts.AttemptResult(
                        forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                        f"over {_MAX_COMMENT_BYTES} bytes of comments without "
                        "an event",
                    )
                continue
            events = (*comments, *events)
            comments.clear()
            comment_bytes = 0
            in_order = self._delivery.in_order_prefix(events)
            if in_order:
                self._on_progress()
                self._on_answer_begun()
                tasks.on_first_token()
                # A slow caller does not make an engine late.
                self._progress.suspend()
                await self._delivery.forward(engine, response, in_order)
                self._loss_recorded = False
                self._expect_within(self._next_event_timeout())
            if len(in_order) < len(events):
                context_module.record_failed_response(
                    self._context,
                    engine,
                    "event order",
                    self._admitted_request.request.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    "event ids are not consecutive",
                )

    def _on_answer_begun(self) -> None:
        if self._answer_begun:
            return
        self._answer_begun = True
        self._record_prefilled()
        self._context.crash_attribution.on_answer_begun(
            self._admitted_request.request.prompt_parts,
            self._context.timers.now(),
        )

    def _record_prefilled(self) -> None:
        """Records what the engine may hold from now on."""
        chooser = self._context.choosers.chooser(self._admitted_request.service)
        # With helpers, each engine holds a part that no other prompt asks for.
        if chooser is not None and not self._placement.prefill_helpers:
            chooser.retained_prompts.on_prefilled(
                self.engine, self._admitted_request.request.prompt_prefix
            )

    @property
    def _time_left(self) -> units.Seconds:
        """Time until the deadline of the request."""
        return units.Seconds(max(0.0, self._attempts.time_left))

    def _expect_within(self, timeout: units.Seconds) -> None:
        """Expects the next event within `timeout` seconds."""
        self._waits_since = self._context.timers.now()
        self._progress.expect_by(units.after(self._waits_since, timeout))

    def _first_event_timeout(self) -> units.Seconds:
        predicted_s = (
            self._placement.ttft_ms / 1_000 * _FIRST_EVENT_PREDICTION_FACTOR
        )
        target = self._admitted_request.route.target_latency
        return units.Seconds(
            max(
                predicted_s + _FIRST_EVENT_MARGIN,
                target * _FIRST_EVENT_TARGET_FACTOR,
            )
        )

    def _next_event_timeout(self) -> units.Seconds:
        expected_gap = max(
            self._target_inter_token_latency,
            self._placement.iteration_ms / 1_000,
        )
        return units.Seconds(
            max(_MIN_EVENT_TIMEOUT, expected_gap * _STALL_FACTOR)
        )

    def _on_broken_off(self, detail: str) -> attempts.AttemptResult:
        """Handles a stream that ended in order, but not after an event."""
        self._record_loss(engine_losses.LossEvidence.BODY_CUT)
        return attempts.AttemptResult(
            forwarding_states.AttemptOutcome.INVALID_RESPONSE, detail
        )

    def _record_loss(self, evidence: engine_losses.LossEvidence) -> None:
        if evidence is engine_losses.LossEvidence.NO_DATA:
            # Once for each silence.
            if self._loss_recorded:
                return
            self._loss_recorded = True
        context_module.record_loss(
            self._context,
            self._admitted_request,
            self._placement.decode_engine,
            evidence,
            answer_begun=self._answer_begun,
        )

    def _on_transport_error(
        self,
        engine: server_directory.ServerEntry,
        lease: connections.ConnectionLease,
        error: errors.TransportError,
    ) -> attempts.AttemptResult:
        if not error.sent:
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.NOT_SENT, error.detail
            )
        if error.kind is errors.TransportErrorKind.NO_BUFFER:
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.INVALID_RESPONSE, error.detail
            )
        if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
            self._record_loss(engine_losses.LossEvidence.NO_DATA)
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.STALLED, error.detail
            )
        if error.kind is errors.TransportErrorKind.CONNECTION_LOST:
            self._record_loss(engine_losses.LossEvidence.CONNECTION_LOST)
        if not lease.reused or self._delivery.started:
            self._exclude_server(engine, error.kind.value)
        return attempts.AttemptResult(
            forwarding_states.AttemptOutcome.LOST,
            error.detail,
            answer_begun=self._answer_begun,
        )

    def _on_error_response(
        self,
        engine: server_directory.ServerEntry,
        response: requests.BackendResponseHead,
        body: bytes,
    ) -> attempts.AttemptResult:
        detail = f"status {response.status}"
        match response.kind:
            case requests.ResponseKind.NOT_RUN:
                helper_failed = response.faulty_server not in (
                    None,
                    engine.address,
                )
                if helper_failed:
                    self._exclude_reported_server(response)
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.REFUSED,
                    detail,
                    helper_failed=helper_failed,
                )
            case requests.ResponseKind.WRONG_SERVER:
                self._exclude_server(engine, "another server has the address")
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.WRONG_SERVER, detail
                )
            case requests.ResponseKind.FAILURE:
                context_module.record_failed_response(
                    self._context,
                    engine,
                    detail,
                    self._admitted_request.request.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.SERVER_FAILURE,
                    detail,
                    response=requests.BackendResponse(response, body),
                )
            case _:
                context_module.record_failed_response(
                    self._context,
                    engine,
                    response.kind.value,
                    self._admitted_request.request.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    response.kind.value,
                )

    def _exclude_reported_server(
        self, response: requests.BackendResponseHead
    ) -> None:
        """Excludes the engine that a response reports as faulty."""
        for engine in self._context.view.directory.entries:
            if engine.address == response.faulty_server:
                self._exclude_server(
                    engine, "blamed by another engine", unreachable=True
                )

    def _exclude_server(
        self,
        engine: server_directory.ServerEntry,
        reason: str,
        *,
        unreachable: bool = False,
    ) -> None:
        context_module.exclude_failed_server(
            self._context,
            engine,
            reason,
            self._admitted_request.request.id,
            unreachable=unreachable,
        )


def _prefill_helpers(
    placement: placements.Placement,
    reservation: reservations.Reservation | None,
) -> tuple[tuple[addresses.Address, str | None], ...]:
    """Returns the address and any reservation id of each prefill engine."""
    reserved_engines = () if reservation is None else reservation.holders
    # Engines fill the reserved memory in this order, so the share of the
    # decode engine is first.
    holders = sorted(
        reserved_engines,
        key=lambda engine: engine is not placement.decode_engine,
    )
    holder_ids = {engine.id for engine in holders}
    reservation_id = None if reservation is None else reservation.id
    return (
        *((engine.address, reservation_id) for engine in holders),
        *(
            (engine.address, None)
            for engine in placement.prefill_helpers
            if engine.id not in holder_ids
        ),
    )
