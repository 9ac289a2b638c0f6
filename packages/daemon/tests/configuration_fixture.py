"""Simulation of a configuration store and daemons on a virtual clock."""

from __future__ import annotations

import asyncio
import random

from lavendershed.configuration import changes
from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.configuration import writer as writer_module
from lavendershed.core import backend_servers
from lavendershed.core import backoff
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import configuration_sync
from lavendershed.objects import configuration_store
from lavendershed.standin import memory_store
from lavendershed.telemetry import log

ZONES = 18
_STEP_S = 0.25


class Members(cluster.MembershipView):
    """A number of live daemons, distributed over zones."""

    def __init__(self, count):
        self._live = tuple(ids.VmId(f"vm-{n:03}") for n in range(count))

    @property
    def live(self):
        return self._live

    def live_in_zone(self, availability_zone):
        number = int(availability_zone.removeprefix("zone-"))
        return self._live[number::ZONES]

    def incarnation_state(self, owner):
        return states.MemberState.ALIVE


class Daemon:
    """The configuration components of one daemon."""

    def __init__(self, store, timer_service, members=None, number=0):
        self.vm = ids.VmId(f"vm-{number:03}")
        self.state = state_module.ConfigurationState()
        self.log = log.MemoryEventLog()
        self.epochs = []
        self.sync = configuration_sync.ConfigurationSync(
            store,
            self.state,
            members or Members(1),
            timer_service,
            self.log,
            random.Random(number),
            configuration_sync.SyncOptions(
                self.vm,
                ids.AvailabilityZoneId(f"zone-{number % ZONES}"),
                units.Seconds(2.0),
            ),
        )
        self.sync.add_listener(lambda old, new: self.epochs.append(new.epoch))

    def events(self, event):
        """Returns the fields of all logged events of one kind."""
        return [fields for kind, fields in self.log.records if kind is event]


class ConfigurationSimulation:
    """A virtual clock, a store and an operator's changes."""

    def __init__(self):
        self.timers = timers.VirtualTimerService()
        self.store = memory_store.MemoryObjectStore()
        self._change_count = 0

    async def run_until_idle(self):
        """Runs tasks until all of them wait for time or a change."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def advance(self, duration):
        """Advances the virtual clock in small steps."""
        for _ in range(round(duration / _STEP_S)):
            self.timers.advance(units.Seconds(_STEP_S))
            await self.run_until_idle()

    async def change(self, change):
        """Writes one change; returns its epoch."""
        self._change_count += 1
        writer = writer_module.ChangeWriter(
            change,
            writer_module.ChangeMetadata(
                ids.ChangeId(f"change-{self._change_count}"), "operator"
            ),
            configuration_store.JsonChunkHasher(),
            backoff.Backoff(random.Random(0)),
            units.Instant(1e9),
        )
        outcome = await configuration_store.ChangeRunner(
            configuration_store.ConfigurationStore(self.store), self.timers
        ).run(writer)
        return outcome.unwrap().epoch

    async def create_presets(self):
        """Creates the presets `ordinary` and `peak`, as epochs 1 and 2."""
        for name in ("ordinary", "peak"):
            preset = model.Preset(ids.PresetName(name))
            await self.change(changes.CreateEntity(preset))

    async def activate(self, name):
        """Activates a preset; returns the epoch of the change."""
        return await self.change(changes.ActivatePreset(ids.PresetName(name)))


OWNER = backend_servers.Owner(ids.VmId("vm-000"), ids.Incarnation(1))
