"""Guards the object store against calls beyond the budget."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.objects import budgeted_store
from lavendershed.objects import call_budget
from lavendershed.standin import memory_store

KEY = ids.ObjectKey("a")
LIMITS = call_budget.BudgetLimits(1.0, 4.0, 0.5)


class BudgetedStoreTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a call beyond the budget reaches the store."""

    def setUp(self):
        self.timers = timers.VirtualTimerService()
        self.inner = memory_store.MemoryObjectStore()
        budget = call_budget.CallBudget(LIMITS, self.timers.now())
        self.background, self.booking = (
            budgeted_store.BudgetedObjectStore(
                self.inner, budget, call_class, self.timers
            )
            for call_class in call_budget.CallClass
        )

    async def test_calls_over_the_budget_do_not_reach_the_store(self):
        await self.background.put(KEY, b"1", object_store.IfAbsent())
        # A watch counts as one call.
        await self.background.watch("a", ids.ObjectVersion(0), units.Seconds(1))
        outcome = await self.background.get(KEY)
        self.assertEqual(
            outcome.err_value.kind, object_store.StoreErrorKind.OVER_BUDGET
        )
        self.assertGreater(outcome.err_value.retry_after, 0)
        self.assertEqual(len(self.inner.calls), 2)
        self.assertTrue((await self.booking.get(KEY)).is_ok())

    async def test_no_burst_after_an_outage(self):
        self.inner.set_unavailable(True)
        await self.background.get(KEY)
        self.inner.set_unavailable(False)
        outcome = await self.background.get(KEY)
        self.assertEqual(
            outcome.err_value.kind, object_store.StoreErrorKind.OVER_BUDGET
        )
        self.timers.advance(units.Seconds(1.0))
        outcome = await self.background.get(KEY)
        self.assertEqual(
            outcome.err_value.kind, object_store.StoreErrorKind.ABSENT
        )


if __name__ == "__main__":
    unittest.main()
