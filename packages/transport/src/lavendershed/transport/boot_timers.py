"""Timer service whose clock counts the time of a suspended VM."""

from __future__ import annotations

import asyncio
import time

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import event_loop_timers


class BootTimerService(event_loop_timers.EventLoopTimerService):
    """Timers of the event loop with a clock that includes suspensions.

    The event loop's clock stands still while the VM is suspended, so that
    deadlines and the age of connections would be taken for younger.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._event_loop = loop

    def now(self) -> units.Instant:
        """Returns the seconds since the VM was started."""
        return units.Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

    def schedule_at(
        self, when: units.Instant, callback: timers.Callback
    ) -> timers.Timer:
        """Calls `callback` once at `when`, or soon if `when` has passed."""
        delay = max(0.0, when - self.now())
        return super().schedule_at(
            units.Instant(self._event_loop.time() + delay), callback
        )
