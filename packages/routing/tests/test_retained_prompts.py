"""Tests that the saved prefill time is weighed against waiting."""

from __future__ import annotations

import collections
import dataclasses
import random
import unittest

import engine_fixture

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.routing import engine_choice
from lavendershed.routing import engine_slowdown
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker

NOW = engine_fixture.NOW
PREFIX = held_prompts.PromptPrefix((1, 2), (3_000, 4_900))


class RetainedPromptsTest(unittest.TestCase):
    """Fails if the choice ignores what engines hold, or only looks at it."""

    def setUp(self):
        self.tracker = load_tracker.LoadTracker()
        self.engines = [engine_fixture.engine(f"e{n}") for n in range(14)]
        self.build(retains_prompts=True)

    def build(self, *, retains_prompts):
        profile = dataclasses.replace(
            engine_fixture.PROFILE, retains_prompts=retains_prompts
        )
        self.chooser = engine_choice.PredictedLossChooser(
            latency_model.LatencyModel(profile),
            self.tracker,
            engine_slowdown.EngineSlowdowns(),
            random.Random(1),
        )

    def choose(self, prefix=PREFIX, tokens=5_000):
        demand = dataclasses.replace(
            engine_fixture.demand(tokens), prompt_prefix=prefix
        )
        return self.chooser.choose(demand, self.engines, frozenset(), NOW)

    def prefilled(self, number, prefix=PREFIX):
        self.chooser.retained_prompts.on_prefilled(self.engines[number], prefix)

    def engines_of(self, choices=30, prefix=PREFIX):
        return {self.choose(prefix).decode_engine.id for _ in range(choices)}

    def test_engine_that_holds_the_prompt_is_chosen_at_rest(self):
        without = self.choose()
        self.prefilled(5)
        self.assertEqual(self.engines_of(), {"e5"})
        self.assertLess(self.choose().ttft_ms, without.ttft_ms)
        # Other requests count on the time that is left.
        self.assertLess(self.choose().prefill_ms, without.prefill_ms)

    def test_engine_with_a_longer_queue_than_the_saving_is_not(self):
        self.prefilled(5)
        self.tracker.add(
            engine_fixture.task(
                "e5",
                engine_fixture.PREFILL,
                prefill_ms=400.0,
                first_token_at=units.Instant(NOW + 0.4),
            )
        )
        self.assertNotIn("e5", self.engines_of())

    def test_nothing_changes_where_nothing_is_shared(self):
        before = self.choose().loss
        self.prefilled(5)
        other = held_prompts.PromptPrefix((9,), (4_900,))
        self.assertEqual(self.choose(other).loss, before)
        self.assertGreater(len(self.engines_of(prefix=other)), 1)

    def test_nothing_changes_where_engines_retain_nothing(self):
        self.build(retains_prompts=False)
        before = self.choose().loss
        self.prefilled(5)
        self.assertEqual(self.choose().loss, before)
        self.assertEqual(self.chooser.retained_prompts.size, 0)

    def test_next_incarnation_of_an_engine_holds_nothing(self):
        self.prefilled(5)
        self.engines[5] = dataclasses.replace(
            self.engines[5], incarnation=ids.Incarnation(2)
        )
        self.assertGreater(len(self.engines_of()), 1)

    def test_engine_that_gets_cold_again_holds_nothing_of_before(self):
        self.prefilled(5)
        self.engines[5] = dataclasses.replace(
            self.engines[5],
            cold_remaining=units.Seconds(3.0),
            revision=store_revisions.of(1, 9),
        )
        self.assertGreater(len(self.engines_of()), 1)
        # The entry keeps the time at which it was written.
        self.prefilled(5)
        self.assertEqual(self.engines_of(), {"e5"})

    def test_part_of_all_prompts_does_not_draw_them_to_one_engine(self):
        counts: collections.Counter[str] = collections.Counter()
        for request in range(56):
            engine = self.choose().decode_engine
            counts[engine.id] += 1
            self.tracker.add(engine_fixture.task(engine.id, request=request))
            self.chooser.retained_prompts.on_prefilled(engine, PREFIX)
        # 56 requests on 14 engines: the bound is 1.25 times the mean of 4.
        self.assertLessEqual(max(counts.values()), 6)

    def test_memory_is_bounded(self):
        for number in range(400):
            self.chooser.retained_prompts.on_prefilled(
                engine_fixture.engine(f"other{number}"), PREFIX
            )
        self.assertEqual(self.chooser.retained_prompts.size, 256)


if __name__ == "__main__":
    unittest.main()
