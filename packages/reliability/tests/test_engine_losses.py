"""Tests what the loss of an engine is taken for."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import engine_losses

Cause = engine_losses.LossCause
Evidence = engine_losses.LossEvidence


class EngineLossesTest(unittest.TestCase):
    """Guards against a cut of the own path counted as crashes of engines."""

    def setUp(self):
        self.losses = engine_losses.EngineLosses()
        for engine in range(8):
            self.answer(engine, 0.0)

    def answer(self, engine, now):
        self.losses.on_answer(ids.ServerNumber(engine), units.Instant(now))

    def lose(
        self, engine, now, evidence=Evidence.CONNECTION_LOST, leaving=False
    ):
        return self.losses.on_loss(
            ids.ServerNumber(engine),
            evidence,
            units.Instant(now),
            leaving=leaving,
        )

    def test_one_lost_engine_has_crashed(self):
        loss = self.lose(1, 2.5)
        self.assertIs(loss.cause, Cause.CRASH)
        self.assertTrue(loss.is_counted)
        self.assertEqual(loss.age, 2.5)

    def test_engines_lost_together_are_a_fault_of_the_own_path(self):
        causes = [self.lose(engine, 1.0).cause for engine in range(5)]
        self.assertEqual(causes[2:], [Cause.OWN_PATH] * 3)

    def test_engines_lost_together_have_crashed_while_others_answer(self):
        self.lose(1, 1.0)
        self.lose(2, 1.1)
        self.answer(7, 1.2)
        self.assertIs(self.lose(3, 1.3).cause, Cause.CRASH)

    def test_engines_lost_in_turn_have_crashed(self):
        for number in range(6):
            loss = self.lose(number, 1.0 + 0.6 * number)
            self.assertIs(loss.cause, Cause.CRASH)

    def test_a_leaving_engine_ends_as_planned(self):
        loss = self.lose(1, 1.0, leaving=True)
        self.assertIs(loss.cause, Cause.PLANNED)
        self.assertFalse(loss.is_counted)

    def test_silence_counts_until_the_engine_answers(self):
        loss = self.lose(1, 1.0, Evidence.NO_DATA)
        self.assertIs(loss.cause, Cause.SILENCE)
        self.assertTrue(loss.is_counted)


if __name__ == "__main__":
    unittest.main()
