"""Configuration from and for other daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import result

from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.platform import codec
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

Listener = Callable[[model.Configuration, model.Configuration], None]

# The next heartbeat of any peer names the greater epoch again; this keeps a
# peer that can't serve it from being asked in a loop.
_PAUSE_AFTER_FAILURE = units.Seconds(0.5)


class PeerConfiguration(background.BackgroundTask):
    """Fetches greater epochs from peers and serves the one in force.

    An accepted change spreads this way while the object store is down, and a
    daemon that starts then gets its configuration.
    """

    def __init__(
        self,
        client: peers.PeerClient,
        state: state_module.ConfigurationState,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        listeners: tuple[Listener, ...],
    ) -> None:
        self._client = client
        self._state = state
        self._timers = timer_service
        self._log = event_log
        self._listeners = list(listeners)
        self._wanted = asyncio.Event()
        self._epoch = ids.Epoch(0)
        self._rejected = ids.Epoch(0)
        self._peer = records.ContactAddress("")

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` after each applied configuration."""
        self._listeners.append(listener)

    def on_epoch(self, epoch: ids.Epoch, peer: records.ContactAddress) -> None:
        """Takes the epoch that a peer has in force."""
        if epoch > self._state.current.epoch and epoch != self._rejected:
            self._epoch, self._peer = epoch, peer
            self._wanted.set()

    def manifest(self) -> bytes | None:
        """Returns the encoded manifest in force, if there is one."""
        manifest = self._state.manifest
        return None if manifest is None else codec.MANIFEST.encode(manifest)

    def chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns an encoded chunk that has this hash, if it is held."""
        chunk = self._state.chunk(chunk_hash)
        if chunk is None:
            return None
        encoded = codec.CHUNK.encode(chunk)
        # A chunk with fields of a later version is encoded without them.
        return encoded if codec.chunk_hash(encoded) == chunk_hash else None

    async def run(self) -> None:
        """Fetches what peers announce, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            if self._epoch <= self._state.current.epoch:
                continue
            problem = await self._fetch_epoch(self._peer)
            if problem is not None:
                self._log.emit(
                    events.Event.PEER_CONFIGURATION_FAILED,
                    epoch=self._epoch,
                    peer=self._peer,
                    detail=problem,
                )
                await event_loop_timers.sleep(
                    self._timers, _PAUSE_AFTER_FAILURE
                )

    async def _fetch_epoch(self, peer: records.ContactAddress) -> str | None:
        fetched = await self._client.fetch_manifest(peer)
        if isinstance(fetched, result.Err):
            return fetched.err_value.detail
        manifest = codec.MANIFEST.decode(fetched.ok_value)
        if isinstance(manifest, result.Err):
            return manifest.err_value
        self._report(
            self._state.on_manifest(manifest.ok_value, self._timers.now())
        )
        for chunk_hash in manifest.ok_value.chunks:
            if manifest.ok_value.epoch <= self._state.current.epoch:
                break
            if self._state.chunk(chunk_hash) is None:
                problem = await self._fetch_chunk(peer, chunk_hash)
                if problem is not None:
                    return problem
        return None

    async def _fetch_chunk(
        self, peer: records.ContactAddress, chunk_hash: ids.ChunkHash
    ) -> str | None:
        fetched = await self._client.fetch_chunk(peer, chunk_hash)
        if isinstance(fetched, result.Err):
            return fetched.err_value.detail
        chunk = codec.decode_chunk(chunk_hash, fetched.ok_value)
        if isinstance(chunk, result.Err):
            return chunk.err_value
        self._report(
            self._state.on_chunk(chunk_hash, chunk.ok_value, self._timers.now())
        )
        return None

    def _report(self, commands: tuple[state_module.Command, ...]) -> None:
        # Missing chunks are taken from the manifest, because the store may
        # have been asked for them in vain just before.
        for command in commands:
            if isinstance(command, state_module.ApplyConfiguration):
                self._apply(command)
            elif isinstance(command, state_module.RejectManifest):
                self._rejected = command.epoch
                self._log.emit(
                    events.Event.CONFIGURATION_REJECTED,
                    epoch=command.epoch,
                    detail=command.detail,
                )

    def _apply(self, command: state_module.ApplyConfiguration) -> None:
        for listener in self._listeners:
            listener(command.old, command.new)
        self._log.emit(
            events.Event.CONFIGURATION_APPLIED,
            old_epoch=command.old.epoch,
            epoch=command.new.epoch,
            preset=command.new.active_preset,
            source="peer",
        )
