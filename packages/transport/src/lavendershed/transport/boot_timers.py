"""Timer service whose clock includes the time while a VM is suspended."""

from __future__ import annotations

import asyncio
import time

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import event_loop_timers


class BootTimerService(event_loop_timers.EventLoopTimerService):
    """Event loop timers with a clock that includes VM suspension.

    The clock of the event loop stops while the VM is suspended, so that
    deadlines would expire late and connections would seem younger.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._event_loop = loop

    def now(self) -> units.Instant:
        """Returns the seconds since the VM booted."""
        return units.Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def schedule_at(
        self, when: units.Instant, callback: timers.Callback
    ) -> timers.Timer:
        """Calls `callback` once at `when`, or promptly if `when` has passed."""
        delay = max(0.0, when - self.now())
        return super().schedule_at(
            units.Instant(self._event_loop.time() + delay), callback
        )
