"""Observation of the request limits in answers of backend servers."""

from __future__ import annotations

from collections.abc import Iterable

import result

from lavendershed.admission import engine_limits
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.transport import client


class LimitObserver:
    """Reads the limit of each answer and logs its changes."""

    def __init__(
        self,
        limits: engine_limits.EngineLimits,
        codec: codecs.BackendCodec,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._limits = limits
        self._codec = codec
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments

    def limit(
        self, server: server_directory.ServerEntry
    ) -> engine_limits.LimitNews | None:
        """Returns the limit of a server; None without one."""
        return self._limits.limit(
            load_reports.hash_incarnation(server.id, server.incarnation)
        )

    def log_fields(
        self, server: server_directory.ServerEntry
    ) -> dict[str, log.LogValue]:
        """Returns what a decision for a server knows about its limit."""
        limit = self.limit(server)
        if limit is None:
            return {}
        age = units.elapsed(limit.observed_at, self._timers.now())
        return {"limit": limit.rate, "limit_age_ms": round(age * 1_000)}

    def on_servers(
        self, servers: Iterable[server_directory.ServerEntry]
    ) -> None:
        """Forgets the limits of servers that are not registered any more."""
        self._limits.retain(
            frozenset(
                load_reports.hash_incarnation(server.id, server.incarnation)
                for server in servers
            ),
            self._timers.now(),
        )

    def on_answer(
        self,
        server: server_directory.ServerEntry,
        head: client.ResponseHead,
        sent_at: units.Instant,
        *,
        to_call: bool = False,
    ) -> None:
        """Records what an answer of a server says about its limit.

        Args:
            server: The server, which the answer was checked to come from.
            head: Head of the answer.
            sent_at: When the request was sent.
            to_call: Whether it answers a call of this daemon instead of a
                caller's request. Such an answer may name a limit, but is no
                sign that there is none.
        """
        previous = self.limit(server)
        decoded = self._codec.decode_request_limit(head)
        now = self._timers.now()
        number = load_reports.hash_incarnation(server.id, server.incarnation)
        if isinstance(decoded, result.Err):
            known = engine_limits.UNREADABLE_RATE
            if previous is not None and previous.rate is not None:
                known = previous.rate
            self._limits.on_named(number, known, now)
            self._log.emit(
                events.Event.ENGINE_LIMIT_REJECTED,
                server=server.id,
                reason=decoded.err_value,
                limit=known,
            )
        elif decoded.ok_value is not None:
            self._limits.on_named(
                number, engine_limits.bounded(decoded.ok_value), now
            )
        elif not to_call:
            self._limits.on_not_named(number, sent_at, now)
        self._log_change(server, previous)

    def _log_change(
        self,
        server: server_directory.ServerEntry,
        previous: engine_limits.LimitNews | None,
    ) -> None:
        current = self.limit(server)
        previous_rate = None if previous is None else previous.rate
        rate = None if current is None else current.rate
        if rate == previous_rate:
            return
        self._instruments.set_limited_servers(self._limits.limited_count)
        self._log.emit(
            events.Event.ENGINE_LIMIT_ENDED
            if rate is None
            else events.Event.ENGINE_LIMIT_NAMED,
            server=server.id,
            limit=rate,
            previous=previous_rate,
        )
