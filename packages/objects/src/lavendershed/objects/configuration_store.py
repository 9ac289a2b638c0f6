"""Reads and writes of configuration objects in the store."""

from __future__ import annotations

import asyncio
import dataclasses

import result

from lavendershed.configuration import chunking
from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.configuration import writer as writer_module
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.objects import codec
from lavendershed.transport import event_loop_timers

# Chunks are small: with this many concurrent calls, 300 chunks are read in tens
# of milliseconds, far below the call rate limits of the store.
_MAX_PARALLEL_CALLS = 16


class JsonChunkHasher(chunking.ChunkHasher):
    """Computes content addresses from the JSON encoding."""

    def hash(self, chunk: manifest_module.Chunk) -> ids.ChunkHash:
        """Returns the content address of a chunk."""
        return codec.chunk_hash(codec.CHUNK_CODEC.encode(chunk))


@dataclasses.dataclass(frozen=True, slots=True)
class StoredManifest:
    """The manifest with its object version."""

    version: ids.ObjectVersion
    manifest: manifest_module.Manifest


@dataclasses.dataclass(frozen=True, slots=True)
class UndecodableObject:
    """A stored object that cannot be decoded."""

    detail: str


ReadError = object_store.StoreError | UndecodableObject


class ConfigurationStore:
    """Reads and writes manifests and chunks."""

    def __init__(self, store: object_store.ObjectStore) -> None:
        self._store = store

    async def read_manifest(self) -> result.Result[StoredManifest, ReadError]:
        """Reads the manifest."""
        stored = await self._store.get(codec.MANIFEST_KEY)
        if isinstance(stored, result.Err):
            return stored
        manifest = codec.MANIFEST_CODEC.decode(stored.ok_value.value)
        if isinstance(manifest, result.Err):
            return result.Err(
                UndecodableObject(f"{codec.MANIFEST_KEY}: {manifest.err_value}")
            )
        return result.Ok(
            StoredManifest(stored.ok_value.version, manifest.ok_value)
        )

    async def read_chunk(
        self, chunk_hash: ids.ChunkHash
    ) -> result.Result[chunking.AddressedChunk, ReadError]:
        """Reads one chunk and verifies its hash."""
        key = codec.chunk_key(chunk_hash)
        stored = await self._store.get(key)
        if isinstance(stored, result.Err):
            return stored
        chunk = codec.decode_chunk(chunk_hash, stored.ok_value.value)
        if isinstance(chunk, result.Err):
            return result.Err(UndecodableObject(f"{key}: {chunk.err_value}"))
        return result.Ok(chunking.AddressedChunk(chunk_hash, chunk.ok_value))

    async def read_chunks(
        self, hashes: tuple[ids.ChunkHash, ...]
    ) -> result.Result[tuple[chunking.AddressedChunk, ...], ReadError]:
        """Reads chunks; stops at the first error."""
        chunks: list[chunking.AddressedChunk] = []
        for start in range(0, len(hashes), _MAX_PARALLEL_CALLS):
            outcomes = await asyncio.gather(
                *map(
                    self.read_chunk, hashes[start : start + _MAX_PARALLEL_CALLS]
                )
            )
            for outcome in outcomes:
                if isinstance(outcome, result.Err):
                    return outcome
                chunks.append(outcome.ok_value)
        return result.Ok(tuple(chunks))

    async def read(self) -> result.Result[model.Configuration, ReadError]:
        """Reads the complete configuration; empty if none is stored."""
        stored = await self.read_manifest()
        if isinstance(stored, result.Err):
            error = stored.err_value
            if is_absent(error):
                return result.Ok(model.EMPTY)
            return result.Err(error)
        manifest = stored.ok_value.manifest
        chunks = await self.read_chunks(manifest.chunks)
        if isinstance(chunks, result.Err):
            return chunks
        assembled = manifest_module.assemble(
            manifest, (entry.chunk for entry in chunks.ok_value)
        )
        return assembled.map_err(UndecodableObject)

    async def write_chunks(
        self, chunks: tuple[chunking.AddressedChunk, ...]
    ) -> result.Result[None, object_store.StoreError]:
        """Creates chunks; an existing object has the same content."""
        for start in range(0, len(chunks), _MAX_PARALLEL_CALLS):
            outcomes = await asyncio.gather(
                *map(
                    self._write_chunk,
                    chunks[start : start + _MAX_PARALLEL_CALLS],
                )
            )
            for outcome in outcomes:
                if isinstance(outcome, result.Err):
                    return outcome
        return result.Ok(None)

    async def write_manifest(
        self,
        manifest: manifest_module.Manifest,
        expected_version: ids.ObjectVersion | None,
    ) -> result.Result[None, object_store.StoreError]:
        """Writes the manifest if the stored version is the expected one."""
        condition: object_store.Condition = (
            object_store.IfAbsent()
            if expected_version is None
            else object_store.IfVersion(expected_version)
        )
        outcome = await self._store.put(
            codec.MANIFEST_KEY, codec.MANIFEST_CODEC.encode(manifest), condition
        )
        return outcome.map(lambda _: None)

    async def _write_chunk(
        self, entry: chunking.AddressedChunk
    ) -> result.Result[None, object_store.StoreError]:
        outcome = await self._store.put(
            codec.chunk_key(entry.hash),
            codec.CHUNK_CODEC.encode(entry.chunk),
            object_store.IfAbsent(),
        )
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        if outcome.err_value.kind is object_store.StoreErrorKind.CONFLICT:
            return result.Ok(None)
        return outcome


class ChangeRunner:
    """Executes the commands of a change writer."""

    def __init__(
        self,
        store: ConfigurationStore,
        timer_service: timers.TimerService,
    ) -> None:
        self._store = store
        self._timers = timer_service

    async def run(
        self, writer: writer_module.ChangeWriter
    ) -> writer_module.Outcome:
        """Runs a writer until it finishes; returns its outcome."""
        (command,) = writer.start()
        while not isinstance(command, writer_module.Finish):
            (command,) = await self._execute(writer, command)
        assert writer.outcome is not None
        return writer.outcome

    async def _execute(
        self, writer: writer_module.ChangeWriter, command: writer_module.Command
    ) -> tuple[writer_module.Command, ...]:
        match command:
            case writer_module.ReadManifest():
                return await self._read_manifest(writer)
            case writer_module.ReadChunks(hashes):
                chunks = await self._store.read_chunks(hashes)
                if isinstance(chunks, result.Err):
                    return self._read_failed(writer, chunks.err_value)
                return writer.on_chunks(chunks.ok_value, self._timers.now())
            case writer_module.WriteChunks(chunks_to_write):
                created = await self._store.write_chunks(chunks_to_write)
                if isinstance(created, result.Err):
                    return writer.on_store_error(
                        created.err_value, self._timers.now()
                    )
                return writer.on_chunks_written(self._timers.now())
            case writer_module.WriteManifest(manifest, expected):
                written = await self._store.write_manifest(manifest, expected)
                if isinstance(written, result.Err):
                    return writer.on_store_error(
                        written.err_value, self._timers.now()
                    )
                return writer.on_manifest_written(self._timers.now())
            case writer_module.Wait(until):
                await event_loop_timers.sleep_until(self._timers, until)
                return writer.on_timer(self._timers.now())
            case writer_module.Finish():
                return (command,)

    async def _read_manifest(
        self, writer: writer_module.ChangeWriter
    ) -> tuple[writer_module.Command, ...]:
        stored = await self._store.read_manifest()
        now = self._timers.now()
        if isinstance(stored, result.Ok):
            return writer.on_manifest(
                stored.ok_value.version, stored.ok_value.manifest, now
            )
        if is_absent(stored.err_value):
            return writer.on_no_manifest(now)
        return self._read_failed(writer, stored.err_value)

    def _read_failed(
        self, writer: writer_module.ChangeWriter, error: ReadError
    ) -> tuple[writer_module.Command, ...]:
        if isinstance(error, UndecodableObject):
            return writer.on_unreadable(error.detail)
        return writer.on_store_error(error, self._timers.now())


def is_absent(error: ReadError) -> bool:
    """Returns whether an object does not exist."""
    return (
        isinstance(error, object_store.StoreError)
        and error.kind is object_store.StoreErrorKind.ABSENT
    )
