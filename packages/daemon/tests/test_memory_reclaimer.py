"""Tests the reclamation of orphaned engine memory."""

from __future__ import annotations

import generation_fixture

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.daemon import memory_reclaimer

DEAD = backend_servers.Owner(ids.VmId("vm-2"), ids.Incarnation(1))
ALIVE = backend_servers.Owner(ids.VmId("vm-3"), ids.Incarnation(1))


class Members(cluster.MembershipView):
    """A membership view that a test controls."""

    def __init__(self):
        self.live_vms = (generation_fixture.OWNER.vm,)
        self.dead = {DEAD}

    @property
    def live(self):
        """Live daemons."""
        return self.live_vms

    def incarnation_state(self, owner):
        """Returns dead for the owners in `dead`."""
        if owner in self.dead:
            return states.MemberState.DEAD
        return states.MemberState.ALIVE


class MemoryReclaimerTest(generation_fixture.GenerationTestCase):
    """Fails if memory of a dead owner leaks or that of a live one is freed."""

    async def asyncSetUp(self):
        await self.start(1)
        self.client = self.clients[self.names[0]]
        self.members = Members()
        self.reclaimer = memory_reclaimer.MemoryReclaimer(
            generation_fixture.OWNER,
            self.ledger,
            self.members,
            self.directory,
            self.timers,
            self.log,
        )

    async def reserve(self, owner):
        await self.client.create_reservation(
            ids.ReservationId(owner.vm),
            owner,
            units.Bytes(10),
            units.Seconds(60.0),
        )

    async def owners(self):
        allocations = (await self.client.list_allocations(None)).unwrap()
        return {allocation.owner for allocation in allocations}

    async def test_dead_owner_is_reclaimed_in_the_second_round(self):
        await self.reserve(DEAD)
        await self.reserve(ALIVE)
        await self.reclaimer.run_round()
        self.assertEqual(await self.owners(), {DEAD, ALIVE})
        await self.reclaimer.run_round()
        self.assertEqual(await self.owners(), {ALIVE})

    async def test_only_the_responsible_daemon_reclaims(self):
        self.members.live_vms = (ALIVE.vm,)
        await self.reserve(DEAD)
        await self.reserve(generation_fixture.OWNER)
        for _ in range(3):
            await self.reclaimer.run_round()
        # Each daemon releases its own orphaned allocations.
        self.assertEqual(await self.owners(), {DEAD})

    async def test_engine_that_ignores_the_owner_filter_is_not_trusted(
        self,
    ):
        self.members.live_vms = (ALIVE.vm,)
        await self.reserve(DEAD)
        requested_owners = []
        list_allocations = self.client.list_allocations

        async def all_allocations(owner):
            requested_owners.append(owner)
            return await list_allocations(None)

        self.client.list_allocations = all_allocations
        for _ in range(3):
            await self.reclaimer.run_round()
        self.client.list_allocations = list_allocations
        self.assertEqual(await self.owners(), {DEAD})
        self.assertEqual(requested_owners, [generation_fixture.OWNER] * 3)
