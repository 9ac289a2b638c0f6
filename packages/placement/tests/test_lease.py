"""Guards leases against two holders that act at the same time."""

from __future__ import annotations

import unittest

import hypothesis
import lease_world

from lavendershed.core import states

lease_world.LeaseWorld.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
LeaseWorldTest = lease_world.LeaseWorld.TestCase


class LeaseCaseTest(unittest.TestCase):
    """Guards the times that a holder and its successor keep."""

    def setUp(self):
        self.world = lease_world.LeaseWorld()

    def hold(self, daemon=0):
        while self.world.leases[daemon].may_act(self.world.now, True) is None:
            self.world.work(daemon, True, "none")
            self.world.pause(0.5)
        return self.world.leases[daemon]

    def test_the_holder_stops_before_an_observer_may_take_over(self):
        lease = self.hold()
        limits = lease_world.LIMITS
        self.world.pause(limits.duration - limits.margin)
        self.assertIsNone(lease.may_act(self.world.now, True))
        self.assertIs(lease.state(self.world.now), states.LeaseState.EXPIRING)

    def test_a_renewal_counts_from_before_it_was_sent(self):
        for fault in ("none", "lost"):
            with self.subTest(fault=fault):
                self.setUp()
                first = self.hold()
                self.world.pause(lease_world.LIMITS.renew_after)
                self.world.call(0, True, fault)
                if fault == "lost":
                    # The renewal's fate is read back.
                    self.world.answer(0)
                    self.world.call(0, True, "none")
                self.world.work(1, True, "none")
                self.world.pause(lease_world.LIMITS.duration)
                self.world.work(1, True, "none")
                # The holder's answer comes after the observer's takeover.
                self.world.answer(0)
                self.assertIsNotNone(
                    self.world.leases[1].may_act(self.world.now, True)
                )
                self.assertIsNone(first.may_act(self.world.now, True))

    def test_a_paused_holder_loses_the_lease_to_the_observer(self):
        first = self.hold()
        self.hold(daemon=1)
        self.assertIsNone(first.may_act(self.world.now, True))
        self.world.work(0, True, "none")
        self.world.work(0, True, "none")
        self.assertIs(first.state(self.world.now), states.LeaseState.LOST)

    def test_a_new_holder_waits_for_late_orders_where_numbers_are_ignored(self):
        lease = self.hold()
        self.assertIsNone(lease.may_act(self.world.now, False))
        for _ in range(int(lease_world.LIMITS.order_time)):
            self.world.work(0, True, "none")
            self.world.pause(1.0)
        self.assertIsNotNone(lease.may_act(self.world.now, False))

    def test_a_released_lease_is_taken_without_a_wait(self):
        self.hold()
        self.world.work(0, False, "none")
        start = self.world.now
        self.hold(daemon=1)
        self.assertLess(self.world.now - start, lease_world.LIMITS.duration)


if __name__ == "__main__":
    unittest.main()
