"""Guards the checkers: each must see the violation that it is meant for."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from lavendershed.core import units
from lavendershed.standin import checkers
from lavendershed.standin import engine_timing_model
from lavendershed.standin import load_client


def answer(ending, text="", execution=None, duration=1.0):
    """Returns an answer as the load client reports it."""
    return load_client.RequestOutcome(
        ending, 200, text, execution, None, units.Seconds(duration)
    )


WHOLE = load_client.OutcomeKind.COMPLETE
PROBLEM = load_client.OutcomeKind.PROBLEM


class CheckersTest(unittest.TestCase):
    """Fails if a checker accepts a broken history."""

    def test_wrong_late_and_right_answers(self):
        right = engine_timing_model.token_text("p", 0)
        cases = (
            (answer(WHOLE, right), 0),
            (answer(WHOLE, "other"), 1),
            (answer(WHOLE, right, duration=9.0), 1),
            (answer(PROBLEM), 0),
        )
        for given, count in cases:
            sent = checkers.SentPrompt("r", "p", 1, 5.0, given)
            with self.subTest(given=given):
                self.assertEqual(len(checkers.check_prompts([sent])), count)

    def test_double_forgotten_and_denied_executions(self):
        once = [{"action": "execute", "body": "b"}]
        cases = (
            ([answer(WHOLE, "x")], once, 0),
            ([answer(WHOLE, "x")], once * 2, 1),
            ([answer(WHOLE, "x")], [], 1),
            ([answer(WHOLE, "x"), answer(WHOLE, "y")], once, 1),
            ([answer(PROBLEM, execution="not_run")], once, 1),
            ([answer(PROBLEM, execution="unknown")], once, 0),
        )
        for answers, history, count in cases:
            sent = [checkers.SentCall("b", 5.0, given) for given in answers]
            with self.subTest(answers=answers, history=history):
                found = checkers.check_calls(sent, [history])
                self.assertEqual(len(found), count, found)

    def test_decreasing_epochs_within_one_start(self):
        started = '{"event": 801}\n'
        applied = '{{"event": 301, "epoch": {}}}\n'
        cases = (
            (started + applied.format(1) + applied.format(2), 0),
            (started + applied.format(2) + applied.format(1), 1),
            ((started + applied.format(2)) * 2, 0),
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "vm.log"
            for text, count in cases:
                path.write_text(text)
                with self.subTest(text=text):
                    found = checkers.check_applied_epochs([path])
                    self.assertEqual(len(found), count)
