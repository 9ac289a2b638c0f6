"""Log lines and counts of requests that end without a complete response."""

from __future__ import annotations

from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.transport import connection_ends

_MAX_TARGET_LENGTH = 100


class UnansweredRequestRecorder(connection_ends.ConnectionObserver):
    """Logs and counts what ended connections with an unanswered request."""

    def __init__(
        self,
        listener: str,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        """Creates a recorder.

        Args:
            listener: Whose connections are observed, such as "callers".
            event_log: Where the requests are logged.
            instruments: Counts the requests.
        """
        self._listener = listener
        self._log = event_log
        self._instruments = instruments

    def on_unanswered(self, request: connection_ends.UnansweredRequest) -> None:
        """Logs and counts a request."""
        self._instruments.count_unanswered_request(
            self._listener, request.end.value
        )
        if request.end is connection_ends.ConnectionEnd.CALLER_LEFT:
            # The execution of the request logs it, with its id.
            return
        self._log.emit(
            events.Event.REQUEST_UNANSWERED,
            listener=self._listener,
            reason=request.end.value,
            peer=request.peer,
            target=request.target and request.target[:_MAX_TARGET_LENGTH],
            status=request.status,
            received_bytes=request.received_bytes,
            seconds=round(request.seconds, 3),
        )
