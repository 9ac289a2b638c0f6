"""Time limits for what a caller sends on a connection."""

from __future__ import annotations

from collections.abc import Callable
import enum
import typing

from lavendershed.core import timers
from lavendershed.core import units

if typing.TYPE_CHECKING:
    from lavendershed.transport import server


# Timers that fire later than this show that the process was held up.
_MAX_TIMER_DELAY = units.Seconds(0.05)


class ReceivePhase(enum.Enum):
    """What a connection receives."""

    # No byte of a request has come.
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    # The request is complete and its response is not.
    HANDLING = "handling"
    # Nothing more is read for a request.
    CLOSING = "closing"


class ReceiveDeadline:
    """When the current phase of a connection has to be over.

    The limits may change at any time. A limit that was raised holds at once,
    since callers may rely on it. One that was lowered holds from the next
    phase, since the previous limit has been announced to the caller.

    The timer stays armed across phases and is checked when it fires, because
    most phases end long before their limit. If it fires late, the process was
    held up and could not read, and the phase is longer by as much.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        limits: server.ServerLimits,
        on_expired: Callable[[], object],
    ) -> None:
        """Creates the deadline of a connection that has just been opened.

        Args:
            timer_service: Clock and timers.
            limits: Limits in force.
            on_expired: Is called when the deadline of a phase has passed.
        """
        self._timers = timer_service
        self._limits = limits
        self._on_expired = on_expired
        self._phase = ReceivePhase.IDLE
        self._phase_started_at = timer_service.now()
        self._request_started_at = self._phase_started_at
        self._promised_limit: units.Seconds | None = None
        self._served = False
        self._extension = units.Seconds(0.0)
        self._timer: timers.Timer | None = None
        self._timer_at = units.Instant(0.0)
        self.enter(ReceivePhase.IDLE)

    @property
    def phase(self) -> ReceivePhase:
        """The current phase."""
        return self._phase

    @property
    def request_started_at(self) -> units.Instant:
        """When the first byte of the last request was received."""
        return self._request_started_at

    @property
    def expires_at(self) -> units.Instant | None:
        """When the current phase has to be over; None without a limit."""
        limit = self._current_limit()
        if limit is None:
            return None
        if self._promised_limit is not None:
            limit = max(limit, self._promised_limit)
        start = (
            self._phase_started_at
            if self._phase is ReceivePhase.IDLE
            else self._request_started_at
        )
        return units.after(start, units.Seconds(limit + self._extension))

    @property
    def has_expired(self) -> bool:
        """Whether the current phase should be over."""
        expires_at = self.expires_at
        return expires_at is not None and self._timers.now() >= expires_at

    def enter(
        self, phase: ReceivePhase, announced: units.Seconds | None = None
    ) -> None:
        """Begins a phase.

        Args:
            phase: The phase.
            announced: The limit that the caller was told, if any.
        """
        now = self._timers.now()
        if self._phase is ReceivePhase.IDLE and phase is not self._phase:
            self._request_started_at = now
        self._served = self._served or phase is ReceivePhase.HANDLING
        self._phase = phase
        self._phase_started_at = now
        self._extension = units.Seconds(0.0)
        self._promised_limit = announced or self._current_limit()
        self._arm()

    def set_limits(self, limits: server.ServerLimits) -> None:
        """Replaces the limits."""
        self._limits = limits
        limit = self._current_limit()
        if limit is not None and self._promised_limit is not None:
            # Callers may know the raised limit from other connections.
            self._promised_limit = max(limit, self._promised_limit)
        self._arm()

    def rearm(self) -> None:
        """Waits for the deadline of the phase that has begun meanwhile."""
        self._arm()

    def close(self) -> None:
        """Cancels the timer."""
        self._phase = ReceivePhase.CLOSING
        self._cancel()

    def _current_limit(self) -> units.Seconds | None:
        limits = self._limits
        if self._phase is ReceivePhase.IDLE:
            if limits.idle_timeout is not None or self._served:
                return limits.idle_timeout
            # A connection that never carries a request is not kept.
            return limits.request_timeout
        if self._phase is ReceivePhase.HEAD:
            return min(limits.header_timeout, limits.request_timeout)
        if self._phase is ReceivePhase.BODY:
            return limits.request_timeout
        return None

    def _arm(self) -> None:
        expires_at = self.expires_at
        if expires_at is None:
            return
        if self._timer is not None and self._timer_at > expires_at:
            self._cancel()
        if self._timer is None:
            self._timer_at = expires_at
            self._timer = self._timers.schedule_at(expires_at, self._on_timer)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        delay = units.elapsed(self._timer_at, self._timers.now())
        if delay > _MAX_TIMER_DELAY:
            self._extension = units.Seconds(self._extension + delay)
        if self.has_expired:
            self._on_expired()
        else:
            self._arm()
