"""Records answers and losses of servers for the attribution of crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.reliability import crash_attribution
from lavendershed.reliability import engine_crashes
from lavendershed.reliability import engine_losses
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

_JUDGEMENT_INTERVAL = units.Seconds(0.1)
# Engines that are probed at the same time.
_MAX_PROBES = 8


class LossRecorder:
    """Tells the attribution of crashes what is known of lost servers."""

    def __init__(
        self,
        attribution: crash_attribution.CrashAttribution,
        server_connections: connections.BackendConnectionPool,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._attribution = attribution
        self._connections = server_connections
        self._losses = engine_losses.EngineLosses()
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._known: frozenset[ids.ServerNumber] = frozenset()
        self._judgement: timers.Timer | None = None
        # Probes of servers that were lost, by their numbers.
        self._probes: dict[ids.ServerNumber, asyncio.Task[None]] = {}

    def on_answer(self, server: server_directory.ServerEntry) -> None:
        """Records that a server has sent a part of an answer."""
        now = self._timers.now()
        number = _number(server)
        self._losses.on_answer(number, now)
        if self._losses.has_held:
            self._judge()
        if self._attribution.on_engine_answered(number, now):
            self._log.emit(events.Event.ENGINE_LOSS_DISMISSED, server=server.id)

    def on_loss(
        self,
        server: server_directory.ServerEntry,
        request: ids.RequestId,
        suspects: engine_crashes.Suspects,
        evidence: engine_losses.LossEvidence,
        *,
        leaving: bool,
    ) -> None:
        """Records the loss of a server under a request.

        Args:
            server: The server.
            request: The request.
            suspects: The request, and the shared parts of its prompt if its
                answer had not begun.
            evidence: How the loss was noticed.
            leaving: Whether the server is known to be leaving.
        """
        self._losses.on_loss(
            engine_losses.Loss(
                request,
                server.id,
                _number(server),
                suspects,
                evidence,
                self._timers.now(),
                leaving,
            )
        )
        self._schedule_judgement()
        number = _number(server)
        if number not in self._probes and len(self._probes) < _MAX_PROBES:
            self._probes[number] = asyncio.get_running_loop().create_task(
                self._probe(server)
            )

    async def _probe(self, server: server_directory.ServerEntry) -> None:
        """Asks whether a lost server still accepts connections."""
        number = _number(server)
        try:
            answer = await self._connections.probe(server.address)
            if answer is connections.ProbeResult.ACCEPTED:
                self._losses.on_accepted(number)
            elif answer is connections.ProbeResult.REFUSED:
                self._losses.on_refused(number)
            self._judge()
        finally:
            del self._probes[number]

    def on_servers(
        self, entries: Iterable[server_directory.ServerEntry]
    ) -> None:
        """Records which incarnations the list of servers lacks by now."""
        current = frozenset(map(_number, entries))
        ended, self._known = self._known - current, current
        now = self._timers.now()
        for number in ended:
            self._losses.on_ended(number)
            self._attribution.on_engine_ended(number, now)

    def _schedule_judgement(self) -> None:
        if self._judgement is None and self._losses.has_held:
            when = units.after(self._timers.now(), _JUDGEMENT_INTERVAL)
            self._judgement = self._timers.schedule_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._judgement = None
        self._judge()

    def _judge(self) -> None:
        for judged in self._losses.judge(self._timers.now()):
            self._record(judged)
        self._schedule_judgement()

    def _record(self, judged: engine_losses.JudgedLoss) -> None:
        loss = judged.loss
        self._instruments.count_engine_loss(
            judged.cause.value, counted=judged.is_counted
        )
        self._log.emit(
            events.Event.ENGINE_LOST,
            request=loss.request,
            server=loss.server,
            cause=judged.cause.value,
            noticed_by=loss.evidence.value,
            evidence=judged.evidence.value,
            age_ms=None if judged.age is None else round(judged.age * 1_000),
            counted=judged.is_counted,
            suspects=[f"{suspect:x}" for suspect in sorted(loss.suspects)],
        )
        if judged.is_counted:
            self._attribution.on_crash(
                loss.engine, loss.suspects, loss.at, self._timers.now()
            )


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)
