"""Tests what daemons do when the store comes back from an older copy.

Revisions go back then and are given out again, and what was written since the
copy is missing until its writers have written it again.
"""

from __future__ import annotations

import asyncio
import unittest

import platform_case

from lavendershed.core import units
from lavendershed.standin import platform_store

# Time from the acknowledgement of a change until it is in force.
APPLY_TIME = units.Seconds(2.0)
# Calls of one daemon in the seconds after a return of the store: two listings,
# two watches and their checks each second.
MAX_CALLS = 20
OBSERVED_S = 3.0
# Changes before the return, so that revisions don't catch up in the test.
LOST_CHANGES = 30


class StoreRestoreTest(platform_case.PlatformCase):
    """Guards against a daemon that takes a lower revision for older state."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.wait_until(lambda: self.accepting == {"e-0", "e-1"})

    @property
    def view(self):
        return self.daemon.parts.components.context.view

    @property
    def accepting(self):
        return self.accepting_of(self.daemon)

    def accepting_of(self, daemon):
        view = daemon.parts.components.context.view
        return {
            entry.id
            for entry in view.directory.servers_accepting_work(
                platform_case.MODEL_SERVICE
            )
        }

    async def change(self, count):
        """Makes changes that the daemon sees."""
        for seq in range(count):
            self.register_server(self.plain_servers[0], "ledger", seq=seq + 2)
        revision = self.store.revision
        await self.wait_until(
            lambda: self.view.directory.revision.number == revision
        )

    async def test_the_store_is_not_asked_in_a_loop(self):
        """The loop had no delay and ended when revisions had caught up."""
        copy = self.store.copy()
        await self.change(LOST_CHANGES)
        self.store.put("config", "main", platform_case.configuration(2))
        await self.wait_until(lambda: self.view.version == 2)
        self.store.restore(copy)
        calls = self.store.calls
        await asyncio.sleep(OBSERVED_S)
        self.assertLessEqual(self.store.calls - calls, MAX_CALLS)

    async def test_changes_with_lower_revisions_take_effect(self):
        copy = self.store.copy()
        await self.change(LOST_CHANGES)
        self.store.put("config", "main", platform_case.configuration(2))
        await self.wait_until(lambda: self.view.version == 2)
        self.store.restore(copy)
        self.store.put("config", "main", platform_case.configuration(3))
        self.register_server(self.engines[1], state="draining")
        await self.wait_until(
            lambda: self.view.version == 3 and self.accepting == {"e-0"},
            APPLY_TIME,
        )

    async def test_changes_under_revisions_given_out_again_are_not_missed(
        self,
    ):
        """The revisions catch up while the daemon doesn't reach the store."""
        copy = self.store.copy()
        await self.change(LOST_CHANGES)
        self.store.fault = platform_store.StoreFault.BUSY
        self.store.wake_watches()
        await asyncio.sleep(0.1)
        self.store.restore(copy)
        self.register_server(self.engines[1], state="draining")
        for seq in range(LOST_CHANGES):
            self.register_server(self.plain_servers[1], "ledger", seq=seq + 50)
        self.store.fault = platform_store.StoreFault.NONE
        await self.wait_until(lambda: self.accepting == {"e-0"}, APPLY_TIME)

    async def test_a_server_that_had_left_is_not_used_again(self):
        copy = self.store.copy()
        self.store.delete("servers", "e-1")
        await self.wait_until(lambda: self.accepting == {"e-0"})
        self.store.restore(copy)
        ends_at = self.timers.now() + APPLY_TIME
        while self.timers.now() < ends_at:
            self.assertEqual(self.accepting, {"e-0"})
            await asyncio.sleep(0.02)

    async def test_a_server_that_was_leaving_is_not_used_again(self):
        copy = self.store.copy()
        self.register_server(self.engines[1], state="draining")
        await self.wait_until(lambda: self.accepting == {"e-0"})
        self.store.restore(copy)
        ends_at = self.timers.now() + APPLY_TIME
        while self.timers.now() < ends_at:
            self.assertEqual(self.accepting, {"e-0"})
            await asyncio.sleep(0.02)

    async def test_a_server_that_the_copy_lacks_stays_in_use(self):
        """It writes its entry again within about two seconds."""
        copy = self.store.copy()
        self.engines.append(await self.add_engine("e-2"))
        await self.wait_until(lambda: "e-2" in self.accepting)
        self.store.restore(copy)
        ends_at = self.timers.now() + APPLY_TIME
        while self.timers.now() < ends_at - 0.5:
            self.assertIn("e-2", self.accepting)
            await asyncio.sleep(0.02)
        self.register_server(self.engines[2])
        await asyncio.sleep(1.0)
        self.assertIn("e-2", self.accepting)

    async def test_the_configuration_in_force_does_not_go_back(self):
        copy = self.store.copy()
        self.store.put(
            "config", "main", platform_case.configuration(2, api_keys=("new",))
        )
        await self.wait_until(lambda: self.view.version == 2)
        self.store.restore(copy)
        await asyncio.sleep(APPLY_TIME)
        self.assertEqual(self.view.version, 2)
        response = await self.request("/safe/x", key=platform_case.KEY)
        self.assertEqual(response.head.status, 401)

    async def test_a_daemon_that_starts_in_the_gap_prefers_its_peers(self):
        """The copy still has a withdrawn key and a server that has left."""
        copy = self.store.copy()
        self.store.put(
            "config", "main", platform_case.configuration(2, api_keys=("new",))
        )
        self.store.delete("servers", "e-1")
        await self.wait_until(
            lambda: self.view.version == 2 and self.accepting == {"e-0"}
        )
        self.store.restore(copy)
        started = await self.start_daemon((self.daemon.peer_address,))
        response = await self.request(
            "/safe/x", address=started.caller_address, key=platform_case.KEY
        )
        self.assertEqual(response.head.status, 401)
        self.assertEqual(self.accepting_of(started), {"e-0"})

    async def test_peers_of_both_eras_converge(self):
        """One daemon is cut off from the store while the other one isn't."""
        copy = self.store.copy()
        await self.change(LOST_CHANGES)
        cut = await self.start_daemon((self.daemon.peer_address,))
        await self.wait_until(
            lambda: all(
                daemon.parts.peers.fleet_size == 2
                for daemon in (cut, self.daemon)
            )
        )
        self.cut_off(cut)
        self.store.restore(copy)
        self.register_server(self.engines[1], state="draining")
        await self.wait_until(
            lambda: (
                self.accepting == {"e-0"} and self.accepting_of(cut) == {"e-0"}
            )
        )

    def cut_off(self, daemon):
        """Lets all further calls of a daemon to the store fail."""
        for watcher in daemon.parts.components.watchers:
            watcher._source._path = "/cut-off"


if __name__ == "__main__":
    unittest.main()
