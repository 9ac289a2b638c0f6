"""Tests of the belief about prompts that an engine still holds."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import backend_servers
from lavendershed.core import units
from lavendershed.routing import held_prompts
from lavendershed.routing import prompt_blocks

CAPACITY = units.Tokens(100_000)


def blocks(start, count):
    """Returns a prefix of `count` blocks of 512 tokens."""
    return held_prompts.from_blocks(tuple(range(start, start + count)))


def event(sequence, stored=(), evicted=()):
    """Returns a cache event."""
    return backend_servers.CacheEvent(sequence, stored, evicted)


class CacheEventTest(unittest.TestCase):
    """Fails if a belief keeps full confidence after a gap, or is unbounded."""

    def test_gap_in_sequence_numbers_halves_the_confidence(self):
        held = held_prompts.BelievedPrompts(CAPACITY, 100)
        held.on_events((event(1, (1, 2, 3, 4)),))
        whole = held.expected_tokens(blocks(1, 4))
        self.assertEqual(whole, 2_048)
        held.on_events((event(3),))
        self.assertEqual(held.expected_tokens(blocks(1, 4)), whole // 2)

    def test_size_is_bounded_and_starts_of_chains_stay(self):
        held = held_prompts.BelievedPrompts(CAPACITY, 10)
        held.on_prompt(blocks(0, 8))
        held.on_prompt(blocks(100, 6))
        self.assertEqual(held.size, 10)
        self.assertGreater(held.expected_tokens(blocks(0, 8)), 0)

    def test_evicted_blocks_are_forgotten(self):
        held = held_prompts.BelievedPrompts(CAPACITY, 100)
        held.on_events((event(1, (1, 2, 3, 4)), event(2, (), (3, 4))))
        self.assertEqual(held.expected_tokens(blocks(1, 4)), 1_024)

    def test_gap_in_a_chain_after_lost_events_ends_the_prefix(self):
        held = held_prompts.BelievedPrompts(CAPACITY, 100)
        held.on_events((event(1, (1, 2, 3, 4, 5)), event(2, (), (4,))))
        self.assertEqual(held.expected_tokens(blocks(1, 5)), 1_536)

    def test_events_confirm_what_was_held_before_them(self):
        held = held_prompts.BelievedPrompts(CAPACITY, 1_000)
        held.on_prompt(blocks(0, 20))
        held.on_prompt(blocks(100, 90))
        doubtful = held.expected_tokens(blocks(0, 20))
        held.on_events((event(1),))
        self.assertGreater(held.expected_tokens(blocks(0, 20)), doubtful)


class BelievedPromptsTest(unittest.TestCase):
    """Fails if prompts count as held that newer work has probably evicted."""

    def setUp(self):
        self.held = held_prompts.BelievedPrompts(CAPACITY, 1_000)
        self.held.on_prompt(blocks(0, 20))

    def test_prompt_of_another_beginning_gains_nothing(self):
        self.assertEqual(self.held.expected_tokens(blocks(0, 20)), 10_240)
        self.assertEqual(self.held.expected_tokens(blocks(0, 5)), 2_560)
        self.assertEqual(self.held.expected_tokens(blocks(1_000, 20)), 0)

    def test_newer_prompts_lower_the_chance_step_by_step(self):
        expected = []
        for start in range(100, 500, 100):
            expected.append(self.held.expected_tokens(blocks(0, 20)))
            self.held.on_prompt(blocks(start, 40))
        self.assertEqual(expected, sorted(expected, reverse=True))
        self.assertEqual(len(set(expected)), len(expected))

    def test_work_of_unknown_daemons_lowers_the_chance(self):
        self.held.on_memory_in_use(20_000)
        before = self.held.expected_tokens(blocks(0, 20))
        self.held.on_memory_in_use(0)
        self.held.on_memory_in_use(40_000)
        self.assertLess(self.held.expected_tokens(blocks(0, 20)), before)

    def test_memory_of_the_prompt_itself_does_not_evict_it(self):
        self.held.on_memory_in_use(10_240)
        self.assertEqual(self.held.expected_tokens(blocks(0, 20)), 10_240)

    def test_full_memory_evicts_also_after_it_is_free_again(self):
        self.held.on_memory_in_use(CAPACITY)
        self.held.on_memory_in_use(0)
        self.assertEqual(self.held.expected_tokens(blocks(0, 20)), 0)

    def test_restarted_engine_holds_nothing(self):
        self.held.on_events((event(7, (1_000,)),))
        self.held.forget()
        self.assertEqual(self.held.expected_tokens(blocks(0, 20)), 0)
        self.assertEqual(self.held.size, 0)
        self.assertEqual(self.held.sequence, 0)

    def test_beginning_that_was_used_lately_outlives_the_rest(self):
        self.held.on_prompt(blocks(200, 60))
        self.held.on_prompt(blocks(0, 5))
        expected = self.held.expected_tokens(blocks(0, 20))
        self.assertGreater(expected, 2_560)
        self.assertLess(expected, 10_240)


class RandomHistoryTest(unittest.TestCase):
    """Fails if an order of news that nobody thought of breaks a belief."""

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.just("prompt"),
                    strategies.integers(0, 3),
                    strategies.integers(1, 12),
                ),
                strategies.tuples(
                    strategies.just("memory"), strategies.integers(0, 110_000)
                ),
                strategies.tuples(
                    strategies.just("events"),
                    strategies.integers(1, 30),
                    strategies.lists(strategies.integers(0, 45), max_size=6),
                    strategies.lists(strategies.integers(0, 45), max_size=6),
                ),
                strategies.tuples(strategies.just("restart")),
            ),
            max_size=40,
        )
    )
    def test_expected_tokens_stay_within_the_prompt(self, history):
        held = held_prompts.BelievedPrompts(CAPACITY, 20)
        for kind, *values in history:
            match kind:
                case "prompt":
                    held.on_prompt(blocks(12 * values[0], values[1]))
                case "memory":
                    held.on_memory_in_use(values[0])
                case "events":
                    sequence, stored, evicted = values
                    held.on_events((event(sequence, stored, evicted),))
                case "restart":
                    held.forget()
            self.assertLessEqual(held.size, 20)
            for document in range(4):
                prefix = blocks(12 * document, 12)
                expected = held.expected_tokens(prefix)
                self.assertGreaterEqual(expected, 0)
                self.assertLessEqual(expected, prefix.tokens)


class NothingHeldTest(unittest.TestCase):
    """Fails if engines that retain nothing attract prompts."""

    def test_nothing_is_expected(self):
        held = held_prompts.NothingHeld()
        held.on_prompt(blocks(0, 20))
        held.on_events((event(1, (0, 1)),))
        self.assertEqual(held.expected_tokens(blocks(0, 20)), 0)


class LoadBoundTest(unittest.TestCase):
    """Fails if a part that all prompts share draws them to one engine."""

    def test_engine_over_the_bound_attracts_nothing(self):
        self.assertTrue(held_prompts.within_load_bound(1, 1, 20))
        self.assertFalse(held_prompts.within_load_bound(2, 2, 20))
        self.assertTrue(held_prompts.within_load_bound(12, 200, 20))
        self.assertFalse(held_prompts.within_load_bound(13, 200, 20))


class BlockHashTest(unittest.TestCase):
    """Fails if prompts that differ at the start count as equal later."""

    def test_hash_of_a_block_covers_the_blocks_before_it(self):
        first = prompt_blocks.block_hashes("a" * 4_096)
        second = prompt_blocks.block_hashes("b" + "a" * 4_095)
        self.assertEqual(len(first), 2)
        self.assertNotEqual(first[1], second[1])


if __name__ == "__main__":
    unittest.main()
