"""Division of a large prompt's memory among engines."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from lavendershed.membership import server_directory

# Engines keep memory in blocks; each share may waste a part of one.
_BLOCK_TOKENS = 64
# Part of an engine's memory that stays free for the short requests there.
_RESERVED_SHARE = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryShare:
    """Tokens of a prompt that one engine holds."""

    holder: server_directory.ServerEntry
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class FreeMemory:
    """Tokens that are free at an engine, as far as is known."""

    engine: server_directory.ServerEntry
    tokens: int


def min_holders(required_tokens: int, kv_capacity: int) -> int:
    """Returns how many empty engines hold `need` tokens."""
    usable = (
        kv_capacity - int(kv_capacity * _RESERVED_SHARE) - 2 * _BLOCK_TOKENS
    )
    return max(1, -(-required_tokens // usable))


def divide(
    required_tokens: int, kv_capacity: int, engines: Sequence[FreeMemory]
) -> tuple[MemoryShare, ...]:
    """Returns shares on as few engines as possible, the largest first.

    Args:
        required_tokens: Tokens of the prompt and its answer.
        kv_capacity: Tokens that an empty engine holds.
        engines: Engines that may hold a share.

    Returns:
        Even shares, or nothing if the engines don't have the room.
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
