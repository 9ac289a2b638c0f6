"""Tests engine groups for deadlock and leaked memory."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies
import result

from lavendershed.core import deadlines
from lavendershed.core import units
from lavendershed.routing import group_planner

USABLE_KV_TOKENS = units.Tokens(100)
ENGINES = [f"engine-{index}" for index in range(5)]
DEADLINE = 1_000.0


def planner(name, engines, prompt=250, seed=1, deadline=DEADLINE):
    """Returns a planner of a group that needs three engines by default."""
    demand = group_planner.GroupDemand(
        name,
        units.Tokens(prompt),
        units.Tokens(10),
        USABLE_KV_TOKENS,
        10.0,
        deadlines.Deadline(units.Instant(deadline)),
    )
    return group_planner.GroupPlanner(demand, engines, random.Random(seed))


class FakeEngines:
    """Engines that each reserve memory for one group at a time."""

    def __init__(self):
        self.reservations = {}
        self.exports = set()

    def acquire(self, engine, reservation):
        if engine in self.reservations:
            return result.Err("memory is in use")
        self.reservations[engine] = reservation
        return result.Ok(None)

    def release(self, engine, reservation):
        if self.reservations.get(engine) == reservation:
            del self.reservations[engine]


class Driver:
    """Executes the commands of one planner step by step."""

    def __init__(self, plan, engines, failing=frozenset()):
        self.plan = plan
        self.engines = engines
        self.failing = failing
        self.commands = list(plan.on_start(units.Instant(0.0)))
        self.wake = None
        self.failure = None
        self.streamed = False

    @property
    def ended(self):
        return self.plan.state is group_planner.GroupState.ENDED

    def step(self, now):
        if not self.commands:
            if self.wake is not None and now >= self.wake:
                self.wake = None
                self.commands += self.plan.on_timer(now)
            return
        command = self.commands.pop(0)
        match command:
            case group_planner.AcquireReservation(segment=segment):
                outcome = self.engines.acquire(
                    segment.engine, segment.reservation
                )
                if segment.engine in self.failing:
                    outcome = result.Err("the answer was lost")
                self.commands += self.plan.on_reservation(outcome, now)
            case group_planner.ReleaseReservation(
                engine=engine, reservation=reservation
            ):
                self.engines.release(engine, reservation)
            case group_planner.ExportSegment(segment=segment):
                self.engines.exports.add(segment.handle)
                self.commands += self.plan.on_segment(result.Ok(None), now)
            case group_planner.ReleaseKv(handle=handle):
                self.engines.exports.discard(handle)
            case group_planner.StartStream():
                self.streamed = True
                self.commands += self.plan.on_finished()
            case group_planner.WaitUntil(when=when):
                self.wake = when
            case group_planner.FailGroup(reason=reason):
                self.failure = reason


def run(drivers, choose, steps=3_000):
    """Steps the drivers in the order that `choose` gives."""
    now = 0.0
    for _ in range(steps):
        active = [d for d in drivers if not d.ended or d.commands]
        if not active:
            return
        choose(active).step(units.Instant(now))
        now += 0.05


class GroupPlannerTest(unittest.TestCase):
    """Fails if groups block each other or leak memory."""

    def test_segments_cover_the_prompt_in_order(self):
        plan = planner("g", ENGINES)
        self.assertEqual(sum(s.size for s in plan.segments), 250)
        self.assertEqual([s.offset for s in plan.segments], [0, 100, 200])

    def test_too_few_engines_fail_at_once(self):
        commands = planner("g", ENGINES[:2]).on_start(units.Instant(0.0))
        self.assertEqual(
            commands[-1].reason, group_planner.GroupFailure.TOO_FEW_ENGINES
        )

    def test_unanswered_reservation_is_released_and_fails_at_deadline(self):
        engines = FakeEngines()
        driver = Driver(
            planner("g", ENGINES, deadline=60.0), engines, {"engine-1"}
        )
        run([driver], lambda active: active[0])
        self.assertEqual(driver.failure, group_planner.GroupFailure.DEADLINE)
        self.assertFalse(engines.reservations)

    @hypothesis.settings(max_examples=50, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.permutations(ENGINES), min_size=2, max_size=4
        ),
        strategies.integers(0, 2**32),
    )
    def test_competing_groups_all_finish_and_release(self, orders, seed):
        engines = FakeEngines()
        drivers = [
            Driver(planner(f"g{index}", order, seed=index), engines)
            for index, order in enumerate(orders)
        ]
        run(drivers, random.Random(seed).choice)
        self.assertTrue(all(d.streamed for d in drivers))
        self.assertFalse(engines.reservations)
        self.assertFalse(engines.exports)
