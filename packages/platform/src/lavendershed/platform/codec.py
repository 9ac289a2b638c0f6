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


class Codec(Generic[T]):
    """Encodes and decodes one type of stored object."""

    def __init__(self, kind: type[T]) -> None:
        self._adapter = pydantic.TypeAdapter(kind)

    def encode(self, value: T) -> bytes:
        """Returns the JSON encoding of `value`."""
        return self._adapter.dump_json(value)

    def decode(self, data: bytes) -> result.Result[T, str]:
        """Returns the decoded value, or one sentence that says what is wrong.

        Unknown fields are ignored, so that versions of the daemon may be
        mixed during an upgrade.
        """
        try:
            return result.Ok(self._adapter.validate_json(data))
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            field = ".".join(str(part) for part in first["loc"])
            return result.Err(f"field '{field}': {first['msg']}")


MANIFEST = Codec(manifest.Manifest)
CHUNK = Codec(manifest.Chunk)


def chunk_hash(data: bytes) -> ids.ChunkHash:
    """Returns the content address of an encoded chunk."""
    return ids.ChunkHash(hashlib.sha256(data).hexdigest())


def chunk_key(name: ids.ChunkHash) -> ids.ObjectKey:
    """Returns the object key of a chunk."""
    return ids.ObjectKey(CHUNK_PREFIX + name)
