"""Tests for the exclusion of failing servers."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import server_health

SERVER = ids.BackendServerId("s")
INCARNATION = ids.Incarnation(1)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class ServerHealthTest(unittest.TestCase):
    """Fails if a dead server gets work, or a healthy one is excluded."""

    def setUp(self):
        self.health = server_health.ServerHealth()

    def excluded(self, now, incarnation=INCARNATION):
        return self.health.is_excluded(SERVER, incarnation, at(now))

    def test_server_is_excluded_temporarily_after_a_connection_failure(self):
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertTrue(self.excluded(0.9))
        self.assertFalse(self.excluded(1.1))

    def test_exclusion_doubles_up_to_the_maximum(self):
        exclusions = []
        now = 0.0
        for _ in range(6):
            exclusions.append(
                self.health.on_connection_failure(SERVER, INCARNATION, at(now))
            )
            now += exclusions[-1] + 0.1
        self.assertEqual(exclusions, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])

    def test_backoff_resets_after_a_time_without_exclusions(self):
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertEqual(
            self.health.on_connection_failure(SERVER, INCARNATION, at(60)), 1.0
        )

    def test_failures_during_an_exclusion_do_not_extend_it(self):
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertAlmostEqual(
            self.health.on_connection_failure(SERVER, INCARNATION, at(0.4)), 0.6
        )

    def test_only_consecutive_failures_exclude_a_server(self):
        self.assertIsNone(self.health.on_failure(SERVER, INCARNATION, at(0)))
        self.health.on_success(SERVER, INCARNATION)
        self.assertIsNone(self.health.on_failure(SERVER, INCARNATION, at(0)))
        self.assertFalse(self.excluded(0))
        self.assertEqual(
            self.health.on_failure(SERVER, INCARNATION, at(0)), 1.0
        )
        self.assertTrue(self.excluded(0))

    def test_listeners_learn_of_unreachable_servers_only(self):
        """Guards against prefills that go on with a lost engine."""
        found = []
        self.health.subscribe(found.append)
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertEqual(found, [])
        self.health.on_connection_failure(
            SERVER, INCARNATION, at(0), unreachable=True
        )
        self.assertEqual(found, [SERVER])
        self.health.on_peer_report(((SERVER, units.Seconds(1.0)),), at(0))
        self.assertEqual(found, [SERVER, SERVER])
        self.health.unsubscribe(found.append)

    def test_server_that_a_peer_reports_as_unreachable_is_excluded(self):
        """Guards against one failed request per daemon before the exclusion."""
        self.health.on_connection_failure(
            SERVER, INCARNATION, at(0), unreachable=True
        )
        peer = server_health.ServerHealth()
        peer.on_peer_report(self.health.unreachable_servers(at(0.2)), at(0.2))
        self.assertTrue(peer.is_excluded(SERVER, INCARNATION, at(1.2)))
        self.assertFalse(peer.is_excluded(SERVER, INCARNATION, at(1.4)))

    def test_reported_exclusion_lasts_two_seconds_at_most(self):
        """Guards against a peer whose own network path is broken."""
        reported = [(SERVER, units.Seconds(8.0))]
        self.assertEqual(
            self.health.on_peer_report(reported, at(0)), ((SERVER, 2.0),)
        )
        self.assertEqual(self.health.on_peer_report(reported, at(0)), ())
        self.assertTrue(self.excluded(1.9))
        self.assertFalse(self.excluded(2.1))

    def test_only_unreachable_servers_are_reported(self):
        """Guards against a fleet that excludes servers for lost responses."""
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertEqual(self.health.unreachable_servers(at(0.1)), ())

    def test_local_success_overrides_a_report(self):
        self.health.on_peer_report([(SERVER, units.Seconds(2.0))], at(0))
        self.health.on_success(SERVER, INCARNATION)
        self.assertFalse(self.excluded(0.1))

    def test_new_incarnation_is_not_excluded(self):
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.assertFalse(self.excluded(0, ids.Incarnation(2)))

    def test_thousands_of_exclusions_in_a_row_stay_at_the_maximum(self):
        """Guards against an exponent whose result is no float."""
        now = 0.0
        for _ in range(2_000):
            exclusion = self.health.on_connection_failure(
                SERVER, INCARNATION, at(now)
            )
            now += exclusion
        self.assertEqual(exclusion, 8.0)

    def test_removed_servers_have_no_record(self):
        self.health.on_connection_failure(SERVER, INCARNATION, at(0))
        self.health.remove(SERVER, INCARNATION)
        self.assertFalse(self.excluded(0))


if __name__ == "__main__":
    unittest.main()
