"""Splits a configuration into content-addressed chunks."""

from __future__ import annotations

import abc
from collections.abc import Iterator
import dataclasses

import xxhash

from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.core import ids

# A change of one organisation transfers the manifest, whose size grows with the
# number of buckets, and one bucket, whose size shrinks with it. With 16,000
# organisations the sum has its minimum near 300 buckets.
ORGANISATION_BUCKETS = 256


class ChunkHasher(abc.ABC):
    """Computes content addresses of encoded chunks."""

    @abc.abstractmethod
    def hash(self, chunk: manifest_module.Chunk) -> ids.ChunkHash:
        """Returns the content address of a chunk."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedChunk:
    """A chunk with its content address."""

    hash: ids.ChunkHash
    chunk: manifest_module.Chunk


def split(
    configuration: model.Configuration, hasher: ChunkHasher
) -> tuple[AddressedChunk, ...]:
    """Splits a configuration; equal parts give equal chunks.

    Each service and each preset has its own chunk; organisations are assigned
    to chunks by the hash of their name. Empty chunks are omitted.
    """
    return tuple(
        AddressedChunk(hasher.hash(chunk), chunk)
        for chunk in _chunks(configuration)
    )


def _chunks(
    configuration: model.Configuration,
) -> Iterator[manifest_module.Chunk]:
    buckets: dict[int, list[model.Organisation]] = {}
    for name in sorted(configuration.organisations):
        bucket = xxhash.xxh3_64_intdigest(name.encode()) % ORGANISATION_BUCKETS
        buckets.setdefault(bucket, []).append(configuration.organisations[name])
    for bucket in sorted(buckets):
        yield manifest_module.Chunk(organisations=tuple(buckets[bucket]))
    for _, service in sorted(configuration.services.items()):
        yield manifest_module.Chunk(services=(service,))
    for _, preset in sorted(configuration.presets.items()):
        yield manifest_module.Chunk(presets=(preset,))
