"""Log lines and counts of requests that end without a complete response."""

from __future__ import annotations

from collections.abc import Callable

from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import connection_ends

_MAX_TARGET_LENGTH = 100
_MAX_ID_LENGTH = 128


class UnansweredRequestRecorder(connection_ends.ConnectionObserver):
    """Logs and counts what ended connections with an unanswered request."""

    def __init__(
        self,
        listener: str,
        event_log: log.EventLog,
        count: Callable[[str, str], object],
        id_header: str,
        *,
        logs_callers_that_left: bool,
    ) -> None:
        """Creates a recorder.

        Args:
            listener: Whose connections are observed, such as "callers".
            event_log: Where the requests are logged.
            count: Is called with the listener and the end of each request.
            id_header: Header that names the id of a request, in lower case.
            logs_callers_that_left: Whether callers that left while their
                request was handled are logged; false if the execution of each
                request logs them.
        """
        self._listener = listener
        self._log = event_log
        self._count = count
        self._id_header = id_header
        self._logs_callers_that_left = logs_callers_that_left

    def on_unanswered(self, request: connection_ends.UnansweredRequest) -> None:
        """Logs and counts a request."""
        self._count(self._listener, request.end.value)
        if (
            request.end is connection_ends.ConnectionEnd.CALLER_LEFT
            and not self._logs_callers_that_left
        ):
            return
        request_id = next(
            (v for n, v in request.headers if n == self._id_header), None
        )
        self._log.emit(
            events.Event.REQUEST_UNANSWERED,
            listener=self._listener,
            reason=request.end.value,
            request=request_id and request_id[:_MAX_ID_LENGTH],
            peer=request.peer,
            target=request.target and request.target[:_MAX_TARGET_LENGTH],
            status=request.status,
            received_bytes=request.received_bytes,
            seconds=round(request.seconds, 3),
        )
