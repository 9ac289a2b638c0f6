"""Shares of each turn of the event loop among connections with input."""

from __future__ import annotations

import asyncio
import typing

from lavendershed.core import units
from lavendershed.transport import processing_order

if typing.TYPE_CHECKING:
    from lavendershed.core import timers

# Processing of input in one turn of the event loop. A request takes about a
# dozen turns from its first byte to its response.
_TURN_TIME = units.Seconds(0.004)
# Processing of one connection before others get their turn.
SLICE_TIME = units.Seconds(0.0005)
# Requests that begin in one turn of the event loop if they had to wait: most of
# their time is spent in tasks, which are not measured here.
_MAX_REQUESTS_PER_TURN = 4


class ProcessingTurns:
    """Bounds what the input of all connections costs in a turn of the loop.

    Input is processed when it arrives as long as there is time. Beyond that
    connections wait, and are not read meanwhile. Without the bound a crowd
    whose input costs more time than bytes would make turns so long that no
    request of others ends in time.
    """

    def __init__(self, timer_service: timers.TimerService) -> None:
        self._timers = timer_service
        self._order = processing_order.ProcessingOrder()
        self._spent = units.Seconds(0.0)
        self._scheduled = False
        # The flow that is served now, and whether it has more input.
        self._served: processing_order.Flow | None = None
        self._waits_again = False

    def create_group(self) -> processing_order.FlowGroup:
        """Returns the group of a listener."""
        return self._order.create_group()

    def process(self, flow: processing_order.Flow) -> None:
        """Processes input that has arrived, now or in a later turn."""
        if self._spent < _TURN_TIME and self._order.is_first(flow):
            self._order.begin(flow)
            self._serve(flow)
        else:
            flow.group.delayed += 1
            flow.processor.wait_for_turn()

    def enqueue(self, flow: processing_order.Flow) -> None:
        """Serves a flow in a later turn of the loop."""
        if flow is self._served:
            # Its place depends on what it costs now.
            self._waits_again = True
            return
        self._order.enqueue(flow)
        self._schedule()

    def withdraw(self, flow: processing_order.Flow) -> None:
        """Forgets that a flow waits. Idempotent."""
        if flow is self._served:
            self._waits_again = False
        self._order.withdraw(flow)

    def _serve(self, flow: processing_order.Flow) -> bool:
        started_at = self._timers.now()
        self._served = flow
        self._waits_again = False
        try:
            has_begun = flow.processor.process_turn()
        finally:
            self._served = None
        duration = units.elapsed(started_at, self._timers.now())
        self._order.charge(flow, duration)
        self._spent = units.Seconds(self._spent + duration)
        if self._waits_again:
            self.enqueue(flow)
        elif self._spent >= _TURN_TIME:
            self._schedule()
        return has_begun

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._scheduled = False
        self._spent = units.Seconds(0.0)
        begun = 0
        try:
            # Flows that wait again meanwhile are served in the next turn.
            for _ in range(len(self._order)):
                flow = self._order.pop()
                if flow is None:
                    break
                begun += self._serve(flow)
                if self._spent >= _TURN_TIME or begun >= _MAX_REQUESTS_PER_TURN:
                    break
        finally:
            # An error of one connection must not stop the others.
            if len(self._order):
                self._schedule()
