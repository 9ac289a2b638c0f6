"""Dispatcher that admits, queues and assigns attempts to engines."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses
import itertools
import random

import result

from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_health
from lavendershed.daemon import dispatcher
from lavendershed.routing import admission
from lavendershed.routing import attempts
from lavendershed.routing import chooser
from lavendershed.routing import engine_fleet
from lavendershed.routing import limits
from lavendershed.routing import oversized
from lavendershed.routing import prompt_blocks
from lavendershed.routing import prompt_classes
from lavendershed.routing import scheduler as scheduler_module
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log


class _HealthAvailability(engine_fleet.EngineAvailability):
    def __init__(self, health: backend_health.BackendHealth) -> None:
        self._health = health

    def accepts_work(self, engine: ids.BackendServerId) -> bool:
        return self._health.accepts_work(engine)


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    request: requests.GenerateRequest
    attempt: attempts.Attempt
    arrived_at: units.Instant
    outcome: asyncio.Future[
        result.Result[dispatcher.Assignment, outcomes.RequestFailure]
    ]


class QueuedDispatcher(dispatcher.Dispatcher):
    """Runs one scheduler per service and resumes waiting attempts."""

    def __init__(
        self,
        vm: ids.VmId,
        configuration: state.ConfigurationState,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
        health: backend_health.BackendHealth,
        shares: limits.ShareSource,
        generator: random.Random,
    ) -> None:
        self._vm = vm
        self._configuration = configuration
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._engine_availability = _HealthAvailability(health)
        self._limits = limits.OrganisationLimits(shares)
        self._random = generator
        self._tickets = itertools.count(1)
        self._schedulers: dict[
            ids.ServiceId, scheduler_module.ServiceScheduler
        ] = {}
        self._waiters: dict[attempts.Ticket, _Waiter] = {}
        self._load_listeners: list[timers.Callback] = []

    @property
    def limits(self) -> limits.OrganisationLimits:
        """Rate limits of the organisations, enforced by this daemon."""
        return self._limits

    @property
    def engines(self) -> tuple[ids.BackendServerId, ...]:
        """Engines of all model engine services."""
        return tuple(
            view.name
            for scheduler in self._schedulers.values()
            for view in scheduler.fleet.views
        )

    @property
    def local_loads(self) -> tuple[cluster.EngineLoad, ...]:
        """Load that this daemon has put on engines, highest first.

        Engines without outstanding attempts of this daemon are omitted.
        """
        loads = [
            view.local_load
            for scheduler in self._schedulers.values()
            for view in scheduler.fleet.views
            if view.outstanding
        ]
        return tuple(sorted(loads, key=lambda load: -load.prefill_tokens))

    def subscribe_load(self, listener: timers.Callback) -> None:
        """Calls `listener` after each dispatch and each first token."""
        self._load_listeners.append(listener)

    async def acquire(
        self,
        request: requests.GenerateRequest,
        constraints: dispatcher.Constraints,
    ) -> result.Result[dispatcher.Assignment, outcomes.RequestFailure]:
        """Waits until an engine is assigned or the attempt is refused."""
        scheduler = self._schedulers.get(request.service)
        if scheduler is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"there is no service '{request.service}'",
                )
            )
        now = self._timers.now()
        attempt = self._new_attempt(request, constraints)
        waiter = _Waiter(
            request, attempt, now, asyncio.get_running_loop().create_future()
        )
        self._waiters[attempt.ticket] = waiter
        self._execute_commands(
            request.service, scheduler.on_arrival(attempt, now)
        )
        deadline_timer = self._timers.schedule_at(
            request.deadline.at,
            lambda: self._on_deadline(request.service, attempt),
        )
        try:
            return await waiter.outcome
        except asyncio.CancelledError:
            self._on_cancelled(waiter)
            raise
        finally:
            deadline_timer.cancel()
            self._waiters.pop(attempt.ticket, None)

    def on_first_token(
        self,
        request: requests.GenerateRequest,
        assignment: dispatcher.Assignment,
    ) -> None:
        """Records that the prefill of an assignment has ended."""
        scheduler = self._schedulers.get(request.service)
        if scheduler is not None:
            ticket = attempts.Ticket(assignment.ticket)
            self._execute_commands(
                request.service,
                scheduler.on_first_token(ticket, self._timers.now()),
            )
            self._on_load_changed()

    def release(
        self,
        request: requests.GenerateRequest,
        assignment: dispatcher.Assignment,
    ) -> None:
        """Releases an assignment after its attempt has ended."""
        self._release(request.service, attempts.Ticket(assignment.ticket))

    def on_load_report(
        self,
        engine: ids.BackendServerId,
        report: backend_servers.LoadReport,
    ) -> None:
        """Processes a load report of an engine."""
        for service, scheduler in self._schedulers.items():
            self._execute_commands(
                service,
                scheduler.on_load_report(engine, report, self._timers.now()),
            )

    def on_cache_events(
        self,
        engine: ids.BackendServerId,
        cache_events: tuple[backend_servers.CacheEvent, ...],
    ) -> None:
        """Processes prefix cache events of an engine."""
        for scheduler in self._schedulers.values():
            scheduler.on_cache_events(engine, cache_events)

    def on_peer_loads(
        self, peer: ids.VmId, loads: Iterable[cluster.EngineLoad]
    ) -> None:
        """Processes the loads that a peer has put on engines."""
        engine_loads = tuple(loads)
        for scheduler in self._schedulers.values():
            scheduler.on_peer_loads(peer, engine_loads, self._timers.now())

    def cache_sequence(self, engine: ids.BackendServerId) -> int:
        """Returns the sequence number of an engine's last known cache event."""
        for scheduler in self._schedulers.values():
            view = scheduler.fleet.view(engine)
            if view is not None:
                return view.held.sequence
        return 0

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Applies services and the active preset; keeps queued attempts."""
        now = self._timers.now()
        self._limits.on_organisations(new.organisations)
        weights = {
            organisation.name: organisation.weight
            for organisation in new.organisations.values()
        }
        for service in new.services.values():
            if service.kind is not states.ServiceKind.MODEL_ENGINE:
                continue
            scheduler = self._schedulers.get(service.name)
            if scheduler is None:
                scheduler = self._new_scheduler(service, new.preset)
                self._schedulers[service.name] = scheduler
            self._execute_commands(
                service.name,
                scheduler.on_configuration(service, new.preset, weights, now),
            )
        for name in tuple(self._schedulers):
            if name not in new.services:
                self._remove_service(name)

    def _new_scheduler(
        self, service: model.Service, preset: model.Preset
    ) -> scheduler_module.ServiceScheduler:
        return scheduler_module.ServiceScheduler(
            service,
            preset,
            engine_fleet.EngineFleet(
                self._vm, self._engine_availability, self._random
            ),
            chooser.PredictedCost(service.prefill_tokens_per_second),
            admission.Admission(self._limits, oversized.RefuseOversized()),
        )

    def _remove_service(self, service: ids.ServiceId) -> None:
        del self._schedulers[service]
        for waiter in tuple(self._waiters.values()):
            if waiter.request.service == service:
                failure = outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"service '{service}' was removed while the request "
                    "was queued",
                )
                self._refuse(waiter, failure)

    def _new_attempt(
        self,
        request: requests.GenerateRequest,
        constraints: dispatcher.Constraints,
    ) -> attempts.Attempt:
        service = self._configuration.current.services[request.service]
        return attempts.Attempt(
            attempts.Ticket(next(self._tickets)),
            request.organisation,
            prompt_classes.classify(
                request.prompt_tokens,
                request.max_tokens,
                service.engine_memory_tokens,
            ),
            request.prompt_tokens,
            request.max_tokens,
            request.deadline,
            prompt_blocks.block_hashes(request.prompt, request.adapter or ""),
            constraints.excluded,
            constraints.exclusive,
            bool(constraints.excluded),
        )

    def _execute_commands(
        self,
        service: ids.ServiceId,
        commands: tuple[scheduler_module.Command, ...],
    ) -> None:
        for command in commands:
            waiter = self._waiters.get(command.attempt.ticket)
            if waiter is None or waiter.outcome.done():
                # The attempt was cancelled after the scheduler decided on it.
                if isinstance(command, scheduler_module.Dispatch):
                    self._release(service, command.attempt.ticket)
                continue
            if isinstance(command, scheduler_module.Dispatch):
                self._dispatch(waiter, command)
            elif isinstance(command, scheduler_module.Refuse):
                self._refuse(waiter, command.failure)
            else:
                self._log.emit(
                    events.Event.REQUEST_QUEUED,
                    request_id=waiter.request.request_id,
                    prompt_class=command.attempt.prompt_class.value,
                    reason=command.reason,
                )

    def _dispatch(
        self, waiter: _Waiter, command: scheduler_module.Dispatch
    ) -> None:
        waited = units.elapsed(waiter.arrived_at, self._timers.now())
        self._instruments.record_queue_time(waiter.request.service, waited)
        self._log.emit(
            events.Event.REQUEST_DISPATCHED,
            request_id=waiter.request.request_id,
            prompt_class=command.attempt.prompt_class.value,
            engine=command.engine,
            priority=command.priority,
            waited=waited,
            reason=command.reason,
        )
        waiter.outcome.set_result(
            result.Ok(
                dispatcher.Assignment(
                    command.engine,
                    command.priority,
                    command.attempt.ticket,
                    command.attempt.block_hashes,
                )
            )
        )

        self._on_load_changed()

    def _on_load_changed(self) -> None:
        for listener in self._load_listeners:
            listener()

    def _refuse(
        self, waiter: _Waiter, failure: outcomes.RequestFailure
    ) -> None:
        self._instruments.count_refusal(waiter.request.service, failure.reason)
        self._log.emit(
            events.Event.REQUEST_REFUSED,
            request_id=waiter.request.request_id,
            prompt_class=waiter.attempt.prompt_class.value,
            reason=failure.reason.value,
            detail=failure.detail,
        )
        waiter.outcome.set_result(result.Err(failure))

    def _on_deadline(
        self, service: ids.ServiceId, attempt: attempts.Attempt
    ) -> None:
        scheduler = self._schedulers.get(service)
        if scheduler is not None:
            self._execute_commands(
                service, scheduler.on_deadline(attempt, self._timers.now())
            )

    def _on_cancelled(self, waiter: _Waiter) -> None:
        """Removes a cancelled attempt from the queue and its engine."""
        service = waiter.request.service
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            return
        scheduler.on_cancel(waiter.attempt)
        self._release(service, waiter.attempt.ticket)

    def _release(self, service: ids.ServiceId, ticket: attempts.Ticket) -> None:
        scheduler = self._schedulers.get(service)
        if scheduler is not None:
            self._execute_commands(
                service, scheduler.on_release(ticket, self._timers.now())
            )
