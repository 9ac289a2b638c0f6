"""Order in which connections are processed when time is short.

Start-time fair queueing on two levels. Listeners share the processor time, and
so do the connections of each listener. Whoever has used little time and has
sent little goes first, so that a short request passes the long ones that are
being received, and no crowd at one listener delays another listener.

Source: P. Goyal, H. M. Vin and H. Cheng, "Start-time fair queueing: a
scheduling algorithm for integrated services packet switching networks",
IEEE/ACM Transactions on Networking 5(5), 1997.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import heapq
import itertools

from lavendershed.core import units

# Estimated cost of input that is not processed yet. A head of many short lines
# takes about as long.
_SECONDS_PER_BYTE = 0.5e-6
# More input is processed in several turns.
_MAX_ESTIMATED_BYTES = units.Bytes(16_384)
# Every so many times the flow that has waited longest goes first, so that long
# input is processed beside any number of short requests.
_OLDEST_INTERVAL = 8
# Beyond that the keys of flows that have left are removed.
_MAX_KEYS_PER_FLOW = 4
# A process that is suspended while it measures must not set back a connection
# by the time of its suspension.
_MAX_CHARGE = units.Seconds(0.1)


class Processor(abc.ABC):
    """Processes the input of one connection."""

    @property
    @abc.abstractmethod
    def backlog(self) -> units.Bytes:
        """Bytes that have come and are not processed."""

    @abc.abstractmethod
    def process_turn(self) -> bool:
        """Processes a part of the input that takes little time.

        Returns:
            Whether a request has begun.
        """

    @abc.abstractmethod
    def wait_for_turn(self) -> None:
        """Keeps the input until `process_turn`, and reads no more."""


@dataclasses.dataclass(eq=False, slots=True)
class FlowGroup:
    """The connections of one listener.

    Attributes:
        start: Virtual time of all groups at which the group is served next.
        finish: Virtual time at which what it was served ends.
        virtual_time: Virtual time of its flows, at which new ones start.
        served: How often one of its flows was served after it had waited.
        delayed: How often input had to wait when it came.
        waiting: Flows that wait, by their tickets in the order of arrival.
        keys: Keys and tickets of the same as a heap, and of others that have
            left since.
    """

    start: float = 0.0
    finish: float = 0.0
    virtual_time: float = 0.0
    served: int = 0
    delayed: int = 0
    waiting: collections.OrderedDict[int, Flow] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    keys: list[tuple[tuple[float, float], int]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(eq=False, slots=True)
class Flow:
    """One connection in the order.

    Attributes:
        group: Connections of the same listener.
        processor: Processes the input of the connection.
        start: Virtual time of the group at which it began to wait.
        finish: Virtual time of the group at which what it was served ends.
        ticket: Number of its place while it waits.
    """

    group: FlowGroup
    processor: Processor
    start: float = 0.0
    finish: float = 0.0
    ticket: int | None = None

    @property
    def waiting(self) -> bool:
        """Whether the flow waits to be served."""
        return self.ticket is not None


class ProcessingOrder:
    """Decides whose input is processed next.

    A flow starts when it begins to wait, or where its last turn has ended if
    that is later, and finishes after what its turn costs. Both are virtual
    times in seconds of processing, which stand still while a group is idle.
    """

    def __init__(self) -> None:
        self._groups: list[FlowGroup] = []
        self._virtual_time = 0.0
        self._tickets = itertools.count()

    def __len__(self) -> int:
        """Number of flows that wait."""
        return sum(len(group.waiting) for group in self._groups)

    def create_group(self) -> FlowGroup:
        """Returns a group without flows."""
        group = FlowGroup()
        self._groups.append(group)
        return group

    def is_first(self, flow: Flow) -> bool:
        """Returns whether a flow that has come now goes before all others."""
        group = flow.group
        group_start = self._group_start(group)
        if any(
            other.waiting and other.start < group_start
            for other in self._groups
            if other is not group
        ):
            return False
        if not group.waiting:
            return True
        return self._key(flow) < self._first_key(group)[0]

    def enqueue(self, flow: Flow) -> None:
        """Lets a flow wait. Does nothing if it waits."""
        if flow.waiting:
            return
        group = flow.group
        if not group.waiting:
            group.start = self._group_start(group)
        flow.ticket = next(self._tickets)
        self.begin(flow)
        group.waiting[flow.ticket] = flow
        heapq.heappush(group.keys, (self._key(flow), flow.ticket))
        if len(group.keys) > _MAX_KEYS_PER_FLOW * len(group.waiting):
            group.keys = [k for k in group.keys if k[1] in group.waiting]
            heapq.heapify(group.keys)

    def withdraw(self, flow: Flow) -> None:
        """Removes a flow that waits. Idempotent."""
        if flow.ticket is not None:
            del flow.group.waiting[flow.ticket]
            flow.ticket = None

    def pop(self) -> Flow | None:
        """Removes and returns the flow to serve next, or None."""
        group = min(
            (candidate for candidate in self._groups if candidate.waiting),
            key=lambda candidate: candidate.start,
            default=None,
        )
        if group is None:
            return None
        group.served += 1
        if group.served % _OLDEST_INTERVAL:
            flow = group.waiting[self._first_key(group)[1]]
            group.virtual_time = max(group.virtual_time, flow.start)
        else:
            flow = next(iter(group.waiting.values()))
        self.withdraw(flow)
        return flow

    def begin(self, flow: Flow) -> None:
        """Sets where a flow starts that waits, or is served at once."""
        flow.start = max(flow.finish, flow.group.virtual_time)

    def charge(self, flow: Flow, duration: units.Seconds) -> None:
        """Records what it cost to serve a flow, after `pop` or `begin`."""
        cost = min(max(0.0, duration), _MAX_CHARGE)
        group = flow.group
        self._virtual_time = group.start = self._group_start(group)
        group.start = group.finish = group.start + cost
        flow.finish = flow.start + cost

    def _group_start(self, group: FlowGroup) -> float:
        return max(group.finish, self._virtual_time)

    def _key(self, flow: Flow) -> tuple[float, float]:
        """Returns the estimated finish, and the finish of the last time."""
        backlog = min(flow.processor.backlog, _MAX_ESTIMATED_BYTES)
        start = max(flow.finish, flow.group.virtual_time)
        return start + backlog * _SECONDS_PER_BYTE, flow.finish

    def _first_key(self, group: FlowGroup) -> tuple[tuple[float, float], int]:
        """Returns the smallest key of a flow that waits, with its ticket."""
        while group.keys[0][1] not in group.waiting:
            heapq.heappop(group.keys)
        return group.keys[0]
