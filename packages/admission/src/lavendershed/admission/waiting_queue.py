"""Requests that wait for capacity of one service."""

from __future__ import annotations

import dataclasses

from lavendershed.admission import waiting_order
from lavendershed.admission import waiting_request
from lavendershed.core import ids
from lavendershed.core import units

_MOST_URGENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds of a waiting queue.

    Attributes:
        max_requests: Most requests that wait at a time.
        max_size: Most bytes that the waiting requests occupy.
    """

    max_requests: int = 256
    max_size: units.Bytes = units.Bytes(16_000_000)


class WaitingQueue:
    """Waiting requests in the order in which they get capacity."""

    def __init__(
        self,
        order: waiting_order.WaitingOrder,
        limits: QueueLimits = QueueLimits(),  # noqa: B008
    ) -> None:
        self._order = order
        self._limits = limits
        self._requests: dict[ids.RequestId, waiting_request.WaitingRequest] = {}

    @property
    def length(self) -> int:
        """Number of waiting requests."""
        return len(self._requests)

    @property
    def engine_time(self) -> units.Seconds:
        """Engine time that all waiting requests need."""
        return units.Seconds(
            sum(request.engine_time for request in self._requests.values())
        )

    def add(
        self, request: waiting_request.WaitingRequest, now: units.Instant
    ) -> tuple[waiting_request.WaitingRequest, ...]:
        """Adds a request.

        Returns:
            The lowest-ranked requests, which have to leave because the queue
            is full; the new request may be among them.
        """
        self._requests[request.id] = request
        leaving = []
        for candidate in reversed(self.in_order(now)):
            if self._fits:
                break
            del self._requests[candidate.id]
            leaving.append(candidate)
        return tuple(leaving)

    def remove(self, request: ids.RequestId) -> None:
        """Removes a request; unknown ids are ignored."""
        self._requests.pop(request, None)

    def in_order(
        self, now: units.Instant
    ) -> tuple[waiting_request.WaitingRequest, ...]:
        """Returns the requests, the first to be served first.

        Priorities are compared first, so that no request is served, or keeps
        its place in a full queue, before a more urgent one of the same service.
        A stream that has begun is as urgent as any: its caller can't return.
        """
        return tuple(
            sorted(
                self._requests.values(),
                key=lambda request: (
                    _MOST_URGENT if request.has_begun else request.priority,
                    -self._order.rank(request, now),
                    request.received_at,
                ),
            )
        )

    @property
    def _fits(self) -> bool:
        return (
            len(self._requests) <= self._limits.max_requests
            and sum(r.size for r in self._requests.values())
            <= self._limits.max_size
        )
