"""Assembly of one response stream from the streams of its attempts."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.reliability import execution as execution_module

_RESUMABLE_ERRORS = {
    backend_servers.BackendErrorKind.IDLE_TIMEOUT,
    backend_servers.BackendErrorKind.CONNECTION_LOST,
    backend_servers.BackendErrorKind.PROTOCOL,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Command: send these encoded token events to the caller."""

    events: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Command: end the response, which is complete."""

    token_count: units.Tokens
    reason: states.FinishReason


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Command: reconnect to the same engine and read from `offset`."""

    offset: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailOver:
    """Command: end this attempt and continue at `offset` with a new one."""

    offset: int
    error: backend_servers.BackendError


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Command: fail the request, because the response is inconsistent."""

    error: backend_servers.BackendError


Command = Deliver | Finish | Resume | FailOver | Fail


class Phase(enum.Enum):
    """Progress of the current attempt."""

    NONE = "none"
    SENT = "sent"
    ACCEPTED = "accepted"
    ENDED = "ended"


class StreamTracker:
    """Decides how each event of an attempt's stream changes the response.

    Only the current attempt can deliver tokens. They must continue the response
    without a gap; tokens that were delivered before are dropped.
    """

    # Consecutive idle timeouts without an `accepted` event in between that are
    # tolerated; one more, and the engine counts as unreachable. A long prefill
    # produces no token for many idle timeouts, but each resume is accepted.
    MAX_IDLE_TIMEOUTS = 2
    # Lost connections and protocol errors without a delivered token in between
    # that are tolerated. `accepted` alone must not reset the count: these
    # errors occur without delay, so the daemon would resume in a tight loop.
    MAX_ERRORS_WITHOUT_PROGRESS = 3

    def __init__(self) -> None:
        self._state = states.RequestState.QUEUED
        self._phase = Phase.NONE
        self._attempt: ids.AttemptId | None = None
        self._incarnation: ids.Incarnation | None = None
        self._delivered_tokens = 0
        self._idle_timeouts = 0
        self._errors_without_progress = 0
        self._evidence = execution_module.AttemptEvidence()

    @property
    def state(self) -> states.RequestState:
        """Progress of the request."""
        return self._state

    @property
    def delivered_tokens(self) -> int:
        """Number of tokens sent to the caller."""
        return self._delivered_tokens

    @property
    def incarnation(self) -> ids.Incarnation | None:
        """Engine incarnation that accepted the current attempt, if any."""
        return self._incarnation

    @property
    def evidence(self) -> execution_module.AttemptEvidence:
        """Evidence of the current attempt's execution."""
        return self._evidence

    def on_attempt_started(self, attempt: ids.AttemptId) -> None:
        """Makes a new attempt, which is about to be sent, the current one."""
        self._attempt = attempt
        self._phase = Phase.SENT
        self._incarnation = None
        self._idle_timeouts = 0
        self._errors_without_progress = 0
        self._state = states.RequestState.DISPATCHED
        # The send may be interrupted at any point, so the request counts as
        # sent unless an error shows that it was not.
        self._evidence = execution_module.AttemptEvidence(sent=True)

    def on_start_error(
        self, attempt: ids.AttemptId, error: backend_servers.BackendError
    ) -> tuple[Command, ...]:
        """Handles a failed call to start the stream."""
        if not self._is_current(attempt):
            return ()
        self._evidence = execution_module.evidence_from_start_error(error)
        if not error.sent or error.kind not in _RESUMABLE_ERRORS:
            return self._fail_over(error)
        return self._resume(error)

    def on_error(
        self, attempt: ids.AttemptId, error: backend_servers.BackendError
    ) -> tuple[Command, ...]:
        """Handles a failed read or a failed call to resume."""
        if not self._is_current(attempt):
            return ()
        if error.kind not in _RESUMABLE_ERRORS:
            return self._fail_over(error)
        return self._resume(error)

    def on_event(
        self, attempt: ids.AttemptId, event: backend_servers.StreamEvent
    ) -> tuple[Command, ...]:
        """Handles an event read from the stream of `attempt`.

        Events of an attempt that is not current are dropped. An event with the
        id of another attempt is a protocol error.
        """
        if not self._is_current(attempt):
            return ()
        if event.attempt_id != attempt:
            return self._resume(
                _protocol_error("received an event of another attempt")
            )
        if isinstance(event, backend_servers.StreamAccepted):
            return self._on_accepted(event)
        if self._phase is not Phase.ACCEPTED:
            return self._resume(
                _protocol_error("received an event before `accepted`")
            )
        if isinstance(event, backend_servers.TokenBatch):
            return self._on_tokens(event)
        return self._on_end(event)

    def _is_current(self, attempt: ids.AttemptId) -> bool:
        return attempt == self._attempt and self._phase is not Phase.ENDED

    def _on_accepted(
        self, event: backend_servers.StreamAccepted
    ) -> tuple[Command, ...]:
        if self._incarnation not in (None, event.incarnation):
            return self._fail_over(
                _protocol_error("the engine's incarnation has changed")
            )
        self._incarnation = event.incarnation
        self._phase = Phase.ACCEPTED
        self._idle_timeouts = 0
        self._state = states.RequestState.STREAMING
        self._evidence = dataclasses.replace(
            self._evidence, sent=True, started=True
        )
        return ()

    def _on_tokens(
        self, event: backend_servers.TokenBatch
    ) -> tuple[Command, ...]:
        if event.offset > self._delivered_tokens:
            return self._resume(
                _protocol_error(
                    f"gap in the stream: received token {event.offset}, "
                    f"expected {self._delivered_tokens}"
                )
            )
        new_events = event.events[self._delivered_tokens - event.offset :]
        if not new_events:
            return ()
        self._delivered_tokens += len(new_events)
        self._errors_without_progress = 0
        return (Deliver(new_events),)

    def _on_end(self, event: backend_servers.StreamEnd) -> tuple[Command, ...]:
        if event.token_count > self._delivered_tokens:
            return self._resume(
                _protocol_error(
                    f"stream ended after {event.token_count} tokens, received "
                    f"{self._delivered_tokens}"
                )
            )
        self._phase = Phase.ENDED
        if event.token_count < self._delivered_tokens:
            self._state = states.RequestState.FAILED
            return (
                Fail(
                    _protocol_error(
                        f"engine reported {event.token_count} tokens, "
                        f"{self._delivered_tokens} were delivered"
                    )
                ),
            )
        self._state = states.RequestState.DONE
        self._evidence = dataclasses.replace(self._evidence, completed=True)
        return (Finish(event.token_count, event.reason),)

    def _resume(
        self, error: backend_servers.BackendError
    ) -> tuple[Command, ...]:
        if error.kind is backend_servers.BackendErrorKind.IDLE_TIMEOUT:
            self._idle_timeouts += 1
        else:
            self._errors_without_progress += 1
        if (
            self._idle_timeouts > self.MAX_IDLE_TIMEOUTS
            or self._errors_without_progress > self.MAX_ERRORS_WITHOUT_PROGRESS
        ):
            return self._fail_over(error)
        self._state = states.RequestState.RESUMING
        # The new connection has to send `accepted` before any tokens.
        self._phase = Phase.SENT
        return (Resume(self._delivered_tokens, error.detail),)

    def _fail_over(
        self, error: backend_servers.BackendError
    ) -> tuple[Command, ...]:
        self._phase = Phase.ENDED
        self._state = states.RequestState.QUEUED
        return (FailOver(self._delivered_tokens, error),)


def _protocol_error(detail: str) -> backend_servers.BackendError:
    return backend_servers.BackendError(
        backend_servers.BackendErrorKind.PROTOCOL, True, detail
    )
