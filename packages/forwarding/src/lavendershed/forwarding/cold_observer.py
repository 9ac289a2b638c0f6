"""Observation of cold engines in the list of servers and in failures."""

from __future__ import annotations

from collections.abc import Iterable

from lavendershed.admission import cold_engines
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import deployment_view
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments


class ColdObserver:
    """Tells `ColdEngines` what is seen of engines, and logs what follows.

    Services without a cold rate are left out.
    """

    def __init__(
        self,
        view: deployment_view.DeploymentView,
        cold: cold_engines.ColdEngines,
        slowdowns: engine_slowdown.EngineSlowdowns,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._view = view
        self._cold = cold
        self._slowdowns = slowdowns
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        # Services with a cold rate, and the entries of their engines.
        self._profiles: dict[ids.ServiceId, cold_engines.ColdProfile] = {}
        self._seen: dict[ids.BackendServerId, server_directory.ServerEntry] = {}
        self._entries: dict[ids.ServerNumber, server_directory.ServerEntry] = {}
        self._evacuated: frozenset[ids.AvailabilityZoneId] = frozenset()
        self._logged: dict[ids.ServerNumber, server_directory.ServerEntry] = {}
        self._next_end: timers.Timer | None = None

    def on_view(self) -> None:
        """Records new servers, a new configuration or new evacuations."""
        if not self._view.directory.is_initialised:
            return
        profiles = self._find_profiles()
        if not profiles and not self._entries:
            return
        now = self._timers.now()
        current = {
            entry.id: entry
            for entry in self._view.directory.entries
            if entry.service in profiles
        }
        have_profiles_changed = profiles != self._profiles
        # Unchanged entries are the same objects as before.
        changed = [
            entry
            for server, entry in current.items()
            if have_profiles_changed or self._seen.get(server) is not entry
        ]
        gone = [
            _number(entry)
            for server, entry in self._seen.items()
            if server not in current
            or current[server].incarnation != entry.incarnation
        ]
        self._seen = current
        self._profiles = profiles
        for number in gone:
            self._entries.pop(number, None)
        statements = [
            cold_engines.EngineStatement(
                _number(entry),
                entry.revision,
                entry.cold_remaining,
                profiles[entry.service],
            )
            for entry in changed
        ]
        for statement, entry in zip(statements, changed, strict=True):
            self._entries[statement.server] = entry
        self._cold.on_entries(statements, gone, now)
        evacuated = self._view.evacuations.evacuations.zones
        taken_back = self._evacuated - evacuated
        self._evacuated = evacuated
        if taken_back:
            for number, entry in self._entries.items():
                if entry.availability_zone in taken_back:
                    self._cold.on_taken_back(number, now)
        self._update(now)

    def on_failure(
        self, server: server_directory.ServerEntry, exclusion: units.Seconds
    ) -> None:
        """Records that a server broke off or could not be reached."""
        number = _number(server)
        if number not in self._entries:
            return
        now = self._timers.now()
        self._cold.on_failure(number, exclusion, now)
        self._update(now)

    def on_peer_failures(
        self, unreachable: Iterable[server_health.UnreachableServer]
    ) -> None:
        """Records servers that another daemon can't reach."""
        for server, exclusion in unreachable:
            entry = self._view.directory.entry(server)
            if entry is not None:
                self.on_failure(entry, exclusion)

    def _find_profiles(
        self,
    ) -> dict[ids.ServiceId, cold_engines.ColdProfile]:
        table = self._view.table
        if table is None:
            return {}
        return {
            service.id: cold_engines.ColdProfile(
                service.cold_start, service.cold_rate
            )
            for service in table.configuration.services
            if service.cold_rate > 0 and service.cold_start > 0
        }

    def _update(self, now: units.Instant) -> None:
        cold = {
            number: self._entries[number]
            for number in self._cold.cold_servers(now)
            if number in self._entries
        }
        for number, entry in cold.items():
            until = self._cold.cold_until(number)
            self._slowdowns.set_cold(entry.id, until)
            if number not in self._logged:
                self._log.emit(
                    events.Event.ENGINE_COLD,
                    server=entry.id,
                    service=entry.service,
                    zone=entry.availability_zone,
                    stated_ms=round(entry.cold_remaining * 1_000),
                    assumed_ms=round((until - now) * 1_000),
                    revision=entry.revision.number,
                )
        for number, entry in self._logged.items():
            if number not in cold:
                self._log.emit(events.Event.ENGINE_WARM, server=entry.id)
        if cold or self._logged:
            self._instruments.set_cold_engines(len(cold))
        self._logged = cold
        self._schedule_next_end()

    def _schedule_next_end(self) -> None:
        if self._next_end is not None:
            self._next_end.cancel()
            self._next_end = None
        if self._logged:
            self._next_end = self._timers.schedule_at(
                min(map(self._cold.cold_until, self._logged)), self._on_end
            )

    def _on_end(self) -> None:
        self._next_end = None
        self._update(self._timers.now())


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)
