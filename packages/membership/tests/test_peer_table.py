"""Tests for the discovery of other daemons."""

from __future__ import annotations

import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peer_table

ZONE = ids.AvailabilityZoneId("a")


def address(number):
    """Returns an address of a daemon."""
    return addresses.Address(f"10.0.0.{number}", 7_000)


def index(found):
    """Returns the number of an address."""
    return int(found.host.rpartition(".")[2])


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class PeerTableTest(unittest.TestCase):
    """Fails if a daemon drops live peers or keeps dead ones."""

    def setUp(self):
        self.table = peer_table.PeerTable(address(1), ZONE)
        self.table.set_seeds([address(1), address(2)])

    def report(
        self, number, sequence=1, advertised=(), now=0.0, daemon=None, zone=ZONE
    ):
        daemon = ids.Incarnation(number if daemon is None else daemon)
        return self.table.on_report(
            address(number), daemon, sequence, advertised, zone, at(now)
        )

    def direct(self, now=0.0):
        return self.table.report_targets(at(now)).direct

    def test_daemons_of_a_large_fleet_discover_each_other(self):
        """Guards against daemons that discover only part of a large fleet.

        This happens if each report advertises the same 24 of 60 addresses:
        half of the daemons then never discover the rest.
        """
        count = 60
        zones = [ids.AvailabilityZoneId(f"z{n % 3}") for n in range(count)]
        tables = [
            peer_table.PeerTable(address(n), zones[n]) for n in range(count)
        ]
        for table in tables:
            table.set_seeds([address(0), address(1), address(2)])
        for sequence in range(1, 6):
            now = at(float(sequence))
            for number, table in enumerate(tables):
                advertised = table.addresses_for_report(sequence, now)
                self.assertLessEqual(
                    len(advertised), peer_table.MAX_ADDRESSES_PER_REPORT
                )
                targets = table.report_targets(now)
                forwarded_to = [
                    neighbour
                    for relay in targets.relays
                    for neighbour in tables[index(relay)].same_zone_peers
                ]
                for target in (*targets.direct, *targets.relays, *forwarded_to):
                    tables[index(target)].on_report(
                        address(number),
                        ids.Incarnation(number),
                        sequence,
                        advertised,
                        zones[number],
                        now,
                    )
        self.assertEqual({table.fleet_size for table in tables}, {count})

    def test_large_zone_gets_reports_through_one_relay(self):
        """Guards against cross-zone traffic for a copy to every daemon."""
        for number in range(10, 20):
            self.report(number, zone=ids.AvailabilityZoneId("large"))
        for number in range(20, 24):
            self.report(number, zone=ids.AvailabilityZoneId("small"))
        self.report(3)
        found = [self.table.report_targets(at(0)) for _ in range(10)]
        self.assertEqual(
            set(found[0].direct),
            {address(n) for n in (2, 3, 20, 21, 22, 23)},
        )
        # Relays rotate, so that a dead one loses few reports.
        relays = [targets.relays for targets in found]
        self.assertEqual(
            {relay for (relay,) in relays},
            {address(n) for n in range(10, 20)},
        )

    def test_stable_fleet_advertises_addresses_rarely(self):
        """Guards against the traffic of addresses in every report."""
        self.report(2)
        with_addresses = [
            bool(self.table.addresses_for_report(sequence, at(60.0)))
            for sequence in range(16)
        ]
        self.assertEqual(sum(with_addresses), 2)

    def test_own_address_is_not_a_seed(self):
        self.assertEqual(self.direct(0), (address(2),))

    def test_advertised_addresses_get_reports(self):
        self.report(2, advertised=[address(1), address(3)])
        self.assertEqual(self.direct(0), (address(2), address(3)))
        self.assertEqual(self.table.fleet_size, 2)

    def test_candidate_that_never_reports_is_dropped(self):
        self.report(2, advertised=[address(3)])
        self.report(2, sequence=2, now=4.0)
        self.assertEqual(self.direct(4.0), (address(2),))

    def test_peers_time_out_but_seeds_still_get_reports(self):
        self.report(2)
        self.assertEqual(self.table.live_peers, (address(2),))
        self.table.report_targets(at(10.0))
        self.assertEqual(self.table.live_peers, ())
        self.assertEqual(self.direct(10.0), (address(2),))

    def test_duplicate_and_reordered_reports_are_ignored(self):
        self.assertTrue(self.report(2, sequence=5))
        self.assertFalse(self.report(2, sequence=4))
        self.assertFalse(self.report(2, sequence=5))
        self.assertTrue(self.report(2, sequence=6))

    def test_restarted_daemon_restarts_its_sequence(self):
        self.report(2, sequence=50)
        self.assertTrue(self.report(2, sequence=1, daemon=99))


if __name__ == "__main__":
    unittest.main()
