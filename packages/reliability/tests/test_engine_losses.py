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
        self.losses.on_loss(
            engine_losses.Loss(
                ids.RequestId(f"r-{engine}"),
                ids.BackendServerId(f"e-{engine}"),
                ids.ServerNumber(engine),
                frozenset(),
                evidence,
                units.Instant(now),
                leaving,
            )
        )

    def judge(self, now):
        return [
            (judged.loss.engine, judged.cause, judged.evidence)
            for judged in self.losses.judge(units.Instant(now))
        ]

    def test_one_lost_engine_has_crashed_once_another_answers(self):
        self.lose(1, 2.5)
        self.answer(2, 2.6)
        self.assertEqual(self.judge(2.7), [])
        (judged,) = self.losses.judge(units.Instant(2.8))
        self.assertIs(judged.cause, Cause.CRASH)
        self.assertTrue(judged.is_counted)
        self.assertEqual(judged.age, 2.5)
        self.assertFalse(self.losses.has_held)

    def test_engines_lost_together_are_a_fault_of_the_own_path(self):
        """New connections work at once after a reset of all."""
        for engine in range(5):
            self.lose(engine, 1.0 + 0.01 * engine)
        self.answer(6, 1.1)
        self.assertEqual(self.judge(1.4), [])
        self.assertEqual(
            self.judge(9.2),
            [
                (engine, Cause.OWN_PATH, Evidence.SEVERAL_ENGINES_LOST)
                for engine in range(5)
            ],
        )

    def test_engines_that_the_list_lacks_have_ended(self):
        for engine in range(5):
            self.lose(engine, 1.0)
        self.losses.on_ended(ids.ServerNumber(3))
        self.assertEqual(
            self.judge(4.0), [(3, Cause.CRASH, Evidence.ENTRY_GONE)]
        )

    def test_a_loss_is_not_counted_while_no_other_engine_answers(self):
        self.lose(1, 1.0)
        self.assertEqual(self.judge(2.0), [])
        self.assertEqual(
            self.judge(9.5),
            [(1, Cause.OWN_PATH, Evidence.NO_OTHER_ENGINE_ANSWERED)],
        )

    def test_an_engine_that_answers_afterwards_has_not_ended(self):
        self.lose(1, 1.0, Evidence.NO_DATA)
        self.answer(2, 1.1)
        self.answer(1, 1.2)
        self.assertEqual(
            self.judge(1.3), [(1, Cause.OWN_PATH, Evidence.ENGINE_ANSWERED)]
        )

    def test_an_engine_that_accepts_connections_has_not_ended(self):
        self.lose(1, 1.0)
        self.losses.on_accepted(ids.ServerNumber(1))
        self.assertEqual(
            self.judge(1.1), [(1, Cause.OWN_PATH, Evidence.ENGINE_ACCEPTED)]
        )

    def test_engines_that_refuse_connections_have_crashed(self):
        for engine in range(4):
            self.lose(engine, 1.0)
            self.losses.on_refused(ids.ServerNumber(engine))
        self.assertEqual(self.judge(1.1), [])
        self.answer(6, 1.2)
        self.assertEqual(
            self.judge(1.2),
            [
                (engine, Cause.CRASH, Evidence.ENGINE_REFUSED)
                for engine in range(4)
            ],
        )

    def test_engines_lost_in_turn_have_crashed(self):
        for number in range(6):
            at = 1.0 + 0.6 * number
            self.lose(number, at)
            self.answer(7, at + 0.1)
            self.assertEqual(
                self.judge(at + 0.3),
                [(number, Cause.CRASH, Evidence.CONNECTION_LOST)],
            )

    def test_a_leaving_engine_ends_as_planned(self):
        self.lose(1, 1.0, leaving=True)
        self.assertEqual(
            self.judge(1.0), [(1, Cause.PLANNED, Evidence.ENTRY_LEAVING)]
        )

    def test_silence_counts_while_the_engine_stays_silent(self):
        self.lose(1, 1.0, Evidence.NO_DATA)
        self.answer(2, 1.1)
        self.assertEqual(
            self.judge(1.3), [(1, Cause.SILENCE, Evidence.NO_DATA)]
        )


if __name__ == "__main__":
    unittest.main()
