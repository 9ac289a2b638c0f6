"""Synchronisation of the configuration with the object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import result

from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.platform import codec
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

Listener = Callable[[model.Configuration, model.Configuration], None]


class ConfigurationSync(background.BackgroundTask):
    """Polls the manifest and applies greater epochs."""

    def __init__(
        self,
        store: object_store.ObjectStore,
        state: state_module.ConfigurationState,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        interval: units.Seconds,
        listeners: tuple[Listener, ...],
    ) -> None:
        self._store = store
        self._state = state
        self._timers = timer_service
        self._log = event_log
        self._interval = interval
        self._listeners = list(listeners)

    def add_listener(self, listener: Listener) -> None:
        """Calls `listener` after each applied configuration."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self._poll()
            await event_loop_timers.sleep(self._timers, self._interval)

    async def _poll(self) -> None:
        stored = await self._store.get(codec.MANIFEST_KEY)
        if isinstance(stored, result.Err):
            if stored.err_value.kind is not object_store.StoreErrorKind.ABSENT:
                self._log.emit(
                    events.Event.STORE_CALL_FAILED,
                    kind=stored.err_value.kind.value,
                    detail=stored.err_value.detail,
                )
            return
        manifest = codec.MANIFEST.decode(stored.ok_value.value)
        if isinstance(manifest, result.Err):
            self._log.emit(
                events.Event.CONFIGURATION_REJECTED, detail=manifest.err_value
            )
            return
        await self._execute(
            self._state.on_manifest(manifest.ok_value, self._timers.now())
        )

        await self._execute(self._state.on_timer(self._timers.now()))

    async def _execute(
        self, commands: tuple[state_module.Command, ...]
    ) -> None:
        for command in commands:
            if isinstance(command, state_module.FetchChunks):
                await asyncio.gather(
                    *(self._fetch(chunk_hash) for chunk_hash in command.hashes)
                )
            else:
                self._report(command)

    async def _fetch(self, chunk_hash: ids.ChunkHash) -> None:
        stored = await self._store.get(codec.chunk_key(chunk_hash))
        if isinstance(stored, result.Err):
            return
        data = stored.ok_value.value
        chunk = codec.decode_chunk(chunk_hash, data)
        if isinstance(chunk, result.Err):
            self._log.emit(
                events.Event.CONFIGURATION_REJECTED, detail=chunk.err_value
            )
            return
        commands = self._state.on_chunk(
            chunk_hash, chunk.ok_value, self._timers.now()
        )
        for command in commands:
            self._report(command)

    def _report(self, command: state_module.Command) -> None:
        if isinstance(command, state_module.RejectManifest):
            self._log.emit(
                events.Event.CONFIGURATION_REJECTED,
                epoch=command.epoch,
                detail=command.detail,
            )
        elif isinstance(command, state_module.ApplyConfiguration):
            self._apply(command)

    def _apply(self, command: state_module.ApplyConfiguration) -> None:
        for listener in self._listeners:
            listener(command.old, command.new)
        self._log.emit(
            events.Event.CONFIGURATION_APPLIED,
            old_epoch=command.old.epoch,
            epoch=command.new.epoch,
            preset=command.new.active_preset,
        )
