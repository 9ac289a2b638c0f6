"""Runs booking state machines against the object store and services."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import uuid

import result

from lavendershed.booking import commands
from lavendershed.booking import records
from lavendershed.booking import state_machine as state_machine_module
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import booking_codec
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

# Each unsettled record keeps a response of up to 64 kB in memory.
MAX_UNSETTLED_RECORDS = 200
# Each outstanding booking may occupy a connection to a hung server.
MAX_OUTSTANDING_BOOKINGS = 2_000
# Unsettled records that are retried concurrently during a store outage. Keeps a
# daemon at a few calls per second and avoids a burst when the store recovers.
MAX_CONCURRENT_SETTLEMENTS = 2
_SETTLEMENT_CALL_TIMEOUT = units.Seconds(5.0)
_RELEASE_TIMEOUT = units.Seconds(30.0)

BookingReply = result.Result[
    backend_servers.PlainResponse, outcomes.RequestFailure
]


class BookedCall(abc.ABC):
    """Sends the call of one booking."""

    @abc.abstractmethod
    async def send(
        self, attempt: ids.AttemptId, send_before: units.Instant
    ) -> commands.SendOutcome:
        """Sends the call once on a new connection, before `send_before`."""


@dataclasses.dataclass(slots=True)
class _Attempt:
    request: requests.CallRequest
    key: ids.ObjectKey
    attempt_id: ids.AttemptId
    state_machine: state_machine_module.BookingStateMachine
    call: BookedCall
    reply: asyncio.Future[BookingReply]


class BookingExecutor(background.BackgroundTask):
    """Runs bookings of non-idempotent calls.

    A booking continues after its reply until its record is settled, that is,
    stored with the final state.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        members: cluster.MembershipView,
        owner: backend_servers.Owner,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
        generator: random.Random,
        limits: state_machine_module.BookingLimits,
    ) -> None:
        self._store = store
        self._members = members
        self._owner = owner
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._random = generator
        self._limits = limits
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsettled_count = 0
        self._settlement_slots = asyncio.Semaphore(MAX_CONCURRENT_SETTLEMENTS)
        self._task_errors: asyncio.Queue[BaseException] = asyncio.Queue()

    @property
    def log_name(self) -> str:
        """Name of the task in log events."""
        # Not the class name: log values stay when the class is renamed.
        return "Bookings"

    async def run(self) -> None:
        """Waits until the task of a booking fails on a broken invariant.

        Raises:
            BaseException: The exception of the task.
        """
        raise await self._task_errors.get()

    async def release(self) -> None:
        """Waits until the outstanding records are settled."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=_RELEASE_TIMEOUT)
        if self._tasks:
            self._log.emit(
                events.Event.BOOKINGS_LEFT_UNSETTLED, count=len(self._tasks)
            )

    def status(self) -> dict[str, object]:
        """Returns the number of bookings with an unsettled record."""
        return {"bookings_unsettled": self._unsettled_count}

    async def book(
        self, request: requests.CallRequest, call: BookedCall
    ) -> BookingReply:
        """Runs one attempt of a booking; replies by the request's deadline."""
        if self._unsettled_count >= MAX_UNSETTLED_RECORDS:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.STORE_UNAVAILABLE,
                    f"{self._unsettled_count} earlier bookings of this router "
                    "wait for the object store; send the request again later",
                )
            )
        if len(self._tasks) >= MAX_OUTSTANDING_BOOKINGS:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.QUEUE_FULL,
                    f"{len(self._tasks)} bookings of this router wait for "
                    "their services; send the request again later",
                )
            )
        attempt_id = ids.AttemptId(uuid.uuid4().hex)
        state_machine = state_machine_module.BookingStateMachine(
            state_machine_module.BookingAttempt(
                attempt_id,
                self._owner,
                records.request_digest(request),
                request.deadline,
            ),
            self._limits,
            self._random,
        )
        loop = asyncio.get_running_loop()
        attempt = _Attempt(
            request,
            records.record_key(request),
            attempt_id,
            state_machine,
            call,
            loop.create_future(),
        )
        # A separate task, so that a caller's disconnect cancels neither the
        # call nor the write of the record.
        task = loop.create_task(self._run_attempt(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return await asyncio.shield(attempt.reply)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._task_errors.put_nowait(error)

    async def _run_attempt(self, attempt: _Attempt) -> None:
        emitted = attempt.state_machine.start(self._timers.now())
        while True:
            step = self._process_commands(attempt, emitted)
            if step is None:
                break
            if attempt.reply.done() and _delay_of(step) > 0:
                await self._settle_record(attempt, step)
                break
            emitted = await self._execute(attempt, step)
        if not attempt.state_machine.settled:
            self._log.emit(
                events.Event.BOOKING_RECORD_LOST,
                key=attempt.key,
                attempt=attempt.attempt_id,
            )

    async def _settle_record(
        self, attempt: _Attempt, step: commands.Command
    ) -> None:
        """Repeats store calls until the final record is stored."""
        self._adjust_unsettled(1)
        self._log.emit(
            events.Event.BOOKING_UNSETTLED,
            key=attempt.key,
            attempt=attempt.attempt_id,
            unsettled=self._unsettled_count,
        )
        try:
            async with self._settlement_slots:
                next_step: commands.Command | None = step
                while next_step is not None:
                    emitted = await self._execute(attempt, next_step)
                    next_step = self._process_commands(attempt, emitted)
        finally:
            self._adjust_unsettled(-1)

    def _adjust_unsettled(self, delta: int) -> None:
        self._unsettled_count += delta
        self._instruments.set_unsettled_bookings(self._unsettled_count)

    def _process_commands(
        self, attempt: _Attempt, emitted: state_machine_module.Commands
    ) -> commands.Command | None:
        """Sends replies to the caller; returns the next step, if any."""
        step = None
        for command in emitted:
            if not isinstance(command, commands.Reply):
                step = command
                continue
            self._log_reply(attempt, command.outcome)
            if not attempt.reply.done():
                attempt.reply.set_result(command.outcome)
        return step

    def _log_reply(self, attempt: _Attempt, reply: BookingReply) -> None:
        failure = reply.err()
        self._log.emit(
            events.Event.BOOKING_REPLIED,
            request_id=attempt.request.request_id,
            service=attempt.request.service,
            key=attempt.key,
            attempt=attempt.attempt_id,
            execution=(
                states.Execution.COMPLETED
                if failure is None
                else failure.execution
            ).value,
            reason=None if failure is None else failure.reason.value,
            detail=None if failure is None else failure.detail,
        )

    async def _execute(
        self, attempt: _Attempt, step: commands.Command
    ) -> state_machine_module.Commands:
        if isinstance(step, commands.SendCall):
            return await self._send(attempt, step)
        delay = _delay_of(step)
        if delay > 0:
            await event_loop_timers.sleep(self._timers, delay)
        if isinstance(step, commands.WriteRecord):
            return await self._write(attempt, step)
        return await self._read(attempt)

    async def _send(
        self, attempt: _Attempt, step: commands.SendCall
    ) -> state_machine_module.Commands:
        def on_deadline() -> None:
            emitted = attempt.state_machine.on_deadline(self._timers.now())
            self._process_commands(attempt, emitted)

        deadline_timer = self._timers.schedule_at(
            attempt.request.deadline.at, on_deadline
        )
        try:
            outcome = await attempt.call.send(
                attempt.attempt_id, step.send_before
            )
        finally:
            deadline_timer.cancel()
        return attempt.state_machine.on_sent(outcome, self._timers.now())

    async def _write(
        self, attempt: _Attempt, step: commands.WriteRecord
    ) -> state_machine_module.Commands:
        try:
            async with asyncio.timeout(self._store_timeout(attempt)):
                written = await self._store.put(
                    attempt.key,
                    booking_codec.encode(step.record),
                    step.condition,
                )
        except TimeoutError:
            written = result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.AMBIGUOUS,
                    "the write timed out",
                )
            )
        now = self._timers.now()
        if isinstance(written, result.Ok):
            return attempt.state_machine.on_written(written.ok_value, now)
        return attempt.state_machine.on_write_failed(written.err_value, now)

    async def _read(self, attempt: _Attempt) -> state_machine_module.Commands:
        try:
            async with asyncio.timeout(self._store_timeout(attempt)):
                stored = await self._store.get(attempt.key)
        except TimeoutError:
            stored = _read_error("the read timed out")
        now = self._timers.now()
        if isinstance(stored, result.Err):
            error = stored.err_value
            if error.kind is object_store.StoreErrorKind.ABSENT:
                return attempt.state_machine.on_read(
                    None, None, states.MemberState.ALIVE, now
                )
            return attempt.state_machine.on_read_failed(error, now)
        record = booking_codec.decode(stored.ok_value.value)
        if isinstance(record, result.Err):
            read_error = _read_error(record.err_value)
            return attempt.state_machine.on_read_failed(
                read_error.err_value, now
            )
        return attempt.state_machine.on_read(
            record.ok_value,
            stored.ok_value.version,
            self._members.incarnation_state(record.ok_value.owner),
            now,
        )

    def _store_timeout(self, attempt: _Attempt) -> units.Seconds:
        if attempt.reply.done():
            return _SETTLEMENT_CALL_TIMEOUT
        return attempt.request.deadline.remaining(self._timers.now())


def _delay_of(step: commands.Command) -> units.Seconds:
    if isinstance(step, commands.WriteRecord | commands.ReadRecord):
        return step.delay
    return units.Seconds(0.0)


def _read_error(detail: str) -> result.Err[object_store.StoreError]:
    return result.Err(
        object_store.StoreError(object_store.StoreErrorKind.UNAVAILABLE, detail)
    )
