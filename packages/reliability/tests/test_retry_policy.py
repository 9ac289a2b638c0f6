"""Tests for the retry policy and the retry budget."""

from __future__ import annotations

import random
import unittest

from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.reliability import retry_budget
from lavendershed.reliability import retry_policy

NOW = units.Instant(1_000.0)
DISTANT_DEADLINE = deadlines.Deadline(units.Instant(2_000.0))
ENGINE = ids.BackendServerId("engine-1")
OLD_INCARNATION = ids.Incarnation(1)
LOST = backend_servers.BackendError(
    backend_servers.BackendErrorKind.CONNECTION_LOST, True, "lost"
)


def failed(execution=states.Execution.UNKNOWN, dead=False):
    """Returns a failed attempt on the engine's old incarnation."""
    return retry_policy.FailedAttempt(
        ENGINE, OLD_INCARNATION, LOST, execution, dead
    )


def policy(limits=None, seed=1):
    """Returns a policy with its own budget."""
    budget = retry_budget.RetryBudget(limits or retry_budget.BudgetLimits())
    return retry_policy.RetryPolicy(
        retry_policy.RetryLimits(), budget, random.Random(seed)
    )


class RetryPolicyTest(unittest.TestCase):
    """Fails if a retry is unsafe, exceeds the deadline or amplifies load."""

    def test_non_idempotent_call_is_retried_only_if_not_run(self):
        for execution in states.Execution:
            decision = policy().on_attempt_failed(
                [failed(execution)], DISTANT_DEADLINE, False, NOW
            )
            with self.subTest(execution=execution):
                self.assertEqual(
                    isinstance(decision, retry_policy.Retry),
                    execution is states.Execution.NOT_RUN,
                )

    def test_execution_status_covers_earlier_attempts(self):
        attempts = [failed(), failed(states.Execution.NOT_RUN)]
        decision = policy().on_attempt_failed(
            attempts, DISTANT_DEADLINE, False, NOW
        )
        self.assertIsInstance(decision, retry_policy.FailRequest)
        self.assertIs(decision.failure.execution, states.Execution.UNKNOWN)

    def test_delay_is_jittered_within_the_exponential_bound(self):
        delays = []
        for seed in range(200):
            retry = policy(seed=seed).on_attempt_failed(
                [failed()] * 3, DISTANT_DEADLINE, True, NOW
            )
            delays.append(retry.retry_at - NOW)
        self.assertTrue(all(0 <= delay <= 0.2 for delay in delays))
        self.assertLess(min(delays), 0.02)
        self.assertGreater(max(delays), 0.18)

    def test_no_retry_past_the_deadline(self):
        deadline = deadlines.Deadline(NOW)
        decision = policy().on_attempt_failed([failed()], deadline, True, NOW)
        self.assertIs(
            decision.failure.reason, states.FailureReason.DEADLINE_EXCEEDED
        )

    def test_dead_incarnation_is_avoided_until_a_new_one_is_seen(self):
        attempts = [failed(dead=True)]
        for seen, avoided in (({}, True), ({ENGINE: OLD_INCARNATION}, True)):
            dead = retry_policy.dead_engines(attempts, seen)
            self.assertEqual(ENGINE in dead, avoided)
        restarted = {ENGINE: ids.Incarnation(2)}
        self.assertFalse(retry_policy.dead_engines(attempts, restarted))

    def test_budget_is_a_share_of_recent_requests(self):
        limits = retry_budget.BudgetLimits(min_retries=2)
        budget = retry_budget.RetryBudget(limits)
        for _ in range(100):
            budget.on_request(NOW)
        granted = sum(budget.try_spend(NOW) for _ in range(50))
        self.assertEqual(granted, 10)
        later = units.after(NOW, units.Seconds(61.0))
        self.assertEqual(sum(budget.try_spend(later) for _ in range(50)), 2)


if __name__ == "__main__":
    unittest.main()
