"""Hashes of the leading blocks of a prompt."""

from __future__ import annotations

import xxhash

from lavendershed.core import units

# Block size of the engines' prefix cache.
BLOCK_TOKENS = units.Tokens(512)
_CHARACTERS_PER_TOKEN = 4
_BLOCK_CHARACTERS = BLOCK_TOKENS * _CHARACTERS_PER_TOKEN
# A prompt of a million tokens has 1,954 blocks.
_MAX_PROMPT_BLOCKS = 2_048


def block_hashes(prompt: str, adapter: str = "") -> tuple[int, ...]:
    """Returns chained hashes of the prompt's complete blocks.

    Each hash covers all blocks before it, so equal hashes mean equal prefixes.
    The adapter is part of the chain because it changes the KV values.
    """
    count = min(len(prompt) // _BLOCK_CHARACTERS, _MAX_PROMPT_BLOCKS)
    chain = xxhash.xxh3_64_intdigest(adapter.encode())
    hashes = []
    for index in range(count):
        start = index * _BLOCK_CHARACTERS
        block = prompt[start : start + _BLOCK_CHARACTERS]
        chain = xxhash.xxh3_64_intdigest(
            block.encode("utf-8", "surrogatepass"), seed=chain
        )
        hashes.append(chain)
    return tuple(hashes)
