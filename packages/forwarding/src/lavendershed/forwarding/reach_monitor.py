"""Watches whether this daemon reaches the backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
import random

from lavendershed.core import addresses
from lavendershed.core import timers
from lavendershed.forwarding import connections
from lavendershed.forwarding import deployment_view
from lavendershed.reliability import engine_reach
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

_EVENTS = {
    engine_reach.ReachState.LOST: events.Event.SERVERS_UNREACHABLE,
    engine_reach.ReachState.REACHABLE: events.Event.SERVERS_REACHABLE,
}


class ReachMonitor(connections.ConnectionListener):
    """Probes servers while they may be out of reach, and tells of changes."""

    def __init__(
        self,
        view: deployment_view.DeploymentView,
        server_connections: connections.BackendConnectionPool,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._connections = server_connections
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._reach = engine_reach.EngineReach(generator)
        self._listeners: list[Callable[[], object]] = []
        self._was_certain = True
        self._next_probe: timers.Timer | None = None
        self._probes: set[asyncio.Task[connections.ProbeResult]] = set()

    @property
    def is_lost(self) -> bool:
        """Whether this daemon is cut off from all servers."""
        return self._reach.state is engine_reach.ReachState.LOST

    @property
    def is_certain(self) -> bool:
        """Whether servers that can't be reached are likely to be at fault."""
        return self._reach.state is engine_reach.ReachState.REACHABLE

    def subscribe(self, listener: Callable[[], object]) -> None:
        """Calls `listener` when the reach is lost, regained or certain."""
        self._listeners.append(listener)

    def on_connected(self, address: addresses.Address) -> None:
        """A server has accepted a connection."""
        self._apply(self._reach.on_connected(address, self._timers.now()))

    def on_connect_failed(self, address: addresses.Address) -> None:
        """A server has refused a connection or did not answer."""
        known = len(self._first_addresses())
        now = self._timers.now()
        self._apply(self._reach.on_connect_failed(address, known, now))

    def _first_addresses(self) -> set[addresses.Address]:
        """Returns as many distinct addresses as matter for the decision."""
        found: set[addresses.Address] = set()
        for entry in self._view.directory.entries:
            found.add(entry.address)
            if len(found) >= engine_reach.MIN_UNREACHABLE:
                break
        return found

    def _apply(self, change: engine_reach.ReachChange | None) -> None:
        became_certain = self.is_certain and not self._was_certain
        self._was_certain = self.is_certain
        if change is not None:
            self._instruments.set_cut_off(self.is_lost)
            self._log.emit(
                _EVENTS[change.state],
                servers=change.servers,
                seconds=round(change.seconds, 3),
            )
            if self.is_lost:
                # They may hang, and would be used when the link returns.
                self._connections.close()
        if change is not None or became_certain:
            for listener in self._listeners:
                listener()
        self._schedule_probes()

    def _schedule_probes(self) -> None:
        if self._next_probe is not None:
            self._next_probe.cancel()
            self._next_probe = None
        when = self._reach.next_probe_at
        if not math.isinf(when):
            self._next_probe = self._timers.schedule_at(when, self._probe)

    def _probe(self) -> None:
        self._next_probe = None
        targets = self._reach.select_targets(
            (
                engine_reach.Target(
                    entry.address, entry.availability_zone, entry.service
                )
                for entry in self._view.directory.entries
                if self._view.accepts_new_work(entry)
            ),
            self._timers.now(),
        )
        loop = asyncio.get_running_loop()
        for target in targets:
            task = loop.create_task(self._connections.probe(target.address))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)
        self._schedule_probes()
