"""Tracks engine allocations and releases them reliably."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Iterable

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import engine_incarnations
from lavendershed.reliability import memory_ledger
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

_MAX_RELEASES_IN_FLIGHT = 64
# Maximum wait for confirmations at a graceful stop. Allocations that remain are
# freed at the deadlines of their streams or reclaimed by another daemon.
_RELEASE_TIMEOUT = units.Seconds(5.0)

ReleaseResult = result.Result[ids.Incarnation, backend_servers.BackendError]


def release_allocation(
    client: backend_servers.ModelEngine, key: memory_ledger.AllocationKey
) -> Awaitable[ReleaseResult]:
    """Returns the engine call that releases an allocation."""
    if key.kind is backend_servers.AllocationKind.STREAM:
        return client.cancel_stream(ids.StreamId(key.allocation_id))
    if key.kind is backend_servers.AllocationKind.RESERVATION:
        return client.release_reservation(ids.ReservationId(key.allocation_id))
    return client.release_kv(ids.KvHandle(key.allocation_id))


class AllocationManager(background.BackgroundTask):
    """Executes the release commands of the memory ledger.

    An engine's client is kept while the ledger has entries for it, even after
    the engine was removed from the configuration.
    """

    def __init__(
        self,
        ledger: memory_ledger.MemoryLedger,
        incarnations: engine_incarnations.EngineIncarnations,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._ledger = ledger
        self._incarnations = incarnations
        self._timers = timer_service
        self._log = event_log
        self._clients: dict[
            memory_ledger.AllocationKey, backend_servers.ModelEngine
        ] = {}
        self._release_tasks: dict[
            memory_ledger.AllocationKey, asyncio.Task[None]
        ] = {}
        self._pruned_incarnations: dict[
            ids.BackendServerId, ids.Incarnation
        ] = {}
        self._wake_event = asyncio.Event()
        self._release_slots = asyncio.Semaphore(_MAX_RELEASES_IN_FLIGHT)

    @property
    def log_name(self) -> str:
        """Name of the task in log events."""
        # Not the class name: log values stay when the class is renamed.
        return "LedgerKeeper"

    async def run(self) -> None:
        """Sends due releases until cancelled.

        Raises:
            Exception: A release broke an invariant.
        """
        while True:
            self._wake_event.clear()
            self._issue_releases(self._ledger.on_timer(self._timers.now()))
            next_release_at = self._ledger.next_release_at
            timer = (
                None
                if next_release_at is None
                else self._timers.schedule_at(
                    next_release_at, self._wake_event.set
                )
            )
            try:
                await self._wake_event.wait()
            finally:
                if timer is not None:
                    timer.cancel()

    async def release(self) -> None:
        """Releases all allocations and waits for confirmations."""
        for key in tuple(self._clients):
            self.start_release(key)
        give_up_at = units.after(self._timers.now(), _RELEASE_TIMEOUT)
        while len(self._ledger) and self._timers.now() < give_up_at:
            poll_interval = units.Seconds(0.02)
            await event_loop_timers.sleep(self._timers, poll_interval)
        if len(self._ledger):
            self._log.emit(
                events.Event.RELEASES_UNCONFIRMED, entries=len(self._ledger)
            )

    def status(self) -> dict[str, object]:
        """Returns the number of ledger entries and of pending releases."""
        return {
            "ledger_entries": len(self._ledger),
            "ledger_releasing": self._ledger.pending_releases,
        }

    def register(
        self,
        key: memory_ledger.AllocationKey,
        client: backend_servers.ModelEngine,
        attempt: ids.AttemptId | None,
    ) -> result.Result[None, memory_ledger.LedgerFull]:
        """Registers an allocation; call this before sending its request."""
        registered = self._ledger.on_requested(key, attempt)
        if isinstance(registered, result.Err):
            self._log.emit(
                events.Event.LEDGER_FULL, entries=registered.err_value.limit
            )
            return registered
        self._clients[key] = client
        return registered

    def confirm(
        self, key: memory_ledger.AllocationKey, incarnation: ids.Incarnation
    ) -> None:
        """Records that an engine incarnation has made an allocation."""
        self.on_incarnation(key.engine, incarnation)
        self._ledger.on_confirmed(key, incarnation)

    def mark_freed(self, key: memory_ledger.AllocationKey) -> None:
        """Removes the entry of an allocation that is known to be free."""
        self._ledger.on_released(key)
        self._clients.pop(key, None)

    def start_release(self, key: memory_ledger.AllocationKey) -> None:
        """Releases an allocation; retries until the engine confirms it."""
        now = self._timers.now()
        self._issue_releases(self._ledger.start_release(key, now))
        # The new entry may be due before the one that the loop waits for.
        self._wake_event.set()

    def on_incarnation(
        self, engine: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> None:
        """Removes the entries of an engine's earlier incarnations."""
        is_latest = self._incarnations.on_seen(engine, incarnation)
        if (
            not is_latest
            or self._pruned_incarnations.get(engine) == incarnation
        ):
            return
        self._pruned_incarnations[engine] = incarnation
        for key in self._ledger.on_incarnation_seen(engine, incarnation):
            self._clients.pop(key, None)

    def _issue_releases(
        self, commands: Iterable[memory_ledger.ReleaseCommand]
    ) -> None:
        for command in commands:
            # At most one release per allocation is in flight, even if the
            # engine doesn't respond.
            if command.key not in self._release_tasks:
                self._release_tasks[command.key] = asyncio.create_task(
                    self._release(command.key)
                )

    async def _release(self, key: memory_ledger.AllocationKey) -> None:
        try:
            async with self._release_slots:
                client = self._clients.get(key)
                if client is None:
                    return
                released = await release_allocation(client, key)
        finally:
            del self._release_tasks[key]
        if isinstance(released, result.Ok):
            self.mark_freed(key)
            self.on_incarnation(key.engine, released.ok_value)
            return
        entry = self._ledger.entry(key)
        self._log.emit(
            events.Event.RELEASE_FAILED,
            engine=key.engine,
            allocation=key.allocation_id,
            orders=0 if entry is None else entry.release_attempts,
            detail=released.err_value.detail,
        )
