"""Timer service of the running event loop."""

from __future__ import annotations

import asyncio

from lavendershed.core import timers
from lavendershed.core import units


class _EventLoopTimer(timers.Timer):
    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class EventLoopTimerService(timers.TimerService):
    """Timers of the running event loop, with its monotonic clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> units.Instant:
        """Returns the loop's monotonic time in seconds."""
        return units.Instant(self._loop.time())

    def schedule_at(
        self, when: units.Instant, callback: timers.Callback
    ) -> timers.Timer:
        """Calls `callback` once at `when`, or promptly if `when` has passed."""
        return _EventLoopTimer(self._loop.call_at(when, callback))


async def sleep_until(
    timer_service: timers.TimerService, when: units.Instant
) -> None:
    """Suspends the calling task until `when` on the timer service's clock."""
    timer_fired = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not timer_fired.done():
            timer_fired.set_result(None)

    timer = timer_service.schedule_at(when, wake)
    try:
        await timer_fired
    finally:
        timer.cancel()


async def sleep(
    timer_service: timers.TimerService, duration: units.Seconds
) -> None:
    """Suspends the calling task for `duration` seconds."""
    await sleep_until(timer_service, units.after(timer_service.now(), duration))
