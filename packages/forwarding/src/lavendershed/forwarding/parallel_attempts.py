"""Attempts of one request that run at the same time.

A server that sends nothing may be dead or may only pause, and no time limit
tells which. So another attempt is started beside an overdue one, and the first
one that goes on is kept. The last attempt that is left ends by its own outcome
or by the deadline of the request, not because it is silent.
"""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.transport import buffer_budget


class ProgressWatch:
    """Notices that an attempt has made no progress for longer than expected.

    A stream makes thousands of short waits. Its timer stays armed between them
    and checks on expiry whether the current wait is overdue.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        on_overdue: Callable[[], object],
    ) -> None:
        self._timers = timer_service
        self._on_overdue = on_overdue
        self._due_at: units.Instant | None = None
        self._timer: timers.Timer | None = None
        self._timer_at = units.Instant(0.0)
        self._is_overdue = False

    @property
    def is_overdue(self) -> bool:
        """Whether the progress that is awaited is late."""
        return self._is_overdue

    def expect_by(self, due_at: units.Instant) -> None:
        """Expects progress until `due_at`."""
        self._is_overdue = False
        self._due_at = due_at
        if self._timer is not None and self._timer_at > due_at:
            self._cancel_timer()
        if self._timer is None:
            self._arm(due_at)

    def suspend(self) -> None:
        """Expects no progress for now."""
        self._is_overdue = False
        self._due_at = None

    def set_overdue(self) -> None:
        """Records that the progress that is awaited is known to be late."""
        self._is_overdue = True
        self._due_at = None

    def close(self) -> None:
        """Cancels the timer."""
        self._due_at = None
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, when: units.Instant) -> None:
        self._timer_at = when
        self._timer = self._timers.schedule_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._due_at is None:
            return
        if self._timers.now() < self._due_at:
            self._arm(self._due_at)
            return
        self.set_overdue()
        self._on_overdue()


class AttemptObserver(abc.ABC):
    """Is told how the attempts of a request get on."""

    @abc.abstractmethod
    def on_progress(self, attempt: Attempt) -> None:
        """An attempt has brought the next part of the answer."""

    @abc.abstractmethod
    def on_overdue(self, attempt: Attempt) -> None:
        """An attempt makes no progress."""


class Attempt(abc.ABC):
    """One attempt to get the answer to a request."""

    def __init__(
        self,
        timer_service: timers.TimerService,
        buffers: buffer_budget.BufferBudget,
    ) -> None:
        self._observer: AttemptObserver | None = None
        self._buffer = buffers.share()
        self._progress = ProgressWatch(timer_service, self._on_overdue)

    @property
    def is_overdue(self) -> bool:
        """Whether the attempt has made no progress for too long."""
        return self._progress.is_overdue

    def release_buffer(self) -> None:
        """Gives the memory of the response back, once it was forwarded."""
        self._buffer.release()

    def on_ended(self) -> None:
        """Is called once the attempt is over, however it ended."""

    def subscribe(self, observer: AttemptObserver) -> None:
        """Tells `observer` of progress from now on."""
        self._observer = observer

    async def run(self) -> attempts.AttemptResult:
        """Sends the request once; returns the outcome."""
        try:
            return await self._run()
        finally:
            self._progress.close()

    @abc.abstractmethod
    def record_start(self, tracker: attempts.AttemptTracker) -> None:
        """Records in the history of the request that this attempt runs."""

    @abc.abstractmethod
    def record_end(
        self,
        tracker: attempts.AttemptTracker,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        """Records that this attempt has brought no complete response."""

    @abc.abstractmethod
    def record_close(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt was closed, because another went on."""

    @abc.abstractmethod
    async def _run(self) -> attempts.AttemptResult:
        """Sends the request and handles the response."""

    @abc.abstractmethod
    def _record_silence(self) -> None:
        """Records that the server makes no progress."""

    def _on_overdue(self) -> None:
        self._record_silence()
        self._ask_for_another()

    def _on_slow(self) -> None:
        """Has another attempt started, though the server is not silent."""
        self._progress.set_overdue()
        self._ask_for_another()

    def _ask_for_another(self) -> None:
        if self._observer is not None:
            self._observer.on_overdue(self)

    def _on_progress(self) -> None:
        """Closes the other attempts of the request."""
        if self._observer is not None:
            self._observer.on_progress(self)


class ParallelAttempts(AttemptObserver):
    """The attempts of one request that run now."""

    def __init__(self, tracker: attempts.AttemptTracker) -> None:
        self._tracker = tracker
        self._tasks: dict[Attempt, asyncio.Task[attempts.AttemptResult]] = {}
        # All attempts that were started, which may hold memory.
        self._started: list[Attempt] = []
        self._changed = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no attempt runs."""
        return not self._tasks

    @property
    def needs_another(self) -> bool:
        """Whether all attempts that run are overdue, or none runs."""
        return all(
            attempt.is_overdue and not task.done()
            for attempt, task in self._tasks.items()
        )

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt beside those that run."""
        attempt.subscribe(self)
        attempt.record_start(self._tracker)
        task = asyncio.get_running_loop().create_task(attempt.run())
        # Not at the end of `run`, which a task that is cancelled before its
        # first step never enters.
        task.add_done_callback(lambda _: attempt.on_ended())
        task.add_done_callback(lambda _: self._changed.set())
        self._tasks[attempt] = task
        self._started.append(attempt)

    async def wait(
        self, timeout: units.Seconds | None
    ) -> tuple[Attempt, attempts.AttemptResult] | None:
        """Waits until an attempt ends or is overdue.

        Returns:
            An attempt that has ended and its outcome; None if none has.
        """
        self._changed.clear()
        ended = self._take_ended()
        if ended is None:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait()
            except TimeoutError:
                return None
            ended = self._take_ended()
        return ended

    def on_progress(self, attempt: Attempt) -> None:
        """Keeps the attempt that goes on, and closes the others."""
        if len(self._tasks) > 1:
            self._close_all_but(attempt)

    def on_overdue(self, attempt: Attempt) -> None:
        """Ends the current `wait`."""
        self._changed.set()

    def close(self) -> None:
        """Closes all attempts."""
        self._close_all_but(None)

    def release_buffers(self) -> None:
        """Gives the memory of all responses back."""
        for attempt in self._started:
            attempt.release_buffer()

    def _close_all_but(self, kept: Attempt | None) -> None:
        for attempt, task in tuple(self._tasks.items()):
            if attempt is not kept:
                del self._tasks[attempt]
                task.cancel()
                attempt.release_buffer()
                if kept is not None:
                    attempt.record_close(self._tracker)

    def _take_ended(self) -> tuple[Attempt, attempts.AttemptResult] | None:
        ended = next(
            (a for a, task in self._tasks.items() if task.done()), None
        )
        if ended is None:
            return None
        return ended, self._tasks.pop(ended).result()
