"""Tests the exchange of load reports between daemons."""

from __future__ import annotations

import types
import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import load_reporting
from lavendershed.membership import peer_table
from lavendershed.peer import load_reports
from lavendershed.reliability import crash_counts
from lavendershed.reliability import fleet_retry_budget
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker
from lavendershed.telemetry import log

NOW = units.Instant(10.0)
OWN_ZONE = ids.AvailabilityZoneId("a")
OTHER_ZONE = ids.AvailabilityZoneId("b")


class FakeTransport:
    """Records sent datagrams with their targets."""

    def __init__(self):
        self.sent = []

    def sendto(self, datagram, target):
        self.sent.append((addresses.Address(*target), datagram))


def address(number):
    """Returns an address of a daemon."""
    return addresses.Address(f"10.0.0.{number}", 7_000)


def report(sender, zone, relayed):
    """Returns the datagram of a report without tasks."""
    return load_reports.encode_report(
        load_reports.LoadReport(
            ids.Incarnation(sender),
            address(sender),
            zone,
            1,
            ids.Epoch(1),
            ids.ObjectVersion(1),
            (),
            (),
            (),
            (),
            (),
            relayed,
        ),
        NOW,
    )


class LoadReporterTest(unittest.IsolatedAsyncioTestCase):
    """Guards against relayed reports that miss daemons of the zone.

    Also guards against relay loops and reports attributed to the relay.
    """

    async def asyncSetUp(self):
        self.peers = peer_table.PeerTable(address(1), OWN_ZONE)
        directory = types.SimpleNamespace(revision=1, entries=())
        self.reporter = load_reporting.LoadReporter(
            ids.Incarnation(1),
            address(1),
            OWN_ZONE,
            self.peers,
            load_reporting.PeerVersions(),
            types.SimpleNamespace(
                version=1,
                directory=directory,
                server_by_number=lambda number: None,
            ),
            load_tracker.LoadTracker(),
            crash_counts.CrashCounts(),
            engine_slowdown.EngineSlowdowns(),
            server_health.ServerHealth(),
            fleet_retry_budget.FleetRetryBudget(
                fleet_retry_budget.FleetBudgetLimits(
                    0.2, 100.0, units.Seconds(10.0)
                )
            ),
            types.SimpleNamespace(now=lambda: NOW),
            log.MemoryEventLog(),
        )
        self.transport = FakeTransport()
        self.reporter.connection_made(self.transport)
        for peer_number in (2, 3):
            self.receive(report(peer_number, OWN_ZONE, False), peer_number)

    def receive(self, datagram, source_number):
        source_address = address(source_number)
        self.reporter.datagram_received(
            datagram, (source_address.host, source_address.port)
        )

    async def test_relayed_report_is_forwarded_once_within_the_zone(self):
        self.receive(report(9, OTHER_ZONE, True), 9)
        targets = {target for target, _ in self.transport.sent}
        self.assertEqual(targets, {address(2), address(3)})
        for _, datagram in self.transport.sent:
            forwarded = load_reports.decode_report(
                datagram, lambda number: None, NOW
            )
            # A second relay would cause a forwarding loop.
            self.assertFalse(forwarded.relay_in_zone)
            self.assertEqual(forwarded.sender_address, address(9))

    async def test_report_is_attributed_to_its_sender_not_to_the_relay(self):
        self.receive(report(9, OTHER_ZONE, False), 2)
        self.assertIn(address(9), self.peers.live_peers)
        self.assertEqual(self.transport.sent, [])


if __name__ == "__main__":
    unittest.main()
