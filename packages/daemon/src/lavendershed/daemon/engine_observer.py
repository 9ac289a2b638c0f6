"""Polling of engines for load reports and cache events."""

from __future__ import annotations

import asyncio
import itertools

import result

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import allocation_manager as allocation_manager_module
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import background
from lavendershed.daemon import queued_dispatcher
from lavendershed.transport import event_loop_timers

# With many engines the poll interval grows, so that polling takes only a small
# part of the daemon's CPU time.
_MAX_POLLS_PER_SECOND = 80.0
# Caches change slowly, so events are read with every fourth load report.
_ROUNDS_PER_CACHE_POLL = 4
_LOAD_PUBLISH_INTERVAL = units.Seconds(0.5)
# Changes within this time are published in one record.
_LOAD_PUBLISH_DELAY = units.Seconds(0.005)
# Keeps records of about 60 bytes to eight peers below 8 KB/s.
_MIN_LOAD_PUBLISH_SPACING = units.Seconds(0.05)
# About as many engine loads as fit into a datagram of 1,200 bytes.
_MAX_LOADS_PER_RECORD = 24


class EngineObserver(background.BackgroundTask):
    """Passes reports of engines to the dispatcher and the health tracking."""

    def __init__(
        self,
        dispatcher: queued_dispatcher.QueuedDispatcher,
        directory: backend_directory.BackendDirectory,
        health: backend_health.BackendHealth,
        timer_service: timers.TimerService,
        interval: units.Seconds,
        exchange: cluster.RecordExchange,
        allocation_manager: allocation_manager_module.AllocationManager,
    ) -> None:
        self._dispatcher = dispatcher
        self._directory = directory
        self._health = health
        self._timers = timer_service
        self._interval = interval
        self._exchange = exchange
        self._allocation_manager = allocation_manager
        self._engines_without_cache_events: set[ids.BackendServerId] = set()
        self._poll_tasks: dict[ids.BackendServerId, asyncio.Task[None]] = {}
        self._publish_pending = False
        self._published_at = units.Instant(0.0)
        exchange.subscribe(self._on_record)
        dispatcher.subscribe_load(self._on_load_changed)

    async def run(self) -> None:
        """Polls engines and publishes loads until cancelled.

        Raises:
            Exception: A poll broke an invariant.
        """
        publish_timer = self._timers.schedule_every(
            _LOAD_PUBLISH_INTERVAL, self._publish
        )
        try:
            for round_number in itertools.count():
                self._start_polls(round_number % _ROUNDS_PER_CACHE_POLL == 0)
                engines = len(self._dispatcher.engines)
                min_interval = engines / _MAX_POLLS_PER_SECOND
                await event_loop_timers.sleep(
                    self._timers,
                    units.Seconds(max(self._interval, min_interval)),
                )
        finally:
            publish_timer.cancel()
            for task in self._poll_tasks.values():
                task.cancel()

    def _start_polls(self, with_cache_events: bool) -> None:
        for name, task in tuple(self._poll_tasks.items()):
            if task.done():
                del self._poll_tasks[name]
                task.result()
        for name in self._dispatcher.engines:
            # At most one poll per engine is in flight, even if the engine
            # doesn't respond.
            if name not in self._poll_tasks:
                self._poll_tasks[name] = asyncio.create_task(
                    self._poll(name, with_cache_events)
                )

    async def _poll(
        self, name: ids.BackendServerId, with_cache_events: bool
    ) -> None:
        engine = self._directory.engine(name)
        if engine is None:
            return
        report = await engine.load_report()
        if isinstance(report, result.Err):
            self._health.on_error(name, report.err_value)
            return
        self._health.on_load_report(name, report.ok_value)
        self._allocation_manager.on_incarnation(
            name, report.ok_value.incarnation
        )
        self._dispatcher.on_load_report(name, report.ok_value)
        if with_cache_events and name not in self._engines_without_cache_events:
            await self._poll_cache_events(name, engine)

    async def _poll_cache_events(
        self, name: ids.BackendServerId, engine: backend_servers.ModelEngine
    ) -> None:
        cache_events_read = await engine.cache_events(
            self._dispatcher.cache_sequence(name)
        )
        if isinstance(cache_events_read, result.Ok):
            self._dispatcher.on_cache_events(name, cache_events_read.ok_value)
        elif (
            cache_events_read.err_value.kind
            is backend_servers.BackendErrorKind.PROTOCOL
        ):
            # The cache of this engine is estimated from local dispatches only.
            self._engines_without_cache_events.add(name)

    def _on_load_changed(self) -> None:
        """Schedules the publication of changed loads to peers.

        Peers learn of the change before the engine's next report. Ended
        prefills are published too: peers detect a dispatch by an increased
        load, and one that replaces an ended prefill would not increase it.
        """
        if self._publish_pending:
            return
        self._publish_pending = True
        publish_at = max(
            units.after(self._timers.now(), _LOAD_PUBLISH_DELAY),
            units.after(self._published_at, _MIN_LOAD_PUBLISH_SPACING),
        )
        self._timers.schedule_at(publish_at, self._publish)

    def _publish(self) -> None:
        self._publish_pending = False
        self._published_at = self._timers.now()
        loads = self._dispatcher.local_loads[:_MAX_LOADS_PER_RECORD]
        self._exchange.publish(cluster.LoadRecord(loads))

    def _on_record(
        self, origin: backend_servers.Owner, record: cluster.PeerRecord
    ) -> None:
        if isinstance(record, cluster.LoadRecord):
            self._dispatcher.on_peer_loads(origin.vm, record.loads)
