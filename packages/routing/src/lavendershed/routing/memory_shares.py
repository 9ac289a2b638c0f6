"""Division of a large prompt's memory among engines."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from lavendershed.membership import server_directory

# Engines keep memory in blocks; each share may waste a part of one.
_BLOCK = 64
# Part of an engine's memory that stays free for the short requests there.
_KEPT_SHARE = 0.04


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


def least_holders(need: int, memory: int) -> int:
    """Returns how many empty engines hold `need` tokens."""
    usable = memory - int(memory * _KEPT_SHARE) - 2 * _BLOCK
    return max(1, -(-need // usable))


def divide(
    need: int, memory: int, engines: Sequence[FreeMemory]
) -> tuple[MemoryShare, ...]:
    """Returns shares on as few engines as possible, the largest first.

    Args:
        need: Tokens of the prompt and its answer.
        memory: Tokens that an empty engine holds.
        engines: Engines that may hold a share.

    Returns:
        Even shares, or nothing if the engines don't have the room.
    """
    kept = int(memory * _KEPT_SHARE)
    roomy = sorted(engines, key=lambda e: (-e.tokens, e.engine.id))
    for count in range(1, len(roomy) + 1):
        share = -(-need // count // _BLOCK) * _BLOCK + 2 * _BLOCK
        if roomy[count - 1].tokens - kept >= share:
            return tuple(
                MemoryShare(free.engine, share) for free in roomy[:count]
            )
    return ()
