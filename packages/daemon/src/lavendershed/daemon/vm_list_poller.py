"""Polling of the platform's list of VMs."""

from __future__ import annotations

from collections.abc import Callable
import random

import result

from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import rendezvous
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

VmListListener = Callable[[object_store.VmList], None]

_FREQUENT_INTERVAL = units.Seconds(2.0)
# Number of daemons that poll frequently and notify the others through records.
# This bounds the store calls in large deployments; daemons of a small one all
# poll. The others poll rarely, to confirm that members are dead.
_FREQUENT_POLLERS = 9
_RARE_INTERVAL = units.Seconds(60.0)
_RENDEZVOUS_KEY = "vm-list"


class VmListPoller(background.BackgroundTask):
    """Polls the VM list and passes it to listeners."""

    def __init__(
        self,
        vm: ids.VmId,
        store: object_store.ObjectStore,
        members: cluster.MembershipView,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
        listeners: tuple[VmListListener, ...],
    ) -> None:
        self._vm = vm
        self._store = store
        self._members = members
        self._timers = timer_service
        self._log = event_log
        self._random = generator
        self._listeners = listeners
        self._store_failing = False

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self._poll()
            await event_loop_timers.sleep(self._timers, self._next_delay())

    async def _poll(self) -> None:
        vms = await self._store.list_vms()
        if isinstance(vms, result.Ok):
            self._store_failing = False
            for listener in self._listeners:
                listener(vms.ok_value)
            return
        if not self._store_failing:
            self._store_failing = True
            self._log.emit(
                events.Event.STORE_CALL_FAILED,
                kind=vms.err_value.kind.value,
                detail=vms.err_value.detail,
            )

    def _next_delay(self) -> units.Seconds:
        pollers = rendezvous.ranked(
            self._members.live, _RENDEZVOUS_KEY, _FREQUENT_POLLERS
        )
        interval = _FREQUENT_INTERVAL if self._vm in pollers else _RARE_INTERVAL
        return units.Seconds(interval * self._random.uniform(0.75, 1.25))
