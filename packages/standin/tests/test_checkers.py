"""Guards the checkers against missing the violations they look for."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from lavendershed.core import units
from lavendershed.standin import checkers
from lavendershed.standin import engine_timing_model
from lavendershed.standin import load_client


def outcome(kind, text="", execution=None, duration=1.0):
    """Returns an outcome as the load client reports it."""
    return load_client.RequestOutcome(
        kind, 200, text, execution, None, units.Seconds(duration)
    )


COMPLETE = load_client.OutcomeKind.COMPLETE
PROBLEM = load_client.OutcomeKind.PROBLEM


class CheckersTest(unittest.TestCase):
    """Fails if a checker accepts an invalid history or rejects a valid one."""

    def test_detects_wrong_and_late_responses(self):
        expected = engine_timing_model.token_text("p", 0)
        cases = (
            (outcome(COMPLETE, expected), 0),
            (outcome(COMPLETE, "other"), 1),
            (outcome(COMPLETE, expected, duration=9.0), 1),
            (outcome(PROBLEM), 0),
        )
        for request_outcome, count in cases:
            sent = checkers.SentPrompt("r", "p", 1, 5.0, request_outcome)
            with self.subTest(request_outcome=request_outcome):
                self.assertEqual(len(checkers.check_prompts([sent])), count)

    def test_detects_repeated_missing_and_denied_executions(self):
        executed_once = [{"action": "execute", "body": "b"}]
        cases = (
            ([outcome(COMPLETE, "x")], executed_once, 0),
            ([outcome(COMPLETE, "x")], executed_once * 2, 1),
            ([outcome(COMPLETE, "x")], [], 1),
            (
                [outcome(COMPLETE, "x"), outcome(COMPLETE, "y")],
                executed_once,
                1,
            ),
            ([outcome(PROBLEM, execution="not_run")], executed_once, 1),
            ([outcome(PROBLEM, execution="unknown")], executed_once, 0),
        )
        for outcomes, history, count in cases:
            sent = [
                checkers.SentCall("b", 5.0, call_outcome)
                for call_outcome in outcomes
            ]
            with self.subTest(outcomes=outcomes, history=history):
                violations = checkers.check_calls(sent, [history])
                self.assertEqual(len(violations), count, violations)

    def test_detects_decreasing_epochs_within_one_start(self):
        started = '{"event": 801}\n'
        applied = '{{"event": 301, "epoch": {}}}\n'
        cases = (
            (started + applied.format(1) + applied.format(2), 0),
            (started + applied.format(2) + applied.format(1), 1),
            ((started + applied.format(2)) * 2, 0),
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "vm.log"
            for log_text, count in cases:
                path.write_text(log_text)
                with self.subTest(log_text=log_text):
                    violations = checkers.check_applied_epochs([path])
                    self.assertEqual(len(violations), count)
