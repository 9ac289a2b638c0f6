"""Order of waiting calls, which all need about the same time of a server."""

from __future__ import annotations

from lavendershed.admission import waiting_order
from lavendershed.admission import waiting_request
from lavendershed.core import units


class PriorityOrder(waiting_order.WaitingOrder):
    """Ranks calls by their utility, which falls with their priority.

    Calls that can't be on time any more go after all others.
    """

    def rank(
        self, request: waiting_request.WaitingRequest, now: units.Instant
    ) -> float:
        """Returns the rank of a call; the highest is served first."""
        return request.utility if request.can_meet_target(now) else 0.0
