"""Guards the losses from which plans are compared."""

from __future__ import annotations

import dataclasses
import unittest

import engine_fixture

from lavendershed.routing import choice_weights
from lavendershed.routing import load_board
from lavendershed.routing import pass_model
from lavendershed.routing import predicted_loss

WEIGHTS = choice_weights.ChoiceWeights()
NOW = engine_fixture.NOW


def candidate(*works, zone=engine_fixture.ZONE):
    """Returns an engine with open work."""
    load = load_board.EngineLoad(works)
    return predicted_loss.Candidate(
        engine_fixture.engine("e", zone), load, 1.0, 50.0, 0.0, 0.0, 0.0
    )


class PredictedLossTest(unittest.TestCase):
    """Fails if a request or one that it delays is weighed wrongly."""

    def setUp(self):
        self.losses = predicted_loss.PredictedLoss(
            pass_model.PassModel(engine_fixture.PROFILE), WEIGHTS
        )

    def test_a_request_in_time_loses_nothing_but_its_wait(self):
        demand = engine_fixture.demand(5_000, due=0.3)
        loss = self.losses.own_loss(demand, 100.0, 50.0, NOW)
        self.assertAlmostEqual(loss, 0.1 * WEIGHTS.waiting)

    def test_a_late_request_loses_its_late_share(self):
        demand = engine_fixture.demand(5_000, due=0.3)
        loss = self.losses.own_loss(demand, 1_000.0, 50.0, NOW)
        credit = self.losses.credit(demand.size) * WEIGHTS.late_share
        self.assertAlmostEqual(loss, credit + WEIGHTS.waiting)

    def test_pauses_make_a_request_late_too(self):
        demand = engine_fixture.demand(5_000, pause=0.25)
        quick = self.losses.own_loss(demand, 100.0, 50.0, NOW)
        slow = self.losses.own_loss(demand, 100.0, 400.0, NOW)
        self.assertGreater(slow, quick)

    def test_a_part_that_exceeds_a_pause_harms_the_writer(self):
        writer = engine_fixture.work("e")
        harm = self.losses.harm(candidate(writer), 300.0, False, NOW)
        self.assertAlmostEqual(
            harm[writer.request], writer.credit * WEIGHTS.late_share
        )
        self.assertEqual(
            self.losses.harm(candidate(writer), 100.0, False, NOW), {}
        )

    def test_memory_that_is_taken_leaves_no_room(self):
        taken = engine_fixture.work("e", memory=300_000)
        demand = engine_fixture.demand(20_000)
        self.assertFalse(self.losses.has_room(demand, candidate(taken)))
        self.assertTrue(self.losses.has_room(demand, candidate()))

    def test_a_crowded_engine_costs_more(self):
        few = [engine_fixture.work("e", request=n) for n in range(3)]
        many = [engine_fixture.work("e", request=n) for n in range(8)]
        self.assertEqual(self.losses.crowding(load_board.EngineLoad(few)), 0.0)
        self.assertGreater(
            self.losses.crowding(load_board.EngineLoad(many)), 0.0
        )

    def test_slots_stay_free_for_requests_that_are_not_known_yet(self):
        """Guards against full engines when daemons decide at once.

        Found on the first grown deployment: with five of six slots in use,
        two requests that met at an engine waited for an answer to end.
        """
        small = dataclasses.replace(engine_fixture.PROFILE, slots=6)
        self.assertLess(predicted_loss.comfortable_requests(small), 4.0)
        single = dataclasses.replace(engine_fixture.PROFILE, slots=1)
        self.assertEqual(predicted_loss.comfortable_requests(single), 1.0)

    def test_engine_time_costs_nothing_while_slots_are_free(self):
        engines = [candidate() for _ in range(4)]
        self.assertEqual(self.losses.occupation_loss(engines, 5_000.0), 0.0)


if __name__ == "__main__":
    unittest.main()
