"""Object store client with a call budget."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import result

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.objects import call_budget

T = TypeVar("T")

# Delay after a throttled call without a Retry-After header.
_DEFAULT_THROTTLE_DELAY = units.Seconds(1.0)


class BudgetedObjectStore(object_store.ObjectStore):
    """Rejects calls that exceed the budget.

    The instances of all call classes share one budget. A watch counts as one
    call.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        budget: call_budget.CallBudget,
        call_class: call_budget.CallClass,
        timer_service: timers.TimerService,
    ) -> None:
        self._store = store
        self._budget = budget
        self._call_class = call_class
        self._timers = timer_service

    async def get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        """Reads one object."""
        return await self._call_within_budget(lambda: self._store.get(key))

    async def put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        """Writes one object if `condition` holds; returns its new version."""
        return await self._call_within_budget(
            lambda: self._store.put(key, value, condition)
        )

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> result.Result[None, object_store.StoreError]:
        """Deletes one object if it has exactly this version."""
        return await self._call_within_budget(
            lambda: self._store.delete(key, version)
        )

    async def list(
        self, prefix: str, after: ids.ObjectKey | None = None
    ) -> result.Result[
        tuple[object_store.StoredObject, ...], object_store.StoreError
    ]:
        """Reads one page of objects in key order, after the key `after`."""
        return await self._call_within_budget(
            lambda: self._store.list(prefix, after)
        )

    async def watch(
        self, prefix: str, since: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[object_store.WatchBatch, object_store.StoreError]:
        """Waits up to `timeout` seconds for changes after version `since`."""
        return await self._call_within_budget(
            lambda: self._store.watch(prefix, since, timeout)
        )

    async def list_vms(
        self,
    ) -> result.Result[object_store.VmList, object_store.StoreError]:
        """Reads the list of live and leaving VMs, which may be outdated."""
        return await self._call_within_budget(self._store.list_vms)

    async def _call_within_budget(
        self,
        call: Callable[
            [], Awaitable[result.Result[T, object_store.StoreError]]
        ],
    ) -> result.Result[T, object_store.StoreError]:
        allowed = self._budget.try_acquire(self._call_class, self._timers.now())
        if isinstance(allowed, result.Err):
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.OVER_BUDGET,
                    f"the budget of {self._call_class.value} calls to the "
                    "object store is used up",
                    allowed.err_value,
                )
            )
        outcome = await call()
        if isinstance(outcome, result.Err):
            self._on_error(outcome.err_value)
        return outcome

    def _on_error(self, error: object_store.StoreError) -> None:
        now = self._timers.now()
        match error.kind:
            case object_store.StoreErrorKind.THROTTLED:
                self._budget.on_throttled(
                    error.retry_after or _DEFAULT_THROTTLE_DELAY, now
                )
            case (
                object_store.StoreErrorKind.UNAVAILABLE
                | object_store.StoreErrorKind.AMBIGUOUS
            ):
                self._budget.on_unavailable(now)
