"""Exchange of the configuration with other daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import result

from lavendershed.configuration import state as state_module
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import chunk_source
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.objects import codec
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

ManifestListener = Callable[[ids.Epoch, bytes], None]

# Heartbeats announce a newer epoch until its chunks have arrived. The interval
# keeps the manifest from being fetched after each heartbeat.
_MIN_FETCH_INTERVAL = units.Seconds(0.5)


class PeerConfiguration(background.BackgroundTask, chunk_source.ChunkSource):
    """Fetches newer epochs from peers and serves the epoch in force to peers.

    While the object store is down, accepted changes spread this way and a
    starting daemon gets its configuration. Listeners validate and apply the
    manifests and chunks in the same way as those from the store.
    """

    def __init__(
        self,
        client: peers.PeerClient,
        state: state_module.ConfigurationState,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._client = client
        self._state = state
        self._timers = timer_service
        self._log = event_log
        self._listeners: list[ManifestListener] = []
        self._newer_epoch_announced = asyncio.Event()
        self._announced_epoch = ids.Epoch(0)
        self._announcing_peer = records.PeerAddress("")

    def add_listener(self, listener: ManifestListener) -> None:
        """Calls `listener` with the encoded manifest of a newer epoch."""
        self._listeners.append(listener)

    def on_epoch(self, epoch: ids.Epoch, peer: records.PeerAddress) -> None:
        """Schedules a fetch if a peer has a newer epoch in force."""
        if epoch > self._state.current.epoch:
            self._announced_epoch, self._announcing_peer = epoch, peer
            self._newer_epoch_announced.set()

    def manifest(self) -> bytes | None:
        """Returns the encoded manifest in force, if there is one."""
        manifest = self._state.manifest
        return (
            None if manifest is None else codec.MANIFEST_CODEC.encode(manifest)
        )

    def chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns the encoded chunk with this hash, if available."""
        chunk = self._state.chunk(chunk_hash)
        if chunk is None:
            return None
        encoded = codec.CHUNK_CODEC.encode(chunk)
        # Unknown fields of a later software version are lost in the encoding,
        # which changes the hash.
        return encoded if codec.chunk_hash(encoded) == chunk_hash else None

    async def run(self) -> None:
        """Fetches manifests of announced epochs until cancelled."""
        while True:
            await self._newer_epoch_announced.wait()
            self._newer_epoch_announced.clear()
            if self._announced_epoch <= self._state.current.epoch:
                continue
            epoch, peer = self._announced_epoch, self._announcing_peer
            fetched = await self._client.fetch_manifest(peer)
            if isinstance(fetched, result.Ok):
                for listener in self._listeners:
                    listener(epoch, fetched.ok_value)
            else:
                self._log_failure(peer, fetched.err_value)
            await event_loop_timers.sleep(self._timers, _MIN_FETCH_INTERVAL)

    async def fetch_chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Fetches a chunk from the peer that last announced a newer epoch."""
        peer = self._announcing_peer
        if not peer:
            return None
        fetched = await self._client.fetch_chunk(peer, chunk_hash)
        if isinstance(fetched, result.Ok):
            return fetched.ok_value
        self._log_failure(peer, fetched.err_value)
        return None

    def _log_failure(
        self, peer: records.PeerAddress, error: peers.PeerError
    ) -> None:
        self._log.emit(
            events.Event.PEER_CONFIGURATION_FAILED,
            epoch=self._announced_epoch,
            peer=peer,
            detail=error.detail,
        )
