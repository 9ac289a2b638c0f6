"""Guards placement against lost work, stale orders and lasting drift."""

from __future__ import annotations

import dataclasses
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import lease_simulation

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.placement import load_rate_limiter
from lavendershed.placement import planner as planner_module
from lavendershed.placement import targets as targets_module

ENGINES = tuple(ids.BackendServerId(f"engine-{n}") for n in range(3))
OLD, NEW = ids.ModelId("almanac-1"), ids.ModelId("almanac-2")
KINDS = backend_servers.OrderKind
LOADS = (KINDS.LOAD_MODEL, KINDS.LOAD_ADAPTER)
ROLES = states.EngineRole
# Time within which all daemons apply an engine's report.
ROLE_PROPAGATION_TIME = units.Seconds(5.0)
REPORT_LAG = units.Seconds(0.5)
# Loads per second that the weight store allows.
RATE = 0.5
LOAD_TIME = units.Seconds(4.0)
PLAN = model.ServicePlan(
    ids.ServiceId("drafting"),
    (model.RoleShare(ROLES.PREFILL, 0.3),),
    (model.WantedModel(NEW, adapters=(ids.AdapterId("season"),)),),
)


@dataclasses.dataclass
class FakeEngine:
    """An engine whose loads take time and whose reports are delayed."""

    checks: bool = True
    number: int = 0
    role: states.EngineRole = ROLES.GENERAL
    models: tuple = (OLD,)
    adapters: tuple = ("lashing",)
    running: int = 0
    reserved_since: float = 0.0
    loading: dict = dataclasses.field(default_factory=dict)
    loads: int = 0
    reported: object = None
    reported_at: float = 0.0

    def finish_loads(self, now):
        for name, ready in tuple(self.loading.items()):
            if now >= ready:
                del self.loading[name]
                if name == "season":
                    self.adapters += (name,)
                else:
                    self.models += (name,)

    def report(self, now):
        """Returns a report that is up to `REPORT_LAG` old."""
        self.finish_loads(now)
        if self.reported is None or now > self.reported_at + REPORT_LAG:
            self.reported, self.reported_at = self.current_report(), now
        return self.reported

    def current_report(self):
        return backend_servers.LoadReport(
            0.0,
            ids.Incarnation(1),
            self.running,
            0,
            units.Tokens(0),
            units.Bytes(self.running),
            units.Bytes(100),
            self.role,
            self.models,
            False,
            self.adapters,
        )

    def accept(self, number, kind, target, now):
        """Returns whether the order was carried out."""
        if self.checks and number < self.number:
            return False
        self.number = max(self.number, number)
        self.finish_loads(now)
        if kind in LOADS:
            self.loads += kind is KINDS.LOAD_MODEL
            if target not in self.models + self.adapters:
                self.loading.setdefault(target, now + LOAD_TIME)
        elif kind is KINDS.UNLOAD_MODEL:
            self.models = tuple(m for m in self.models if m != target)
        elif kind is KINDS.UNLOAD_ADAPTER:
            self.adapters = tuple(a for a in self.adapters if a != target)
        else:
            self.role = ROLES(target)
            self.reserved_since = now
        return True


@dataclasses.dataclass
class OrderInFlight:
    """An order that has not reached its engine yet."""

    daemon: int
    planner: planner_module.PlacementPlanner
    number: int
    order: planner_module.SendOrder
    sent: float


class PlacementSimulation(lease_simulation.LeaseSimulation):
    """Lease holders whose orders arrive at any time, or far too late."""

    def __init__(self):
        super().__init__()
        self.engines = {name: FakeEngine() for name in ENGINES}
        self.orders = []
        self.loads_sent = []
        self.planned_since = None
        self.numbers = [0] * lease_simulation.DAEMONS
        self.planners = [
            self.new_planner() for _ in range(lease_simulation.DAEMONS)
        ]

    def new_planner(self):
        planner = planner_module.PlacementPlanner(
            planner_module.PlannerLimits(),
            load_rate_limiter.LoadRateLimiter(RATE, 2.0),
        )
        planner.on_engines(frozenset(ENGINES))
        return planner

    @stateful.initialize(checks=strategies.booleans())
    def choose_kind(self, checks):
        for engine in self.engines.values():
            engine.checks = checks

    @stateful.rule(daemon=strategies.integers(0, lease_simulation.DAEMONS - 1))
    def plan(self, daemon):
        checks = self.engines[ENGINES[0]].checks
        number = self.leases[daemon].usable_fencing_number(self.now, checks)
        if number is None:
            return
        if number != self.numbers[daemon]:
            self.numbers[daemon] = number
            self.planners[daemon] = self.new_planner()
            self.planners[daemon].reset(self.now)
            self.planned_since = self.now
            self.planners[daemon].on_engines(frozenset(ENGINES))
        planner = self.planners[daemon]
        for _ in range(2):
            for command in planner.next_commands(self.now):
                if isinstance(command, planner_module.ObserveEngine):
                    planner.on_report(
                        command.engine,
                        self.engines[command.engine].report(self.now),
                        self.now,
                    )
                else:
                    self.send(daemon, planner, number, command)
            planner.on_targets(
                targets_module.plan_targets(PLAN, planner.reports, {})
            )

    def send(self, daemon, planner, number, order):
        engine = self.engines[order.engine]
        if order.kind in LOADS:
            self.loads_sent.append(self.now)
        if self.destroys(order, engine):
            assert not engine.running, "destructive order to a busy engine"
        self.orders.append(
            OrderInFlight(daemon, planner, number, order, self.now)
        )
        orders_in_flight = [o for o in self.orders if o.planner is planner]
        engines_with_orders = [o.order.engine for o in orders_in_flight]
        assert len(engines_with_orders) == len(set(engines_with_orders)), (
            "two orders to one engine"
        )

    def destroys(self, order, engine):
        if order.kind is KINDS.CHANGE_ROLE:
            return ROLES(order.target) is ROLES.PREFILL
        return order.kind in (KINDS.UNLOAD_MODEL, KINDS.UNLOAD_ADAPTER)

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(
        position=strategies.integers(0, 100), confirmed=strategies.booleans()
    )
    def order_arrives(self, position, confirmed=True):
        in_flight = self.orders.pop(position % len(self.orders))
        engine = self.engines[in_flight.order.engine]
        in_time = (
            self.now <= in_flight.sent + lease_simulation.LIMITS.max_order_delay
        )
        busy, newest = engine.running, engine.number
        done = engine.accept(
            in_flight.number,
            in_flight.order.kind,
            in_flight.order.target,
            self.now,
        )
        if done and (in_time or engine.checks):
            assert in_flight.number >= newest, "an old order after a newer one"
            destroys = self.destroys(in_flight.order, engine)
            assert not (busy and destroys), "destroyed running work"
        in_flight.planner.on_order_ended(
            in_flight.order.engine, done and confirmed, self.now
        )

    @stateful.rule(name=strategies.sampled_from(ENGINES))
    def work_starts(self, name):
        engine = self.engines[name]
        # Another daemon may not have seen the role `reserve` yet.
        may_get_work = self.now < engine.reserved_since + ROLE_PROPAGATION_TIME
        if engine.role is not ROLES.RESERVE or may_get_work:
            engine.running += 1

    @stateful.rule(name=strategies.sampled_from(ENGINES))
    def work_ends(self, name):
        self.engines[name].running = 0

    def teardown(self):
        """Checks that every engine reaches its target without faults."""
        while self.orders:
            self.order_arrives(0)
        for engine in self.engines.values():
            engine.running = 0
        for _ in range(200):
            self.call_store_now(0, True, "none")
            self.plan(0)
            while self.orders:
                self.order_arrives(0)
            self.advance_time(1.0)
        roles = [engine.role for engine in self.engines.values()]
        assert roles.count(ROLES.PREFILL) == 1, roles
        assert roles.count(ROLES.GENERAL) == 2, roles
        models = [engine.models for engine in self.engines.values()]
        assert models == [(NEW,)] * 3, models
        adapters = [engine.adapters for engine in self.engines.values()]
        assert adapters == [("season",)] * 3, adapters


PlacementSimulation.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=80,
    deadline=None,
    derandomize=True,
    database=None,
)
PlacementSimulationTest = PlacementSimulation.TestCase


class PlannerCaseTest(unittest.TestCase):
    """Guards a change of models against lost capacity and extra loads."""

    def setUp(self):
        self.simulation = PlacementSimulation()
        self.simulation.choose_kind(True)

    def run_round(self):
        self.simulation.call_store_now(0, True, "none")
        self.simulation.plan(0)
        loads = [o for o in self.simulation.orders if o.order.kind in LOADS]
        while self.simulation.orders:
            self.simulation.order_arrives(0)
        self.simulation.advance_time(1.0)
        return len(loads)

    def test_a_change_keeps_two_engines_in_service(self):
        for _ in range(200):
            self.run_round()
            working = [
                e
                for e in self.simulation.engines.values()
                if e.role is not ROLES.RESERVE and e.models
            ]
            self.assertGreaterEqual(len(working), 2)
        for engine in self.simulation.engines.values():
            self.assertEqual(engine.models, (NEW,))
            self.assertEqual(engine.loads, 1)

    def test_loads_stay_within_the_rate_of_the_weight_store(self):
        for engine in self.simulation.engines.values():
            engine.models = ()
        counts = [self.run_round() for _ in range(100)]
        self.assertEqual(sum(counts), len(ENGINES) * 2)
        acting = self.simulation.planned_since
        for number, sent in enumerate(self.simulation.loads_sent, 1):
            self.assertGreaterEqual(sent - acting, number / RATE)

    def test_a_change_waits_for_daemons_with_delayed_reports(self):
        times = {}
        for _ in range(100):
            for engine in self.simulation.engines.values():
                if engine.role is ROLES.RESERVE and engine.models == (OLD,):
                    times[id(engine)] = (
                        self.simulation.now - engine.reserved_since
                    )
            self.run_round()
        self.assertEqual(len(times), len(ENGINES))
        self.assertGreaterEqual(min(times.values()), ROLE_PROPAGATION_TIME)

    def test_the_last_copy_of_a_wanted_model_is_not_unloaded(self):
        planner = self.simulation.new_planner()
        planner.reset(units.Instant(0.0))
        first, second = ENGINES[:2]
        planner.on_engines(frozenset((first, second)))
        planner.on_targets(
            (
                targets_module.EngineTarget(first, ROLES.GENERAL, (OLD,)),
                targets_module.EngineTarget(second, ROLES.GENERAL, (NEW,)),
            )
        )
        changed_engine = FakeEngine(models=(NEW,), role=ROLES.RESERVE)
        for now in (units.Instant(0.0), units.Instant(30.0)):
            planner.on_report(first, changed_engine.current_report(), now)
            planner.on_report(second, FakeEngine().current_report(), now)
        commands = planner.next_commands(units.Instant(30.0))
        self.assertEqual(
            {command.kind for command in commands}, {KINDS.LOAD_MODEL}
        )

    def test_a_busy_engine_is_not_changed(self):
        self.simulation.engines[ENGINES[0]].running = 1
        for _ in range(200):
            self.run_round()
        busy = self.simulation.engines[ENGINES[0]]
        self.assertIn(OLD, busy.models)


class LoadRateLimiterTest(unittest.TestCase):
    """Guards the weight store against a burst by each new holder."""

    def test_a_new_holder_starts_with_an_empty_bucket(self):
        limiter = load_rate_limiter.LoadRateLimiter(1.0, 5.0)
        limiter.reset(units.Instant(0.0))
        self.assertFalse(limiter.try_acquire(units.Instant(0.5)))
        acquired = sum(
            limiter.try_acquire(units.Instant(100.0)) for _ in range(20)
        )
        self.assertEqual(acquired, 5)


class ModelDemandTest(unittest.TestCase):
    """Guards against a plan that ignores demand above a preset's shares."""

    def test_a_backlog_adds_engines_beyond_the_share(self):
        reports = {
            name: dataclasses.replace(
                FakeEngine().current_report(), prefill_tokens_queued=90_000
            )
            for name in ENGINES
        }
        needed = targets_module.engines_for_backlog(
            reports, OLD, 50_000.0, units.Seconds(2.0)
        )
        self.assertEqual(needed, 3)
        plan = model.ServicePlan(
            PLAN.service, (), (model.WantedModel(NEW, share=0.3),)
        )
        with_model = [
            target.engine
            for target in targets_module.plan_targets(
                plan, reports, {NEW: needed}
            )
            if target.models
        ]
        self.assertEqual(with_model, list(ENGINES))


if __name__ == "__main__":
    unittest.main()
