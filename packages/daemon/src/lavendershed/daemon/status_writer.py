"""Publication of the daemon's status object in the store."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import result

from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import backend_servers
from lavendershed.core import backoff
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.objects import status as status_module
from lavendershed.transport import event_loop_timers

# Write rate of all daemons together after a configuration change. The store
# handles several hundred writes per second, and bookings have priority.
_FLEET_WRITES_PER_SECOND = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """Fields of the status that don't depend on the configuration."""

    owner: backend_servers.Owner
    availability_zone: ids.AvailabilityZoneId
    address: str


class StatusWriter(background.BackgroundTask):
    """Writes the epoch in force after the start and after each change."""

    def __init__(
        self,
        store: object_store.ObjectStore,
        state: state_module.ConfigurationState,
        members: cluster.MembershipView,
        identity: DaemonIdentity,
        timer_service: timers.TimerService,
        generator: random.Random,
    ) -> None:
        self._store = store
        self._state = state
        self._members = members
        self._identity = identity
        self._timers = timer_service
        self._random = generator
        self._key = status_module.status_key(identity.owner.vm)
        self._changed = asyncio.Event()
        self._condition: object_store.Condition = object_store.IfAbsent()

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Schedules a write after a configuration change."""
        self._changed.set()

    async def run(self) -> None:
        """Writes the status after each change until cancelled.

        Changes in quick succession share one write.
        """
        retry_backoff = backoff.Backoff(
            self._random,
            backoff.BackoffLimits(units.Seconds(0.5), units.Seconds(30.0)),
        )
        while True:
            await self._changed.wait()
            max_delay = len(self._members.live) / _FLEET_WRITES_PER_SECOND
            await self._sleep(self._random.uniform(0, max_delay))
            self._changed.clear()
            error = await self._write()
            if error is None:
                retry_backoff.reset()
                continue
            self._changed.set()
            await self._sleep(
                max(retry_backoff.next_delay(), error.retry_after or 0)
            )

    async def release(self) -> None:
        """Deletes the status object at a graceful stop."""
        if isinstance(self._condition, object_store.IfVersion):
            await self._store.delete(self._key, self._condition.version)

    async def _write(self) -> object_store.StoreError | None:
        written = await self._store.put(
            self._key,
            status_module.DAEMON_STATUS_CODEC.encode(self._current_status()),
            self._condition,
        )
        if isinstance(written, result.Ok):
            self._condition = object_store.IfVersion(written.ok_value)
            return None
        if written.err_value.kind in (
            object_store.StoreErrorKind.CONFLICT,
            object_store.StoreErrorKind.AMBIGUOUS,
        ):
            await self._read_version()
        return written.err_value

    async def _read_version(self) -> None:
        # An earlier process of this VM wrote the object, or this process did in
        # a write whose response was lost.
        stored = await self._store.get(self._key)
        if isinstance(stored, result.Ok):
            self._condition = object_store.IfVersion(stored.ok_value.version)
        elif stored.err_value.kind is object_store.StoreErrorKind.ABSENT:
            self._condition = object_store.IfAbsent()

    def _current_status(self) -> status_module.DaemonStatus:
        configuration = self._state.current
        return status_module.DaemonStatus(
            self._identity.owner.vm,
            self._identity.owner.incarnation,
            self._identity.availability_zone,
            self._identity.address,
            configuration.epoch,
            configuration.active_preset,
        )

    async def _sleep(self, duration: float) -> None:
        await event_loop_timers.sleep(self._timers, units.Seconds(duration))
