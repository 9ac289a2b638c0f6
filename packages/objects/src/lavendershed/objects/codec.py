"""JSON encoding of objects in the store."""

from __future__ import annotations

import hashlib
from typing import Generic
from typing import TypeVar

import pydantic
import result

from lavendershed.configuration import manifest
from lavendershed.core import ids

T = TypeVar("T")

MANIFEST_KEY = ids.ObjectKey("config/manifest")
CHUNK_PREFIX = "config/chunks/"
# 128 bits rule out accidental collisions in practice and halve the size of the
# manifest, which lists every chunk.
_CHUNK_HASH_CHARACTERS = 32


class Codec(Generic[T]):
    """Encodes and decodes one type of stored object."""

    def __init__(self, value_type: type[T]) -> None:
        self._adapter = pydantic.TypeAdapter(value_type)

    def encode(self, value: T) -> bytes:
        """Returns the JSON encoding of `value`."""
        return self._adapter.dump_json(value)

    def decode(self, data: bytes) -> result.Result[T, str]:
        """Returns the decoded value, or a description of the first error.

        Unknown fields are ignored, so that daemons of different versions can
        run side by side during an upgrade.
        """
        try:
            return result.Ok(self._adapter.validate_json(data))
        except pydantic.ValidationError as error:
            first = error.errors(include_url=False)[0]
            field = ".".join(str(part) for part in first["loc"])
            return result.Err(f"field '{field}': {first['msg']}")


MANIFEST_CODEC = Codec(manifest.Manifest)
CHUNK_CODEC = Codec(manifest.Chunk)


def chunk_hash(data: bytes) -> ids.ChunkHash:
    """Returns the content address of an encoded chunk."""
    digest = hashlib.sha256(data).hexdigest()
    return ids.ChunkHash(digest[:_CHUNK_HASH_CHARACTERS])


def decode_chunk(
    expected_hash: ids.ChunkHash, data: bytes
) -> result.Result[manifest.Chunk, str]:
    """Returns the decoded chunk, or an error if its hash differs."""
    if chunk_hash(data) != expected_hash:
        return result.Err("the hash of the content does not match")
    return CHUNK_CODEC.decode(data)


def chunk_key(content_hash: ids.ChunkHash) -> ids.ObjectKey:
    """Returns the object key of a chunk."""
    return ids.ObjectKey(CHUNK_PREFIX + content_hash)
