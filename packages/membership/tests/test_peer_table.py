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


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class PeerTableTest(unittest.TestCase):
    """Fails if a daemon drops live peers or keeps dead ones."""

    def setUp(self):
        self.table = peer_table.PeerTable(address(1))
        self.table.set_seeds([address(1), address(2)])

    def report(
        self, number, sequence=1, advertised=(), now=0.0, daemon=None, zone=ZONE
    ):
        daemon = ids.Incarnation(number if daemon is None else daemon)
        return self.table.on_report(
            address(number), daemon, sequence, advertised, zone, at(now)
        )

    def unconfirmed(self, now=0.0):
        return self.table.unconfirmed_addresses(at(now))

    def test_members_have_the_same_ranks_at_all_daemons(self):
        """Guards against daemons that follow different aggregators."""
        other = peer_table.PeerTable(address(50))
        for number in range(10, 20):
            self.report(number)
            other.on_report(
                address(29 - number),
                ids.Incarnation(1),
                1,
                (),
                ZONE,
                at(0),
            )
        self.assertEqual(
            self.table.zone_members(ZONE), other.zone_members(ZONE)
        )

    def test_daemon_that_moves_to_another_zone_leaves_the_first(self):
        self.report(3)
        self.report(3, sequence=2, zone=ids.AvailabilityZoneId("b"))
        self.assertEqual(self.table.zones, (ids.AvailabilityZoneId("b"),))

    def test_only_recent_reports_count_for_store_watchers(self):
        """Guards against members that rely on a watcher that has stopped."""
        self.table.on_report(
            address(3),
            ids.Incarnation(3),
            1,
            (),
            ZONE,
            at(0),
            watches_store=True,
        )
        self.report(4)
        self.assertEqual(self.table.store_watchers(ZONE, at(0)), 1)
        self.assertEqual(self.table.store_watchers(ZONE, at(1)), 0)

    def test_stable_fleet_advertises_addresses_rarely(self):
        """Guards against the traffic of addresses in every report."""
        self.report(2)
        with_addresses = [
            bool(self.table.addresses_for_report(sequence, at(60.0)))
            for sequence in range(16)
        ]
        self.assertEqual(sum(with_addresses), 2)

    def test_own_address_is_not_a_seed(self):
        self.assertEqual(self.unconfirmed(0), (address(2),))

    def test_advertised_addresses_get_reports(self):
        self.report(2, advertised=[address(1), address(3)])
        self.assertEqual(self.unconfirmed(0), (address(3),))
        self.assertEqual(self.table.fleet_size, 2)

    def test_candidate_that_never_reports_is_dropped(self):
        self.report(2, advertised=[address(3)])
        self.report(2, sequence=2, now=4.0)
        self.assertEqual(self.unconfirmed(4.0), ())

    def test_peers_time_out_but_seeds_still_get_reports(self):
        self.report(2)
        self.assertEqual(self.table.live_peers, (address(2),))
        self.assertEqual(self.unconfirmed(10.0), (address(2),))
        self.assertEqual(self.table.live_peers, ())

    def test_duplicate_and_reordered_reports_are_ignored(self):
        stale = peer_table.ReportStatus.STALE
        self.assertNotEqual(self.report(2, sequence=5), stale)
        self.assertEqual(self.report(2, sequence=4), stale)
        self.assertEqual(
            self.report(2, sequence=5), peer_table.ReportStatus.REPEATED
        )
        self.assertNotEqual(self.report(2, sequence=6), stale)

    def test_repeated_report_shows_that_a_daemon_is_alive(self):
        self.report(2)
        self.report(2, now=4.0)
        self.assertEqual(self.unconfirmed(8.0), ())
        self.table.on_alive(address(2), at(8.0))
        self.table.expire(at(12.0))
        self.assertEqual(self.table.live_peers, (address(2),))

    def test_vms_with_more_bandwidth_rank_first(self):
        """Guards against aggregators whose link the bundles fill."""
        for number in range(10, 20):
            self.table.on_report(
                address(number),
                ids.Incarnation(number),
                1,
                (),
                ZONE,
                at(0),
                bandwidth_mbps=200 if number == 15 else 20,
            )
        self.assertEqual(self.table.zone_members(ZONE)[0], address(15))

    def test_restarted_daemon_restarts_its_sequence(self):
        self.report(2, sequence=50)
        self.assertEqual(
            self.report(2, sequence=1, daemon=99),
            peer_table.ReportStatus.NEW_SENDER,
        )


if __name__ == "__main__":
    unittest.main()
