"""Tests for the retry budget that all daemons share."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import fleet_retry_budget

SERVICE = ids.ServiceId("s")
WINDOW = units.Seconds(10.0)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class FleetRetryBudgetTest(unittest.TestCase):
    """Fails if the daemons together exceed the retry budget."""

    def budget(self, ratio=0.2, slack=100.0):
        return fleet_retry_budget.FleetRetryBudget(
            fleet_retry_budget.FleetBudgetLimits(ratio, slack, WINDOW)
        )

    def test_requests_without_a_retry_are_forgotten_after_the_window(self):
        """Guards against memory that grows as long as nothing is retried."""
        budget = self.budget()
        for number in range(100_000):
            budget.on_request(SERVICE, at(number / 100))
        self.assertLessEqual(len(budget._requests[SERVICE]), 1_001)

    def spent(self, budget, now=0.0, tries=1_000):
        return sum(budget.try_spend(SERVICE, at(now)) for _ in range(tries))

    def test_daemons_together_stay_below_the_slack(self):
        budgets = [self.budget() for _ in range(9)]
        for budget in budgets:
            budget.set_daemon_count(9)
        self.assertLessEqual(sum(map(self.spent, budgets)), 100)

    def test_daemons_that_restart_in_turn_stay_below_the_slack(self):
        """Guards against shares that are spent again by each new process."""
        slack, step, daemons = 100.0, 0.1, 9
        limits = fleet_retry_budget.FleetBudgetLimits(0.0, slack, WINDOW)
        for restart_every in (0.4, 1.2, 3.0):
            budgets = []
            for _ in range(daemons):
                budgets.append(fleet_retry_budget.FleetRetryBudget(limits))
                budgets[-1].set_daemon_count(daemons)
            spent, next_restart = [], 5.0
            for tick in range(300):
                now = tick * step
                if now >= next_restart:
                    number = round(next_restart / restart_every) % daemons
                    # It learns of the others some reports later.
                    budgets[number] = fleet_retry_budget.FleetRetryBudget(
                        limits, at(now)
                    )
                    next_restart += restart_every
                for budget in budgets:
                    spent += [now] * self.spent(budget, now, 150)
                for budget in budgets:
                    budget.set_daemon_count(daemons)
            most = max(
                sum(start <= time < start + WINDOW for time in spent)
                for start in set(spent)
            )
            with self.subTest(restart_every=restart_every):
                self.assertLessEqual(most, slack)

    def test_budget_grows_with_the_number_of_requests(self):
        budget = self.budget(slack=0.0)
        for _ in range(100):
            budget.on_request(SERVICE, at(0.0))
        self.assertLessEqual(self.spent(budget), 20)
        self.assertGreater(self.spent(self.budget()), 0)

    def test_the_window_slides(self):
        budget = self.budget(ratio=0.0, slack=10.0)
        first = self.spent(budget, now=0.0)
        self.assertEqual(self.spent(budget, now=9.9), 0)
        self.assertEqual(self.spent(budget, now=10.1), first)

    def test_unreachable_daemons_keep_their_share(self):
        budget = self.budget()
        budget.set_daemon_count(10)
        budget.set_daemon_count(1)
        self.assertLessEqual(self.spent(budget), 10)

    def test_services_have_separate_budgets(self):
        budget = self.budget(ratio=0.0, slack=10.0)
        self.spent(budget)
        self.assertTrue(budget.try_spend(ids.ServiceId("other"), at(0.0)))

    def test_new_limits_take_effect_at_once(self):
        budget = self.budget()
        budget.set_limits(
            fleet_retry_budget.FleetBudgetLimits(0.0, 0.0, WINDOW)
        )
        self.assertFalse(budget.try_spend(SERVICE, at(0.0)))


if __name__ == "__main__":
    unittest.main()
