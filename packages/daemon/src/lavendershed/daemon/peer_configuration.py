"""Configuration from and for other daemons."""

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

# Every heartbeat names the greater epoch again until its chunks are here; this
# keeps the manifest from being fetched with each of them.
_MIN_FETCH_INTERVAL = units.Seconds(0.5)


class PeerConfiguration(background.BackgroundTask, chunk_source.ChunkSource):
    """Fetches greater epochs from peers and serves the one in force.

    An accepted change spreads this way while the object store is down, and a
    daemon that starts then gets its configuration. Manifests and chunks are
    checked and applied by their listeners, as those of the store are.
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
        """Calls `listener` with the encoded manifest of a greater epoch."""
        self._listeners.append(listener)

    def on_epoch(self, epoch: ids.Epoch, peer: records.PeerAddress) -> None:
        """Takes the epoch that a peer has in force."""
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
        """Returns an encoded chunk that has this hash, if it is held."""
        chunk = self._state.chunk(chunk_hash)
        if chunk is None:
            return None
        encoded = codec.CHUNK_CODEC.encode(chunk)
        # A chunk with fields of a later version is encoded without them.
        return encoded if codec.chunk_hash(encoded) == chunk_hash else None

    async def run(self) -> None:
        """Fetches what peers announce, until cancelled."""
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
        """Returns an encoded chunk from the peer with the greatest epoch."""
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
