"""Index of the prompt prefixes that an engine probably has cached."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable

import xxhash

from lavendershed.core import backend_servers
from lavendershed.core import units

# Block size of the engines' prefix cache.
BLOCK_TOKENS = units.Tokens(512)
_CHARACTERS_PER_TOKEN = 4
_BLOCK_CHARACTERS = BLOCK_TOKENS * _CHARACTERS_PER_TOKEN
# A prompt of a million tokens has 1,954 blocks.
_MAX_PROMPT_BLOCKS = 2_048
# After a gap in the event sequence the index may contain evicted blocks and
# lack stored ones. Each gap halves its confidence, which recovers fully after
# about 20 events.
_GAP_FACTOR = 0.5
_RECOVERY_PER_EVENT = 0.05


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


class PrefixIndex:
    """LRU index of the blocks in an engine's prefix cache."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence: int | None = None
        self._confidence = 1.0

    @property
    def sequence(self) -> int:
        """Sequence number of the last event; 0 before the first event."""
        return self._sequence or 0

    @property
    def confidence(self) -> float:
        """Confidence in the index, from 0 to 1."""
        return self._confidence

    @property
    def size(self) -> int:
        """Number of indexed blocks."""
        return len(self._blocks)

    def cached_tokens(self, hashes: tuple[int, ...]) -> int:
        """Returns how many leading tokens are expected in the cache."""
        # Later blocks of a chain are evicted before earlier ones, so the cached
        # blocks form a prefix and bisection finds its end.
        matched = bisect.bisect_left(
            hashes, True, key=lambda block: block not in self._blocks
        )
        return int(matched * BLOCK_TOKENS * self._confidence)

    def on_dispatch(self, hashes: tuple[int, ...]) -> None:
        """Adds the blocks of a prompt that was sent to the engine."""
        self._add(hashes)

    def on_events(self, events: tuple[backend_servers.CacheEvent, ...]) -> None:
        """Applies cache events; events applied before are ignored."""
        for event in events:
            last = self._sequence
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence > last + 1:
                self._confidence *= _GAP_FACTOR
            else:
                self._confidence = min(
                    1.0, self._confidence + _RECOVERY_PER_EVENT
                )
            self._sequence = event.sequence
            for block in event.evicted:
                self._blocks.pop(block, None)
            self._add(event.stored)

    def reset(self) -> None:
        """Clears the index after a restart of the engine."""
        self._blocks.clear()
        self._sequence = None
        self._confidence = 1.0

    def _add(self, hashes: Iterable[int]) -> None:
        # Later blocks of a chain are useless without the earlier ones, so the
        # blocks are added from last to first and later ones are evicted first.
        for block in reversed(tuple(hashes)[: self._max_blocks]):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
