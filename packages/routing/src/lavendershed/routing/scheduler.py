"""Scheduling of the requests of one service in one daemon."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

import result

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import admission as admission_module
from lavendershed.routing import attempts
from lavendershed.routing import chooser as chooser_module
from lavendershed.routing import engine_fleet
from lavendershed.routing import engine_view
from lavendershed.routing import fair_queue

_CLASS_ORDER = (
    states.PromptClass.SHORT,
    states.PromptClass.MEDIUM,
    states.PromptClass.LONG,
    states.PromptClass.OVERSIZED,
)
# Time of one decode step of a moderately filled batch.
_DECODE_STEP = units.Seconds(0.012)


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Command: send the attempt to an engine now."""

    attempt: attempts.Attempt
    engine: ids.BackendServerId
    priority: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Command: report the refusal of the attempt to the caller."""

    attempt: attempts.Attempt
    failure: outcomes.RequestFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Command: the attempt is queued until a later command refers to it."""

    attempt: attempts.Attempt
    reason: str


Command = Dispatch | Refuse | Queue


class ServiceScheduler:
    """Admission control, queueing and engine selection of one service."""

    def __init__(
        self,
        service: model.Service,
        preset: model.Preset,
        fleet: engine_fleet.EngineFleet,
        engine_chooser: chooser_module.EngineChooser,
        admission: admission_module.Admission,
    ) -> None:
        self._service = service
        self._preset = preset
        self._fleet = fleet
        self._chooser = engine_chooser
        self._admission = admission
        self._queues = {c: fair_queue.FairQueue() for c in _CLASS_ORDER}
        # Attempts that exclude engines or need one exclusively are queued
        # separately, because they may be blocked while others are not.
        self._constrained: dict[attempts.Ticket, attempts.Attempt] = {}
        self._assigned: dict[attempts.Ticket, ids.BackendServerId] = {}
        self._exclusive: dict[ids.BackendServerId, attempts.Ticket] = {}
        fleet.on_service(service)

    @property
    def queued(self) -> int:
        """Number of queued attempts."""
        return len(self._constrained) + sum(map(len, self._queues.values()))

    @property
    def fleet(self) -> engine_fleet.EngineFleet:
        """The engines of the service."""
        return self._fleet

    def on_arrival(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> tuple[Command, ...]:
        """Admits and dispatches or queues a new attempt, or refuses it."""
        admitted = self._admission.on_arrival(
            attempt,
            self._service,
            self._preset,
            self._backlog(attempt, now),
            now,
        )
        if isinstance(admitted, result.Err):
            return (Refuse(attempt, admitted.err_value),)
        self._enqueue(attempt)
        commands = self._dispatch_queued(now)
        if any(
            command.attempt.ticket == attempt.ticket for command in commands
        ):
            return commands
        return (*commands, Queue(attempt, f"{self.queued} attempts are queued"))

    def on_first_token(
        self, ticket: attempts.Ticket, now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles the first token of an attempt, which ends its prefill."""
        view = self._assigned_view(ticket)
        if view is not None:
            view.on_first_token(ticket)
        return self._dispatch_queued(now)

    def on_release(
        self, ticket: attempts.Ticket, now: units.Instant
    ) -> tuple[Command, ...]:
        """Handles the end of a dispatched attempt."""
        view = self._assigned_view(ticket)
        engine = self._assigned.pop(ticket, None)
        if view is not None:
            view.on_release(ticket)
        if engine is not None and self._exclusive.get(engine) == ticket:
            del self._exclusive[engine]
        return self._dispatch_queued(now)

    def on_cancel(self, attempt: attempts.Attempt) -> None:
        """Removes a queued attempt whose caller has disconnected."""
        self._remove(attempt)

    def on_deadline(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> tuple[Command, ...]:
        """Refuses an attempt that is still queued at its deadline."""
        if not self._remove(attempt):
            return ()
        return (
            Refuse(
                attempt,
                outcomes.not_run(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    "the deadline passed while the request was queued",
                ),
            ),
        )

    def on_load_report(
        self,
        engine: ids.BackendServerId,
        report: backend_servers.LoadReport,
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Handles an engine's load report."""
        view = self._fleet.view(engine)
        if view is None:
            return ()
        view.on_report(report, now)
        return self._dispatch_queued(now)

    def on_cache_events(
        self,
        engine: ids.BackendServerId,
        events: tuple[backend_servers.CacheEvent, ...],
    ) -> None:
        """Updates the prefix index with an engine's cache events."""
        view = self._fleet.view(engine)
        if view is not None:
            view.held.on_events(events)

    def on_peer_loads(
        self,
        peer: ids.VmId,
        loads: Iterable[cluster.EngineLoad],
        now: units.Instant,
    ) -> None:
        """Handles a peer's load digest; engines not in it have no load."""
        by_engine = {load.engine: load for load in loads}
        for view in self._fleet.views:
            load = by_engine.get(view.name)
            if load is None:
                load = cluster.EngineLoad(view.name, 0, units.Tokens(0))
            view.on_peer_load(peer, load, now)

    def on_configuration(
        self,
        service: model.Service,
        preset: model.Preset,
        weights: dict[ids.OrganisationId, float],
        now: units.Instant,
    ) -> tuple[Command, ...]:
        """Applies a service and a preset; queued attempts are kept."""
        self._service = service
        self._preset = preset
        self._fleet.on_service(service)
        for queue in self._queues.values():
            queue.on_weights(weights)
        return self._dispatch_queued(now)

    def _assigned_view(
        self, ticket: attempts.Ticket
    ) -> engine_view.EngineView | None:
        engine = self._assigned.get(ticket)
        return None if engine is None else self._fleet.view(engine)

    def _backlog(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> admission_module.Backlog:
        prefill_tokens_per_second = self._service.prefill_tokens_per_second
        engines = max(1, len(self._fleet.views))
        tokens_ahead = 0
        for prompt_class in _CLASS_ORDER:
            tokens_ahead += self._queues[prompt_class].tokens
            if prompt_class is attempt.prompt_class:
                break
        wait = tokens_ahead / (prefill_tokens_per_second * engines)
        uncached: float = attempt.prompt_tokens
        decode_time = attempt.max_tokens * _DECODE_STEP
        # The cached prefix is looked up only if the deadline is at risk.
        if (
            wait + uncached / prefill_tokens_per_second + decode_time
            > attempt.deadline.remaining(now)
        ):
            uncached = self._uncached_tokens(attempt)
        return admission_module.Backlog(
            self.queued,
            units.Seconds(wait),
            units.Seconds(uncached / prefill_tokens_per_second),
            _DECODE_STEP,
        )

    def _uncached_tokens(self, attempt: attempts.Attempt) -> int:
        cached = max(
            (
                view.held.expected_tokens(attempt.prompt_prefix)
                for view in self._fleet.views
            ),
            default=0,
        )
        return max(1, attempt.prompt_tokens - cached)

    def _enqueue(self, attempt: attempts.Attempt) -> None:
        if attempt.excluded or attempt.exclusive:
            self._constrained[attempt.ticket] = attempt
        else:
            self._queues[attempt.prompt_class].push(attempt)

    def _remove(self, attempt: attempts.Attempt) -> bool:
        if self._constrained.pop(attempt.ticket, None) is not None:
            self._discard_drains()
            return True
        return self._queues[attempt.prompt_class].remove(attempt)

    def _dispatch_queued(self, now: units.Instant) -> tuple[Command, ...]:
        """Dispatches or refuses queued attempts until all others must wait."""
        commands: list[Command] = []
        for attempt in tuple(self._constrained.values()):
            command = self._try_dispatch(attempt, now)
            if command is not None:
                del self._constrained[attempt.ticket]
                commands.append(command)
        for queue in self._queues.values():
            while (head := queue.head()) is not None:
                command = self._try_dispatch(head, now)
                if command is None:
                    break
                queue.dequeue(head)
                commands.append(command)
        return tuple(commands)

    def _try_dispatch(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> Dispatch | Refuse | None:
        """Dispatches or refuses an attempt; returns None if it must wait."""
        if attempt.exclusive:
            return self._try_exclusive(attempt, now)
        constrained = attempt
        if self._exclusive:
            constrained = dataclasses.replace(
                attempt, excluded=attempt.excluded.union(self._exclusive)
            )
        chosen = self._chooser.choose(
            constrained, self._fleet, self._preset, now
        )
        if isinstance(chosen, result.Ok):
            choice = chosen.ok_value
            return self._dispatch(
                attempt, choice.engine, choice.priority, choice.reason, now
            )
        if chosen.err_value.possible or self._exclusive:
            return None
        return _no_engine(attempt, chosen.err_value.reason)

    def _try_exclusive(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> Dispatch | Refuse | None:
        """Drains an engine, then dispatches the attempt to it."""
        allowed = [
            view
            for view in self._fleet.views
            if view.name not in attempt.excluded
            and self._fleet.accepts_work(view.name)
        ]
        if not allowed:
            return _no_engine(
                attempt, "no engine can run the attempt exclusively"
            )
        available = [
            view
            for view in allowed
            if self._exclusive.get(view.name, attempt.ticket) == attempt.ticket
        ]
        self._exclusive = {
            engine: ticket
            for engine, ticket in self._exclusive.items()
            if ticket != attempt.ticket
        }
        if not available:
            return None
        view = min(available, key=lambda v: v.estimate(now).streams)
        self._exclusive[view.name] = attempt.ticket
        if view.estimate(now).streams:
            return None
        return self._dispatch(attempt, view.name, 0, "runs alone", now)

    def _dispatch(
        self,
        attempt: attempts.Attempt,
        engine: ids.BackendServerId,
        priority: int,
        reason: str,
        now: units.Instant,
    ) -> Dispatch:
        view = self._fleet.view(engine)
        assert view is not None
        view.on_dispatch(attempt, now)
        self._assigned[attempt.ticket] = engine
        return Dispatch(attempt, engine, priority, reason)

    def _discard_drains(self) -> None:
        self._exclusive = {
            engine: ticket
            for engine, ticket in self._exclusive.items()
            if ticket in self._constrained or ticket in self._assigned
        }


def _no_engine(attempt: attempts.Attempt, reason: str) -> Refuse:
    return Refuse(
        attempt,
        outcomes.not_run(states.FailureReason.NO_BACKEND_SERVER, reason),
    )
