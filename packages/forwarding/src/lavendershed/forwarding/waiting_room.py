"""Requests of this daemon that wait until engines have capacity."""

from __future__ import annotations

import asyncio
import enum
import math

from lavendershed.admission import organisation_usage
from lavendershed.admission import waiting_order
from lavendershed.admission import waiting_queue
from lavendershed.admission import waiting_request
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

# Another daemon can accept the request immediately.
STOPPING_RETRY_AFTER = units.Seconds(0.05)
# Ends of tasks within this time wake the waiting requests once, since each of
# them looks at all engines.
_WAKE_DELAY = units.Seconds(0.02)
# Predictions also change with time and with the list of servers.
_RECHECK_INTERVAL = units.Seconds(0.5)


class WaitOutcome(enum.Enum):
    """Why a request stopped waiting."""

    CAPACITY_CHANGED = "capacity_changed"
    DROPPED = "dropped"
    STOPPING = "stopping"


class WaitingRoom:
    """Wakes waiting requests in order when engines may have capacity."""

    def __init__(
        self,
        tracker: load_tracker.LoadTracker,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._usage = organisation_usage.OrganisationUsage()
        self._queues: dict[ids.ServiceId, waiting_queue.WaitingQueue] = {}
        self._waiters: dict[ids.RequestId, asyncio.Future[WaitOutcome]] = {}
        # Requests whose response this daemon has begun; no other one can end
        # them.
        self._committed: set[ids.RequestId] = set()
        self._wake_timer: timers.Timer | None = None
        self._stopping = False
        tracker.subscribe_capacity(self._on_capacity)

    def on_placed(
        self,
        organisation: ids.OrganisationId | None,
        engine_time: units.Seconds,
    ) -> None:
        """Counts the engine time of a placed request for its organisation."""
        self._usage.record(organisation, engine_time, self._timers.now())

    def backlog(self, service: ids.ServiceId) -> units.Seconds:
        """Returns the engine time that the waiting requests need."""
        queue = self._queues.get(service)
        return queue.engine_time if queue is not None else units.Seconds(0.0)

    def stop(self) -> None:
        """Ends the waiting of requests that another daemon can serve.

        A daemon that stops would cut off those that wait until its end.
        """
        self._stopping = True
        for request in tuple(self._waiters):
            if request not in self._committed:
                self._finish(request, WaitOutcome.STOPPING)

    async def wait(
        self,
        service: ids.ServiceId,
        request: waiting_request.WaitingRequest,
        *,
        committed: bool,
        recheck_after: units.Seconds | None = None,
    ) -> WaitOutcome:
        """Waits until capacity may have changed for this request.

        A stream that has begun is not dropped. If the queue has no room for
        it, it only looks for engines again after the recheck interval.

        Args:
            service: The service that it is for.
            request: The request.
            committed: Whether this daemon has begun its response.
            recheck_after: Time until a server is available again, if none is.
        """
        if self._stopping and not committed:
            return WaitOutcome.STOPPING
        now = self._timers.now()
        queue = self._queues.setdefault(
            service,
            waiting_queue.WaitingQueue(waiting_order.ValueOrder(self._usage)),
        )
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[request.id] = waiter
        if committed:
            self._committed.add(request.id)
        for dropped in queue.add(request, now):
            if not dropped.has_begun:
                self._finish(dropped.id, WaitOutcome.DROPPED)
        self._instruments.set_waiting_requests(service, queue.length)
        self._log.emit(
            events.Event.REQUEST_QUEUED,
            request=request.id,
            service=service,
            waiting=queue.length,
            due_in_ms=round((request.due_at - now) * 1_000),
            engine_ms=round(request.engine_time * 1_000),
        )
        try:
            await asyncio.wait(
                (waiter,),
                timeout=min(recheck_after or math.inf, _RECHECK_INTERVAL),
            )
        finally:
            queue.remove(request.id)
            self._waiters.pop(request.id, None)
            self._committed.discard(request.id)
            self._instruments.set_waiting_requests(service, queue.length)
        return (
            waiter.result() if waiter.done() else WaitOutcome.CAPACITY_CHANGED
        )

    def _on_capacity(self) -> None:
        if self._waiters and self._wake_timer is None:
            self._wake_timer = self._timers.schedule_at(
                units.after(self._timers.now(), _WAKE_DELAY), self._wake
            )

    def _wake(self) -> None:
        """Lets the waiting requests look for engines, one after the other."""
        self._wake_timer = None
        now = self._timers.now()
        for queue in self._queues.values():
            for request in queue.in_order(now):
                self._finish(request.id, WaitOutcome.CAPACITY_CHANGED)

    def _finish(self, request: ids.RequestId, outcome: WaitOutcome) -> None:
        waiter = self._waiters.get(request)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)
