"""A request that waits for capacity."""

from __future__ import annotations

import dataclasses

from lavendershed.core import ids
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """What the order of waiting requests depends on.

    Attributes:
        id: Id of the request.
        organisation: Organisation of the caller, if known.
        utility: Value of an answer that meets its latency targets.
        engine_time: Time that one engine alone would need for the prompt.
        shortest_time: Time to first token on an idle fleet.
        received_at: When it was received.
        due_at: When its first token is due, or the next one of a stream that
            has begun.
        deadline: When its whole answer is due.
        size: Bytes that it occupies while it waits.
        priority: Scheduling priority; 0 is the most urgent.
        event_gap: Target time between two events of a stream that has begun;
            None if the response has not begun.
    """

    id: ids.RequestId
    organisation: ids.OrganisationId | None
    utility: float
    engine_time: units.Seconds
    shortest_time: units.Seconds
    received_at: units.Instant
    due_at: units.Instant
    deadline: units.Instant
    size: units.Bytes
    priority: int = 0
    event_gap: units.Seconds | None = None

    @property
    def has_begun(self) -> bool:
        """Whether its caller has a part of the response."""
        return self.event_gap is not None

    def can_meet_target(self, now: units.Instant) -> bool:
        """Returns whether its first token can still be on time."""
        return now + self.shortest_time <= self.due_at

    def can_meet_deadline(self, now: units.Instant) -> bool:
        """Returns whether any answer can still be in time."""
        return now + self.shortest_time < self.deadline
