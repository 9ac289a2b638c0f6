"""One attempt of a streaming request at chosen engines."""

from __future__ import annotations

import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import requests
from lavendershed.forwarding import reservations
from lavendershed.forwarding import stream_delivery
from lavendershed.membership import server_directory
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import placements
from lavendershed.transport import errors

# A first event is overdue after this multiple of its predicted time and this
# margin; a caller gives up after two seconds or four times the target.
_FIRST_EVENT_FACTOR = 1.5
_FIRST_EVENT_MARGIN = units.Seconds(1.0)
# Engines read parts of other prompts first, so that a long prompt may need
# this multiple of its target latency. Callers wait for four times the target.
_FIRST_EVENT_TARGETS = 3.0
# A running stream has stalled after this multiple of the longest pause on
# time, and not before this time: engines read a request again that they had
# to put aside.
_STALL_FACTOR = 3.0
_SHORTEST_STALL = units.Seconds(1.0)
# Reports carry 31 bits of the fingerprint to tell requests apart.
_REQUEST_NUMBER_MASK = 0x7FFF_FFFF
_MAX_FAILED_ANSWER = units.Bytes(1_000_000)


class StreamAttempt:
    """Sends a request to engines and passes on what they answer."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted: context_module.Admitted,
        delivery: stream_delivery.StreamDelivery,
        record: attempts.AttemptRecord,
        placement: placements.Placement,
        size: latency_model.RequestSize,
        pause: units.Seconds,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._delivery = delivery
        self._attempts = record
        self._placement = placement
        self._size = size
        self._pause = pause
        self._failed_answer: requests.WholeAnswer | None = None

    @property
    def failed_answer(self) -> requests.WholeAnswer | None:
        """The engine's own failure, if that is how the attempt ended."""
        return self._failed_answer

    async def run(self) -> attempts.AttemptResult:
        """Sends the request once; returns how that ended."""
        placement = self._placement
        # On the board before the first wait, so that no other request counts
        # on the same memory.
        numbers = self._place()
        held: reservations.Reservation | None = None
        try:
            if placement.shares:
                reserved = await self._context.reservations.reserve(
                    placement.shares
                )
                if isinstance(reserved, result.Err):
                    return attempts.AttemptResult(
                        forwarding_states.AttemptOutcome.NO_MEMORY,
                        "engines have no memory to reserve",
                        tuple(entry.id for entry in reserved.err_value),
                    )
                held = reserved.ok_value
            return await self._connect(held, numbers)
        finally:
            if held is not None:
                held.release()
            now = self._context.timers.now()
            for number in numbers:
                self._context.board.cancel(number, now)

    def _place(self) -> list[int]:
        """Adds the work to the board; the first number is the writer's."""
        placement = self._placement
        held = {share.holder.id: share.tokens for share in placement.shares}
        if not held:
            held = {placement.decode_engine.id: self._size.kv_tokens}
        now = self._context.timers.now()
        chooser = self._context.choosers.chooser(self._admitted.service)
        utility = chooser.utility(self._size) if chooser is not None else 0.0
        due_at = units.after(
            self._admitted.received, self._admitted.route.target_latency
        )
        ready_at = units.after(now, units.Seconds(placement.ttft_ms / 1_000))
        ends_at = units.after(
            ready_at, units.Seconds(placement.decode_ms / 1_000)
        )
        return [
            self._context.board.add(
                load_tracker.EngineTask(
                    self._admitted.fingerprint & _REQUEST_NUMBER_MASK,
                    entry.id,
                    forwarding_states.InferencePhase.PREFILL,
                    placement.shard_prefill_ms,
                    ready_at,
                    ends_at,
                    held.get(entry.id, 0),
                    held.get(entry.id, 0),
                    self._pause,
                    due_at,
                    utility,
                    placement.urgent,
                )
            )
            for entry in (placement.decode_engine, *placement.prefill_helpers)
        ]

    async def _connect(
        self,
        held: reservations.Reservation | None,
        numbers: list[int],
    ) -> attempts.AttemptResult:
        context = self._context
        entry = self._placement.decode_engine
        acquired = await context.connections.acquire(
            entry.address, fresh=not self._admitted.route.repeatable
        )
        if isinstance(acquired, result.Err):
            self._exclude(entry, "connect_failed", unreachable=True)
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.NOT_SENT,
                acquired.err_value.detail,
            )
        lease = acquired.ok_value
        kept = False
        try:
            ended, idle_limit = await self._exchange(lease, held, numbers)
            if idle_limit is not None:
                kept = True
                context.connections.release(
                    entry.address, lease.connection, idle_limit
                )
            return ended
        finally:
            if not kept:
                lease.connection.close()

    async def _exchange(
        self,
        lease: connections.Lease,
        held: reservations.Reservation | None,
        numbers: list[int],
    ) -> tuple[attempts.AttemptResult, units.Seconds | None]:
        context = self._context
        entry = self._placement.decode_engine
        connection = lease.connection
        request = requests.ServerRequest(
            self._admitted.caller,
            entry.id,
            self._admitted.organisation,
            self._attempts.time_left,
            last_event=self._delivery.last_event,
            helpers=_helpers(self._placement, held),
            urgency=(
                min(self._admitted.urgency, requests.LEAST_URGENT - 1)
                if self._placement.urgent
                else requests.LEAST_URGENT
            ),
        )
        wait = self._first_event_wait()
        sent = await connection.send(
            context.servers.encode(request), self._admitted.caller.body, wait
        )
        if isinstance(sent, result.Err):
            return self._lost(entry, lease, sent.err_value), None
        head = await connection.read_head(wait)
        if isinstance(head, result.Err):
            return self._lost(entry, lease, head.err_value), None
        answer = context.servers.decode(head.ok_value, self._admitted.caller)
        if answer.kind is requests.AnswerKind.SUCCESS:
            ended = await self._relay(lease, answer, numbers)
            complete = ended.end is forwarding_states.AttemptOutcome.COMPLETE
            return ended, answer.idle_limit if complete else None
        body = await connection.read_body(wait, _MAX_FAILED_ANSWER)
        if isinstance(body, result.Err):
            return self._lost(entry, lease, body.err_value), None
        return self._refused(entry, answer, body.ok_value), answer.idle_limit

    async def _relay(
        self,
        lease: connections.Lease,
        answer: requests.AnswerHead,
        numbers: list[int],
    ) -> attempts.AttemptResult:
        """Passes on whole events until the stream ends."""
        entry = self._placement.decode_engine
        splitter = event_splitter.EventSplitter()
        wait = self._first_event_wait()
        while True:
            part = await lease.connection.read_part(
                units.Seconds(min(wait, max(0.0, self._attempts.time_left)))
            )
            if isinstance(part, result.Err):
                return self._lost(entry, lease, part.err_value)
            if not part.ok_value:
                if splitter.has_partial_event:
                    return attempts.AttemptResult(
                        forwarding_states.AttemptOutcome.INVALID_ANSWER,
                        "the stream ended inside an event",
                    )
                self._context.health.on_success(entry.id, entry.incarnation)
                # A caller that has all events gets an empty stream.
                self._delivery.start(answer)
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.COMPLETE
                )
            received = splitter.feed(part.ok_value)
            if not received:
                continue
            following = self._delivery.following(received)
            if following:
                self._context.board.on_first_token(numbers)
                await self._delivery.pass_on(entry, answer, following)
                wait = self._stall_wait()
            if len(following) < len(received):
                context_module.count_failed_answer(
                    self._context,
                    entry,
                    "event order",
                    self._admitted.caller.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_ANSWER,
                    "the events do not follow each other",
                )

    def _first_event_wait(self) -> units.Seconds:
        predicted = self._placement.ttft_ms / 1_000 * _FIRST_EVENT_FACTOR
        target = self._admitted.route.target_latency
        return units.Seconds(
            min(
                max(
                    predicted + _FIRST_EVENT_MARGIN,
                    target * _FIRST_EVENT_TARGETS,
                ),
                max(0.0, self._attempts.time_left),
            )
        )

    def _stall_wait(self) -> units.Seconds:
        longest = max(self._pause, self._placement.iteration_ms / 1_000)
        return units.Seconds(max(_SHORTEST_STALL, longest * _STALL_FACTOR))

    def _lost(
        self,
        entry: server_directory.ServerEntry,
        lease: connections.Lease,
        error: errors.TransportError,
    ) -> attempts.AttemptResult:
        context = self._context
        if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
            if self._attempts.time_left > attempts.SHORTEST_ATTEMPT:
                self._exclude(entry, "silent")
            return attempts.AttemptResult(
                forwarding_states.AttemptOutcome.STALLED, error.detail
            )
        if not lease.reused or self._delivery.started:
            now = context.timers.now()
            context.crashes.on_crash(self._admitted.fingerprint, now)
            self._exclude(entry, error.kind.value)
        return attempts.AttemptResult(
            forwarding_states.AttemptOutcome.LOST, error.detail
        )

    def _refused(
        self,
        entry: server_directory.ServerEntry,
        answer: requests.AnswerHead,
        body: bytes,
    ) -> attempts.AttemptResult:
        detail = f"status {answer.status}"
        match answer.kind:
            case requests.AnswerKind.NOT_RUN:
                helper_failed = answer.faulty not in (None, entry.address)
                if helper_failed:
                    self._exclude_address(answer)
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.REFUSED,
                    detail,
                    helper_failed=helper_failed,
                )
            case requests.AnswerKind.WRONG_SERVER:
                self._exclude(entry, "another server has the address")
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.WRONG_SERVER, detail
                )
            case requests.AnswerKind.FAILURE:
                self._failed_answer = requests.WholeAnswer(answer, body)
                context_module.count_failed_answer(
                    self._context, entry, detail, self._admitted.caller.id
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.SERVER_FAILURE, detail
                )
            case _:
                context_module.count_failed_answer(
                    self._context,
                    entry,
                    answer.kind.value,
                    self._admitted.caller.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.INVALID_ANSWER,
                    answer.kind.value,
                )

    def _exclude_address(self, answer: requests.AnswerHead) -> None:
        """Excludes the engine that an answer blames."""
        for entry in self._context.view.directory.entries:
            if entry.address == answer.faulty:
                self._exclude(
                    entry, "blamed by another engine", unreachable=True
                )

    def _exclude(
        self,
        entry: server_directory.ServerEntry,
        reason: str,
        *,
        unreachable: bool = False,
    ) -> None:
        context_module.exclude_lost_server(
            self._context,
            entry,
            reason,
            self._admitted.caller.id,
            unreachable=unreachable,
        )


def _helpers(
    placement: placements.Placement, held: reservations.Reservation | None
) -> tuple[tuple[addresses.Address, str | None], ...]:
    """Returns the engines that read, each with its reservation if any."""
    ticketed = () if held is None else held.holders
    # Memory is filled in turn, and the share of the writing engine goes first.
    holders = sorted(
        ticketed, key=lambda entry: entry is not placement.decode_engine
    )
    names = {entry.id for entry in holders}
    ticket = None if held is None else held.ticket
    return (
        *((entry.address, ticket) for entry in holders),
        *(
            (entry.address, None)
            for entry in placement.prefill_helpers
            if entry.id not in names
        ),
    )
