"""Guards the exclusion of failing servers."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import server_health

SERVER = ids.BackendServerId("s")
BORN = ids.Incarnation(1)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class ServerHealthTest(unittest.TestCase):
    """Fails if a dead server keeps getting work, or a sound one none."""

    def setUp(self):
        self.health = server_health.ServerHealth()

    def excluded(self, now, born=BORN):
        return self.health.is_excluded(SERVER, born, at(now))

    def test_a_lost_server_is_excluded_for_a_while(self):
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.assertTrue(self.excluded(0.9))
        self.assertFalse(self.excluded(1.1))

    def test_the_time_doubles_up_to_a_limit(self):
        times = []
        now = 0.0
        for _ in range(6):
            times.append(
                self.health.on_connection_failure(SERVER, BORN, at(now))
            )
            now += times[-1] + 0.1
        self.assertEqual(times, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])

    def test_it_starts_over_after_a_quiet_time(self):
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.assertEqual(
            self.health.on_connection_failure(SERVER, BORN, at(60)), 1.0
        )

    def test_losses_at_the_same_time_count_once(self):
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.assertAlmostEqual(
            self.health.on_connection_failure(SERVER, BORN, at(0.4)), 0.6
        )

    def test_single_failures_are_usual(self):
        self.assertIsNone(self.health.on_failure(SERVER, BORN, at(0)))
        self.health.on_success(SERVER, BORN)
        self.assertIsNone(self.health.on_failure(SERVER, BORN, at(0)))
        self.assertFalse(self.excluded(0))
        self.assertEqual(self.health.on_failure(SERVER, BORN, at(0)), 1.0)
        self.assertTrue(self.excluded(0))

    def test_a_server_that_a_peer_cannot_reach_is_left_out(self):
        """Guards against each daemon losing a request to find it out."""
        self.health.on_connection_failure(SERVER, BORN, at(0), unreachable=True)
        peer = server_health.ServerHealth()
        peer.on_peer_report(self.health.unreachable_servers(at(0.2)), at(0.2))
        self.assertTrue(peer.is_excluded(SERVER, BORN, at(1.2)))
        self.assertFalse(peer.is_excluded(SERVER, BORN, at(1.4)))

    def test_a_report_counts_for_two_seconds_at_most(self):
        """Guards against a peer whose own path is broken."""
        told = [(SERVER, units.Seconds(8.0))]
        self.assertEqual(
            self.health.on_peer_report(told, at(0)), ((SERVER, 2.0),)
        )
        self.assertEqual(self.health.on_peer_report(told, at(0)), ())
        self.assertTrue(self.excluded(1.9))
        self.assertFalse(self.excluded(2.1))

    def test_only_failed_connections_are_told(self):
        """Guards against fleets that leave out servers for lost answers."""
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.assertEqual(self.health.unreachable_servers(at(0.1)), ())

    def test_an_own_answer_outweighs_a_report(self):
        self.health.on_peer_report([(SERVER, units.Seconds(2.0))], at(0))
        self.health.on_success(SERVER, BORN)
        self.assertFalse(self.excluded(0.1))

    def test_a_new_start_of_the_server_is_sound(self):
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.assertFalse(self.excluded(0, ids.Incarnation(2)))

    def test_servers_that_are_gone_are_forgotten(self):
        self.health.on_connection_failure(SERVER, BORN, at(0))
        self.health.remove(SERVER, BORN)
        self.assertFalse(self.excluded(0))


if __name__ == "__main__":
    unittest.main()
