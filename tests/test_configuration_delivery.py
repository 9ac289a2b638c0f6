"""Tests that changes reach all daemons in time, whatever happens to a path.

Guards against a request that is handled by an older configuration, or sent to a
server that has left, two seconds after the store has acknowledged the change.
"""

from __future__ import annotations

import unittest

import platform_case

from lavendershed.core import units
from lavendershed.standin import fault_proxy
from lavendershed.telemetry import events

# Time from the acknowledgement of a change until it is in force everywhere.
APPLY_TIME = units.Seconds(2.0)
DAEMONS = 3
# Each of these versions is nearly as large as an object may be, so that all of
# them exceed what a daemon reads as one response.
LARGE_VERSIONS = 24
LARGE_ROUTES = 3_000


class ConfigurationDeliveryTest(platform_case.PlatformCase):
    """Starts daemons that reach the store through one proxy."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.proxy = fault_proxy.FaultProxy(self.store.address)
        await self.proxy.start()
        self.fleet = []
        for _ in range(DAEMONS):
            seeds = tuple(daemon.peer_address for daemon in self.fleet[:1])
            self.fleet.append(
                await self.start_daemon(seeds, store=self.proxy.address)
            )
        await self.wait_until(
            lambda: all(
                daemon.parts.peers.fleet_size == DAEMONS
                for daemon in self.fleet
            )
        )

    async def asyncTearDown(self):
        await self.proxy.stop()
        await super().asyncTearDown()

    @property
    def views(self):
        return [daemon.parts.components.context.view for daemon in self.fleet]

    async def wait_for_version(self, version):
        await self.wait_until(
            lambda: all(view.version == version for view in self.views),
            APPLY_TIME,
        )

    async def test_a_change_arrives_while_all_watches_are_silent(self):
        """All open connections to the store fall silent; new ones work."""
        self.proxy.blackhole_established()
        self.store.put("config", "main", platform_case.configuration(2))
        await self.wait_for_version(2)

    async def test_a_leaving_server_is_known_while_all_watches_are_silent(self):
        """Guards against the same loss of changes of the server list."""
        self.proxy.blackhole_established()
        self.register_server(self.engines[0], state="draining")
        await self.wait_until(
            lambda: all(
                len(view.directory.servers_accepting_work("model")) == 1
                for view in self.views
            ),
            APPLY_TIME,
        )

    async def test_a_change_arrives_when_responses_of_the_store_stop(self):
        """A response stops after its head, and its connection stays open."""
        self.proxy.set_connection_behaviour(
            fault_proxy.RelayBehaviour.FORWARD_HEADS
        )
        self.store.put("config", "main", platform_case.configuration(2))
        await self.wait_until(lambda: self.proxy.truncated_responses)
        self.proxy.set_new_connection_behaviour(
            fault_proxy.RelayBehaviour.FORWARD
        )
        await self.wait_for_version(2)

    async def test_a_history_that_exceeds_a_response_is_not_asked_for_again(
        self,
    ):
        """All daemons return from an outage in which much has changed."""
        self.proxy.set_refuse_connections(True)
        self.proxy.reset_connections()
        routes = [
            platform_case.route(f"/{number}/", "safe", "ledger")
            for number in range(LARGE_ROUTES)
        ]
        for version in range(2, LARGE_VERSIONS + 2):
            self.store.put(
                "config", "main", platform_case.configuration(version, *routes)
            )
        self.proxy.set_refuse_connections(False)
        await self.wait_for_version(LARGE_VERSIONS + 1)

    async def test_a_request_logs_the_age_of_its_configuration(self):
        """Without it, a late change can't be told from a silent store."""
        await self.request("/safe/x", address=self.fleet[0].caller_address)
        dispatched = self.fleet[0].events(events.Event.REQUEST_DISPATCHED)
        self.assertGreaterEqual(dispatched[0]["version_age_ms"], 0)


if __name__ == "__main__":
    unittest.main()
