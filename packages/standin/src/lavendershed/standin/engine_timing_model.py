"""Timing model of a model engine: continuous batching in limited KV memory.

The model has no clock and no I/O. One `step` is one forward pass: a prefill
chunk, filled in order of priority, and one token for every decoding stream.
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
    """Capacity and speed of one engine.

    Attributes:
        prefill_rate: Prompt tokens prefilled per second.
        prefill_chunk: Maximum prompt tokens prefilled in one step.
        decode_base: Fixed time of a step that decodes at least one stream.
        decode_per_stream: Time that each decoding stream adds to a step.
        kv_tokens: KV memory in tokens.
        max_running: Maximum streams in the batch.
        block_tokens: Tokens per prefix cache block.
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
    """Properties of a stream that determine its timing."""

    stream_id: ids.StreamId
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    priority: int
    block_hashes: tuple[int, ...] = ()
    imported_tokens: units.Tokens = units.Tokens(0)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTooLarge:
    """Refusal of a stream that exceeds the engine's whole KV memory."""

    kv_tokens: units.Tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one step.

    Attributes:
        duration: Duration of the step.
        decoded: Streams that each produced one token.
        finished: Streams that produced their last token.
        prefilled: Prompt tokens prefilled in this step.
    """

    duration: units.Seconds
    decoded: tuple[ids.StreamId, ...]
    finished: tuple[ids.StreamId, ...]
    prefilled_tokens: units.Tokens


@dataclasses.dataclass(slots=True)
class _Stream:
    spec: StreamSpec
    arrival_number: int
    remaining_prefill_tokens: int
    produced_tokens: int = 0

    @property
    def reserved_tokens(self) -> int:
        return (
            self.spec.prompt_tokens
            - self.spec.imported_tokens
            + self.spec.max_tokens
        )


class PrefixCache:
    """LRU cache of prefix blocks in the KV memory that streams do not use."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    @property
    def size(self) -> int:
        """Number of cached blocks."""
        return len(self._blocks)

    def count_leading_hits(self, hashes: Sequence[int]) -> int:
        """Returns the number of consecutive leading blocks in the cache."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, hashes: Sequence[int]) -> tuple[int, ...]:
        """Adds blocks; returns the newly cached ones."""
        added = tuple(b for b in hashes if b not in self._blocks)
        self._blocks.update(dict.fromkeys(hashes))
        return added

    def evict_to(self, max_blocks: int) -> tuple[int, ...]:
        """Evicts the oldest blocks down to `max_blocks`; returns them."""
        evicted = []
        while len(self._blocks) > max(0, max_blocks):
            evicted.append(self._blocks.popitem(last=False)[0])
        return tuple(evicted)


class EngineTimingModel:
    """Schedules streams of one engine into batches and times the steps."""

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._streams: dict[ids.StreamId, _Stream] = {}
        self._running: dict[ids.StreamId, _Stream] = {}
        self._next_arrival_number = 0
        self._other_reserved_tokens = 0
        self._cache = PrefixCache()
        self._cache_events: list[tuple[tuple[int, ...], tuple[int, ...]]] = []

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of streams that wait for memory or a place in the batch."""
        return len(self._streams) - len(self._running)

    @property
    def prefill_tokens_queued(self) -> units.Tokens:
        """Prompt tokens that are yet to be prefilled."""
        return units.Tokens(
            sum(s.remaining_prefill_tokens for s in self._streams.values())
        )

    @property
    def used_tokens(self) -> units.Tokens:
        """KV memory used by streams and other reservations, in tokens."""
        return units.Tokens(
            sum(s.reserved_tokens for s in self._running.values())
            + self._other_reserved_tokens
        )

    @property
    def idle(self) -> bool:
        """Whether there is no stream."""
        return not self._streams

    def reserve(self, tokens: int) -> bool:
        """Reserves memory outside of streams; returns False if none is free."""
        if self.used_tokens + tokens > self._settings.kv_tokens:
            return False
        self._other_reserved_tokens += tokens
        self._shrink_cache()
        return True

    def release(self, tokens: int) -> None:
        """Frees memory that `reserve` reserved."""
        self._other_reserved_tokens -= tokens

    def submit(self, spec: StreamSpec) -> result.Result[None, StreamTooLarge]:
        """Queues a stream."""
        stream = _Stream(spec, self._next_arrival_number, 0)
        if stream.reserved_tokens > self._settings.kv_tokens:
            return result.Err(StreamTooLarge(self._settings.kv_tokens))
        self._next_arrival_number += 1
        stream.remaining_prefill_tokens = max(
            1, spec.prompt_tokens - spec.imported_tokens
        )
        self._streams[spec.stream_id] = stream
        return result.Ok(None)

    def cancel(self, stream_id: ids.StreamId) -> None:
        """Removes a stream and frees its memory."""
        self._streams.pop(stream_id, None)
        self._running.pop(stream_id, None)

    def drain_cache_events(
        self,
    ) -> list[tuple[tuple[int, ...], tuple[int, ...]]]:
        """Returns (stored, evicted) block hashes and clears the list."""
        events, self._cache_events = self._cache_events, []
        return events

    def step(self) -> Step:
        """Runs one forward pass."""
        self._admit_to_batch()
        decoding = [
            s for s in self._running.values() if not s.remaining_prefill_tokens
        ]
        prefilled_tokens = self._prefill()
        duration = prefilled_tokens / self._settings.prefill_rate
        if decoding:
            duration += (
                self._settings.decode_base
                + self._settings.decode_per_stream * len(decoding)
            )
        for stream in decoding:
            stream.produced_tokens += 1
        finished = [
            s for s in decoding if s.produced_tokens >= s.spec.max_tokens
        ]
        for stream in finished:
            self.cancel(stream.spec.stream_id)
        return Step(
            units.Seconds(duration),
            tuple(s.spec.stream_id for s in decoding),
            tuple(s.spec.stream_id for s in finished),
            units.Tokens(prefilled_tokens),
        )

    def _admit_to_batch(self) -> None:
        if len(self._running) == len(self._streams):
            return
        free_tokens = self._settings.kv_tokens - self.used_tokens
        waiting = sorted(
            (
                s
                for stream_id, s in self._streams.items()
                if stream_id not in self._running
            ),
            key=lambda s: (s.spec.priority, s.arrival_number),
        )
        for stream in waiting:
            if len(self._running) >= self._settings.max_running:
                return
            if stream.reserved_tokens > free_tokens:
                return
            free_tokens -= stream.reserved_tokens
            self._add_to_batch(stream)

    def _add_to_batch(self, stream: _Stream) -> None:
        cached_blocks = self._cache.count_leading_hits(stream.spec.block_hashes)
        cached_tokens = cached_blocks * self._settings.block_tokens
        stream.remaining_prefill_tokens = max(
            1, stream.remaining_prefill_tokens - cached_tokens
        )
        self._running[stream.spec.stream_id] = stream
        self._shrink_cache()

    def _prefill(self) -> int:
        remaining_tokens = self._settings.prefill_chunk
        prefilling = [
            s for s in self._running.values() if s.remaining_prefill_tokens
        ]
        prefilling.sort(key=lambda s: (s.spec.priority, s.arrival_number))
        for stream in prefilling:
            chunk_tokens = min(
                remaining_tokens, stream.remaining_prefill_tokens
            )
            stream.remaining_prefill_tokens -= chunk_tokens
            remaining_tokens -= chunk_tokens
            if not stream.remaining_prefill_tokens:
                self._cache_prefix(stream)
            if not remaining_tokens:
                break
        return self._settings.prefill_chunk - remaining_tokens

    def _cache_prefix(self, stream: _Stream) -> None:
        stored = self._cache.store(stream.spec.block_hashes)
        if stored:
            self._cache_events.append((stored, ()))
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        free_tokens = self._settings.kv_tokens - self.used_tokens
        evicted = self._cache.evict_to(
            free_tokens // self._settings.block_tokens
        )
        if evicted:
            self._cache_events.append(((), evicted))


def token_text(prompt: str, offset: int) -> str:
    """Returns the token at `offset` of the output for a prompt.

    The output depends on the prompt only, so that a checker can compare byte by
    byte a response that was continued on other engines.
    """
    digest = hashlib.sha256(f"{offset}\0{prompt[-2000:]}".encode())
    return digest.hexdigest()[:4] + " "
