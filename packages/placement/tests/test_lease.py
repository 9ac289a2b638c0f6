"""Guards against two daemons that hold a lease at the same time."""

from __future__ import annotations

import unittest

import hypothesis
import lease_simulation

from lavendershed.core import states

lease_simulation.LeaseSimulation.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
LeaseSimulationTest = lease_simulation.LeaseSimulation.TestCase


class LeaseCaseTest(unittest.TestCase):
    """Guards against overlapping holders and needless waits."""

    def setUp(self):
        self.simulation = lease_simulation.LeaseSimulation()

    def acquire_lease(self, daemon=0):
        while (
            self.simulation.leases[daemon].usable_fencing_number(
                self.simulation.now, True
            )
            is None
        ):
            self.simulation.call_store_now(daemon, True, "none")
            self.simulation.advance_time(0.5)
        return self.simulation.leases[daemon]

    def test_the_holder_stops_before_an_observer_may_take_over(self):
        lease = self.acquire_lease()
        limits = lease_simulation.LIMITS
        self.simulation.advance_time(limits.duration - limits.safety_margin)
        self.assertIsNone(
            lease.usable_fencing_number(self.simulation.now, True)
        )
        self.assertIs(
            lease.state(self.simulation.now), states.LeaseState.EXPIRING
        )

    def test_a_renewal_counts_from_before_it_was_sent(self):
        for fault in ("none", "lost"):
            with self.subTest(fault=fault):
                self.setUp()
                first = self.acquire_lease()
                self.simulation.advance_time(
                    lease_simulation.LIMITS.renew_interval
                )
                self.simulation.call(0, True, fault)
                if fault == "lost":
                    # The outcome of the renewal is read back.
                    self.simulation.deliver_response(0)
                    self.simulation.call(0, True, "none")
                self.simulation.call_store_now(1, True, "none")
                self.simulation.advance_time(lease_simulation.LIMITS.duration)
                self.simulation.call_store_now(1, True, "none")
                # The first response arrives after the takeover.
                self.simulation.deliver_response(0)
                self.assertIsNotNone(
                    self.simulation.leases[1].usable_fencing_number(
                        self.simulation.now, True
                    )
                )
                self.assertIsNone(
                    first.usable_fencing_number(self.simulation.now, True)
                )

    def test_a_paused_holder_loses_the_lease_to_the_observer(self):
        first = self.acquire_lease()
        self.acquire_lease(daemon=1)
        self.assertIsNone(
            first.usable_fencing_number(self.simulation.now, True)
        )
        self.simulation.call_store_now(0, True, "none")
        self.simulation.call_store_now(0, True, "none")
        self.assertIs(first.state(self.simulation.now), states.LeaseState.LOST)

    def test_a_new_holder_waits_for_late_orders_without_fencing(self):
        lease = self.acquire_lease()
        self.assertIsNone(
            lease.usable_fencing_number(self.simulation.now, False)
        )
        for _ in range(int(lease_simulation.LIMITS.max_order_delay)):
            self.simulation.call_store_now(0, True, "none")
            self.simulation.advance_time(1.0)
        self.assertIsNotNone(
            lease.usable_fencing_number(self.simulation.now, False)
        )

    def test_a_released_lease_is_acquired_without_a_wait(self):
        self.acquire_lease()
        self.simulation.call_store_now(0, False, "none")
        start = self.simulation.now
        self.acquire_lease(daemon=1)
        self.assertLess(
            self.simulation.now - start, lease_simulation.LIMITS.duration
        )


if __name__ == "__main__":
    unittest.main()
