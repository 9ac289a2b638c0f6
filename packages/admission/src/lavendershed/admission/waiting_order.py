"""Order in which waiting requests get capacity that becomes free."""

from __future__ import annotations

import abc

from lavendershed.admission import organisation_usage
from lavendershed.admission import waiting_request
from lavendershed.core import units

# Value of an answer that misses its target, relative to one that meets it.
_LATE_VALUE_SHARE = 0.25
# A request gains this share of its value while it waits for its whole target,
# so that long prompts are not passed over without end.
# A stream that has begun gains it for each event gap that it is late, without
# a bound, because its caller leaves after some gaps.
_AGING = 0.5
_MIN_EVENT_GAP = units.Seconds(0.01)
_MIN_ENGINE_TIME = units.Seconds(0.01)


class WaitingOrder(abc.ABC):
    """Policy that ranks waiting requests."""

    @abc.abstractmethod
    def rank(
        self, request: waiting_request.WaitingRequest, now: units.Instant
    ) -> float:
        """Returns the rank of a request; the highest is served first."""


class ValueOrder(WaitingOrder):
    """Ranks requests by what their answer is still worth per engine time.

    It answers two load patterns. In a burst, requests that can still be on time
    go before those that can't. If one organisation sends most of the traffic,
    its requests yield in proportion to its share of the engine time.

    A stream that has begun keeps its value when its next event is late, since
    the rest of its answer is at stake, and not only this event.
    """

    def __init__(self, usage: organisation_usage.OrganisationUsage) -> None:
        self._usage = usage

    def rank(
        self, request: waiting_request.WaitingRequest, now: units.Instant
    ) -> float:
        """Returns the remaining value per second of engine time."""
        value = request.utility
        if request.event_gap is not None:
            late_by = max(0.0, now - request.due_at)
            gaps = late_by / max(_MIN_EVENT_GAP, request.event_gap)
            value *= 1.0 + _AGING * (1.0 + gaps)
        else:
            if not request.can_meet_target(now):
                value *= _LATE_VALUE_SHARE
            target = max(_MIN_ENGINE_TIME, request.due_at - request.received_at)
            waited = max(0.0, now - request.received_at) / target
            value *= 1.0 + _AGING * min(1.0, waited)
        value *= 1.0 - self._usage.share(request.organisation, now) / 2
        return value / max(_MIN_ENGINE_TIME, request.engine_time)
