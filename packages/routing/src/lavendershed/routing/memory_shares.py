"""Distribution of a large prompt's KV cache over several engines."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from lavendershed.membership import server_directory

# Block size of the engines' KV cache; each share may waste part of a block.
_BLOCK_TOKENS = 64
# Share of an engine's KV cache that stays free for short requests.
_RESERVED_SHARE = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryShare:
    """KV cache of a request on one engine, in tokens."""

    holder: server_directory.ServerEntry
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreeMemory:
    """Estimated free KV cache of an engine, in tokens."""

    engine: server_directory.ServerEntry
    tokens: int


def min_holders(required_tokens: int, kv_capacity: int) -> int:
    """Returns how many empty engines are needed for `required_tokens`."""
    usable = (
        kv_capacity - int(kv_capacity * _RESERVED_SHARE) - 2 * _BLOCK_TOKENS
    )
    return max(1, -(-required_tokens // usable))


def divide(
    required_tokens: int, kv_capacity: int, engines: Sequence[FreeMemory]
) -> tuple[MemoryShare, ...]:
    """Returns even shares on as few engines as possible.

    Engines with the most free KV cache are used first.

    Args:
        required_tokens: Tokens of the prompt and its answer.
        kv_capacity: KV cache capacity of an engine in tokens.
        engines: Engines that may hold a share.

    Returns:
        The shares, or an empty tuple if the free KV cache does not suffice.
    """
    reserved = int(kv_capacity * _RESERVED_SHARE)
    by_free_tokens = sorted(engines, key=lambda e: (-e.tokens, e.engine.id))
    for count in range(1, len(by_free_tokens) + 1):
        share = (
            -(-required_tokens // count // _BLOCK_TOKENS) * _BLOCK_TOKENS
            + 2 * _BLOCK_TOKENS
        )
        if by_free_tokens[count - 1].tokens - reserved >= share:
            return tuple(
                MemoryShare(free.engine, share)
                for free in by_free_tokens[:count]
            )
    return ()
