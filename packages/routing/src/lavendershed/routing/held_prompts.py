"""Belief about the beginnings of prompts that an engine still holds.

An engine that still holds the beginning of a prompt prefills only the rest.
The objects here have no I/O and no clock: they are told what was sent to the
engine, which memory it has in use, and what it publishes about its cache.
"""

from __future__ import annotations

import abc
import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools
import math
import operator

from lavendershed.core import backend_servers
from lavendershed.core import units
from lavendershed.routing import prompt_blocks

# After a gap in the event sequence the belief may contain evicted blocks and
# lack stored ones. Each gap halves the confidence, which recovers fully after
# about 20 events.
_GAP_FACTOR = 0.5
_RECOVERY_PER_EVENT = 0.05
# Multiple of the mean load up to which an engine attracts prompts by what it
# holds (consistent hashing with bounded loads, Mirrokni, Thorup and
# Zadimoghaddam, SODA 2018).
_LOAD_BOUND = 1.25
# Requests that an engine takes before the bound counts; without it, one request
# on an idle fleet would end the attraction.
_UNBOUNDED_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPrefix:
    """Beginning of a prompt as a chain of parts.

    Attributes:
        hashes: Hash of each part and of all parts before it, so that equal
            hashes mean equal beginnings.
        ends: Tokens of the prompt up to the end of each part.
    """

    hashes: tuple[int, ...] = ()
    ends: Sequence[int] = ()

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return self.ends[-1] if self.ends else 0


NO_PREFIX = PromptPrefix()


def from_blocks(hashes: tuple[int, ...]) -> PromptPrefix:
    """Returns the prefix of chained hashes of equally long blocks."""
    block = prompt_blocks.BLOCK_TOKENS
    return PromptPrefix(hashes, range(block, block * len(hashes) + 1, block))


def within_load_bound(requests: int, all_requests: int, engines: int) -> bool:
    """Returns whether an engine may attract a request by what it holds.

    Args:
        requests: Requests on the engine.
        all_requests: Requests on all engines that are compared.
        engines: Number of these engines.
    """
    limit = math.ceil(_LOAD_BOUND * (all_requests + 1) / max(1, engines))
    return requests < max(limit, _UNBOUNDED_REQUESTS)


class HeldPrompts(abc.ABC):
    """Beginnings of prompts that one engine holds."""

    @property
    @abc.abstractmethod
    def sequence(self) -> int:
        """Sequence number of the last cache event; 0 before the first."""

    @abc.abstractmethod
    def expected_tokens(self, prefix: PromptPrefix) -> int:
        """Returns how many leading tokens the engine is expected to hold."""

    @abc.abstractmethod
    def on_prompt(self, prefix: PromptPrefix) -> None:
        """Records that the engine gets or has prefilled a prompt."""

    @abc.abstractmethod
    def on_memory_in_use(self, tokens: float) -> None:
        """Records the KV cache that requests in progress occupy."""

    @abc.abstractmethod
    def on_events(self, events: tuple[backend_servers.CacheEvent, ...]) -> None:
        """Applies cache events; events applied before are ignored."""

    @abc.abstractmethod
    def forget(self) -> None:
        """Drops everything after a restart of the engine."""


class NothingHeld(HeldPrompts):
    """An engine that retains no prompt after its request."""

    @property
    def sequence(self) -> int:
        """Returns 0."""
        return 0

    def expected_tokens(self, prefix: PromptPrefix) -> int:
        """Returns 0."""
        return 0

    def on_prompt(self, prefix: PromptPrefix) -> None:
        """Does nothing."""

    def on_memory_in_use(self, tokens: float) -> None:
        """Does nothing."""

    def on_events(self, events: tuple[backend_servers.CacheEvent, ...]) -> None:
        """Does nothing."""

    def forget(self) -> None:
        """Does nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Counters:
    """Tokens that the engine has taken in since the belief began.

    Attributes:
        sent: Tokens of the prompts that this daemon knows of.
        allocated: Sum of all increases of the memory in use, which also
            contains the work of daemons that this one does not know of.
    """

    sent: float = 0.0
    allocated: float = 0.0

    def since(self, earlier: _Counters) -> float:
        """Returns the tokens taken in after `earlier`."""
        return max(
            0.0, self.sent - earlier.sent, self.allocated - earlier.allocated
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    tokens: int
    used_at: _Counters


class BelievedPrompts(HeldPrompts):
    """Index of the parts that an engine probably holds, last used last.

    A part counts with the chance that it has not been evicted since its last
    use: exp(-n / m) after `n` newer tokens with memory for `m`, as if each
    newer token replaced a random older one. An engine that evicts the oldest
    parts first does better at first. Cache events say what was evicted before
    them, so that only newer tokens count.
    """

    def __init__(self, capacity: units.Tokens, max_parts: int) -> None:
        """Creates an empty belief.

        Args:
            capacity: Memory for prompts in progress and for those that are
                held after them.
            max_parts: Maximum number of parts, which bounds the memory.
        """
        self._capacity = capacity
        self._max_parts = max_parts
        self._parts: collections.OrderedDict[int, _Part] = (
            collections.OrderedDict()
        )
        self._held_tokens = 0
        self._in_use = 0.0
        self._counters = _Counters()
        self._last_event_at: _Counters | None = None
        self._sequence: int | None = None
        self._confidence = 1.0

    @property
    def sequence(self) -> int:
        """Sequence number of the last cache event; 0 before the first."""
        return self._sequence or 0

    @property
    def size(self) -> int:
        """Number of parts in the index."""
        return len(self._parts)

    def expected_tokens(self, prefix: PromptPrefix) -> int:
        """Returns how many leading tokens the engine is expected to hold."""
        hashes = prefix.hashes
        # Later parts of a chain are evicted before earlier ones, so the held
        # parts form a prefix and bisection finds its end. Lost events may
        # leave gaps, which are found only in part.
        matched = bisect.bisect_left(
            hashes, True, key=lambda part: part not in self._parts
        )
        expected = 0.0
        start = begin = 0
        # Parts of the same last use are next to each other.
        while start < matched:
            used_at = self._last_use(hashes[start])
            if used_at is None:
                break
            start = self._end_of_use(hashes, start, matched, used_at)
            end = prefix.ends[start - 1]
            expected += (end - begin) * self._survival(used_at)
            begin = end
        return int(expected)

    def on_prompt(self, prefix: PromptPrefix) -> None:
        """Records that the engine gets or has prefilled a prompt."""
        counters = self._counters
        self._counters = dataclasses.replace(
            counters, sent=counters.sent + prefix.tokens
        )
        # The memory of this prompt itself does not evict it.
        used_at = _Counters(
            self._counters.sent, counters.allocated + prefix.tokens
        )
        sizes = map(
            operator.sub, prefix.ends, itertools.chain((0,), prefix.ends)
        )
        self._add(zip(prefix.hashes, sizes, strict=True), used_at)

    def on_memory_in_use(self, tokens: float) -> None:
        """Records the KV cache that requests in progress occupy."""
        self._counters = dataclasses.replace(
            self._counters,
            allocated=self._counters.allocated
            + max(0.0, tokens - self._in_use),
        )
        self._in_use = tokens
        if self._sequence is None:
            # Without events, this is the only sign of evictions.
            self._evict(max(0.0, self._capacity - tokens))

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
            self._last_event_at = self._counters
            for part in event.evicted:
                self._remove(part)
            self._add(
                ((part, prompt_blocks.BLOCK_TOKENS) for part in event.stored),
                self._counters,
            )

    def forget(self) -> None:
        """Drops everything after a restart of the engine."""
        self._parts.clear()
        self._held_tokens = 0
        self._in_use = 0.0
        self._last_event_at = None
        self._sequence = None
        self._confidence = 1.0

    def _last_use(self, part: int) -> _Counters | None:
        known = self._parts.get(part)
        return None if known is None else known.used_at

    def _end_of_use(
        self,
        hashes: tuple[int, ...],
        start: int,
        matched: int,
        used_at: _Counters,
    ) -> int:
        """Returns the end of the parts from `start` on that were used then."""
        return bisect.bisect_left(
            hashes,
            True,
            start + 1,
            matched,
            key=lambda part: self._last_use(part) is not used_at,
        )

    def _survival(self, used_at: _Counters) -> float:
        newer = self._counters.since(used_at)
        if self._last_event_at is not None:
            newer = min(newer, self._counters.since(self._last_event_at))
        room = max(1.0, self._capacity - self._in_use)
        return self._confidence * math.exp(-newer / room)

    def _add(
        self, parts: Iterable[tuple[int, int]], used_at: _Counters
    ) -> None:
        # Later parts of a chain are useless without the earlier ones, so the
        # parts are added from last to first and later ones are evicted first.
        kept = tuple(itertools.islice(parts, self._max_parts))
        # Parts of equal size share a record, which keeps the index small.
        records = {tokens: _Part(tokens, used_at) for _, tokens in kept}
        for part, tokens in reversed(kept):
            self._remove(part)
            self._parts[part] = records[tokens]
            self._held_tokens += tokens
        self._evict(math.inf)

    def _evict(self, room: float) -> None:
        while self._parts and (
            self._held_tokens > room or len(self._parts) > self._max_parts
        ):
            _, part = self._parts.popitem(last=False)
            self._held_tokens -= part.tokens

    def _remove(self, part: int) -> None:
        removed = self._parts.pop(part, None)
        if removed is not None:
            self._held_tokens -= removed.tokens
