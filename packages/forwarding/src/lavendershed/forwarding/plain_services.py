"""Calls of this daemon at the servers of plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from lavendershed.admission import call_limits
from lavendershed.admission import priority_order
from lavendershed.admission import return_schedule
from lavendershed.admission import waiting_queue
from lavendershed.admission import waiting_request
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.reliability import failure_shares
from lavendershed.routing import server_choice
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

# Assumed time of a call until one was answered, and the weight of each new one
# in the mean.
_FIRST_CALL_TIME = units.Seconds(0.05)
_CALL_TIME_WEIGHT = 0.1
# Waiting calls look again at least this often, because servers come and go.
_RECHECK_INTERVAL = units.Seconds(0.1)
# A call waits if the expected wait is at most this share of the time that is
# left, because calls differ in length.
_EXPECTED_SHARE = 0.9
# Share of the caller's time for which a call may wait that is late already.
_MAX_LATE_SHARE = 0.5
_MIN_WAIT = units.Seconds(0.001)

Servers = Sequence[server_directory.ServerEntry]


class PlainServices:
    """Chooses servers for calls, and holds calls back that these refuse.

    A call is sent to an open server that fails the least share of its calls and
    has the fewest calls of this daemon in flight. If servers have refused
    calls, those that can be on time wait in the order of their priority.
    """

    def __init__(
        self,
        balancer: server_choice.LeastOutstanding,
        limits: call_limits.CallLimits,
        shares: failure_shares.FailureShares,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._balancer = balancer
        self._limits = limits
        self._shares = shares
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._order = priority_order.PriorityOrder()
        self._queues: dict[ids.ServiceId, waiting_queue.WaitingQueue] = {}
        self._waiters: dict[ids.RequestId, asyncio.Future[None]] = {}
        self._returns: dict[ids.ServiceId, return_schedule.ReturnSchedule] = {}
        self._call_times: dict[ids.ServiceId, units.Seconds] = {}

    def call_time(self, service: ids.ServiceId) -> units.Seconds:
        """Returns the mean time of the calls that servers answered."""
        return self._call_times.get(service, _FIRST_CALL_TIME)

    def choose(
        self, candidates: Servers, avoided: frozenset[ids.BackendServerId]
    ) -> server_directory.ServerEntry | None:
        """Returns the server for a call; None if it has to wait or fail.

        A call waits for a closed server rather than go to one that is avoided.

        Args:
            candidates: Servers that accept new requests.
            avoided: Servers to use only if there are no others.
        """
        now = self._timers.now()
        preferred = [c for c in candidates if c.id not in avoided] or candidates
        return self._balancer.choose(
            [c for c in preferred if self._limits.accepts(c.id, now)],
            avoided,
            {c.id: self._limits.in_flight(c.id) for c in preferred},
            {c.id: self.failure_share(c) for c in preferred},
        )

    def failure_share(self, server: server_directory.ServerEntry) -> float:
        """Returns the share of its calls that a server fails."""
        return self._shares.share(_number(server), self._timers.now())

    def is_first(
        self, service: ids.ServiceId, call: waiting_request.WaitingRequest
    ) -> bool:
        """Returns whether no waiting call goes before `call`."""
        queue = self._queues.get(service)
        if queue is None or not queue.length:
            return True
        now = self._timers.now()
        return not self._goes_before(queue.in_order(now)[0], call, now)

    def is_worth_waiting(
        self,
        service: ids.ServiceId,
        call: waiting_request.WaitingRequest,
        servers: Servers,
    ) -> bool:
        """Returns whether a call that waits now is expected to be served.

        It has to be on time, or, if it is late already, within a share of its
        caller's time that leaves the caller enough to return.
        """
        now = self._timers.now()
        queue = self._queues.get(service)
        ahead = sum(
            self._goes_before(other, call, now)
            for other in (() if queue is None else queue.in_order(now))
        )
        wait = (
            self._limits.opens_in((s.id for s in servers), now)
            + (1 + ahead / self._places(servers)) * call.shortest_time
        )
        limit = call.due_at
        if now > limit:
            limit = units.Instant(
                call.received_at
                + (call.deadline - call.received_at) * _MAX_LATE_SHARE
            )
        return wait <= _EXPECTED_SHARE * (limit - now)

    def return_time(
        self,
        service: ids.ServiceId,
        servers: Servers,
        time_left: units.Seconds,
    ) -> units.Seconds | None:
        """Returns the Retry-After of a refused call; None without a chance."""
        now = self._timers.now()
        schedule = self._returns.setdefault(
            service, return_schedule.ReturnSchedule()
        )
        retry_after = schedule.issue(
            self.call_time(service),
            return_schedule.Capacity(
                self._places(servers),
                1,
                self._limits.opens_in((s.id for s in servers), now),
            ),
            time_left,
            now,
        )
        if retry_after is not None:
            self._instruments.record_return(service, retry_after)
        return retry_after

    async def wait(
        self,
        service: ids.ServiceId,
        call: waiting_request.WaitingRequest,
        servers: Servers,
    ) -> bool:
        """Waits until a server may take the call.

        Returns:
            Whether it may look for a server again; False if the queue is full
            of calls that go first.
        """
        now = self._timers.now()
        queue = self._queues.setdefault(
            service, waiting_queue.WaitingQueue(self._order)
        )
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[call.id] = waiter
        dropped = {other.id for other in queue.add(call, now)}
        for other in dropped - {call.id}:
            self._wake(other)
        self._instruments.set_waiting_requests(service, queue.length)
        self._log.emit(
            events.Event.REQUEST_QUEUED,
            request=call.id,
            service=service,
            waiting=queue.length,
            due_in_ms=round((call.due_at - now) * 1_000),
        )
        try:
            if call.id not in dropped:
                opens_in = self._limits.opens_in((s.id for s in servers), now)
                await asyncio.wait(
                    (waiter,),
                    timeout=max(
                        _MIN_WAIT,
                        min(opens_in or _RECHECK_INTERVAL, _RECHECK_INTERVAL),
                    ),
                )
        finally:
            queue.remove(call.id)
            self._waiters.pop(call.id, None)
            self._instruments.set_waiting_requests(service, queue.length)
        return call.id not in dropped

    def on_sent(self, server: server_directory.ServerEntry) -> None:
        """Counts a call that is sent to a server."""
        self._limits.on_sent(server.id)

    def on_ended(self, server: server_directory.ServerEntry) -> None:
        """Counts the end of a call, and lets waiting ones look again."""
        self._limits.on_ended(server.id)
        queue = self._queues.get(server.service)
        if queue is not None:
            for call in queue.in_order(self._timers.now()):
                self._wake(call.id)

    def on_answered(
        self, server: server_directory.ServerEntry, sent_at: units.Instant
    ) -> None:
        """Records a successful answer."""
        now = self._timers.now()
        mean = self.call_time(server.service)
        self._call_times[server.service] = units.Seconds(
            mean + _CALL_TIME_WEIGHT * (units.elapsed(sent_at, now) - mean)
        )
        self._limits.on_answered(server.id)
        self._shares.record(_number(server), now, failed=False)

    def on_overdue(self, server: server_directory.ServerEntry) -> None:
        """Records a call without an answer in the time that calls take."""
        self._shares.record(_number(server), self._timers.now(), failed=True)

    def on_failed(
        self, server: server_directory.ServerEntry, *, counted: bool
    ) -> None:
        """Records a call that a server took and failed.

        Args:
            server: The server.
            counted: Whether the call was overdue before.
        """
        self._limits.on_answered(server.id)
        if not counted:
            self.on_overdue(server)

    def on_refused(
        self, server: server_directory.ServerEntry, sent_at: units.Instant
    ) -> None:
        """Records a call that a server did not run."""
        self._limits.on_refused(server.id, sent_at, self._timers.now())

    def log_fields(
        self, server: server_directory.ServerEntry
    ) -> dict[str, log.LogValue]:
        """Returns what is known of a server that is not sound, for logs."""
        fields: dict[str, log.LogValue] = {}
        share = self.failure_share(server)
        if share:
            fields["failure_share"] = share
        limit = self._limits.limit(server.id)
        if limit is not None:
            fields["call_limit"] = limit
        return fields

    def _goes_before(
        self,
        call: waiting_request.WaitingRequest,
        other: waiting_request.WaitingRequest,
        now: units.Instant,
    ) -> bool:
        """Returns whether `call` is served before `other`."""
        rank, other_rank = (self._order.rank(c, now) for c in (call, other))
        return rank > other_rank or (
            rank == other_rank and call.received_at < other.received_at
        )

    def _places(self, servers: Servers) -> int:
        """Returns how many calls of this daemon some servers take."""
        limits = (self._limits.limit(server.id) for server in servers)
        return max(1, sum(1 if limit is None else limit for limit in limits))

    def _wake(self, call: ids.RequestId) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)
