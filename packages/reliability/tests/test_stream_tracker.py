"""Tests for the assembly of one response stream."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.reliability import stream_tracker

LENGTH = 12
KIND = backend_servers.BackendErrorKind


def error(kind):
    """Returns an error of a request that was sent."""
    return backend_servers.BackendError(kind, True, "")


def token(offset):
    """Returns the encoded token event that belongs at an offset."""
    return b"token-%d" % offset


class StreamMachine(stateful.RuleBasedStateMachine):
    """Model of engines and a network that duplicate, lose and mix up events.

    The caller must receive every token exactly once and in order, and the end
    only after the last token.
    """

    def __init__(self):
        super().__init__()
        self.tracker = stream_tracker.StreamTracker()
        self.attempts = []
        self.received = []
        self.finished = False
        self.waiting_for_attempt = True
        self.connected = False

    def execute(self, commands):
        for command in commands:
            if isinstance(command, stream_tracker.Deliver):
                self.received.extend(command.events)
            elif isinstance(command, stream_tracker.Finish):
                assert len(self.received) == LENGTH == command.token_count
                self.finished = True
            elif isinstance(command, stream_tracker.Resume):
                assert command.offset == len(self.received)
                self.connected = False
            elif isinstance(command, stream_tracker.FailOver):
                assert command.offset == len(self.received)
                self.waiting_for_attempt = True

    @stateful.precondition(lambda self: self.waiting_for_attempt)
    @stateful.rule()
    def start_attempt(self):
        self.attempts.append(ids.AttemptId(f"attempt-{len(self.attempts)}"))
        self.tracker.on_attempt_started(self.attempts[-1])
        self.waiting_for_attempt = False

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(incarnation=strategies.sampled_from((1, 1, 1, 2)))
    def accept(self, incarnation):
        event = backend_servers.StreamAccepted(
            self.attempts[-1], ids.Incarnation(incarnation)
        )
        self.connected = True
        self.execute(self.tracker.on_event(self.attempts[-1], event))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(
        backtrack=strategies.integers(-2, 4),
        count=strategies.integers(1, 5),
        stale_attempts=strategies.integers(0, 3),
        foreign_id=strategies.sampled_from((0, 0, 0, 1)),
    )
    def tokens(self, backtrack, count, stale_attempts, foreign_id):
        start = max(0, len(self.received) - backtrack)
        end = min(LENGTH, start + count)
        if start >= end:
            return
        read_attempt = self.attempts[
            max(-len(self.attempts), -1 - stale_attempts)
        ]
        event_attempt = (
            read_attempt if not foreign_id else ids.AttemptId("of-another")
        )
        before = len(self.received)
        batch = backend_servers.TokenBatch(
            event_attempt, start, tuple(token(i) for i in range(start, end))
        )
        self.execute(self.tracker.on_event(read_attempt, batch))
        if read_attempt != self.attempts[-1] or foreign_id:
            assert len(self.received) == before

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule()
    def end(self):
        event = backend_servers.StreamEnd(
            self.attempts[-1], units.Tokens(LENGTH), states.FinishReason.LENGTH
        )
        self.execute(self.tracker.on_event(self.attempts[-1], event))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(kind=strategies.sampled_from(KIND))
    def fail(self, kind):
        self.execute(self.tracker.on_error(self.attempts[-1], error(kind)))

    @stateful.invariant()
    def response_is_a_prefix_of_the_engine_output(self):
        expected = [token(i) for i in range(len(self.received))]
        assert self.received == expected
        assert self.tracker.delivered_tokens == len(self.received)


class StreamMachineTest(StreamMachine.TestCase):
    """Fails if a response has a gap, a duplicate or a premature end."""

    settings = hypothesis.settings(
        max_examples=150,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
    )


class StreamTrackerTest(unittest.TestCase):
    """Fails if a stream is resumed forever or failed over too early."""

    def setUp(self):
        self.tracker = stream_tracker.StreamTracker()
        self.attempt = ids.AttemptId("a")
        self.tracker.on_attempt_started(self.attempt)

    def accept(self):
        return self.tracker.on_event(
            self.attempt,
            backend_servers.StreamAccepted(self.attempt, ids.Incarnation(1)),
        )

    def fail(self, kind):
        (command,) = self.tracker.on_error(self.attempt, error(kind))
        return command

    def test_long_prefill_survives_many_idle_timeouts(self):
        for _ in range(100):
            self.accept()
            command = self.fail(KIND.IDLE_TIMEOUT)
            self.assertIsInstance(command, stream_tracker.Resume)

    def test_stream_fails_over_after_three_idle_timeouts(self):
        self.accept()
        commands = [type(self.fail(KIND.IDLE_TIMEOUT)) for _ in range(3)]
        self.assertEqual(
            commands,
            [stream_tracker.Resume] * 2 + [stream_tracker.FailOver],
        )

    def test_repeated_connection_losses_do_not_resume_forever(self):
        for _ in range(
            stream_tracker.StreamTracker.MAX_ERRORS_WITHOUT_PROGRESS
        ):
            self.accept()
            self.fail(KIND.CONNECTION_LOST)
        self.accept()
        command = self.fail(KIND.CONNECTION_LOST)
        self.assertIsInstance(command, stream_tracker.FailOver)

    def test_unknown_stream_fails_over(self):
        self.accept()
        command = self.fail(KIND.UNKNOWN_STREAM)
        self.assertIsInstance(command, stream_tracker.FailOver)
        self.assertTrue(self.tracker.evidence.started)

    def test_refused_start_leaves_no_evidence_of_execution(self):
        (command,) = self.tracker.on_start_error(
            self.attempt, error(KIND.REFUSED_BEFORE_START)
        )
        self.assertIsInstance(command, stream_tracker.FailOver)
        self.assertTrue(self.tracker.evidence.refused)

    def test_end_with_fewer_tokens_than_delivered_fails(self):
        self.accept()
        self.tracker.on_event(
            self.attempt,
            backend_servers.TokenBatch(self.attempt, 0, (b"a", b"b")),
        )
        (command,) = self.tracker.on_event(
            self.attempt,
            backend_servers.StreamEnd(
                self.attempt, units.Tokens(1), states.FinishReason.STOP
            ),
        )
        self.assertIsInstance(command, stream_tracker.Fail)


if __name__ == "__main__":
    unittest.main()
