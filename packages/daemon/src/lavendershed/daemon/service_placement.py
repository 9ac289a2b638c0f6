"""Places models and roles on the engines of one service."""

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

_LEASE = codec.Codec(lease_module.LeaseRecord)
_PLACEMENT = codec.Codec(targets_module.PlacementRecord)
_CALL_LIMIT = units.Seconds(2.0)
# Shorter than the time for which an order may still take effect.
_ORDER_LIMIT = units.Seconds(20.0)
_LOAD_BURST = 2.0
# Load reports read in one step, so that a service with thousands of engines
# takes a small part of the loop.
_MAX_OBSERVATIONS = 64
_ACCEPTABLE_WAIT = units.Seconds(2.0)
_DEMAND_HOLD = units.Seconds(600.0)


class ServicePlacement:
    """Places one service: its lease, its planner and its orders."""

    def __init__(
        self,
        service: ids.ServiceId,
        owner: backend_servers.Owner,
        store: object_store.ObjectStore,
        directory: backend_directory.BackendDirectory,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        lease_limits: lease_module.LeaseTimings,
        planner_limits: planner_module.PlannerLimits,
    ) -> None:
        self._service = service
        self._store = store
        self._directory = directory
        self._timers = timer_service
        self._log = event_log
        self._lease = lease_module.PlacementLease(owner, lease_limits)
        self._budget = load_rate_limiter.LoadRateLimiter(0.0, _LOAD_BURST)
        self._planner = planner_module.PlacementPlanner(
            planner_limits, self._budget
        )
        self._demand = targets_module.ModelDemand(_DEMAND_HOLD)
        self._number: ids.FencingNumber | None = None
        self._orders: set[asyncio.Task[None]] = set()
        self._stored: tuple[targets_module.EngineTarget, ...] | None = None
        self._stored_version: ids.ObjectVersion | None = None

    @property
    def lease_state(self) -> states.LeaseState:
        """State of the service's lease as this daemon sees it."""
        return self._lease.state(self._timers.now())

    async def step(
        self,
        service: model.Service,
        plan: model.ServicePlan,
        wanted: bool,
        loads_per_second: float,
    ) -> None:
        """Renews the lease if it is due, observes, and sends orders.

        Args:
            service: The service as it is configured now.
            plan: What the active preset wants of it.
            wanted: Whether this daemon has the duty for the service.
            loads_per_second: This service's share of the weight store.
        """
        await self._keep_lease(wanted)
        self._raise_broken_orders()
        number = self._may_act(service)
        if number is None:
            return
        self._budget.set_rate(loads_per_second)
        self._planner.on_engines(
            frozenset(server.name for server in service.backend_servers)
        )
        await self._observe()
        if not self._planner.all_observed:
            return
        now = self._timers.now()
        reports = self._planner.reports
        for wanted_model in plan.models:
            name = targets_module.versioned_model_id(wanted_model)
            self._demand.on_demand(
                name,
                targets_module.engines_for_backlog(
                    reports,
                    name,
                    service.prefill_tokens_per_second,
                    _ACCEPTABLE_WAIT,
                ),
                now,
            )
        targets = targets_module.plan_targets(
            plan, reports, self._demand.engines
        )
        self._planner.on_targets(targets)
        await self._store_targets(number, targets)
        for command in self._planner.next_commands(self._timers.now()):
            if isinstance(command, planner_module.SendOrder):
                task = asyncio.create_task(self._send(service, command))
                self._orders.add(task)

    async def release(self) -> None:
        """Ends the orders in flight and gives the lease up."""
        if self._orders:
            await asyncio.wait(tuple(self._orders), timeout=_ORDER_LIMIT)
        command = self._lease.release(self._timers.now())
        if command is None:
            return
        await self._execute(command)
        self._number = None
        self._log.emit(events.Event.LEASE_RELEASED, service=self._service)

    def _may_act(self, service: model.Service) -> ids.FencingNumber | None:
        now = self._timers.now()
        number = self._lease.usable_fencing_number(now, service.checks_fencing)
        if number == self._number:
            return number
        if self._number is not None:
            self._log.emit(
                events.Event.LEASE_LOST,
                service=self._service,
                fencing_number=self._number,
            )
        self._number = number
        if number is not None:
            self._planner.reset(now)
            self._stored = self._stored_version = None
            self._log.emit(
                events.Event.LEASE_ACQUIRED,
                service=self._service,
                fencing_number=number,
            )
        return number

    async def _keep_lease(self, wanted: bool) -> None:
        command = self._lease.next_command(wanted, self._timers.now())
        if command is not None:
            await self._execute(command)

    async def _execute(self, command: lease_module.Command) -> None:
        key = lease_module.lease_key(self._service)
        if isinstance(command, lease_module.WriteLease):
            written = await self._put(
                key, _LEASE.encode(command.record), command.condition
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
            record = _LEASE.decode(stored.ok_value.value)
            if isinstance(record, result.Ok):
                self._lease.on_read(
                    record.ok_value, stored.ok_value.version, now
                )
        elif stored.err_value.kind is object_store.StoreErrorKind.ABSENT:
            self._lease.on_read(None, None, now)

    async def _observe(self) -> None:
        due = self._planner.observations(self._timers.now())
        await asyncio.gather(
            *(self._load(c.engine) for c in due[:_MAX_OBSERVATIONS])
        )

    async def _load(self, name: ids.BackendServerId) -> None:
        engine = self._directory.engine(name)
        if engine is None:
            self._planner.on_observation_failed(name, self._timers.now())
            return
        asked = self._timers.now()
        report = await engine.load_report()
        if isinstance(report, result.Ok):
            self._planner.on_report(name, report.ok_value, asked)
        else:
            self._planner.on_observation_failed(name, self._timers.now())

    async def _store_targets(
        self,
        number: ids.FencingNumber,
        targets: tuple[targets_module.EngineTarget, ...],
    ) -> None:
        """Stores changed targets; a failed write is tried in the next step."""
        if targets == self._stored or not targets:
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
        record = targets_module.PlacementRecord(number, targets)
        written = await self._put(key, _PLACEMENT.encode(record), condition)
        if isinstance(written, result.Err):
            self._stored_version = None
            return
        self._stored, self._stored_version = targets, written.ok_value
        self._log.emit(
            events.Event.PLACEMENT_CHANGED,
            service=self._service,
            fencing_number=number,
            engines=len(targets),
        )

    async def _send(
        self, service: model.Service, command: planner_module.SendOrder
    ) -> None:
        outcome = await self._order(service, command)
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

    async def _order(
        self, service: model.Service, command: planner_module.SendOrder
    ) -> str:
        engine = self._directory.engine(command.engine)
        if engine is None:
            return "removed"
        # Checked right before the order is sent: the wait for earlier steps
        # may have outlasted the lease.
        number = self._lease.usable_fencing_number(
            self._timers.now(), service.checks_fencing
        )
        if number is None or number != self._number:
            return "lease_lost"
        order = backend_servers.EngineOrder(
            ids.OrderId(uuid.uuid4().hex), command.kind, command.target, number
        )
        self._log.emit(
            events.Event.ORDER_SENT,
            service=self._service,
            engine=command.engine,
            kind=command.kind.value,
            target=command.target,
            fencing_number=number,
            reason=command.reason,
        )
        try:
            async with asyncio.timeout(_ORDER_LIMIT):
                answer = await engine.execute_order(order)
        except TimeoutError:
            return "timeout"
        if isinstance(answer, result.Ok):
            return "done"
        kind = answer.err_value.kind
        if kind is backend_servers.BackendErrorKind.STALE_FENCING_NUMBER:
            self._lease.on_stale_fencing_number()
        return kind.value

    def _raise_broken_orders(self) -> None:
        for task in tuple(self._orders):
            if task.done():
                self._orders.discard(task)
                task.result()

    async def _get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        try:
            async with asyncio.timeout(_CALL_LIMIT):
                return await self._store.get(key)
        except TimeoutError:
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.UNAVAILABLE, "no answer in time"
                )
            )

    async def _put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        try:
            async with asyncio.timeout(_CALL_LIMIT):
                return await self._store.put(key, value, condition)
        except TimeoutError:
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.AMBIGUOUS, "no answer in time"
                )
            )
