"""Guards bookings against double execution, lost responses, false not_run."""

from __future__ import annotations

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from lavendershed.booking import commands
from lavendershed.booking import records
from lavendershed.booking import state_machine
from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units

LIMITS = state_machine.BookingLimits()
KEYS = ("press-run-7", "mould-3")
DAEMONS = 3
VERSION = ids.ObjectVersion
ERRORS = object_store.StoreErrorKind
FAILED = outcomes.RequestFailure(
    states.FailureReason.BACKEND_SERVER_FAILED, states.Execution.UNKNOWN, ""
)
REFUSED = outcomes.not_run(states.FailureReason.BACKEND_SERVER_FAILED, "")


def error(kind):
    """Returns a store error."""
    return object_store.StoreError(kind, "")


class FakeStore:
    """Objects with versions; writes may take effect late."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.writes = 0

    def put(self, key, record, condition):
        """Writes if the condition holds; returns the new version or None."""
        self.writes += 1
        current = self.objects.get(key)
        expected = (
            None
            if isinstance(condition, object_store.IfAbsent)
            else condition.version
        )
        if (current[0] if current else None) != expected:
            return None
        self.version += 1
        self.objects[key] = (VERSION(self.version), record)
        return VERSION(self.version)


@dataclasses.dataclass
class Attempt:
    """One attempt at a request at one daemon."""

    key: str
    daemon: int
    owner: backend_servers.Owner
    machine: state_machine.BookingStateMachine
    name: str
    pending: commands.Command | None = None
    in_flight: bool = False
    reply: object = None
    executed: bool = False
    digest: str = ""
    deadline: float = 0.0


class BookingSimulation(stateful.RuleBasedStateMachine):
    """Daemons, a store and a plain service that fail at every step."""

    def __init__(self):
        super().__init__()
        self.now = units.Instant(0.0)
        self.store = FakeStore()
        self.incarnations = [1] * DAEMONS
        self.suspected = set()
        self.attempts = []
        self.late_writes = []
        self.executions = {}
        self.responses = {}
        self.sequence = 0

    def handle_commands(self, attempt, returned):
        """Handles the commands of a state machine; at most one is a step."""
        attempt.pending = None
        for command in returned:
            if isinstance(command, commands.Reply):
                assert attempt.reply is None, "second reply"
                attempt.reply = command.outcome
                self.check_reply(attempt)
            else:
                assert attempt.pending is None, "two steps at once"
                attempt.pending = command

    def check_reply(self, attempt):
        outcome = attempt.reply
        if isinstance(outcome, result.Ok):
            assert outcome.ok_value == self.responses[attempt.key]

    def owner_state(self, owner):
        daemon = int(owner.vm)
        if owner.incarnation != self.incarnations[daemon]:
            return states.MemberState.DEAD
        if daemon in self.suspected:
            return states.MemberState.DEAD
        return states.MemberState.ALIVE

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        daemon=strategies.integers(0, DAEMONS - 1),
        timeout=strategies.sampled_from((1.0, 10.0)),
        digest=strategies.sampled_from(("a", "a", "a", "b")),
    )
    def send_request(self, key, daemon, timeout, digest):
        self.sequence += 1
        owner = backend_servers.Owner(
            ids.VmId(str(daemon)), ids.Incarnation(self.incarnations[daemon])
        )
        name = str(self.sequence)
        booking = state_machine.BookingStateMachine(
            state_machine.BookingAttempt(
                ids.AttemptId(name),
                owner,
                digest,
                deadlines.Deadline(
                    units.after(self.now, units.Seconds(timeout))
                ),
            ),
            LIMITS,
            random.Random(self.sequence),
        )
        attempt = Attempt(key, daemon, owner, booking, name, digest=digest)
        attempt.deadline = self.now + timeout
        self.attempts.append(attempt)
        self.handle_commands(attempt, booking.start(self.now))

    @stateful.precondition(lambda self: self.steppable())
    @stateful.rule(
        data=strategies.data(),
        fault=strategies.sampled_from(
            ("none", "none", "none", "lost", "late", "dropped", "down")
        ),
        service=strategies.sampled_from(
            (
                "answer",
                "answer",
                "refuse",
                "refuse_again",
                "lost",
                "not_started",
            )
        ),
    )
    def step(self, data, fault, service):
        attempt = data.draw(strategies.sampled_from(self.steppable()))
        self.perform(attempt, fault, service)

    def steppable(self):
        return [a for a in self.attempts if a.pending is not None]

    def perform(self, attempt, fault, service):
        command = attempt.pending
        if isinstance(command, commands.ReadRecord):
            self.read(attempt, fault)
        elif isinstance(command, commands.WriteRecord):
            self.write(attempt, command, fault)
        elif attempt.in_flight:
            self.execute(attempt, service)
        elif self.now < command.send_before:
            # The check passed; the process may pause before it sends the bytes.
            attempt.in_flight = True
        else:
            self.handle_commands(
                attempt,
                attempt.machine.on_sent(
                    commands.NotRun(REFUSED, True), self.now
                ),
            )

    def read(self, attempt, fault):
        booking = attempt.machine
        if fault != "none":
            returned = booking.on_read_failed(
                error(ERRORS.UNAVAILABLE), self.now
            )
        else:
            version, record = self.store.objects.get(attempt.key, (None, None))
            state = (
                states.MemberState.ALIVE
                if record is None
                else self.owner_state(record.owner)
            )
            returned = booking.on_read(record, version, state, self.now)
        self.handle_commands(attempt, returned)

    def write(self, attempt, command, fault):
        write = (attempt.key, command.record, command.condition)
        booking = attempt.machine
        if fault == "down":
            failure = error(ERRORS.UNAVAILABLE)
        elif fault == "none":
            version = self.store.put(*write)
            if version is not None:
                self.handle_commands(
                    attempt, booking.on_written(version, self.now)
                )
                return
            failure = error(ERRORS.CONFLICT)
        else:
            if fault == "lost":
                self.store.put(*write)
            elif fault == "late":
                self.late_writes.append(write)
            failure = error(ERRORS.AMBIGUOUS)
        self.handle_commands(
            attempt, booking.on_write_failed(failure, self.now)
        )

    def execute(self, attempt, service):
        attempt.in_flight = False
        if service.startswith("refuse"):
            outcome = commands.NotRun(REFUSED, service == "refuse_again")
        elif service == "not_started":
            outcome = commands.ExecutionUnknown(FAILED)
        else:
            attempt.executed = True
            self.executions[attempt.key] = (
                self.executions.get(attempt.key, 0) + 1
            )
            response = backend_servers.PlainResponse(
                200, "text/plain", b"\xff" + attempt.name.encode()
            )
            self.responses[attempt.key] = response
            outcome = (
                commands.Completed(response)
                if service == "answer"
                else commands.ExecutionUnknown(FAILED)
            )
        self.handle_commands(
            attempt, attempt.machine.on_sent(outcome, self.now)
        )

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule()
    def late_write_arrives(self):
        self.store.put(*self.late_writes.pop(0))

    # With more crashes, teardown would find hardly any attempt of a live owner
    # to check.
    @stateful.precondition(lambda self: sum(self.incarnations) < DAEMONS + 2)
    @stateful.rule(daemon=strategies.integers(0, DAEMONS - 1))
    def crash(self, daemon):
        self.incarnations[daemon] += 1
        for attempt in self.attempts:
            if attempt.daemon == daemon:
                attempt.pending = None

    @stateful.rule(daemon=strategies.integers(0, DAEMONS - 1))
    def declare_dead_or_refute(self, daemon):
        self.suspected ^= {daemon}

    @stateful.rule(duration=strategies.sampled_from((0.1, 2.0, 30.0)))
    def advance_time(self, duration):
        self.now = units.after(self.now, units.Seconds(duration))
        for attempt in self.steppable():
            if attempt.in_flight and self.now >= attempt.deadline:
                send = attempt.pending
                self.handle_commands(
                    attempt, attempt.machine.on_deadline(self.now)
                )
                assert attempt.reply is not None
                assert attempt.pending is None
                attempt.pending = send

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.executions.values())

    @stateful.invariant()
    def not_run_is_true(self):
        for attempt in self.attempts:
            if (
                isinstance(attempt.reply, result.Err)
                and attempt.reply.err_value.execution
                is states.Execution.NOT_RUN
            ):
                assert not attempt.executed
                assert not attempt.in_flight

    def teardown(self):
        """Completes every live attempt and checks the stored records."""
        self.suspected.clear()
        while self.late_writes:
            self.late_write_arrives()
        for _ in range(200):
            for attempt in self.steppable():
                self.perform(attempt, "none", "answer")
            self.advance_time(0.2)
        assert not self.steppable(), "an attempt never ends"
        for _, record in self.store.objects.values():
            attempt = next(a for a in self.attempts if a.name == record.attempt)
            live = self.owner_state(record.owner) is states.MemberState.ALIVE
            assert attempt.machine.settled
            if live:
                assert record.state is not states.BookingState.CLAIMED
            if (
                live
                and attempt.executed
                and isinstance(attempt.reply, result.Ok)
            ):
                assert record.state is states.BookingState.DONE
                assert record.answer.body == attempt.reply.ok_value.body
        self.runs_at_most_once()
        self.not_run_is_true()


BookingSimulation.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
)
BookingSimulationTest = BookingSimulation.TestCase


class BookingCaseTest(unittest.TestCase):
    """Guards against single cases in which a caller gets a wrong result."""

    def setUp(self):
        self.simulation = BookingSimulation()

    def run_booking(self, digest="a", daemon=0, service="answer", fault="none"):
        self.simulation.send_request(KEYS[0], daemon, 10.0, digest)
        attempt = self.simulation.attempts[-1]
        self.finish(attempt, service, fault)
        return attempt

    def finish(self, attempt, service="answer", fault="none", pause=0.0):
        for _ in range(100):
            if attempt.pending is None:
                return
            self.simulation.perform(attempt, fault, service)
            self.simulation.advance_time(pause)
        self.fail("the attempt never ends")

    def failure(self, attempt):
        return attempt.reply.err_value

    def test_a_successful_booking_needs_two_writes(self):
        self.assertIsInstance(self.run_booking().reply, result.Ok)
        self.assertEqual(self.simulation.store.writes, 2)

    def test_a_finished_booking_is_replayed_by_another_daemon(self):
        first = self.run_booking()
        again = self.run_booking(daemon=1)
        self.assertEqual(again.reply, first.reply)
        self.assertFalse(again.executed)

    def test_a_key_with_another_request_is_refused(self):
        self.run_booking()
        self.assertIs(
            self.failure(self.run_booking(digest="b")).reason,
            states.FailureReason.IDEMPOTENCY_KEY_REUSED,
        )

    def test_a_refused_booking_runs_when_it_is_retried(self):
        refused = self.run_booking(service="refuse")
        self.assertIs(self.failure(refused).execution, states.Execution.NOT_RUN)
        self.assertTrue(self.run_booking(daemon=1).executed)

    def test_a_call_with_a_lost_response_is_never_run_again(self):
        self.run_booking(service="lost")
        again = self.failure(self.run_booking(daemon=1))
        self.assertIs(again.execution, states.Execution.UNKNOWN)

    def test_a_claim_of_a_dead_owner_is_unknown(self):
        self.simulation.send_request(KEYS[0], 0, 10.0, "a")
        self.simulation.perform(self.simulation.attempts[0], "none", "answer")
        self.simulation.crash(0)
        again = self.failure(self.run_booking(daemon=1))
        self.assertIs(again.execution, states.Execution.UNKNOWN)

    def test_a_claim_of_a_live_owner_is_a_conflict_after_a_wait(self):
        self.simulation.send_request(KEYS[0], 0, 10.0, "a")
        self.simulation.perform(self.simulation.attempts[0], "none", "answer")
        self.simulation.send_request(KEYS[0], 1, 10.0, "a")
        second = self.simulation.attempts[1]
        self.finish(second, pause=0.25)
        self.assertIs(
            self.failure(second).reason,
            states.FailureReason.BOOKING_IN_PROGRESS,
        )

    def test_a_paused_daemon_does_not_send_for_an_expired_claim(self):
        self.simulation.send_request(KEYS[0], 0, 10.0, "a")
        attempt = self.simulation.attempts[0]
        self.simulation.perform(attempt, "none", "answer")
        self.simulation.advance_time(LIMITS.max_claim_age)
        self.finish(attempt)
        self.assertIs(self.failure(attempt).execution, states.Execution.NOT_RUN)
        self.assertTrue(self.run_booking(daemon=1).executed)

    def test_a_late_second_claim_does_not_stay_claimed(self):
        self.run_booking(service="refuse")
        self.simulation.send_request(KEYS[0], 1, 10.0, "a")
        attempt = self.simulation.attempts[1]
        while attempt.reply is None:
            claims = isinstance(attempt.pending, commands.WriteRecord)
            self.simulation.perform(
                attempt, "late" if claims else "none", "answer"
            )
        self.simulation.teardown()
        _, record = self.simulation.store.objects[KEYS[0]]
        self.assertIs(record.state, states.BookingState.ABANDONED)

    def test_a_response_after_the_deadline_is_returned_to_a_retry(self):
        self.simulation.send_request(KEYS[0], 0, 1.0, "a")
        attempt = self.simulation.attempts[0]
        self.simulation.perform(attempt, "none", "answer")
        self.simulation.perform(attempt, "none", "answer")
        self.simulation.advance_time(2.0)
        self.assertIs(self.failure(attempt).execution, states.Execution.UNKNOWN)
        self.finish(attempt)
        self.assertIsInstance(self.run_booking(daemon=1).reply, result.Ok)

    def test_an_unreadable_record_of_another_attempt_is_unknown(self):
        self.run_booking()
        self.simulation.send_request(KEYS[0], 1, 10.0, "a")
        attempt = self.simulation.attempts[1]
        self.simulation.perform(attempt, "none", "answer")
        self.finish(attempt, fault="down")
        self.assertIs(self.failure(attempt).execution, states.Execution.UNKNOWN)

    def test_a_response_too_large_to_store_is_reported_as_completed(self):
        response = backend_servers.PlainResponse(
            200, "text/plain", bytes(records.MAX_STORED_RESPONSE_BYTES + 1)
        )
        record = records.BookingRecord(
            states.BookingState.DONE,
            ids.AttemptId("other"),
            backend_servers.Owner(ids.VmId("0"), ids.Incarnation(1)),
            "a",
            records.to_stored_response(response),
        )
        self.simulation.store.put(KEYS[0], record, object_store.IfAbsent())
        failure = self.failure(self.run_booking())
        self.assertIs(failure.reason, states.FailureReason.ANSWER_NOT_KEPT)
        self.assertIs(failure.execution, states.Execution.COMPLETED)


if __name__ == "__main__":
    unittest.main()
