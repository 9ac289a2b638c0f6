"""Plan of an engine group for a prompt that exceeds one engine's KV cache.

Memory is reserved on one engine after the other in ascending order of engine
id. After a refused reservation the group releases all its reservations before
it retries, so that groups can't deadlock. The prompt is then prefilled segment
by segment: each engine but the last keeps the KV cache of its segment under a
handle, and every later segment attends to the earlier ones through these
handles. The last engine prefills the rest and decodes the answer.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
import math
import random

import result

from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import units

# Bounds of the maximum delay after a refused reservation. The delay is random,
# from half of the lower bound to that maximum.
_MIN_RETRY_DELAY = units.Seconds(0.1)
_MAX_RETRY_DELAY = units.Seconds(2.0)
# Lifetime of a reservation as a multiple of the estimated prefill time, so that
# it doesn't expire while a group is somewhat slower than predicted.
_RESERVATION_LIFETIME_FACTOR = 1.5


class GroupState(enum.Enum):
    """Progress of a group."""

    RESERVING = "holding"
    WAITING = "waiting"
    PREFILLING = "prefilling"
    STREAMING = "streaming"
    ENDED = "ended"


class GroupFailure(enum.Enum):
    """Reason for the failure of a group."""

    TOO_FEW_ENGINES = "too_few_engines"
    DEADLINE = "deadline"
    SEGMENT_FAILED = "segment_failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Segment of a prompt on one engine; offset and size are in tokens."""

    index: int
    engine: ids.BackendServerId
    offset: units.Tokens
    size: units.Tokens
    reservation: ids.ReservationId
    handle: ids.KvHandle


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireReservation:
    """Command: reserve memory for `lifetime` on the segment's engine."""

    segment: Segment
    size: units.Tokens
    lifetime: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseReservation:
    """Command: release a reservation; repeat until the engine confirms."""

    engine: ids.BackendServerId
    reservation: ids.ReservationId


@dataclasses.dataclass(frozen=True, slots=True)
class ExportSegment:
    """Command: prefill a segment and keep its KV cache under its handle."""

    segment: Segment
    imports: tuple[Segment, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartStream:
    """Command: prefill the last segment and stream the answer."""

    segment: Segment
    imports: tuple[Segment, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseKv:
    """Command: release a segment's KV cache; repeat until confirmed."""

    engine: ids.BackendServerId
    handle: ids.KvHandle


@dataclasses.dataclass(frozen=True, slots=True)
class WaitUntil:
    """Command: call `on_timer` at this instant."""

    when: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class FailGroup:
    """Command: fail the request."""

    reason: GroupFailure


Command = (
    AcquireReservation
    | ReleaseReservation
    | ExportSegment
    | StartStream
    | ReleaseKv
    | WaitUntil
    | FailGroup
)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupDemand:
    """Requirements of the request that a group serves.

    Attributes:
        group_id: Unique name; ids of reservations and handles derive from it.
        usable_kv_tokens: KV cache that a group may use on one engine.
        prefill_rate: Prompt tokens per second of one engine.
    """

    group_id: str
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    usable_kv_tokens: units.Tokens
    prefill_rate: float
    deadline: deadlines.Deadline

    @property
    def size(self) -> int:
        """Number of engines that the group needs."""
        return math.ceil(
            (self.prompt_tokens + self.max_tokens) / self.usable_kv_tokens
        )

    @property
    def prefill_time(self) -> units.Seconds:
        """Total prefill time of the segments, which run sequentially."""
        return units.Seconds(self.prompt_tokens / self.prefill_rate)


def split(
    demand: GroupDemand, engines: Sequence[ids.BackendServerId]
) -> tuple[Segment, ...]:
    """Splits a prompt into segments; all but the last have full size."""
    segments = []
    remaining = demand.prompt_tokens
    for index, engine in enumerate(engines):
        last = index == len(engines) - 1
        size = remaining if last else min(remaining, demand.usable_kv_tokens)
        name = f"{demand.group_id}-{index}"
        segments.append(
            Segment(
                index,
                engine,
                units.Tokens(demand.prompt_tokens - remaining),
                units.Tokens(size),
                ids.ReservationId(name),
                ids.KvHandle(name),
            )
        )
        remaining = units.Tokens(remaining - size)
    return tuple(segments)


class GroupPlanner:
    """State machine of one engine group."""

    def __init__(
        self,
        demand: GroupDemand,
        engines: Sequence[ids.BackendServerId],
        generator: random.Random,
    ) -> None:
        """Plans a group on the first of `engines`.

        Args:
            demand: Requirements of the request.
            engines: Candidates, best first.
            generator: Source of the jitter between retries.
        """
        self._demand = demand
        chosen = sorted(engines[: demand.size])
        self._has_enough_engines = len(chosen) == demand.size
        self._segments = (
            split(demand, chosen) if self._has_enough_engines else ()
        )
        self._random = generator
        self._state = GroupState.WAITING
        self._reservations: list[Segment] = []
        self._exported: list[Segment] = []
        self._refused_reservations = 0

    @property
    def state(self) -> GroupState:
        """Progress of this group."""
        return self._state

    @property
    def segments(self) -> tuple[Segment, ...]:
        """The segments of the prompt, in order."""
        return self._segments

    def on_start(self, now: units.Instant) -> tuple[Command, ...]:
        """Starts to reserve memory."""
        if not self._has_enough_engines:
            return self._fail(GroupFailure.TOO_FEW_ENGINES)
        return self._start_reserving(now)

    def on_timer(self, now: units.Instant) -> tuple[Command, ...]:
        """Retries after a refused reservation."""
        if self._state is not GroupState.WAITING:
            return ()
        return self._start_reserving(now)

    def on_reservation(
        self, outcome: result.Result[None, str], now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles the answer to the latest `AcquireReservation`.

        If the answer was lost, the caller passes an error. The reservation is
        then released, because it may have been granted.
        """
        if self._state is not GroupState.RESERVING:
            return ()
        self._reservations.append(self._segments[len(self._reservations)])
        if isinstance(outcome, result.Err):
            return self._back_off(now)
        if len(self._reservations) < len(self._segments):
            return (self._next_reservation(),)
        self._state = GroupState.PREFILLING
        return self._next_segment()

    def on_segment(
        self, outcome: result.Result[None, str], now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles the answer to the latest `ExportSegment`."""
        if self._state is not GroupState.PREFILLING:
            return ()
        self._exported.append(self._segments[len(self._exported)])
        if isinstance(outcome, result.Err):
            return self._fail(GroupFailure.SEGMENT_FAILED)
        if self._demand.deadline.is_expired(now):
            return self._fail(GroupFailure.DEADLINE)
        return self._next_segment()

    def on_finished(self) -> tuple[Command, ...]:
        """Ends the group and releases its memory. Idempotent."""
        if self._state is GroupState.ENDED:
            return ()
        self._state = GroupState.ENDED
        return self._release_all()

    def _start_reserving(self, now: units.Instant) -> tuple[Command, ...]:
        if self._demand.deadline.remaining(now) < self._demand.prefill_time:
            return self._fail(GroupFailure.DEADLINE)
        self._state = GroupState.RESERVING
        return (self._next_reservation(),)

    def _next_reservation(self) -> AcquireReservation:
        lifetime = units.Seconds(
            self._demand.prefill_time * _RESERVATION_LIFETIME_FACTOR
        )
        return AcquireReservation(
            self._segments[len(self._reservations)],
            self._demand.usable_kv_tokens,
            lifetime,
        )

    def _next_segment(self) -> tuple[Command, ...]:
        done = tuple(self._exported)
        segment = self._segments[len(done)]
        if segment is self._segments[-1]:
            self._state = GroupState.STREAMING
            return (StartStream(segment, done),)
        return (ExportSegment(segment, done),)

    def _back_off(self, now: units.Instant) -> tuple[Command, ...]:
        self._state = GroupState.WAITING
        # The maximum delay shrinks with each refusal, so that older groups get
        # memory before newer ones.
        self._refused_reservations += 1
        max_delay = max(
            _MIN_RETRY_DELAY, _MAX_RETRY_DELAY / self._refused_reservations
        )
        delay = self._random.uniform(_MIN_RETRY_DELAY / 2, max_delay)
        when = units.after(now, units.Seconds(delay))
        return (*self._release_all(), WaitUntil(when))

    def _release_all(self) -> tuple[Command, ...]:
        reservations = tuple(
            ReleaseReservation(s.engine, s.reservation)
            for s in self._reservations
        )
        exports = tuple(ReleaseKv(s.engine, s.handle) for s in self._exported)
        self._reservations.clear()
        self._exported.clear()
        return reservations + exports

    def _fail(self, reason: GroupFailure) -> tuple[Command, ...]:
        self._state = GroupState.ENDED
        return (*self._release_all(), FailGroup(reason))
