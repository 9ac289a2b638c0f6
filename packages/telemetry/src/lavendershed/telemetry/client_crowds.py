"""Log lines and metrics of what callers make a process hold."""

from __future__ import annotations

import collections

from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.transport import server


class ClientCrowdRecorder:
    """Reports what a listener refused, gave up and did not accept.

    A crowd does so thousands of times a second, so that one line counts all
    since the last report.
    """

    def __init__(
        self,
        listener: str,
        http_server: server.HttpServer,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        """Creates a recorder.

        Args:
            listener: Whose connections are observed, such as "callers".
            http_server: The server of this listener.
            event_log: Where the counts are logged.
            instruments: Metrics of the process.
        """
        self._listener = listener
        self._server = http_server
        self._log = event_log
        self._instruments = instruments
        self._given_up: collections.Counter[str] = collections.Counter()
        self._refused = 0
        self._pauses = 0
        self._paused = False
        self._delayed_inputs = 0

    def report(self) -> None:
        """Logs and counts what has happened since the last report."""
        memory = self._server.memory
        self._instruments.set_client_memory(
            self._listener, memory.used, memory.connections
        )
        self._report_given_up()
        self._report_refused()
        self._report_pauses()
        self._report_delays()

    def _report_given_up(self) -> None:
        memory = self._server.memory
        total = collections.Counter(
            {s.value: count for s, count in memory.given_up.items()}
        )
        recent = total - self._given_up
        if not recent:
            return
        self._given_up = total
        for standing, count in recent.items():
            self._instruments.count_given_up(self._listener, standing, count)
        self._log.emit(
            events.Event.CONNECTIONS_GIVEN_UP,
            listener=self._listener,
            given_up=[f"{name}={count}" for name, count in recent.items()],
            held_bytes=memory.used,
            limit_bytes=memory.limits.memory,
            connections=memory.connections,
            max_connections=memory.limits.connections,
        )

    def _report_refused(self) -> None:
        memory = self._server.memory
        recent = memory.refused - self._refused
        if not recent:
            return
        self._refused = memory.refused
        self._instruments.count_without_memory(self._listener, recent)
        self._log.emit(
            events.Event.REQUESTS_WITHOUT_MEMORY,
            listener=self._listener,
            count=recent,
            held_bytes=memory.used,
            limit_bytes=memory.limits.memory,
        )

    def _report_pauses(self) -> None:
        pauses = self._server.accept_pauses
        paused = not self._server.accepting
        if pauses > self._pauses:
            self._instruments.count_accept_pauses(
                self._listener, pauses - self._pauses
            )
            if not self._paused:
                self._paused = True
                self._log.emit(
                    events.Event.ACCEPTS_PAUSED,
                    listener=self._listener,
                    connections=self._server.memory.connections,
                    max_connections=self._server.memory.limits.connections,
                )
        elif self._paused and not paused:
            self._paused = False
            self._log.emit(
                events.Event.ACCEPTS_RESUMED,
                listener=self._listener,
                pauses=pauses,
            )
        self._pauses = pauses

    def _report_delays(self) -> None:
        recent = self._server.delayed_inputs - self._delayed_inputs
        if not recent:
            return
        self._delayed_inputs = self._server.delayed_inputs
        self._instruments.count_delayed_inputs(self._listener, recent)
        waiting = self._server.waiting_inputs
        # A short burst is over by now.
        if waiting:
            self._log.emit(
                events.Event.INPUT_DELAYED,
                listener=self._listener,
                count=recent,
                waiting=waiting,
                connections=self._server.memory.connections,
            )
