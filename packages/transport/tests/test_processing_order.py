"""Tests the order in which connections are processed."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import units
from lavendershed.transport import processing_order

SLICE_S = 0.01
GROUPS = 2
FLOWS = 5


class Processor(processing_order.Processor):
    """Has no input."""

    @property
    def backlog(self):
        return 0

    def process_turn(self):
        return False

    def wait_for_turn(self):
        """Nothing has come."""


class ProcessingOrderMachine(stateful.RuleBasedStateMachine):
    """Flows come and go in any order, and each serving costs some time."""

    def __init__(self):
        super().__init__()
        self.order = processing_order.ProcessingOrder()
        self.flows = [
            processing_order.Flow(group, Processor())
            for group in (self.order.create_group() for _ in range(GROUPS))
            for _ in range(FLOWS)
        ]
        # What each flow was served since it has begun to wait without a break.
        self.served = {}

    @stateful.rule(flow=strategies.integers(0, GROUPS * FLOWS - 1))
    def enqueue(self, flow):
        self.order.enqueue(self.flows[flow])
        self.served.setdefault(flow, 0.0)

    @stateful.rule(flow=strategies.integers(0, GROUPS * FLOWS - 1))
    def withdraw(self, flow):
        self.order.withdraw(self.flows[flow])
        self.served.clear()
        self.served.update(
            (n, 0.0) for n, f in enumerate(self.flows) if f.waiting
        )

    @stateful.precondition(lambda self: len(self.order))
    @stateful.rule(
        cost=strategies.floats(0.0, SLICE_S), again=strategies.booleans()
    )
    def serve(self, cost, again):
        flow = self.order.pop()
        number = self.flows.index(flow)
        self.order.charge(flow, units.Seconds(cost))
        self.served[number] += cost
        if again:
            self.order.enqueue(flow)
        else:
            # Shares are compared while the same flows wait.
            self.withdraw(number)

    @stateful.rule(
        flow=strategies.integers(0, GROUPS * FLOWS - 1),
        cost=strategies.floats(0.0, SLICE_S),
    )
    def serve_at_once(self, flow, cost):
        chosen = self.flows[flow]
        if not chosen.waiting and self.order.is_first(chosen):
            self.order.begin(chosen)
            self.order.charge(chosen, units.Seconds(cost))
            self.withdraw(flow)

    @stateful.invariant()
    def flows_that_wait_are_counted(self):
        waiting = [f for f in self.flows if f.waiting]
        assert len(self.order) == len(waiting)

    @stateful.invariant()
    def flows_of_a_group_have_equal_shares(self):
        """No flow is more than two slices ahead of another of its group."""
        for group in {id(f.group): f.group for f in self.flows}.values():
            shares = [
                self.served[number]
                for number, flow in enumerate(self.flows)
                if flow.waiting and flow.group is group
            ]
            if shares:
                spread = max(shares) - min(shares)
                assert spread <= 2 * SLICE_S + 1e-9


class ProcessingOrderTest(unittest.TestCase):
    """Guards against flows that pass others which have used less time."""

    def setUp(self):
        self.order = processing_order.ProcessingOrder()
        self.group = self.order.create_group()

    def flow(self, group=None):
        return processing_order.Flow(group or self.group, Processor())

    def test_equal_flows_are_served_in_the_order_of_arrival(self):
        flows = [self.flow() for _ in range(5)]
        for flow in flows:
            self.order.enqueue(flow)
        self.assertEqual([self.order.pop() for _ in range(6)], [*flows, None])

    def test_a_new_flow_passes_flows_that_were_served(self):
        flows = [self.flow() for _ in range(3)]
        for flow in flows:
            self.order.enqueue(flow)
        for _ in range(30):
            served = self.order.pop()
            self.order.charge(served, units.Seconds(SLICE_S))
            self.order.enqueue(served)
        new = self.flow()
        self.assertTrue(self.order.is_first(new))
        self.order.enqueue(new)
        self.assertIs(self.order.pop(), new)

    def test_a_flow_that_was_served_much_is_not_first(self):
        greedy, other = self.flow(), self.flow()
        self.order.begin(greedy)
        self.order.charge(greedy, units.Seconds(SLICE_S))
        self.order.enqueue(other)
        self.assertFalse(self.order.is_first(greedy))

    def test_idle_flows_earn_no_credit(self):
        """Guards against flows that idle and then shut out all others."""
        busy, idle = self.flow(), self.flow()
        for _ in range(100):
            self.order.charge(busy, units.Seconds(SLICE_S))
        self.order.enqueue(busy)
        self.order.enqueue(idle)
        counts = {busy: 0, idle: 0}
        for _ in range(20):
            flow = self.order.pop()
            counts[flow] += 1
            self.order.charge(flow, units.Seconds(SLICE_S))
            self.order.enqueue(flow)
        self.assertGreaterEqual(counts[busy], 9)

    def test_groups_have_equal_shares(self):
        other_group = self.order.create_group()
        for flow in [self.flow() for _ in range(50)]:
            self.order.enqueue(flow)
        self.order.enqueue(self.flow(other_group))
        served = []
        for _ in range(20):
            flow = self.order.pop()
            served.append(flow.group)
            self.order.charge(flow, units.Seconds(SLICE_S))
            self.order.enqueue(flow)
        self.assertEqual(served.count(other_group), 10)

    def test_a_suspended_process_sets_no_flow_back(self):
        suspended, other = self.flow(), self.flow()
        self.order.charge(suspended, units.Seconds(3_600.0))
        self.order.enqueue(suspended)
        for _ in range(20):
            self.order.enqueue(other)
            served = self.order.pop()
            if served is suspended:
                return
            self.order.charge(served, units.Seconds(SLICE_S))
        self.fail("the suspended flow waits for an hour of processing")

    def test_a_flow_that_left_and_came_back_is_served_once(self):
        flow = self.flow()
        self.order.enqueue(flow)
        self.order.withdraw(flow)
        self.order.enqueue(flow)
        self.assertIs(self.order.pop(), flow)
        self.assertIsNone(self.order.pop())


class ProcessingOrderStateTest(ProcessingOrderMachine.TestCase):
    """Runs the state machine."""

    settings = hypothesis.settings(max_examples=100, stateful_step_count=60)


if __name__ == "__main__":
    unittest.main()
