"""Tests how daemons learn of evacuated zones, with a stand-in store."""

from __future__ import annotations

import asyncio
import unittest

import platform_case

from lavendershed.core import units
from lavendershed.forwarding import state_exchange
from lavendershed.standin import platform_store
from lavendershed.telemetry import events

ZONE = "b"
# Daemons have to know an evacuation well within its bound of 5 s.
IN_FORCE_WITHIN = units.Seconds(1.5)


def servers(daemon):
    """Returns the engines that a daemon may send new work to."""
    view = daemon.parts.components.context.view
    return len(view.servers_accepting_work(platform_case.MODEL_SERVICE))


class EvacuationDeliveryTest(platform_case.PlatformCase):
    """Guards against daemons that miss an evacuation or its end."""

    evacuation_bound = units.Seconds(5.0)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        engine = await self.add_engine("e-b", zone=ZONE)
        self.engines.append(engine)
        await self.wait_until(lambda: servers(self.daemon) == 3)

    async def test_an_evacuation_is_in_force_soon_and_ends_soon(self):
        fleet = await self.start_fleet(3)
        self.store.put("evacuations", ZONE, {})
        await self.wait_until(
            lambda: all(servers(daemon) == 2 for daemon in fleet),
            IN_FORCE_WITHIN,
        )
        for _ in range(20):
            await self.stream()
        self.assertEqual(self.engines[-1].received_requests, [])
        self.store.delete("evacuations", ZONE)
        await self.wait_until(
            lambda: all(servers(daemon) == 3 for daemon in fleet),
            IN_FORCE_WITHIN,
        )

    async def test_a_daemon_that_starts_without_the_store_asks_a_peer(self):
        """It knew nothing, and must not send to the zone."""
        self.store.put("evacuations", ZONE, {})
        await self.wait_until(lambda: servers(self.daemon) == 2)
        self.store.fault = platform_store.StoreFault.SILENT
        self.store.wake_watches()
        other = await self.start_daemon(seeds=(self.daemon.peer_address,))
        self.assertEqual(servers(other), 2)
        self.assertEqual(servers(self.daemon), 2)
        unknown = other.events(events.Event.EVACUATIONS_UNKNOWN)
        self.assertEqual(unknown, [])

    async def test_a_daemon_that_lost_the_store_learns_from_a_peer(self):
        """Its watch fails, while that of the peer goes on."""
        silent = platform_store.StandinPlatformStore(self.timers)
        await silent.start()
        silent.fault = platform_store.StoreFault.BUSY
        other = await self.start_daemon(
            seeds=(self.daemon.peer_address,), store=silent.address
        )
        self.store.put("evacuations", ZONE, {})
        await self.wait_until(
            lambda: servers(other) == 2 and servers(self.daemon) == 2,
            IN_FORCE_WITHIN,
        )
        self.store.delete("evacuations", ZONE)
        await self.wait_until(
            lambda: servers(other) == 3 and servers(self.daemon) == 3,
            IN_FORCE_WITHIN,
        )
        silent.close()

    async def test_odd_entries_evacuate_their_zones(self):
        """Only the name counts; one without a zone has no effect."""
        for name in (ZONE, "nowhere"):
            self.store.put_odd(
                "evacuations",
                name,
                b'{"metadata":{"name":"%s","revision":9,"finalizers":["x"],'
                b'"deletion_pending":true},"spec":[1,{}],"status":7}'
                % name.encode(),
            )
        await self.wait_until(lambda: servers(self.daemon) == 2)


class NoEvacuationsTest(platform_case.PlatformCase):
    """Guards against calls to the store on deployments without evacuations."""

    async def test_nothing_is_asked_for_and_nothing_is_taken(self):
        self.store.put("evacuations", "a", {})
        watchers = self.daemon.parts.components.watchers
        self.assertEqual(len(watchers), 2)
        await asyncio.sleep(0.5)
        self.assertEqual(servers(self.daemon), 2)
        view = self.daemon.parts.components.context.view
        fetched = await state_exchange.fetch_state(
            self.daemon.peer_address, view.known_state
        )
        self.assertEqual(fetched.unwrap().evacuations.zones, ())


if __name__ == "__main__":
    unittest.main()
