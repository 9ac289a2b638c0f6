"""Tests which daemon runs the requests of one that is cut off."""

from __future__ import annotations

import collections
import random
import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import relay_peers

NOW = units.Instant(50.0)
OWN, OTHER, THIRD = map(ids.AvailabilityZoneId, ("own", "other", "third"))


def peer(number, zone, open_requests=0):
    """Returns a daemon that reaches the servers.

    Its incarnation stands for the requests that it has reported.
    """
    return relay_peers.RelayPeer(
        addresses.Address(f"10.0.0.{number}", 80),
        zone,
        ids.Incarnation(open_requests),
    )


def open_requests_of(incarnation):
    """Returns the requests that a daemon has reported."""
    return incarnation


class RelayPeersTest(unittest.TestCase):
    """Guards against a whole zone's requests at one daemon."""

    def setUp(self):
        self.choice = relay_peers.RelayPeers(OWN, random.Random(1))

    def choose(self, peers, zone_size=3, now=NOW, **excluded):
        return self.choice.choose(
            peers, zone_size, open_requests_of, now, **excluded
        )

    def test_peers_of_the_own_zone_come_first(self):
        near = [peer(1, OWN, 9), peer(2, OWN, 9)]
        chosen = {
            self.choose([*near, peer(3, OTHER), peer(4, THIRD)])
            for _ in range(50)
        }
        self.assertEqual(chosen, {p.address for p in near})

    def test_other_zones_help_if_most_of_the_own_zone_is_cut_off(self):
        peers = [peer(1, OWN), peer(2, OTHER), peer(3, THIRD)]
        chosen = {self.choose(peers, zone_size=4) for _ in range(100)}
        self.assertEqual(chosen, {p.address for p in peers})

    def test_requests_of_a_zone_are_spread(self):
        """Forty daemons know the same loads, which are out of date."""
        peers = [peer(n, OTHER, n % 3) for n in range(80)]
        counts = collections.Counter()
        for seed in range(40):
            choice = relay_peers.RelayPeers(OWN, random.Random(seed))
            for _ in range(40):
                chosen = choice.choose(peers, 39, open_requests_of, NOW)
                choice.started(chosen)
                counts[chosen] += 1
        self.assertLessEqual(max(counts.values()), 3 * 40 * 40 / 80)

    def test_the_peer_with_less_work_gets_the_request(self):
        peers = [peer(1, OWN, 5), peer(2, OWN, 4)]
        for _ in range(3):
            chosen = self.choose(peers)
            self.assertEqual(chosen, peers[1].address)
            self.choice.started(chosen)
            self.choice.ended(chosen)
        self.choice.started(peers[1].address)
        self.choice.started(peers[1].address)
        self.assertEqual(self.choose(peers), peers[0].address)

    def test_a_peer_that_failed_is_left_out_for_a_second(self):
        peers = [peer(1, OWN), peer(2, OWN)]
        self.choice.on_failure(peers[0].address, NOW)
        chosen = {self.choose(peers) for _ in range(20)}
        self.assertEqual(chosen, {peers[1].address})
        later = units.Instant(NOW + 1.1)
        chosen = {self.choose(peers, now=later) for _ in range(20)}
        self.assertEqual(len(chosen), 2)

    def test_no_peer_can_help(self):
        only = peer(1, OTHER)
        self.assertIsNone(self.choose([]))
        self.assertIsNone(
            self.choose([only], excluded=frozenset({only.address}))
        )


if __name__ == "__main__":
    unittest.main()
