"""State machine of one attempt to run a non-idempotent call."""

from __future__ import annotations

import dataclasses
import enum
import random

import result

from lavendershed.booking import commands
from lavendershed.booking import records
from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units

Commands = tuple[commands.Command, ...]


class Phase(enum.Enum):
    """Step of an attempt that is outstanding."""

    CLAIMING = "claiming"
    CHECKING = "checking"
    SENDING = "sending"
    RECORDING = "recording"
    ABANDONING = "abandoning"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class BookingLimits:
    """Limits of one attempt.

    Attributes:
        max_claim_age: Age of a claim, counted from before its first write, at
            which its call is no longer sent. Other daemons take at least as
            long to declare the owner dead: two failed probe rounds and one
            round of suspicion.
        max_claim_attempts: Writes of the claim, and reads of a claim whose
            write had an unknown outcome, before the attempt fails.
        max_owner_wait: Longest wait for a claim that a live owner holds.
        poll_interval: Time between reads during that wait.
        initial_backoff: Upper bound of the first delay after a failed store
            call.
        max_backoff: Upper bound of all delays after failed store calls.
    """

    max_claim_age: units.Seconds = units.Seconds(3.0)
    max_claim_attempts: int = 3
    max_owner_wait: units.Seconds = units.Seconds(5.0)
    poll_interval: units.Seconds = units.Seconds(0.25)
    initial_backoff: units.Seconds = units.Seconds(0.1)
    max_backoff: units.Seconds = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class BookingAttempt:
    """Identity, request digest and deadline of one attempt."""

    attempt_id: ids.AttemptId
    owner: backend_servers.Owner
    request_digest: str
    deadline: deadlines.Deadline


class BookingStateMachine:
    """Decides each step of one attempt; at most one step is outstanding.

    The call is sent only after the claim is confirmed. After the reply, the
    remaining commands settle the record; they are retried until the store
    accepts them, however long it is unavailable.
    """

    def __init__(
        self,
        attempt: BookingAttempt,
        limits: BookingLimits,
        generator: random.Random,
    ) -> None:
        self._attempt = attempt
        self._limits = limits
        self._random = generator
        self._phase = Phase.CLAIMING
        self._condition: object_store.Condition = object_store.IfAbsent()
        # Whether the store may hold a claim of this attempt.
        self._claim_may_exist = False
        self._claim_started_at = units.Instant(0.0)
        self._started_at = units.Instant(0.0)
        self._claim_attempts = 0
        self._store_failures = 0
        self._final_record = self._new_record(states.BookingState.ABANDONED)
        self._settled = True
        self._replied = False

    @property
    def phase(self) -> Phase:
        """Step that is outstanding."""
        return self._phase

    @property
    def settled(self) -> bool:
        """Whether a finished attempt has its outcome in the record."""
        return self._settled

    def start(self, now: units.Instant) -> Commands:
        """Starts the attempt."""
        self._started_at = self._claim_started_at = now
        if self._attempt.deadline.is_expired(now):
            return self._finish(
                outcomes.not_run(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    "the deadline passed before the booking was claimed",
                )
            )
        return (self._write_claim(units.Seconds(0.0)),)

    def on_written(
        self, version: ids.ObjectVersion, now: units.Instant
    ) -> Commands:
        """Handles the confirmation of a write."""
        self._store_failures = 0
        if self._phase is Phase.CLAIMING:
            return self._on_claimed(version, now)
        self._phase = Phase.FINISHED
        return ()

    def on_write_failed(
        self, error: object_store.StoreError, now: units.Instant
    ) -> Commands:
        """Handles a write that failed or has an unknown outcome."""
        kind = error.kind
        if kind is object_store.StoreErrorKind.CONFLICT:
            if self._phase is Phase.CLAIMING:
                self._phase = Phase.CHECKING
            return (commands.ReadRecord(units.Seconds(0.0)),)
        if self._phase is not Phase.CLAIMING:
            if kind is object_store.StoreErrorKind.TOO_LARGE:
                self._discard_response_body()
            return (self._write_final(self._next_backoff()),)
        if kind is object_store.StoreErrorKind.AMBIGUOUS:
            self._claim_may_exist = True
        if (
            kind is object_store.StoreErrorKind.AMBIGUOUS
            and now < self._send_before
        ):
            self._phase = Phase.CHECKING
            return (commands.ReadRecord(units.Seconds(0.0)),)
        return self._abandon(
            outcomes.not_run(
                states.FailureReason.STORE_UNAVAILABLE,
                "the booking could not be recorded, so it was not started: "
                f"{error.detail}; send it again with the same key",
                error.retry_after,
            )
        )

    def on_read(
        self,
        record: records.BookingRecord | None,
        version: ids.ObjectVersion | None,
        owner_state: states.MemberState,
        now: units.Instant,
    ) -> Commands:
        """Handles the record as it was read; None if there is none.

        Args:
            record: The record as it was read.
            version: Its version; None without a record.
            owner_state: State of the record's owner as this daemon sees it.
            now: Time at which the read completed.
        """
        self._store_failures = 0
        if self._phase is not Phase.CHECKING:
            return self._settle_record(record, version)
        if record is None or version is None:
            return self._retry_claim(object_store.IfAbsent(), now)
        if record.attempt == self._attempt.attempt_id:
            return self._on_claimed(version, now)
        if self._condition != object_store.IfVersion(version):
            self._claim_may_exist = False
        if record.digest != self._attempt.request_digest:
            return self._finish(
                outcomes.not_run(
                    states.FailureReason.IDEMPOTENCY_KEY_REUSED,
                    "header Idempotency-Key: the key was used with another "
                    "request; use a new key for a new booking",
                )
            )
        if record.state is states.BookingState.DONE:
            return self._replay(record)
        if record.state is states.BookingState.ABANDONED:
            return self._retry_claim(object_store.IfVersion(version), now)
        if record.state is states.BookingState.UNKNOWN:
            return self._finish_unknown(
                "the backend server did not respond to an earlier attempt"
            )
        if owner_state is states.MemberState.DEAD:
            return self._finish_unknown(
                f"router {record.owner.vm} ended during an earlier attempt"
            )
        return self._wait_for_owner(now)

    def on_read_failed(
        self, error: object_store.StoreError, now: units.Instant
    ) -> Commands:
        """Handles a failed read."""
        if self._phase is not Phase.CHECKING:
            return (commands.ReadRecord(self._next_backoff()),)
        self._claim_attempts += 1
        delay = self._next_backoff()
        may_retry = self._claim_attempts < self._limits.max_claim_attempts
        if may_retry and units.after(now, delay) < self._send_before:
            return (commands.ReadRecord(delay),)
        if self._claim_may_exist:
            return self._abandon(
                outcomes.not_run(
                    states.FailureReason.STORE_UNAVAILABLE,
                    "the booking's record can't be read, so it was not "
                    "started; send it again with the same key",
                    error.retry_after,
                )
            )
        # Another attempt has a record under this key and may have been run.
        return self._finish(
            outcomes.RequestFailure(
                states.FailureReason.STORE_UNAVAILABLE,
                states.Execution.UNKNOWN,
                "an earlier attempt has a record that can't be read now; "
                "send the request again with the same key",
                error.retry_after,
            )
        )

    def on_deadline(self, now: units.Instant) -> Commands:
        """Handles the deadline while a send is outstanding.

        The caller gets a failure. The response is still awaited and recorded,
        so that a retry with the same key can return it.
        """
        if self._phase is not Phase.SENDING or self._replied:
            return ()
        if not self._attempt.deadline.is_expired(now):
            return ()
        return self._reply(
            result.Err(
                outcomes.RequestFailure(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    states.Execution.UNKNOWN,
                    "the backend server has not responded yet; send the "
                    "request again with the same key to get its response",
                )
            )
        )

    def on_sent(
        self, outcome: commands.SendOutcome, now: units.Instant
    ) -> Commands:
        """Handles the outcome of a send."""
        if isinstance(outcome, commands.Completed):
            self._final_record = self._new_record(
                states.BookingState.DONE,
                records.to_stored_response(outcome.response),
            )
            self._phase = Phase.RECORDING
            return (
                *self._reply(result.Ok(outcome.response)),
                self._write_final(units.Seconds(0.0)),
            )
        if isinstance(outcome, commands.ExecutionUnknown):
            self._final_record = self._new_record(states.BookingState.UNKNOWN)
            self._phase = Phase.RECORDING
            return (
                *self._reply(result.Err(outcome.failure)),
                self._write_final(units.Seconds(0.0)),
            )
        if outcome.retryable and now < self._send_before:
            return (commands.SendCall(self._send_before),)
        return self._abandon(outcome.failure)

    @property
    def _send_before(self) -> units.Instant:
        return min(
            self._attempt.deadline.at,
            units.after(self._claim_started_at, self._limits.max_claim_age),
        )

    def _new_record(
        self,
        state: states.BookingState,
        answer: records.StoredResponse | None = None,
    ) -> records.BookingRecord:
        return records.BookingRecord(
            state,
            self._attempt.attempt_id,
            self._attempt.owner,
            self._attempt.request_digest,
            answer,
        )

    def _write_claim(self, delay: units.Seconds) -> commands.WriteRecord:
        self._phase = Phase.CLAIMING
        return commands.WriteRecord(
            self._new_record(states.BookingState.CLAIMED),
            self._condition,
            delay,
        )

    def _retry_claim(
        self, condition: object_store.Condition, now: units.Instant
    ) -> Commands:
        if condition != self._condition:
            # The earlier claim can no longer take effect, since its condition
            # can't hold again. The age of the new claim starts now.
            self._condition = condition
            self._claim_may_exist = False
            self._claim_started_at = now
        self._claim_attempts += 1
        if (
            self._claim_attempts >= self._limits.max_claim_attempts
            or now >= self._send_before
        ):
            return self._abandon(
                outcomes.not_run(
                    states.FailureReason.STORE_UNAVAILABLE,
                    "the booking could not be claimed in time, so it was not "
                    "started; send it again with the same key",
                )
            )
        return (self._write_claim(units.Seconds(0.0)),)

    def _on_claimed(
        self, version: ids.ObjectVersion, now: units.Instant
    ) -> Commands:
        self._claim_may_exist = True
        self._condition = object_store.IfVersion(version)
        if now < self._send_before:
            self._phase = Phase.SENDING
            return (commands.SendCall(self._send_before),)
        return self._abandon(
            outcomes.not_run(
                states.FailureReason.DEADLINE_EXCEEDED,
                "claiming the booking took too long, so it was not started; "
                "send it again with the same key",
            )
        )

    def _abandon(self, failure: outcomes.RequestFailure) -> Commands:
        if not self._claim_may_exist:
            return self._finish(failure)
        self._phase = Phase.ABANDONING
        # The write has the condition of the claim itself, so it also keeps a
        # delayed claim from taking effect.
        return (
            *self._reply(result.Err(failure)),
            self._write_final(units.Seconds(0.0)),
        )

    def _settle_record(
        self,
        record: records.BookingRecord | None,
        version: ids.ObjectVersion | None,
    ) -> Commands:
        if record is None or version is None:
            if isinstance(self._condition, object_store.IfAbsent):
                return (self._write_final(self._next_backoff()),)
        elif record.attempt == self._attempt.attempt_id:
            if record.state is states.BookingState.CLAIMED:
                self._condition = object_store.IfVersion(version)
                return (self._write_final(units.Seconds(0.0)),)
            self._phase = Phase.FINISHED
            return ()
        # A claim that never took effect needs no settlement. For a booking that
        # was run, the missing claim means that its record was lost.
        self._settled = self._phase is Phase.ABANDONING
        self._phase = Phase.FINISHED
        return ()

    def _write_final(self, delay: units.Seconds) -> commands.WriteRecord:
        return commands.WriteRecord(self._final_record, self._condition, delay)

    def _discard_response_body(self) -> None:
        if self._final_record.answer is not None:
            response = dataclasses.replace(self._final_record.answer, body=None)
            self._final_record = dataclasses.replace(
                self._final_record, answer=response
            )

    def _wait_for_owner(self, now: units.Instant) -> Commands:
        delay = self._limits.poll_interval
        wait_until = min(
            self._attempt.deadline.at,
            units.after(self._started_at, self._limits.max_owner_wait),
        )
        if units.after(now, delay) < wait_until:
            return (commands.ReadRecord(delay),)
        return self._finish(
            outcomes.RequestFailure(
                states.FailureReason.BOOKING_IN_PROGRESS,
                states.Execution.UNKNOWN,
                "an earlier attempt with this key is still running; send the "
                "request again later with the same key",
                units.Seconds(1.0),
            )
        )

    def _replay(self, record: records.BookingRecord) -> Commands:
        response = record.answer
        if response is None or response.body is None:
            size = 0 if response is None else response.size
            return self._finish(
                outcomes.RequestFailure(
                    states.FailureReason.ANSWER_NOT_KEPT,
                    states.Execution.COMPLETED,
                    "the booking was completed; its response of "
                    f"{size} bytes was too large to store",
                )
            )
        self._phase = Phase.FINISHED
        replayed = backend_servers.PlainResponse(
            response.status, response.content_type, response.body
        )
        return self._reply(result.Ok(replayed))

    def _finish_unknown(self, detail: str) -> Commands:
        return self._finish(
            outcomes.RequestFailure(
                states.FailureReason.BACKEND_SERVER_FAILED,
                states.Execution.UNKNOWN,
                f"{detail}; whether the booking was made is unknown; "
                "requests with this key are not run again",
            )
        )

    def _finish(self, failure: outcomes.RequestFailure) -> Commands:
        self._phase = Phase.FINISHED
        return self._reply(result.Err(failure))

    def _reply(
        self,
        outcome: result.Result[
            backend_servers.PlainResponse, outcomes.RequestFailure
        ],
    ) -> tuple[commands.Reply, ...]:
        if self._replied:
            return ()
        self._replied = True
        return (commands.Reply(outcome),)

    def _next_backoff(self) -> units.Seconds:
        """Returns a delay with full jitter that grows with each failure."""
        bound = self._limits.initial_backoff * 2.0 ** min(
            self._store_failures, 16
        )
        self._store_failures += 1
        return units.Seconds(
            self._random.uniform(0.0, min(bound, self._limits.max_backoff))
        )
