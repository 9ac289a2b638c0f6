"""Tests the distribution of a KV cache over engines."""

from __future__ import annotations

import unittest

import engine_fixture
import hypothesis
from hypothesis import strategies

from lavendershed.routing import memory_shares

KV_CAPACITY = 315_000


def free(*tokens):
    """Returns engines with these amounts of free KV cache."""
    return [
        memory_shares.FreeMemory(engine_fixture.engine(f"e{n}"), count)
        for n, count in enumerate(tokens)
    ]


class DivideTest(unittest.TestCase):
    """Fails if shares are too small, too many or exceed the free KV cache."""

    def test_as_few_engines_as_possible(self):
        shares = memory_shares.divide(
            400_000, KV_CAPACITY, free(KV_CAPACITY, KV_CAPACITY, KV_CAPACITY)
        )
        self.assertEqual(len(shares), 2)

    def test_no_shares_without_enough_free_memory(self):
        self.assertEqual(
            memory_shares.divide(
                400_000, KV_CAPACITY, free(KV_CAPACITY, 1_000)
            ),
            (),
        )

    def test_the_minimum_number_of_engines(self):
        self.assertEqual(memory_shares.min_holders(10, KV_CAPACITY), 1)
        self.assertEqual(memory_shares.min_holders(400_000, KV_CAPACITY), 2)
        self.assertEqual(memory_shares.min_holders(700_000, KV_CAPACITY), 3)

    @hypothesis.given(
        strategies.integers(1, 900_000),
        strategies.lists(strategies.integers(0, KV_CAPACITY), max_size=12),
    )
    def test_shares_suffice_and_fit(self, need, tokens):
        engines = free(*tokens)
        shares = memory_shares.divide(need, KV_CAPACITY, engines)
        free_tokens = {f.engine.id: f.tokens for f in engines}
        if shares:
            self.assertGreaterEqual(sum(s.tokens for s in shares), need)
        for share in shares:
            self.assertLessEqual(share.tokens, free_tokens[share.holder.id])


if __name__ == "__main__":
    unittest.main()
