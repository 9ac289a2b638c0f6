"""Synchronisation of the configuration from the store and from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import random

import result

from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import backoff
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import rendezvous
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import chunk_source
from lavendershed.objects import codec
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

ConfigurationListener = Callable[
    [model.Configuration, model.Configuration], None
]

# In a deployment of up to this size, every daemon watches the manifest.
MAX_DAEMONS_ALL_WATCHING = 9
WATCHERS_PER_ZONE = 3
_WATCHER_RENDEZVOUS_KEY = "configuration-watch"
# Bounds a watch on a connection that silently delivers nothing. It is below the
# 6 s within which a change must be in force.
_WATCH_TIMEOUT = units.Seconds(4.0)
_WATCHER_CHECK_INTERVAL = units.Seconds(2.0)
# Poll rate of all daemons together. Polls are only the fallback for watches and
# peers.
_FLEET_POLLS_PER_SECOND = 10.0
# Limits the delay during a store outage, so that a change made after the store
# has recovered is in force in time.
_MAX_BACKOFF = units.Seconds(4.0)
_REFETCH_CHECK_INTERVAL = units.Seconds(1.0)
_MAX_PARALLEL_FETCHES = 16
_MAX_QUEUED_FETCHES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SyncOptions:
    """Intervals of the synchronisation.

    Attributes:
        poll_interval: Minimum interval between polls of the manifest, which
            back up the watch.
    """

    vm: ids.VmId
    availability_zone: ids.AvailabilityZoneId
    poll_interval: units.Seconds


class _Source(enum.Enum):
    STORE = "store"
    PEER = "peer"
    REFETCH = "repetition"


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    hashes: tuple[ids.ChunkHash, ...]
    source: _Source


class ConfigurationSync(background.BackgroundTask):
    """Fetches manifests and chunks and applies complete configurations.

    A watch delivers changes immediately; a slow poll covers a watch that fails
    silently. Changes of all sources are applied here.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        state: state_module.ConfigurationState,
        members: cluster.MembershipView,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
        options: SyncOptions,
    ) -> None:
        self._store = store
        self._state = state
        self._members = members
        self._timers = timer_service
        self._log = event_log
        self._random = generator
        self._options = options
        self._listeners: list[ConfigurationListener] = []
        self._sources: list[chunk_source.ChunkSource] = []
        self._manifest_version = ids.ObjectVersion(0)
        self._fetches: asyncio.Queue[_Fetch] = asyncio.Queue(
            _MAX_QUEUED_FETCHES
        )
        self._store_failing = False
        self._last_rejection = ""

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the manifest in the store."""
        if len(self._members.live) <= MAX_DAEMONS_ALL_WATCHING:
            return True
        zone = self._members.live_in_zone(self._options.availability_zone)
        watchers = rendezvous.ranked(
            zone, _WATCHER_RENDEZVOUS_KEY, WATCHERS_PER_ZONE
        )
        return self._options.vm in watchers

    @property
    def poll_interval(self) -> units.Seconds:
        """Interval between polls; it grows with the number of daemons."""
        fleet_interval = len(self._members.live) / _FLEET_POLLS_PER_SECOND
        return units.Seconds(max(self._options.poll_interval, fleet_interval))

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Calls `listener` after each applied configuration."""
        self._listeners.append(listener)

    def add_source(self, source: chunk_source.ChunkSource) -> None:
        """Adds a fallback source for chunks that the store doesn't deliver."""
        self._sources.append(source)

    def on_peer_epoch(self, epoch: ids.Epoch, manifest: bytes) -> None:
        """Processes the encoded manifest that a peer has in force."""
        if epoch > self._state.current.epoch:
            self._on_manifest(manifest, _Source.PEER)

    def status(self) -> dict[str, object]:
        """Returns the state of the watch and the pending chunks."""
        return {
            "configuration_watch": self.is_watcher,
            "configuration_pending": list(self._state.pending),
        }

    async def run(self) -> None:
        """Synchronises the configuration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_loop())
            group.create_task(self._watch_loop())
            group.create_task(self._fetch_loop())
            group.create_task(self._refetch_loop())

    async def _poll_loop(self) -> None:
        retry_backoff = self._new_backoff()
        while True:
            error = await self._poll()
            if error is None:
                retry_backoff.reset()
                interval = self.poll_interval
                delay = interval * self._random.uniform(0.75, 1.0)
            else:
                delay = max(
                    retry_backoff.next_delay(), error.retry_after or 0.0
                )
            await self._sleep(delay)

    async def _poll(self) -> object_store.StoreError | None:
        stored = await self._store.get(codec.MANIFEST_KEY)
        if isinstance(stored, result.Ok):
            self._on_store_reachable()
            self._on_stored_manifest(
                stored.ok_value.version, stored.ok_value.value
            )
            return None
        if stored.err_value.kind is object_store.StoreErrorKind.ABSENT:
            self._on_store_reachable()
            return None
        self._on_store_error(stored.err_value)
        return stored.err_value

    async def _watch_loop(self) -> None:
        retry_backoff = self._new_backoff()
        while True:
            if not self.is_watcher:
                await self._sleep(_WATCHER_CHECK_INTERVAL)
                continue
            batch = await self._store.watch(
                codec.MANIFEST_KEY, self._manifest_version, _WATCH_TIMEOUT
            )
            if isinstance(batch, result.Err):
                self._on_store_error(batch.err_value)
                retry_after = batch.err_value.retry_after or 0.0
                await self._sleep(max(retry_backoff.next_delay(), retry_after))
                continue
            retry_backoff.reset()
            self._on_store_reachable()
            for event in batch.ok_value.events:
                if event.key == codec.MANIFEST_KEY and event.value is not None:
                    self._on_stored_manifest(event.version, event.value)
            # Also advances past deletions and past objects whose key merely has
            # this prefix; otherwise they would end the next watch immediately.
            self._manifest_version = max(
                self._manifest_version, batch.ok_value.next_version
            )

    async def _refetch_loop(self) -> None:
        while True:
            await self._sleep(_REFETCH_CHECK_INTERVAL)
            self._execute(
                self._state.on_timer(self._timers.now()), _Source.REFETCH
            )

    async def _fetch_loop(self) -> None:
        while True:
            fetch = await self._fetches.get()
            # A peer that announced an epoch has its chunks. Fetching from peers
            # first saves store calls and waiting for a store that is down.
            peers_first = self._store_failing or fetch.source is _Source.PEER
            missing = [
                chunk_hash
                for chunk_hash in fetch.hashes
                if self._state.chunk(chunk_hash) is None
            ]
            for start in range(0, len(missing), _MAX_PARALLEL_FETCHES):
                batch = missing[start : start + _MAX_PARALLEL_FETCHES]
                fetched = await asyncio.gather(
                    *(
                        self._fetch(chunk_hash, peers_first)
                        for chunk_hash in batch
                    )
                )
                # No source delivers: skip the rest instead of waiting for its
                # time-outs. The state requests missing chunks again later.
                if not any(fetched):
                    break

    async def _fetch(
        self, chunk_hash: ids.ChunkHash, peers_first: bool
    ) -> bool:
        if peers_first:
            return await self._fetch_from_peers(
                chunk_hash
            ) or await self._fetch_from_store(chunk_hash)
        return await self._fetch_from_store(
            chunk_hash
        ) or await self._fetch_from_peers(chunk_hash)

    async def _fetch_from_store(self, chunk_hash: ids.ChunkHash) -> bool:
        stored = await self._store.get(codec.chunk_key(chunk_hash))
        if isinstance(stored, result.Ok):
            return self._on_chunk(
                chunk_hash, stored.ok_value.value, _Source.STORE
            )
        if stored.err_value.kind is not object_store.StoreErrorKind.ABSENT:
            self._on_store_error(stored.err_value)
        return False

    async def _fetch_from_peers(self, chunk_hash: ids.ChunkHash) -> bool:
        for source in self._sources:
            data = await source.fetch_chunk(chunk_hash)
            if data is not None and self._on_chunk(
                chunk_hash, data, _Source.PEER
            ):
                return True
        return False

    def _on_stored_manifest(
        self, version: ids.ObjectVersion, data: bytes
    ) -> None:
        self._manifest_version = max(self._manifest_version, version)
        self._on_manifest(data, _Source.STORE)

    def _on_manifest(self, data: bytes, source: _Source) -> None:
        manifest = codec.MANIFEST_CODEC.decode(data)
        if isinstance(manifest, result.Err):
            self._reject(f"manifest from {source.value}: {manifest.err_value}")
            return
        self._execute(
            self._state.on_manifest(manifest.ok_value, self._timers.now()),
            source,
        )

    def _on_chunk(
        self, chunk_hash: ids.ChunkHash, data: bytes, source: _Source
    ) -> bool:
        chunk = codec.decode_chunk(chunk_hash, data)
        if isinstance(chunk, result.Err):
            self._reject(
                f"chunk {chunk_hash} from {source.value}: {chunk.err_value}"
            )
            return False
        self._execute(
            self._state.on_chunk(
                chunk_hash, chunk.ok_value, self._timers.now()
            ),
            source,
        )
        return True

    def _execute(
        self, commands: tuple[state_module.Command, ...], source: _Source
    ) -> None:
        for command in commands:
            match command:
                case state_module.FetchChunks(hashes):
                    # If the queue is full, the state requests them again later.
                    if not self._fetches.full():
                        self._fetches.put_nowait(_Fetch(hashes, source))
                case state_module.ApplyConfiguration(old, new):
                    self._apply(old, new, source)
                case state_module.RejectManifest(epoch, detail):
                    self._reject(f"epoch {epoch}: {detail}")

    def _apply(
        self,
        old: model.Configuration,
        new: model.Configuration,
        source: _Source,
    ) -> None:
        self._last_rejection = ""
        for listener in self._listeners:
            listener(old, new)
        self._log.emit(
            events.Event.CONFIGURATION_APPLIED,
            old_epoch=old.epoch,
            epoch=new.epoch,
            preset=new.active_preset,
            source=source.value,
        )

    def _reject(self, detail: str) -> None:
        # Every poll reads a bad object again; it is logged once.
        if detail == self._last_rejection:
            return
        self._last_rejection = detail
        self._log.emit(events.Event.CONFIGURATION_REJECTED, detail=detail)

    def _on_store_reachable(self) -> None:
        if self._store_failing:
            self._store_failing = False
            self._log.emit(events.Event.STORE_REACHABLE)

    def _on_store_error(self, error: object_store.StoreError) -> None:
        if self._store_failing:
            return
        self._store_failing = True
        self._log.emit(
            events.Event.STORE_CALL_FAILED,
            kind=error.kind.value,
            detail=error.detail,
        )

    def _new_backoff(self) -> backoff.Backoff:
        return backoff.Backoff(
            self._random,
            backoff.BackoffLimits(units.Seconds(0.5), _MAX_BACKOFF),
        )

    async def _sleep(self, duration: float) -> None:
        await event_loop_timers.sleep(self._timers, units.Seconds(duration))
