"""Tests the loopback addresses of test runs."""

from __future__ import annotations

import socket
import unittest

from lavendershed.standin import loopback


class LoopbackNetworkTest(unittest.TestCase):
    """Guards against test runs that reach each other's servers.

    Addresses that followed from the process id or from a seed were shared by
    two runs on one machine, whose requests then met the other's stand-ins.
    """

    def test_two_runs_have_different_networks(self):
        networks = [loopback.LoopbackNetwork() for _ in range(50)]
        self.assertEqual(len({n.host(0) for n in networks}), 50)

    def test_addresses_of_a_run_differ(self):
        network = loopback.LoopbackNetwork()
        found = {network.free_address() for _ in range(200)}
        self.assertEqual(len(found), 200)

    def test_a_port_in_use_is_left_out(self):
        network = loopback.LoopbackNetwork()
        first = network.free_address()
        with socket.create_server((first.host, first.port + 1)):
            self.assertNotEqual(network.free_address().port, first.port + 1)

    def test_hosts_are_limited_to_the_network(self):
        with self.assertRaises(ValueError):
            loopback.LoopbackNetwork().host(250)


if __name__ == "__main__":
    unittest.main()
