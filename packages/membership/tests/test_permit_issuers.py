"""Tests which daemon issues the permits of a server."""

from __future__ import annotations

import collections
import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peer_table
from lavendershed.membership import permit_issuers

ZONE = ids.AvailabilityZoneId("a")
SERVERS = [ids.ServerNumber(number * 7_919) for number in range(400)]


def address(number):
    """Returns the address of a daemon."""
    return addresses.Address(f"10.0.0.{number}", 7_000)


def issuers_of(own, members):
    """Returns the choice of the daemon `own` that knows some members."""
    peers = peer_table.PeerTable(address(own))
    for member in members:
        if member != own:
            peers.on_report(
                address(member),
                ids.Incarnation(member),
                1,
                (),
                ZONE,
                units.Instant(0.0),
            )
    return permit_issuers.PermitIssuers(address(own), peers)


class PermitIssuersTest(unittest.TestCase):
    """Guards against two daemons that issue for the same server."""

    def test_daemons_with_the_same_members_agree(self):
        members = range(1, 9)
        choices = [issuers_of(own, members) for own in members]
        for server in SERVERS:
            self.assertEqual(len({c.issuers(server) for c in choices}), 1)

    def test_an_end_moves_only_the_servers_of_that_daemon(self):
        before = issuers_of(1, range(1, 9))
        after = issuers_of(1, range(1, 8))
        for server in SERVERS:
            issuer, standby = before.issuers(server)
            expected = standby if issuer == address(8) else issuer
            self.assertEqual(after.issuers(server)[0], expected)

    def test_servers_are_spread_over_the_daemons(self):
        choice = issuers_of(1, range(1, 9))
        counts = collections.Counter(choice.issuers(s)[0] for s in SERVERS)
        self.assertEqual(len(counts), 8)
        self.assertLess(max(counts.values()), 2 * len(SERVERS) / 8)

    def test_a_single_daemon_has_no_standby(self):
        self.assertEqual(issuers_of(1, ()).issuers(SERVERS[0]), (address(1),))


if __name__ == "__main__":
    unittest.main()
