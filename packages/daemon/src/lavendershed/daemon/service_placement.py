"""Placement of models and roles on the engines of one service."""

from __future__ import annotations

import asyncio
import uuid

import result

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_directory
from lavendershed.objects import codec
from lavendershed.placement import lease as lease_module
from lavendershed.placement import load_rate_limiter
from lavendershed.placement import planner as planner_module
from lavendershed.placement import targets as targets_module
from lavendershed.telemetry import events
from lavendershed.telemetry import log

_LEASE_CODEC = codec.Codec(lease_module.LeaseRecord)
_PLACEMENT_CODEC = codec.Codec(targets_module.PlacementRecord)
_STORE_CALL_TIMEOUT = units.Seconds(2.0)
# Shorter than the time in which an order may still take effect.
_ORDER_TIMEOUT = units.Seconds(20.0)
_MODEL_LOAD_BURST = 2.0
# Limits the load reports read per step, so that a service with thousands of
# engines takes only a small part of the event loop's time.
_MAX_OBSERVATIONS_PER_STEP = 64
_TARGET_QUEUE_WAIT = units.Seconds(2.0)
_DEMAND_HOLD_TIME = units.Seconds(600.0)


class ServicePlacement:
    """Runs the lease, the planner and the orders of one service."""

    def __init__(
        self,
        service: ids.ServiceId,
        owner: backend_servers.Owner,
        store: object_store.ObjectStore,
        directory: backend_directory.BackendDirectory,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        lease_timings: lease_module.LeaseTimings,
        planner_limits: planner_module.PlannerLimits,
    ) -> None:
        self._service = service
        self._store = store
        self._directory = directory
        self._timers = timer_service
        self._log = event_log
        self._lease = lease_module.PlacementLease(owner, lease_timings)
        self._load_limiter = load_rate_limiter.LoadRateLimiter(
            0.0, _MODEL_LOAD_BURST
        )
        self._planner = planner_module.PlacementPlanner(
            planner_limits, self._load_limiter
        )
        self._demand = targets_module.ModelDemand(_DEMAND_HOLD_TIME)
        self._fencing_number: ids.FencingNumber | None = None
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._stored_targets: tuple[targets_module.EngineTarget, ...] | None = (
            None
        )
        self._stored_version: ids.ObjectVersion | None = None

    @property
    def lease_state(self) -> states.LeaseState:
        """State of the service's lease as this daemon sees it."""
        return self._lease.state(self._timers.now())

    async def step(
        self,
        service: model.Service,
        plan: model.ServicePlan,
        is_assigned: bool,
        loads_per_second: float,
    ) -> None:
        """Renews the lease if due, observes engines, and sends orders.

        Args:
            service: The current configuration of the service.
            plan: The active preset's plan for the service.
            is_assigned: Whether this daemon is responsible for the service.
            loads_per_second: This service's share of the load rate of the
                weight store.
        """
        await self._renew_lease(is_assigned)
        self._raise_order_errors()
        fencing_number = self._update_fencing_number(service)
        if fencing_number is None:
            return
        self._load_limiter.set_rate(loads_per_second)
        self._planner.on_engines(
            frozenset(server.name for server in service.backend_servers)
        )
        await self._observe_engines()
        if not self._planner.all_observed:
            return
        now = self._timers.now()
        reports = self._planner.reports
        for wanted_model in plan.models:
            model_id = targets_module.versioned_model_id(wanted_model)
            self._demand.on_demand(
                model_id,
                targets_module.engines_for_backlog(
                    reports,
                    model_id,
                    service.prefill_tokens_per_second,
                    _TARGET_QUEUE_WAIT,
                ),
                now,
            )
        targets = targets_module.plan_targets(
            plan, reports, self._demand.engines
        )
        self._planner.on_targets(targets)
        await self._store_targets(fencing_number, targets)
        for command in self._planner.next_commands(self._timers.now()):
            if isinstance(command, planner_module.SendOrder):
                task = asyncio.create_task(self._send_order(service, command))
                self._order_tasks.add(task)

    async def release(self) -> None:
        """Waits for the orders in flight and releases the lease."""
        if self._order_tasks:
            await asyncio.wait(tuple(self._order_tasks), timeout=_ORDER_TIMEOUT)
        command = self._lease.release(self._timers.now())
        if command is None:
            return
        await self._execute_lease_command(command)
        self._fencing_number = None
        self._log.emit(events.Event.LEASE_RELEASED, service=self._service)

    def _update_fencing_number(
        self, service: model.Service
    ) -> ids.FencingNumber | None:
        now = self._timers.now()
        fencing_number = self._lease.usable_fencing_number(
            now, service.checks_fencing
        )
        if fencing_number == self._fencing_number:
            return fencing_number
        if self._fencing_number is not None:
            self._log.emit(
                events.Event.LEASE_LOST,
                service=self._service,
                fencing_number=self._fencing_number,
            )
        self._fencing_number = fencing_number
        if fencing_number is not None:
            self._planner.reset(now)
            self._stored_targets = self._stored_version = None
            self._log.emit(
                events.Event.LEASE_ACQUIRED,
                service=self._service,
                fencing_number=fencing_number,
            )
        return fencing_number

    async def _renew_lease(self, is_assigned: bool) -> None:
        command = self._lease.next_command(is_assigned, self._timers.now())
        if command is not None:
            await self._execute_lease_command(command)

    async def _execute_lease_command(
        self, command: lease_module.Command
    ) -> None:
        key = lease_module.lease_key(self._service)
        if isinstance(command, lease_module.WriteLease):
            written = await self._put(
                key, _LEASE_CODEC.encode(command.record), command.condition
            )
            now = self._timers.now()
            if isinstance(written, result.Ok):
                self._lease.on_written(written.ok_value, now)
            else:
                self._lease.on_write_failed(written.err_value, now)
            return
        stored = await self._get(key)
        now = self._timers.now()
        if isinstance(stored, result.Ok):
            record = _LEASE_CODEC.decode(stored.ok_value.value)
            if isinstance(record, result.Ok):
                self._lease.on_read(
                    record.ok_value, stored.ok_value.version, now
                )
        elif stored.err_value.kind is object_store.StoreErrorKind.ABSENT:
            self._lease.on_read(None, None, now)

    async def _observe_engines(self) -> None:
        observations = self._planner.observations(self._timers.now())
        await asyncio.gather(
            *(
                self._observe_engine(observation.engine)
                for observation in observations[:_MAX_OBSERVATIONS_PER_STEP]
            )
        )

    async def _observe_engine(self, engine_id: ids.BackendServerId) -> None:
        engine = self._directory.engine(engine_id)
        if engine is None:
            self._planner.on_observation_failed(engine_id, self._timers.now())
            return
        requested_at = self._timers.now()
        report = await engine.load_report()
        if isinstance(report, result.Ok):
            self._planner.on_report(engine_id, report.ok_value, requested_at)
        else:
            self._planner.on_observation_failed(engine_id, self._timers.now())

    async def _store_targets(
        self,
        fencing_number: ids.FencingNumber,
        targets: tuple[targets_module.EngineTarget, ...],
    ) -> None:
        """Stores changed targets; the next step retries a failed write."""
        if targets == self._stored_targets or not targets:
            return
        key = targets_module.placement_key(self._service)
        if self._stored_version is None:
            stored = await self._get(key)
            if isinstance(stored, result.Ok):
                self._stored_version = stored.ok_value.version
            elif (
                stored.err_value.kind is not object_store.StoreErrorKind.ABSENT
            ):
                return
        condition: object_store.Condition = (
            object_store.IfAbsent()
            if self._stored_version is None
            else object_store.IfVersion(self._stored_version)
        )
        record = targets_module.PlacementRecord(fencing_number, targets)
        written = await self._put(
            key, _PLACEMENT_CODEC.encode(record), condition
        )
        if isinstance(written, result.Err):
            self._stored_version = None
            return
        self._stored_targets, self._stored_version = targets, written.ok_value
        self._log.emit(
            events.Event.PLACEMENT_CHANGED,
            service=self._service,
            fencing_number=fencing_number,
            engines=len(targets),
        )

    async def _send_order(
        self, service: model.Service, command: planner_module.SendOrder
    ) -> None:
        outcome = await self._execute_order(service, command)
        self._planner.on_order_ended(
            command.engine, outcome == "done", self._timers.now()
        )
        self._log.emit(
            events.Event.ORDER_ENDED,
            service=self._service,
            engine=command.engine,
            kind=command.kind.value,
            target=command.target,
            outcome=outcome,
        )

    async def _execute_order(
        self, service: model.Service, command: planner_module.SendOrder
    ) -> str:
        engine = self._directory.engine(command.engine)
        if engine is None:
            return "removed"
        # Checked immediately before sending, because the lease may have expired
        # since the command was planned.
        fencing_number = self._lease.usable_fencing_number(
            self._timers.now(), service.checks_fencing
        )
        if fencing_number is None or fencing_number != self._fencing_number:
            return "lease_lost"
        order = backend_servers.EngineOrder(
            ids.OrderId(uuid.uuid4().hex),
            command.kind,
            command.target,
            fencing_number,
        )
        self._log.emit(
            events.Event.ORDER_SENT,
            service=self._service,
            engine=command.engine,
            kind=command.kind.value,
            target=command.target,
            fencing_number=fencing_number,
            reason=command.reason,
        )
        try:
            async with asyncio.timeout(_ORDER_TIMEOUT):
                response = await engine.execute_order(order)
        except TimeoutError:
            return "timeout"
        if isinstance(response, result.Ok):
            return "done"
        kind = response.err_value.kind
        if kind is backend_servers.BackendErrorKind.STALE_FENCING_NUMBER:
            self._lease.on_stale_fencing_number()
        return kind.value

    def _raise_order_errors(self) -> None:
        for task in tuple(self._order_tasks):
            if task.done():
                self._order_tasks.discard(task)
                task.result()

    async def _get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        try:
            async with asyncio.timeout(_STORE_CALL_TIMEOUT):
                return await self._store.get(key)
        except TimeoutError:
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.UNAVAILABLE,
                    "the read timed out",
                )
            )

    async def _put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        try:
            async with asyncio.timeout(_STORE_CALL_TIMEOUT):
                return await self._store.put(key, value, condition)
        except TimeoutError:
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.AMBIGUOUS, "the write timed out"
                )
            )
