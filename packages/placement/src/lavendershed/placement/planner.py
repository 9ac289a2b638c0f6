"""Orders that bring the engines of a service to their targets."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.placement import load_budget
from lavendershed.placement import targets as targets_module

_LOADS = (
    backend_servers.OrderKind.LOAD_MODEL,
    backend_servers.OrderKind.LOAD_ADAPTER,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Limits of placement changes.

    Attributes:
        drain_settle: Time for which an engine must be seen idle in reserve
            before a destructive order. Other daemons stop sending work within
            5 s of the engine's report.
        report_age: Oldest report on which an order may be based.
        idle_age: Age of a report at which an engine without a pending change
            is observed again; short enough to repair late orders, long enough
            for services with thousands of engines.
        retry_delay: Time after a failed order until the next to that engine.
        load_wait: Time after an accepted load until it is ordered again if
            the engine does not report it.
        failures_until_down: Failed observations after which an engine counts
            as down.
        max_draining_share: Share of the engines that may be drained at once;
            at least one is allowed.
    """

    drain_settle: units.Seconds = units.Seconds(6.0)
    report_age: units.Seconds = units.Seconds(1.0)
    idle_age: units.Seconds = units.Seconds(30.0)
    retry_delay: units.Seconds = units.Seconds(5.0)
    load_wait: units.Seconds = units.Seconds(120.0)
    failures_until_down: int = 3
    max_draining_share: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Command: read the engine's load report."""

    engine: ids.BackendServerId


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Command: send an order after a last check of the lease."""

    engine: ids.BackendServerId
    kind: backend_servers.OrderKind
    target: str
    reason: str


Command = Observe | SendOrder


@dataclasses.dataclass(slots=True)
class _Engine:
    report: backend_servers.LoadReport | None = None
    seen: units.Instant = units.Instant(0.0)
    idle_since: units.Instant | None = None
    ordered: bool = False
    # Whether the engine has not been observed since its last order.
    stale: bool = False
    failures: int = 0
    order: SendOrder | None = None
    # Accepted loads, with the time until which they may be under way.
    loads: dict[str, units.Instant] = dataclasses.field(default_factory=dict)
    not_before: units.Instant = units.Instant(0.0)


class PlacementPlanner:
    """Compares observed engines with their targets; one order each at a time.

    An engine is drained by the role `reserve`, which every daemon sees in the
    engine's own reports. The state of a change is therefore in the engine, and
    a new holder goes on from what it observes.
    """

    def __init__(
        self, limits: PlannerLimits, budget: load_budget.LoadBudget
    ) -> None:
        self._limits = limits
        self._budget = budget
        self._targets: dict[
            ids.BackendServerId, targets_module.EngineTarget
        ] = {}
        self._engines: dict[ids.BackendServerId, _Engine] = (
            collections.defaultdict(_Engine)
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
    def ready(self) -> bool:
        """Whether every engine was observed, or tried, since `restart`.

        Targets that follow from a part of the engines would move models for
        no reason.
        """
        return all(
            engine.report is not None or engine.failures
            for engine in self._engines.values()
        )

    def restart(self, now: units.Instant) -> None:
        """Forgets everything observed, for a new holder of the lease."""
        self._engines.clear()
        self._targets.clear()
        self._budget.restart(now)

    def on_engines(self, engines: frozenset[ids.BackendServerId]) -> None:
        """Takes the engines that the configuration lists."""
        for name in set(self._engines) - engines:
            del self._engines[name]
        for name in engines:
            self._engines.setdefault(name, _Engine())

    def on_targets(
        self, targets: tuple[targets_module.EngineTarget, ...]
    ) -> None:
        """Takes the desired state of all engines."""
        self._targets = {target.engine: target for target in targets}

    def on_report(
        self,
        name: ids.BackendServerId,
        report: backend_servers.LoadReport,
        now: units.Instant,
    ) -> None:
        """Takes an engine's report; `now` is when its request was sent."""
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
            engine.loads.clear()
        engine.report = report
        engine.seen = now
        engine.stale = False
        engine.failures = 0

    def on_observe_failed(
        self, name: ids.BackendServerId, now: units.Instant
    ) -> None:
        """Takes an engine that did not report; after a few it counts as down.

        The share of an engine that is down goes to the others.
        """
        engine = self._engines[name]
        engine.failures += 1
        engine.not_before = units.after(now, self._limits.retry_delay)
        if engine.failures >= self._limits.failures_until_down:
            engine.report = None

    def on_order_ended(
        self, name: ids.BackendServerId, succeeded: bool, now: units.Instant
    ) -> None:
        """Takes the end of an order; the engine is observed before the next."""
        engine = self._engines[name]
        engine.ordered = False
        engine.stale = True
        order, engine.order = engine.order, None
        if order is not None and succeeded:
            if order.kind in _LOADS:
                engine.loads[order.target] = units.after(
                    now, self._limits.load_wait
                )
            elif (
                order.kind is backend_servers.OrderKind.CHANGE_ROLE
                and order.target != states.EngineRole.RESERVE.value
            ):
                # A lagging report may show the engine idle in reserve after
                # it went back to work.
                engine.idle_since = None
        if not succeeded:
            engine.not_before = units.after(now, self._limits.retry_delay)

    def observations(self, now: units.Instant) -> tuple[Observe, ...]:
        """Returns the engines to observe before the next orders."""
        return tuple(
            command
            for name in sorted(self._engines)
            if isinstance(
                command := self._next_command(name, self._engines[name], now),
                Observe,
            )
        )

    def next_commands(self, now: units.Instant) -> tuple[Command, ...]:
        """Returns what to do at `now`; the caller reports how orders end."""
        found = []
        for name in sorted(self._engines):
            command = self._next_command(name, self._engines[name], now)
            if command is None:
                continue
            if isinstance(command, SendOrder):
                limited = command.kind in _LOADS
                if limited and not self._budget.take(now):
                    continue
                self._engines[name].ordered = True
                self._engines[name].order = command
            found.append(command)
        return tuple(found)

    def _next_command(
        self,
        name: ids.BackendServerId,
        engine: _Engine,
        now: units.Instant,
    ) -> Command | None:
        if engine.ordered or now < engine.not_before:
            return None
        age = units.elapsed(engine.seen, now)
        if engine.report is None or engine.stale or age > self._limits.idle_age:
            return Observe(name)
        target = self._targets.get(name)
        if target is None or engine.report.leaving:
            return None
        order = self._step(target, engine, engine.report, now)
        draining = (
            engine.report.role is states.EngineRole.RESERVE
            and target.role is not states.EngineRole.RESERVE
        )
        if age > self._limits.report_age and (order is not None or draining):
            return Observe(name)
        return order

    def _step(
        self,
        target: targets_module.EngineTarget,
        engine: _Engine,
        report: backend_servers.LoadReport,
        now: units.Instant,
    ) -> SendOrder | None:
        reserve = states.EngineRole.RESERVE
        removal = next(self._removals(target, report), None)
        changes_role = report.role not in (target.role, reserve)
        if (removal or changes_role) and report.role is not reserve:
            if not self._may_drain(target.engine):
                return None
            return SendOrder(
                target.engine,
                backend_servers.OrderKind.CHANGE_ROLE,
                reserve.value,
                "drain",
            )
        additions = tuple(_additions(target, report))
        due = (
            order
            for order in additions
            if now >= engine.loads.get(order.target, now)
        )
        addition = next(due, None)
        if removal is None and not additions:
            # `general` engines take any work, so that one may go back at once.
            ready = target.role is states.EngineRole.GENERAL
            if report.role is target.role or not (
                ready or self._is_drained(engine, now)
            ):
                return None
            return SendOrder(
                target.engine,
                backend_servers.OrderKind.CHANGE_ROLE,
                target.role.value,
                "role",
            )
        if removal is not None:
            return removal if self._is_drained(engine, now) else None
        return addition

    def _removals(
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
            if name not in target.models and not self._is_last(
                target.engine, name
            ):
                yield SendOrder(
                    target.engine,
                    backend_servers.OrderKind.UNLOAD_MODEL,
                    name,
                    "not wanted",
                )

    def _is_last(self, engine: ids.BackendServerId, name: ids.ModelId) -> bool:
        """Returns whether a wanted model is loaded on this engine only."""
        wanted = any(name in (t.models or ()) for t in self._targets.values())
        return wanted and not any(
            name in report.models
            for other, report in self.reports.items()
            if other != engine
            and not self._in_motion(other)
            and report.role is not states.EngineRole.RESERVE
        )

    def _may_drain(self, engine: ids.BackendServerId) -> bool:
        others = {n: r for n, r in self.reports.items() if n != engine}
        reserved = {
            name
            for name, report in others.items()
            if report.role is states.EngineRole.RESERVE
            and self._is_changing(name)
        }
        draining = reserved | {n for n in others if self._in_motion(n)}
        if others and draining >= set(others):
            return False
        allowed = max(1, int(self._limits.max_draining_share * len(others)))
        return len(draining) < allowed

    def _in_motion(self, engine: ids.BackendServerId) -> bool:
        """Returns whether an order may have changed an engine unseen."""
        return self._engines[engine].ordered or self._engines[engine].stale

    def _is_changing(self, engine: ids.BackendServerId) -> bool:
        target = self._targets.get(engine)
        return target is None or target.role is not states.EngineRole.RESERVE

    def _is_drained(self, engine: _Engine, now: units.Instant) -> bool:
        return (
            engine.idle_since is not None
            and units.elapsed(engine.idle_since, now)
            >= self._limits.drain_settle
        )


def _additions(
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
