"""Tests that placement orders need a lease and a drained engine."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

import fakes
import result

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.daemon import placement_loop
from lavendershed.placement import lease
from lavendershed.placement import planner
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

SERVICE = ids.ServiceId("drafting")
ENGINE = ids.BackendServerId("engine-1")
PLANNED_MODEL = ids.ModelId("almanac-2")
STEP_INTERVAL_S = 0.02
FAST_LEASE = lease.LeaseTimings(
    units.Seconds(0.6),
    units.Seconds(0.2),
    units.Seconds(0.1),
    units.Seconds(0.2),
)
FAST_PLANNER = planner.PlannerLimits(
    drain_settle_time=units.Seconds(0.1),
    max_report_age=units.Seconds(0.05),
    idle_poll_interval=units.Seconds(0.1),
    retry_delay=units.Seconds(0.05),
)


class FakeEngine:
    """Executes orders and reports its state."""

    def __init__(self):
        self.role = states.EngineRole.GENERAL
        self.models = (ids.ModelId("almanac-1"),)
        self.running = 1
        self.orders = []
        self.response = None

    async def load_report(self):
        return result.Ok(
            backend_servers.LoadReport(
                0.0,
                ids.Incarnation(1),
                self.running,
                0,
                units.Tokens(0),
                units.Bytes(0),
                units.Bytes(1),
                self.role,
                self.models,
                False,
            )
        )

    async def execute_order(self, order):
        self.orders.append((order, self.running))
        if self.response is not None:
            return self.response
        if order.kind is backend_servers.OrderKind.LOAD_MODEL:
            self.models += (order.target,)
        elif order.kind is backend_servers.OrderKind.UNLOAD_MODEL:
            self.models = tuple(m for m in self.models if m != order.target)
        else:
            self.role = states.EngineRole(order.target)
        return result.Ok(ids.Incarnation(1))


@dataclasses.dataclass
class FakeDirectory:
    """A directory with one engine."""

    single_engine: FakeEngine

    def engine(self, name):
        return self.single_engine


class FakeConfigurationState:
    """A configuration whose preset plans another model for the engine."""

    current = model.Configuration(
        ids.Epoch(1),
        ids.PresetName("ordinary"),
        {},
        {
            SERVICE: model.Service(
                SERVICE,
                states.ServiceKind.MODEL_ENGINE,
                (
                    model.BackendServer(
                        ENGINE, "127.0.0.1:1", ids.AvailabilityZoneId("z")
                    ),
                ),
            )
        },
        {
            ids.PresetName("ordinary"): model.Preset(
                ids.PresetName("ordinary"),
                service_plans=(
                    model.ServicePlan(
                        SERVICE, (), (model.WantedModel(PLANNED_MODEL),)
                    ),
                ),
            )
        },
    )


class PlacementLoopTest(unittest.IsolatedAsyncioTestCase):
    """Fails if an order is sent without a lease, too early or never."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.engine = FakeEngine()
        self.log = log.MemoryEventLog()

    def start_loop(self, vm="vm-1"):
        owner = backend_servers.Owner(ids.VmId(vm), ids.Incarnation(1))
        placement = placement_loop.PlacementLoop(
            owner,
            FakeConfigurationState(),
            cluster.SingleDaemonCluster(owner),
            self.store,
            FakeDirectory(self.engine),
            event_loop_timers.EventLoopTimerService(asyncio.get_running_loop()),
            self.log,
            1_000.0,
            units.Seconds(STEP_INTERVAL_S),
            FAST_LEASE,
            FAST_PLANNER,
        )
        task = asyncio.create_task(placement.run())
        self.addAsyncCleanup(self.cancel_task, task)
        return placement

    async def cancel_task(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def wait_until(self, condition):
        for _ in range(250):
            if condition():
                return
            await asyncio.sleep(STEP_INTERVAL_S)
        self.fail(f"condition not met in time: {self.log.records}")

    def is_placed(self):
        return (
            self.engine.models == (PLANNED_MODEL,)
            and self.engine.role is states.EngineRole.GENERAL
        )

    async def test_a_busy_engine_is_drained_before_its_model_changes(self):
        self.start_loop()
        await self.wait_until(lambda: self.engine.orders)
        await asyncio.sleep(0.3)
        self.assertIs(self.engine.role, states.EngineRole.RESERVE)
        self.assertEqual(len(self.engine.orders), 1)
        self.engine.running = 0
        await self.wait_until(self.is_placed)
        kinds = [order.kind.value for order, _ in self.engine.orders]
        self.assertEqual(
            kinds, ["change_role", "unload_model", "load_model", "change_role"]
        )
        self.assertIn("placement/drafting", self.store.objects)

    async def test_a_daemon_without_the_lease_sends_no_orders(
        self,
    ):
        self.start_loop()
        await self.wait_until(lambda: self.engine.orders)
        self.start_loop("vm-2")
        await asyncio.sleep(1.0)
        self.assertEqual(
            {order.fencing_number for order, _ in self.engine.orders}, {1}
        )

    async def test_a_released_lease_is_acquired_with_a_new_fencing_number(self):
        first = self.start_loop()
        await self.wait_until(lambda: self.engine.orders)
        await first.release()
        self.engine.running = 0
        self.start_loop("vm-2")
        await self.wait_until(self.is_placed)
        self.assertEqual(self.engine.orders[-1][0].fencing_number, 2)

    async def test_no_orders_are_sent_while_the_store_is_down(self):
        self.start_loop()
        await self.wait_until(lambda: self.engine.orders)
        self.store.down = True
        await asyncio.sleep(0.6)
        self.engine.running = 0
        await asyncio.sleep(0.4)
        self.assertEqual(len(self.engine.orders), 1)
        self.store.down = False
        await self.wait_until(self.is_placed)

    async def test_a_stale_fencing_number_ends_the_lease(self):
        self.engine.response = result.Err(
            backend_servers.BackendError(
                backend_servers.BackendErrorKind.STALE_FENCING_NUMBER,
                True,
                "412",
            )
        )
        self.start_loop()
        await self.wait_until(
            lambda: events.Event.LEASE_LOST in [e for e, _ in self.log.records]
        )


if __name__ == "__main__":
    unittest.main()
