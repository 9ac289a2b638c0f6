"""Reclamation of orphaned engine memory.

Memory is orphaned if its owner is dead or no longer has it in its ledger.
"""

from __future__ import annotations

import asyncio
import itertools

import result

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import rendezvous
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import allocation_manager
from lavendershed.daemon import backend_directory
from lavendershed.daemon import background
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import reclamation
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

ROUND_INTERVAL = units.Seconds(2.0)
# Rendezvous hashing of the responsible daemon takes one hash per engine and
# daemon. A round over all of 10,000 engines with 730 daemons would block the
# event loop for seconds.
_ENGINES_PER_ROUND = 32


class MemoryReclaimer(background.BackgroundTask):
    """Checks engines in turn and releases orphaned allocations.

    Each engine is assigned to one live daemon, which releases the allocations
    of dead owners there. In addition, each daemon releases its own orphaned
    allocations on all engines.
    """

    def __init__(
        self,
        owner: backend_servers.Owner,
        ledger: memory_ledger.MemoryLedger,
        members: cluster.MembershipView,
        directory: backend_directory.BackendDirectory,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        interval: units.Seconds = ROUND_INTERVAL,
    ) -> None:
        self._owner = owner
        self._orphan_detector = reclamation.OrphanDetector(owner, ledger)
        self._members = members
        self._directory = directory
        self._timers = timer_service
        self._log = event_log
        self._interval = interval
        self._next_index = 0
        self._reclaimed_count = 0

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        while True:
            await event_loop_timers.sleep(self._timers, self._interval)
            await self.run_round()

    def status(self) -> dict[str, object]:
        """Returns the number of reclaimed allocations."""
        return {"allocations_reclaimed": self._reclaimed_count}

    async def run_round(self) -> None:
        """Checks the next engines."""
        names = self._directory.engine_names
        count = min(len(names), _ENGINES_PER_ROUND)
        start = self._next_index % max(1, len(names))
        self._next_index = start + count
        round_engines = itertools.islice(
            itertools.cycle(names), start, start + count
        )
        await asyncio.gather(
            *(self._check_engine(name) for name in round_engines)
        )

    async def _check_engine(self, name: ids.BackendServerId) -> None:
        client = self._directory.engine(name)
        if client is None:
            return
        live = self._members.live
        is_responsible = rendezvous.owner(live, name) == self._owner.vm
        allocations = await client.list_allocations(
            None if is_responsible else self._owner
        )
        if isinstance(allocations, result.Err):
            self._orphan_detector.on_engine_skipped(name)
            return
        release_commands = self._orphan_detector.on_allocation_list(
            name,
            [
                allocation
                for allocation in allocations.ok_value
                if is_responsible or allocation.owner == self._owner
            ],
            self._members.incarnation_state,
        )
        for command in release_commands:
            await self._release(client, command.key)

    async def _release(
        self,
        client: backend_servers.ModelEngine,
        key: memory_ledger.AllocationKey,
    ) -> None:
        # An unconfirmed release is repeated in the next round, because the
        # engine still lists the allocation.
        released = await allocation_manager.release_allocation(client, key)
        if isinstance(released, result.Err):
            return
        self._reclaimed_count += 1
        self._log.emit(
            events.Event.ALLOCATION_RECLAIMED,
            engine=key.engine,
            kind=key.kind.value,
            allocation=key.allocation_id,
        )
