"""Execution of a request whose answer is a stream of events."""

from __future__ import annotations

import asyncio
import dataclasses

import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import connections
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import requests
from lavendershed.forwarding import reservations
from lavendershed.forwarding import stream_delivery
from lavendershed.membership import server_directory
from lavendershed.routing import load_board
from lavendershed.routing import pass_model
from lavendershed.routing import placements
from lavendershed.telemetry import events
from lavendershed.transport import errors
from lavendershed.transport import server

# Size of a request that does not state one: a short prompt and answer.
_UNKNOWN_SIZE = pass_model.PromptSize(units.Tokens(1_000), units.Tokens(1_000))
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
# Longest pause of a route that states none.
_DEFAULT_PAUSE = units.Seconds(0.5)
# Reports carry 31 bits of the fingerprint to tell requests apart.
_REQUEST_NUMBER_MASK = 0x7FFF_FFFF
# A prompt that finds no memory tries again after this time, and fails after
# its target latency: memory is freed by the end of any long request.
_MEMORY_RETRY = units.Seconds(0.2)
_MAX_FAILED_ANSWER = units.Bytes(1_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedAnswer:
    head: requests.AnswerHead
    body: bytes


class StreamRun:
    """One streaming request, with all its attempts in one response."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted: context_module.Admitted,
        responder: server.Responder,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._responder = responder
        self._attempts = attempts.AttemptRecord(context, admitted)
        self._size = admitted.caller.size or _UNKNOWN_SIZE
        self._pause = admitted.route.longest_pause or _DEFAULT_PAUSE
        self._delivery = stream_delivery.StreamDelivery(
            context, admitted, responder
        )
        self._failed_answer: _FailedAnswer | None = None
        self._predicted_ms = 0.0

    async def run(self) -> None:
        """Answers the request."""
        while True:
            failure = self._attempts.next_failure()
            placement = None if failure is not None else self._choose()
            if placement is None and failure is None and self._may_wait():
                await asyncio.sleep(_MEMORY_RETRY)
                continue
            if placement is None:
                await self._give_up(
                    failure
                    or self._attempts.failure(
                        states.FailureReason.NO_BACKEND_SERVER,
                        f"service {self._admitted.service.id} has no room",
                    )
                )
                return
            ended = await self._attempt(placement)
            if ended.end is forwarding_states.AttemptEnd.COMPLETE:
                await self._finish(placement)
                return
            self._attempts.add(placement.first, ended)
            if ended.end is forwarding_states.AttemptEnd.NO_MEMORY:
                if not self._may_wait():
                    await self._give_up(
                        self._attempts.failure(
                            states.FailureReason.NO_BACKEND_SERVER,
                            ended.detail,
                        )
                    )
                    return
                await asyncio.sleep(_MEMORY_RETRY)

    def _may_wait(self) -> bool:
        """Returns whether an engine may have room in time."""
        waited = self._context.timers.now() - self._admitted.received
        servers = self._context.view.directory.of_service(
            self._admitted.service.id
        )
        return bool(servers) and waited < self._admitted.route.target_latency

    def _choose(self) -> placements.Placement | None:
        context = self._context
        candidates = context.view.directory.of_service(
            self._admitted.service.id
        )
        chooser = context.choosers.chooser(self._admitted.service)
        if chooser is None:
            return None
        now = context.timers.now()
        avoided = context_module.avoided_servers(
            context, candidates, self._attempts.tried
        )
        target = self._admitted.route.target_latency
        if self._responder.started:
            # The next event of a stream that is resumed is due like any other.
            due_at = units.after(self._delivery.last_event_at, self._pause)
        else:
            due_at = units.after(self._admitted.received, target)
        demand = placements.Demand(
            self._size,
            due_at,
            self._admitted.limit_at,
            self._pause,
            context.zone,
            units.Bytes(len(self._admitted.caller.body)),
        )
        short = self._attempts.short_of_memory
        placement = chooser.choose(demand, candidates, avoided | short, now)
        if placement is None and short:
            placement = chooser.choose(demand, candidates, avoided, now)
        if placement is not None:
            self._predicted_ms = placement.first_token_ms
            context.log.emit(
                events.Event.REQUEST_DISPATCHED,
                request=self._admitted.caller.id,
                route=self._admitted.route.name,
                server=placement.first.id,
                helpers=[entry.id for entry in placement.helpers],
                prompt=self._size.prompt,
                answer=self._size.answer,
                predicted_ms=round(placement.first_token_ms, 1),
                loss=round(placement.loss, 3),
                urgent=placement.urgent,
                candidates=len(candidates),
                avoided=len(avoided),
                attempt=self._attempts.count + 1,
                version=context.view.version,
                servers=context.view.directory.revision,
                load_age_ms=round(context.board.age(now) * 1_000),
            )
        return placement

    async def _attempt(
        self, placement: placements.Placement
    ) -> attempts.AttemptResult:
        # On the board before the first wait, so that no other request counts
        # on the same memory.
        numbers = self._place(placement)
        held: reservations.Reservation | None = None
        try:
            if placement.shares:
                reserved = await self._context.reservations.reserve(
                    placement.shares
                )
                if isinstance(reserved, result.Err):
                    return attempts.AttemptResult(
                        forwarding_states.AttemptEnd.NO_MEMORY,
                        "engines have no memory to reserve",
                        tuple(entry.id for entry in reserved.err_value),
                    )
                held = reserved.ok_value
            return await self._connect(placement, held, numbers)
        finally:
            if held is not None:
                held.release()
            now = self._context.timers.now()
            for number in numbers:
                self._context.board.abandon(number, now)

    def _place(self, placement: placements.Placement) -> list[int]:
        """Adds the work to the board; the first number is the writer's."""
        held = {share.holder.id: share.tokens for share in placement.shares}
        if not held:
            held = {placement.first.id: self._size.memory}
        now = self._context.timers.now()
        chooser = self._context.choosers.chooser(self._admitted.service)
        credit = chooser.credit(self._size) if chooser is not None else 0.0
        due_at = units.after(
            self._admitted.received, self._admitted.route.target_latency
        )
        ready_at = units.after(
            now, units.Seconds(placement.first_token_ms / 1_000)
        )
        ends_at = units.after(
            ready_at, units.Seconds(placement.write_ms / 1_000)
        )
        return [
            self._context.board.add(
                load_board.Work(
                    self._admitted.fingerprint & _REQUEST_NUMBER_MASK,
                    entry.id,
                    forwarding_states.WorkPhase.READING,
                    placement.read_ms,
                    ready_at,
                    ends_at,
                    held.get(entry.id, 0),
                    held.get(entry.id, 0),
                    self._pause,
                    due_at,
                    credit,
                    placement.urgent,
                )
            )
            for entry in (placement.first, *placement.helpers)
        ]

    async def _connect(
        self,
        placement: placements.Placement,
        held: reservations.Reservation | None,
        numbers: list[int],
    ) -> attempts.AttemptResult:
        context = self._context
        entry = placement.first
        acquired = await context.connections.acquire(
            entry.address, fresh=not self._admitted.route.repeatable
        )
        if isinstance(acquired, result.Err):
            self._exclude(entry, "connect_failed")
            return attempts.AttemptResult(
                forwarding_states.AttemptEnd.NOT_SENT, acquired.err_value.detail
            )
        lease = acquired.ok_value
        kept = False
        try:
            ended, idle_limit = await self._exchange(
                placement, lease, held, numbers
            )
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
        placement: placements.Placement,
        lease: connections.Lease,
        held: reservations.Reservation | None,
        numbers: list[int],
    ) -> tuple[attempts.AttemptResult, units.Seconds | None]:
        context = self._context
        entry = placement.first
        connection = lease.connection
        request = requests.ServerRequest(
            self._admitted.caller,
            entry.id,
            self._admitted.organisation,
            self._attempts.time_left,
            last_event=self._delivery.last_event,
            helpers=_helpers(placement, held),
            urgency=(
                min(self._admitted.urgency, requests.LEAST_URGENT - 1)
                if placement.urgent
                else requests.LEAST_URGENT
            ),
        )
        wait = self._first_event_wait(placement)
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
            ended = await self._relay(placement, lease, answer, numbers)
            complete = ended.end is forwarding_states.AttemptEnd.COMPLETE
            return ended, answer.idle_limit if complete else None
        body = await connection.read_body(wait, _MAX_FAILED_ANSWER)
        if isinstance(body, result.Err):
            return self._lost(entry, lease, body.err_value), None
        return self._refused(entry, answer, body.ok_value), answer.idle_limit

    async def _relay(
        self,
        placement: placements.Placement,
        lease: connections.Lease,
        answer: requests.AnswerHead,
        numbers: list[int],
    ) -> attempts.AttemptResult:
        """Passes on whole events until the stream ends."""
        entry = placement.first
        splitter = event_splitter.EventSplitter()
        wait = self._first_event_wait(placement)
        while True:
            part = await lease.connection.read_part(
                units.Seconds(min(wait, max(0.0, self._attempts.time_left)))
            )
            if isinstance(part, result.Err):
                return self._lost(entry, lease, part.err_value)
            if not part.ok_value:
                if splitter.has_partial_event:
                    return attempts.AttemptResult(
                        forwarding_states.AttemptEnd.INVALID_ANSWER,
                        "the stream ended inside an event",
                    )
                self._context.health.on_success(entry.id, entry.born)
                # A caller that has all events gets an empty stream.
                self._delivery.start(answer)
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.COMPLETE
                )
            received = splitter.feed(part.ok_value)
            if not received:
                continue
            following = self._delivery.following(received)
            if following:
                self._context.board.start_writing(numbers)
                await self._delivery.pass_on(entry, answer, following)
                wait = self._stall_wait(placement)
            if len(following) < len(received):
                context_module.count_failed_answer(
                    self._context,
                    entry,
                    "event order",
                    self._admitted.caller.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.INVALID_ANSWER,
                    "the events do not follow each other",
                )

    def _first_event_wait(
        self, placement: placements.Placement
    ) -> units.Seconds:
        predicted = placement.first_token_ms / 1_000 * _FIRST_EVENT_FACTOR
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

    def _stall_wait(self, placement: placements.Placement) -> units.Seconds:
        longest = max(self._pause, placement.pass_ms / 1_000)
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
                forwarding_states.AttemptEnd.STALLED, error.detail
            )
        if not lease.reused or self._responder.started:
            now = context.timers.now()
            context.crashes.on_crash(self._admitted.fingerprint, now)
            self._exclude(entry, error.kind.value)
        return attempts.AttemptResult(
            forwarding_states.AttemptEnd.LOST, error.detail
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
                if answer.faulty not in (None, entry.address):
                    self._exclude_address(answer)
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.REFUSED, detail
                )
            case requests.AnswerKind.WRONG_SERVER:
                self._exclude(entry, "another server has the address")
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.WRONG_SERVER, detail
                )
            case requests.AnswerKind.FAILURE:
                self._failed_answer = _FailedAnswer(answer, body)
                context_module.count_failed_answer(
                    self._context, entry, detail, self._admitted.caller.id
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.SERVER_FAILURE, detail
                )
            case _:
                context_module.count_failed_answer(
                    self._context,
                    entry,
                    answer.kind.value,
                    self._admitted.caller.id,
                )
                return attempts.AttemptResult(
                    forwarding_states.AttemptEnd.INVALID_ANSWER,
                    answer.kind.value,
                )

    def _exclude_address(self, answer: requests.AnswerHead) -> None:
        """Excludes the engine that an answer blames."""
        for entry in self._context.view.directory.entries:
            if entry.address == answer.faulty:
                self._exclude(entry, "blamed by another engine")

    def _exclude(
        self, entry: server_directory.ServerEntry, reason: str
    ) -> None:
        context_module.exclude_lost_server(
            self._context, entry, reason, self._admitted.caller.id
        )

    async def _finish(self, placement: placements.Placement) -> None:
        context = self._context
        context.crashes.on_success(self._admitted.fingerprint)
        received = self._admitted.received
        first = self._delivery.first_event_at
        seconds = units.elapsed(received, context.timers.now())
        context.instruments.ended(
            self._admitted.route.kind.value, "complete", seconds
        )
        context.log.emit(
            events.Event.REQUEST_FINISHED,
            request=self._admitted.caller.id,
            server=placement.first.id,
            attempts=self._attempts.count + 1,
            first_ms=round((first - received) * 1_000) if first else None,
            predicted_ms=round(self._predicted_ms),
            pause_ms=round(self._delivery.longest_pause * 1_000),
            seconds=round(seconds, 3),
        )
        await self._responder.finish()

    async def _give_up(self, failure: outcomes.RequestFailure) -> None:
        context_module.log_failure(self._context, self._admitted, failure)
        if self._responder.started:
            # Without its last chunk the stream is visibly incomplete.
            self._responder.abort()
            return
        if self._failed_answer is not None:
            await self._responder.respond(
                self._failed_answer.head.status,
                self._failed_answer.body,
                self._failed_answer.head.headers,
            )
            return
        await context_module.respond_failure(
            self._context, self._responder, failure
        )


def _helpers(
    placement: placements.Placement, held: reservations.Reservation | None
) -> tuple[tuple[addresses.Address, str | None], ...]:
    """Returns the engines that read, each with its reservation if any."""
    ticketed = () if held is None else held.holders
    # Memory is filled in turn, and the share of the writing engine goes first.
    holders = sorted(ticketed, key=lambda entry: entry is not placement.first)
    names = {entry.id for entry in holders}
    ticket = None if held is None else held.ticket
    return (
        *((entry.address, ticket) for entry in holders),
        *(
            (entry.address, None)
            for entry in placement.helpers
            if entry.id not in names
        ),
    )
