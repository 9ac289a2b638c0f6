"""Tests for the aggregation of load reports in large availability zones."""

from __future__ import annotations

import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peer_table
from lavendershed.membership import report_topology

ZONE = ids.AvailabilityZoneId("z0")
OTHER_ZONE = ids.AvailabilityZoneId("z1")


def address(number):
    """Returns an address of a daemon."""
    return addresses.Address(f"10.0.{number // 250}.{number % 250}", 7_000)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class Daemon:
    """Peer table and topology of one daemon."""

    def __init__(self, number, zone):
        self.number = number
        self.address = address(number)
        self.zone = zone
        self.peers = peer_table.PeerTable(self.address)
        self.topology = report_topology.ReportTopology(
            self.peers, self.address, zone, own_bandwidth_mbps=0
        )

    def hears(self, other, sequence, now):
        return self.peers.on_report(
            other.address,
            ids.Incarnation(other.number),
            sequence,
            (),
            other.zone,
            now,
        )


class ReportTopologyTest(unittest.TestCase):
    """Guards the number of messages and the takeover of an aggregator."""

    def fleet(self, counts, now=0.0):
        """Returns daemons that know each other, `counts` in each zone."""
        daemons = [
            Daemon(100 * zone + number, ids.AvailabilityZoneId(f"z{zone}"))
            for zone, count in enumerate(counts)
            for number in range(count)
        ]
        for daemon in daemons:
            for other in daemons:
                if other is not daemon:
                    daemon.hears(other, 1, at(now))
        return daemons

    def acting(self, daemons, now):
        return [d for d in daemons if d.topology.is_acting(at(now))]

    def announce(self, aggregator, daemons, now):
        """Delivers a bundle of an aggregator to all daemons."""
        for daemon in daemons:
            if daemon is not aggregator:
                daemon.topology.on_bundle(
                    aggregator.address,
                    aggregator.zone,
                    aggregator.topology.member_count,
                    at(now),
                )

    def test_daemons_of_small_zones_report_to_all(self):
        """Guards against the delay of an aggregator where few daemons are."""
        daemons = self.fleet((3, 3, 2))
        for daemon in daemons:
            self.assertEqual(
                set(daemon.topology.report_targets(at(0.1))),
                {d.address for d in daemons if d is not daemon},
            )
            self.assertFalse(daemon.topology.is_acting(at(0.1)))

    def test_messages_per_daemon_do_not_grow_with_the_fleet(self):
        """Guards against reports of all daemons to all daemons.

        A whole day of 195 daemons could not be played that way.
        """
        for counts in ((40, 40, 40), (100, 100, 100)):
            daemons = self.fleet(counts)
            received = dict.fromkeys((d.address for d in daemons), 0)
            for daemon in daemons:
                targets = daemon.topology.report_targets(at(0.1))
                self.assertLessEqual(len(targets), 2)
                for target in targets:
                    received[target] += 1
            recipients = [a for a, count in received.items() if count]
            self.assertEqual(len(recipients), 2 * len(counts))

    def test_one_daemon_of_a_large_zone_acts(self):
        daemons = self.fleet((10, 10))
        aggregators = self.acting(daemons, 0.0)
        self.assertEqual({a.zone for a in aggregators}, {ZONE, OTHER_ZONE})
        self.assertEqual(len(aggregators), 2)
        for aggregator in aggregators:
            targets = aggregator.topology.bundle_targets(at(0.0))
            self.assertEqual(len(targets.members), 9)
            self.assertEqual(len(targets.other_zones), 2)

    def test_standby_takes_over_from_a_silent_aggregator(self):
        """Guards against load reports that end with the aggregator."""
        daemons = self.fleet((10,))
        (first,) = self.acting(daemons, 0.0)
        self.announce(first, daemons, 1.0)
        rest = [d for d in daemons if d is not first]
        self.assertEqual(self.acting(rest, 1.3), [])
        (second,) = self.acting(rest, 1.5)
        self.announce(second, rest, 1.5)
        # Members now report to the daemon that acts, whatever its rank.
        for daemon in rest:
            if daemon is not second:
                self.assertIn(
                    second.address, daemon.topology.report_targets(at(1.6))
                )
        self.announce(first, daemons, 1.7)
        self.assertEqual(self.acting(rest, 1.8), [])

    def test_standby_takes_over_although_several_have_failed(self):
        daemons = sorted(
            self.fleet((10,)), key=lambda d: peer_table.rank_key(d.address, 0)
        )
        self.acting(daemons, 0.0)
        self.announce(daemons[0], daemons, 1.0)
        alive = daemons[3:]
        self.assertEqual(self.acting(alive, 1.9), [])
        self.assertEqual(self.acting(alive, 2.2), [daemons[3]])

    def test_restarted_aggregator_does_not_replace_a_complete_one(self):
        """Guards against members that a restarted aggregator doesn't know."""
        daemons = sorted(
            self.fleet((10,)), key=lambda d: peer_table.rank_key(d.address, 0)
        )
        standby = daemons[1]
        standby.topology.is_acting(at(0.0))
        standby.topology.on_bundle(
            daemons[0].address, ZONE, member_count=5, now=at(3.0)
        )
        self.assertTrue(standby.topology.is_acting(at(3.1)))
        standby.topology.on_bundle(
            daemons[0].address, ZONE, member_count=10, now=at(3.2)
        )
        self.assertFalse(standby.topology.is_acting(at(3.3)))

    def test_small_zones_exchange_reports_with_a_large_one(self):
        """Guards against load that a zone of another size doesn't see."""
        daemons = self.fleet((10, 2))
        (aggregator,) = self.acting(daemons, 0.0)
        small = [d for d in daemons if d.zone == OTHER_ZONE]
        for daemon in small:
            self.assertIn(
                aggregator.address, daemon.topology.report_targets(at(0.1))
            )
        self.assertEqual(
            set(aggregator.topology.bundle_targets(at(0.1)).other_zones),
            {d.address for d in small},
        )

    def test_seed_introduces_new_daemons_to_the_aggregators(self):
        """Guards against daemons that never leave their seeds."""
        daemons = self.fleet((10, 10))
        (aggregator, _) = sorted(
            self.acting(daemons, 0.0), key=lambda d: d.zone
        )
        seed = next(d for d in daemons if d.zone == OTHER_ZONE)
        self.assertTrue(seed.topology.is_misdirected(ZONE))
        introduced = seed.topology.introductions(ZONE)
        self.assertIn(aggregator.address, introduced)
        self.assertLessEqual(
            len(introduced), peer_table.MAX_ADDRESSES_PER_REPORT
        )

    def test_silent_seeds_get_a_report_once_a_second(self):
        daemon = Daemon(1, ZONE)
        daemon.peers.set_seeds([address(200)])
        sent = [
            len(daemon.topology.report_targets(at(tick / 10)))
            for tick in range(20)
        ]
        self.assertEqual(sum(sent), 3)


if __name__ == "__main__":
    unittest.main()
