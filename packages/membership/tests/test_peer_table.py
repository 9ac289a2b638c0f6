"""Guards how daemons find each other."""

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
    """Fails if a daemon loses sight of others or keeps dead ones."""

    def setUp(self):
        self.table = peer_table.PeerTable(address(1), ZONE)
        self.table.set_seeds([address(1), address(2)])

    def report(
        self, number, sequence=1, named=(), now=0.0, daemon=None, zone=ZONE
    ):
        daemon = ids.Incarnation(number if daemon is None else daemon)
        return self.table.on_report(
            address(number), daemon, sequence, named, zone, at(now)
        )

    def direct(self, now=0.0):
        return self.table.report_targets(at(now)).direct

    def test_large_fleets_find_each_other(self):
        """Guards against daemons that know a part of the fleet only.

        Found on the first grown deployment: reports named the same 24 of 60
        daemons each time, so that half of the daemons never heard of the rest.
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
                named = table.addresses_for_report(sequence, now)
                self.assertLessEqual(
                    len(named), peer_table.MAX_ADDRESSES_PER_REPORT
                )
                targets = table.report_targets(now)
                passed_on = [
                    neighbour
                    for relay in targets.relays
                    for neighbour in tables[index(relay)].same_zone_peers
                ]
                for target in (*targets.direct, *targets.relays, *passed_on):
                    tables[index(target)].on_report(
                        address(number),
                        ids.Incarnation(number),
                        sequence,
                        named,
                        zones[number],
                        now,
                    )
        self.assertEqual({table.fleet_size for table in tables}, {count})

    def test_a_large_zone_gets_reports_through_one_of_its_daemons(self):
        """Guards against paying for a copy to each daemon of other zones."""
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
        # The relays take turns, so that a dead one costs few reports.
        relays = [targets.relays for targets in found]
        self.assertEqual(
            {relay for (relay,) in relays},
            {address(n) for n in range(10, 20)},
        )

    def test_addresses_are_passed_on_rarely_in_a_calm_fleet(self):
        """Guards against the bytes of addresses in each report."""
        self.report(2)
        carried = [
            bool(self.table.addresses_for_report(sequence, at(60.0)))
            for sequence in range(16)
        ]
        self.assertEqual(sum(carried), 2)

    def test_the_own_address_is_no_seed(self):
        self.assertEqual(self.direct(0), (address(2),))

    def test_peers_of_peers_are_tried(self):
        self.report(2, named=[address(1), address(3)])
        self.assertEqual(self.direct(0), (address(2), address(3)))
        self.assertEqual(self.table.fleet_size, 2)

    def test_a_named_address_that_stays_silent_is_dropped(self):
        self.report(2, named=[address(3)])
        self.report(2, sequence=2, now=4.0)
        self.assertEqual(self.direct(4.0), (address(2),))

    def test_silent_peers_are_dropped_but_seeds_are_still_asked(self):
        self.report(2)
        self.assertEqual(self.table.live_peers, (address(2),))
        self.table.report_targets(at(10.0))
        self.assertEqual(self.table.live_peers, ())
        self.assertEqual(self.direct(10.0), (address(2),))

    def test_reports_that_overtake_each_other_count_once(self):
        self.assertTrue(self.report(2, sequence=5))
        self.assertFalse(self.report(2, sequence=4))
        self.assertFalse(self.report(2, sequence=5))
        self.assertTrue(self.report(2, sequence=6))

    def test_a_restarted_daemon_starts_its_sequence_anew(self):
        self.report(2, sequence=50)
        self.assertTrue(self.report(2, sequence=1, daemon=99))


if __name__ == "__main__":
    unittest.main()
