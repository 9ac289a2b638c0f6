"""Timing model of a model engine: continuous batching on limited memory.

The model has no clock and no I/O. One `step` is one forward pass: a chunk of
prefill, shared by priority, and one token for every decoding stream.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import hashlib

import result

from lavendershed.core import ids
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Properties of one engine.

    Attributes:
        prefill_rate: Prompt tokens per second.
        prefill_chunk: Prompt tokens prefilled in one step at the most.
        decode_base: Seconds of a step that decodes at least one stream.
        decode_per_stream: Seconds added by each decoding stream.
        kv_tokens: Tokens that fit into KV memory.
        max_running: Streams that run at once.
        block_tokens: Tokens per block of the prefix cache.
    """

    prefill_rate: float = 20_000.0
    prefill_chunk: int = 2_048
    decode_base: units.Seconds = units.Seconds(0.010)
    decode_per_stream: units.Seconds = units.Seconds(0.0002)
    kv_tokens: units.Tokens = units.Tokens(400_000)
    max_running: int = 64
    block_tokens: units.Tokens = units.Tokens(512)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSpec:
    """What an engine has to know of a stream to time it."""

    stream_id: ids.StreamId
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    priority: int
    block_hashes: tuple[int, ...] = ()
    imported_tokens: units.Tokens = units.Tokens(0)


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """Refusal: the stream never fits into the engine's memory."""

    kv_tokens: units.Tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Outcome of one step.

    Attributes:
        duration: Seconds that the step takes.
        decoded: Streams that produced one token each.
        finished: Streams that produced their last token.
        prefilled: Prompt tokens prefilled in this step.
    """

    duration: units.Seconds
    decoded: tuple[ids.StreamId, ...]
    finished: tuple[ids.StreamId, ...]
    prefilled: units.Tokens


@dataclasses.dataclass(slots=True)
class _Stream:
    spec: StreamSpec
    sequence: int
    prefill_left: int
    produced: int = 0

    @property
    def reserved_tokens(self) -> int:
        return (
            self.spec.prompt_tokens
            - self.spec.imported_tokens
            + self.spec.max_tokens
        )


class PrefixCache:
    """Least recently used blocks, up to the memory that streams leave free."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    @property
    def size(self) -> int:
        """Number of cached blocks."""
        return len(self._blocks)

    def matching(self, hashes: Sequence[int]) -> int:
        """Returns how many leading blocks are cached."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, hashes: Sequence[int]) -> tuple[int, ...]:
        """Adds blocks; returns those that were not cached before."""
        added = tuple(b for b in hashes if b not in self._blocks)
        self._blocks.update(dict.fromkeys(hashes))
        return added

    def shrink(self, limit: int) -> tuple[int, ...]:
        """Evicts the oldest blocks down to `limit`; returns them."""
        evicted = []
        while len(self._blocks) > max(0, limit):
            evicted.append(self._blocks.popitem(last=False)[0])
        return tuple(evicted)


class EngineModel:
    """One engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._streams: dict[ids.StreamId, _Stream] = {}
        self._running: dict[ids.StreamId, _Stream] = {}
        self._sequence = 0
        self._held_tokens = 0
        self._cache = PrefixCache()
        self._cache_events: list[tuple[tuple[int, ...], tuple[int, ...]]] = []

    @property
    def running(self) -> int:
        """Streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Streams that wait for memory or a place in the batch."""
        return len(self._streams) - len(self._running)

    @property
    def prefill_tokens_queued(self) -> units.Tokens:
        """Prompt tokens that are not prefilled yet."""
        return units.Tokens(sum(s.prefill_left for s in self._streams.values()))

    @property
    def used_tokens(self) -> units.Tokens:
        """Tokens of KV memory reserved by streams and holds."""
        return units.Tokens(
            sum(s.reserved_tokens for s in self._running.values())
            + self._held_tokens
        )

    @property
    def idle(self) -> bool:
        """Whether there is nothing to step."""
        return not self._streams

    def hold(self, tokens: int) -> bool:
        """Reserves memory outside streams if it is free."""
        if self.used_tokens + tokens > self._settings.kv_tokens:
            return False
        self._held_tokens += tokens
        self._shrink_cache()
        return True

    def unhold(self, tokens: int) -> None:
        """Gives memory back that `hold` reserved."""
        self._held_tokens -= tokens

    def submit(self, spec: StreamSpec) -> result.Result[None, TooLarge]:
        """Queues a stream."""
        stream = _Stream(spec, self._sequence, 0)
        if stream.reserved_tokens > self._settings.kv_tokens:
            return result.Err(TooLarge(self._settings.kv_tokens))
        self._sequence += 1
        stream.prefill_left = max(1, spec.prompt_tokens - spec.imported_tokens)
        self._streams[spec.stream_id] = stream
        return result.Ok(None)

    def cancel(self, stream_id: ids.StreamId) -> None:
        """Drops a stream and frees its memory."""
        self._streams.pop(stream_id, None)
        self._running.pop(stream_id, None)

    def take_cache_events(
        self,
    ) -> list[tuple[tuple[int, ...], tuple[int, ...]]]:
        """Returns (stored, evicted) block hashes since the last call."""
        events, self._cache_events = self._cache_events, []
        return events

    def step(self) -> Step:
        """Runs one forward pass."""
        self._admit_to_batch()
        decoding = [s for s in self._running.values() if not s.prefill_left]
        prefilled = self._prefill()
        duration = prefilled / self._settings.prefill_rate
        if decoding:
            duration += (
                self._settings.decode_base
                + self._settings.decode_per_stream * len(decoding)
            )
        for stream in decoding:
            stream.produced += 1
        finished = [s for s in decoding if s.produced >= s.spec.max_tokens]
        for stream in finished:
            self.cancel(stream.spec.stream_id)
        return Step(
            units.Seconds(duration),
            tuple(s.spec.stream_id for s in decoding),
            tuple(s.spec.stream_id for s in finished),
            units.Tokens(prefilled),
        )

    def _admit_to_batch(self) -> None:
        if len(self._running) == len(self._streams):
            return
        free = self._settings.kv_tokens - self.used_tokens
        waiting = sorted(
            (
                s
                for name, s in self._streams.items()
                if name not in self._running
            ),
            key=lambda s: (s.spec.priority, s.sequence),
        )
        for stream in waiting:
            if len(self._running) >= self._settings.max_running:
                return
            if stream.reserved_tokens > free:
                return
            free -= stream.reserved_tokens
            self._start(stream)

    def _start(self, stream: _Stream) -> None:
        cached = self._cache.matching(stream.spec.block_hashes)
        saved = cached * self._settings.block_tokens
        stream.prefill_left = max(1, stream.prefill_left - saved)
        self._running[stream.spec.stream_id] = stream
        self._shrink_cache()

    def _prefill(self) -> int:
        budget = self._settings.prefill_chunk
        queue = [s for s in self._running.values() if s.prefill_left]
        queue.sort(key=lambda s: (s.spec.priority, s.sequence))
        for stream in queue:
            taken = min(budget, stream.prefill_left)
            stream.prefill_left -= taken
            budget -= taken
            if not stream.prefill_left:
                self._store_prefix(stream)
            if not budget:
                break
        return self._settings.prefill_chunk - budget

    def _store_prefix(self, stream: _Stream) -> None:
        stored = self._cache.store(stream.spec.block_hashes)
        if stored:
            self._cache_events.append((stored, ()))
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        free = self._settings.kv_tokens - self.used_tokens
        evicted = self._cache.shrink(free // self._settings.block_tokens)
        if evicted:
            self._cache_events.append(((), evicted))


def token_text(prompt: str, offset: int) -> str:
    """Returns the token that every engine produces at `offset`.

    All engines give the same answer to the same prompt, so that a checker can
    compare an answer that several engines produced byte by byte.
    """
    digest = hashlib.sha256(f"{offset}\0{prompt[-2000:]}".encode())
    return digest.hexdigest()[:4] + " "
