"""Planner of the orders that bring engines to their desired state."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.placement import load_rate_limiter
from lavendershed.placement import targets as targets_module

_LOAD_KINDS = (
    backend_servers.OrderKind.LOAD_MODEL,
    backend_servers.OrderKind.LOAD_ADAPTER,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Limits of placement changes.

    Attributes:
        drain_settle_time: Time for which an engine must be observed idle in
            the role `reserve` before a destructive order. Other daemons stop
            sending work within 5 s of the engine's report.
        max_report_age: Oldest report on which an order may be based.
        idle_poll_interval: Age of a report at which an engine without a
            pending change is observed again. Short enough to repair the effect
            of late orders, long enough for services with thousands of engines.
        retry_delay: Delay after a failed order or observation of an engine.
        load_timeout: Time after an accepted load at which it is ordered again
            if the engine has not reported it.
        failures_until_down: Failed observations after which an engine counts
            as down.
        max_draining_share: Share of the engines that may be drained at once;
            at least one is allowed.
    """

    drain_settle_time: units.Seconds = units.Seconds(6.0)
    max_report_age: units.Seconds = units.Seconds(1.0)
    idle_poll_interval: units.Seconds = units.Seconds(30.0)
    retry_delay: units.Seconds = units.Seconds(5.0)
    load_timeout: units.Seconds = units.Seconds(120.0)
    failures_until_down: int = 3
    max_draining_share: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveEngine:
    """Command: read the engine's load report."""

    engine: ids.BackendServerId


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Command: check the lease once more, then send an order."""

    engine: ids.BackendServerId
    kind: backend_servers.OrderKind
    target: str
    reason: str


Command = ObserveEngine | SendOrder


@dataclasses.dataclass(slots=True)
class _EngineState:
    report: backend_servers.LoadReport | None = None
    observed_at: units.Instant = units.Instant(0.0)
    idle_since: units.Instant | None = None
    order_in_flight: bool = False
    # Whether the last order ended after the latest observation.
    needs_observation: bool = False
    failures: int = 0
    last_order: SendOrder | None = None
    # Accepted loads, each with the time at which it is ordered again.
    loads_in_progress: dict[str, units.Instant] = dataclasses.field(
        default_factory=dict
    )
    retry_at: units.Instant = units.Instant(0.0)


class PlacementPlanner:
    """Reconciles observed engines with their targets, one order each at a time.

    An engine is drained by giving it the role `reserve`, which every daemon
    reads from the engine's own reports. The progress of a change is thus held
    by the engine, and a new lease holder continues from what it observes.
    """

    def __init__(
        self,
        limits: PlannerLimits,
        load_limiter: load_rate_limiter.LoadRateLimiter,
    ) -> None:
        self._limits = limits
        self._load_limiter = load_limiter
        self._targets: dict[
            ids.BackendServerId, targets_module.EngineTarget
        ] = {}
        self._engines: dict[ids.BackendServerId, _EngineState] = (
            collections.defaultdict(_EngineState)
        )

    @property
    def reports(self) -> dict[ids.BackendServerId, backend_servers.LoadReport]:
        """Latest reports of engines that are not leaving."""
        return {
            name: engine.report
            for name, engine in self._engines.items()
            if engine.report is not None and not engine.report.leaving
        }

    @property
    def all_observed(self) -> bool:
        """Whether each engine was observed, or failed to be, since `reset`.

        Targets that are computed from only some engines would move models
        needlessly.
        """
        return all(
            engine.report is not None or engine.failures
            for engine in self._engines.values()
        )

    def reset(self, now: units.Instant) -> None:
        """Discards all observations when this daemon acquires the lease."""
        self._engines.clear()
        self._targets.clear()
        self._load_limiter.reset(now)

    def on_engines(self, engines: frozenset[ids.BackendServerId]) -> None:
        """Sets the engines that the configuration lists."""
        for name in set(self._engines) - engines:
            del self._engines[name]
        for name in engines:
            self._engines.setdefault(name, _EngineState())

    def on_targets(
        self, targets: tuple[targets_module.EngineTarget, ...]
    ) -> None:
        """Sets the desired state of all engines."""
        self._targets = {target.engine: target for target in targets}

    def on_report(
        self,
        name: ids.BackendServerId,
        report: backend_servers.LoadReport,
        now: units.Instant,
    ) -> None:
        """Handles an engine's report; `now` is when it was requested."""
        engine = self._engines[name]
        restarted = (
            engine.report is not None
            and engine.report.incarnation != report.incarnation
        )
        if not _is_idle(report) or restarted:
            engine.idle_since = None
        if _is_idle(report) and engine.idle_since is None:
            engine.idle_since = now
        if restarted:
            engine.loads_in_progress.clear()
        engine.report = report
        engine.observed_at = now
        engine.needs_observation = False
        engine.failures = 0

    def on_observation_failed(
        self, name: ids.BackendServerId, now: units.Instant
    ) -> None:
        """Handles a failed observation of an engine.

        After `failures_until_down` of them the engine counts as down, and its
        share is placed on the other engines.
        """
        engine = self._engines[name]
        engine.failures += 1
        engine.retry_at = units.after(now, self._limits.retry_delay)
        if engine.failures >= self._limits.failures_until_down:
            engine.report = None

    def on_order_ended(
        self, name: ids.BackendServerId, succeeded: bool, now: units.Instant
    ) -> None:
        """Handles the end of an order; an observation precedes the next one."""
        engine = self._engines[name]
        engine.order_in_flight = False
        engine.needs_observation = True
        order, engine.last_order = engine.last_order, None
        if order is not None and succeeded:
            if order.kind in _LOAD_KINDS:
                engine.loads_in_progress[order.target] = units.after(
                    now, self._limits.load_timeout
                )
            elif (
                order.kind is backend_servers.OrderKind.CHANGE_ROLE
                and order.target != states.EngineRole.RESERVE.value
            ):
                # A delayed report may still show the engine as idle in reserve
                # after it has resumed work.
                engine.idle_since = None
        if not succeeded:
            engine.retry_at = units.after(now, self._limits.retry_delay)

    def observations(self, now: units.Instant) -> tuple[ObserveEngine, ...]:
        """Returns the engines to observe before the next orders."""
        return tuple(
            command
            for name in sorted(self._engines)
            if isinstance(
                command := self._next_command(name, self._engines[name], now),
                ObserveEngine,
            )
        )

    def next_commands(self, now: units.Instant) -> tuple[Command, ...]:
        """Returns the commands due at `now`; the caller reports results."""
        commands = []
        for name in sorted(self._engines):
            command = self._next_command(name, self._engines[name], now)
            if command is None:
                continue
            if isinstance(command, SendOrder):
                is_rate_limited = command.kind in _LOAD_KINDS
                if is_rate_limited and not self._load_limiter.try_acquire(now):
                    continue
                self._engines[name].order_in_flight = True
                self._engines[name].last_order = command
            commands.append(command)
        return tuple(commands)

    def _next_command(
        self,
        name: ids.BackendServerId,
        engine: _EngineState,
        now: units.Instant,
    ) -> Command | None:
        if engine.order_in_flight or now < engine.retry_at:
            return None
        report_age = units.elapsed(engine.observed_at, now)
        if (
            engine.report is None
            or engine.needs_observation
            or report_age > self._limits.idle_poll_interval
        ):
            return ObserveEngine(name)
        target = self._targets.get(name)
        if target is None or engine.report.leaving:
            return None
        order = self._next_order(target, engine, engine.report, now)
        is_draining = (
            engine.report.role is states.EngineRole.RESERVE
            and target.role is not states.EngineRole.RESERVE
        )
        if report_age > self._limits.max_report_age and (
            order is not None or is_draining
        ):
            return ObserveEngine(name)
        return order

    def _next_order(
        self,
        target: targets_module.EngineTarget,
        engine: _EngineState,
        report: backend_servers.LoadReport,
        now: units.Instant,
    ) -> SendOrder | None:
        reserve = states.EngineRole.RESERVE
        unload_order = next(self._unload_orders(target, report), None)
        changes_role = report.role not in (target.role, reserve)
        if (unload_order or changes_role) and report.role is not reserve:
            if not self._may_drain(target.engine):
                return None
            return SendOrder(
                target.engine,
                backend_servers.OrderKind.CHANGE_ROLE,
                reserve.value,
                "drain",
            )
        load_orders = tuple(_load_orders(target, report))
        due_loads = (
            order
            for order in load_orders
            if now >= engine.loads_in_progress.get(order.target, now)
        )
        next_load = next(due_loads, None)
        if unload_order is None and not load_orders:
            # An engine may return to `general` at once, since that role accepts
            # any work.
            needs_no_drain = target.role is states.EngineRole.GENERAL
            if report.role is target.role or not (
                needs_no_drain or self._is_drained(engine, now)
            ):
                return None
            return SendOrder(
                target.engine,
                backend_servers.OrderKind.CHANGE_ROLE,
                target.role.value,
                "role",
            )
        if unload_order is not None:
            return unload_order if self._is_drained(engine, now) else None
        return next_load

    def _unload_orders(
        self,
        target: targets_module.EngineTarget,
        report: backend_servers.LoadReport,
    ) -> Iterator[SendOrder]:
        if target.adapters is not None:
            for adapter in report.adapters:
                if adapter not in target.adapters:
                    yield SendOrder(
                        target.engine,
                        backend_servers.OrderKind.UNLOAD_ADAPTER,
                        adapter,
                        "not wanted",
                    )
        if target.models is None:
            return
        for name in report.models:
            if name not in target.models and not self._is_last_copy(
                target.engine, name
            ):
                yield SendOrder(
                    target.engine,
                    backend_servers.OrderKind.UNLOAD_MODEL,
                    name,
                    "not wanted",
                )

    def _is_last_copy(
        self, engine: ids.BackendServerId, name: ids.ModelId
    ) -> bool:
        """Returns whether a wanted model is loaded on this engine only."""
        wanted = any(name in (t.models or ()) for t in self._targets.values())
        return wanted and not any(
            name in report.models
            for other, report in self.reports.items()
            if other != engine
            and not self._has_unobserved_order(other)
            and report.role is not states.EngineRole.RESERVE
        )

    def _may_drain(self, engine: ids.BackendServerId) -> bool:
        others = {n: r for n, r in self.reports.items() if n != engine}
        temporarily_reserved = {
            name
            for name, report in others.items()
            if report.role is states.EngineRole.RESERVE
            and self._leaves_reserve(name)
        }
        draining = temporarily_reserved | {
            n for n in others if self._has_unobserved_order(n)
        }
        if others and draining >= set(others):
            return False
        allowed = max(1, int(self._limits.max_draining_share * len(others)))
        return len(draining) < allowed

    def _has_unobserved_order(self, engine: ids.BackendServerId) -> bool:
        """Returns whether an order may have changed an unobserved engine."""
        return (
            self._engines[engine].order_in_flight
            or self._engines[engine].needs_observation
        )

    def _leaves_reserve(self, engine: ids.BackendServerId) -> bool:
        target = self._targets.get(engine)
        return target is None or target.role is not states.EngineRole.RESERVE

    def _is_drained(self, engine: _EngineState, now: units.Instant) -> bool:
        return (
            engine.idle_since is not None
            and units.elapsed(engine.idle_since, now)
            >= self._limits.drain_settle_time
        )


def _load_orders(
    target: targets_module.EngineTarget, report: backend_servers.LoadReport
) -> Iterator[SendOrder]:
    for name in target.models or ():
        if name not in report.models:
            yield SendOrder(
                target.engine,
                backend_servers.OrderKind.LOAD_MODEL,
                name,
                "wanted",
            )
    for adapter in target.adapters or ():
        if adapter not in report.adapters:
            yield SendOrder(
                target.engine,
                backend_servers.OrderKind.LOAD_ADAPTER,
                adapter,
                "wanted",
            )


def _is_idle(report: backend_servers.LoadReport) -> bool:
    """Returns whether an engine in reserve holds no work and no memory."""
    return (
        report.role is states.EngineRole.RESERVE
        and not report.running
        and not report.waiting
        and not report.prefill_tokens_queued
        and not report.kv_bytes_used
    )
