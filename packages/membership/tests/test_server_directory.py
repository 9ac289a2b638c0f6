"""Tests for the directory of backend servers."""

from __future__ import annotations

import dataclasses
import unittest

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.membership import server_directory

READY = forwarding_states.ServerState.READY
DRAINING = forwarding_states.ServerState.DRAINING
SERVICE = ids.ServiceId("s")


def at(number, era=1):
    """Returns a revision of the store."""
    return store_revisions.of(era, number)


def entry(name, state=READY, incarnation=1):
    """Returns an entry of a server."""
    return server_directory.ServerEntry(
        ids.BackendServerId(name),
        ids.Incarnation(incarnation),
        SERVICE,
        addresses.Address("10.0.0.1", 80),
        ids.AvailabilityZoneId("a"),
        state,
    )


class ServerDirectoryTest(unittest.TestCase):
    """Fails if a server gets work it must not get, or a ready one gets none."""

    def setUp(self):
        self.directory = server_directory.ServerDirectory()
        self.directory.on_listing([entry("a"), entry("b")], at(10))

    def usable(self):
        return [e.id for e in self.directory.servers_accepting_work(SERVICE)]

    def test_draining_servers_get_no_new_work(self):
        change = self.directory.on_events([entry("a", DRAINING)], [], at(11))
        self.assertEqual(self.usable(), ["b"])
        self.assertEqual([e.id for e in change.draining], ["a"])
        self.assertIsNotNone(self.directory.entry("a"))

    def test_removed_servers_get_no_work_at_once(self):
        change = self.directory.on_events([], ["a"], at(11))
        self.assertEqual(self.usable(), ["b"])
        self.assertEqual([e.id for e in change.removed], ["a"])

    def test_older_updates_are_ignored(self):
        self.directory.on_events([], ["a"], at(11))
        self.directory.on_listing([entry("a"), entry("b")], at(10))
        self.directory.on_events([entry("a")], [], at(10))
        self.assertEqual(self.usable(), ["b"])

    def test_new_incarnation_of_the_same_id_is_reported_as_added(self):
        change = self.directory.on_events(
            [entry("a", incarnation=2)], [], at(11)
        )
        self.assertEqual([e.id for e in change.added], ["a"])

    def test_missing_entries_are_kept_until_the_grace_period_ends(self):
        until = units.Instant(5.0)
        self.directory.on_listing([entry("b")], at(11), until)
        self.assertEqual(self.usable(), ["a", "b"])
        self.directory.expire(units.Instant(4.9))
        self.assertEqual(self.usable(), ["a", "b"])
        change = self.directory.expire(units.Instant(5.0))
        self.assertEqual(self.usable(), ["b"])
        self.assertEqual([e.id for e in change.removed], ["a"])

    def test_entry_that_returns_is_not_removed_later(self):
        self.directory.on_listing([entry("b")], at(11), units.Instant(5.0))
        self.directory.on_events([entry("a")], [], at(12))
        self.directory.expire(units.Instant(9.0))
        self.assertEqual(self.usable(), ["a", "b"])

    def test_removal_during_an_outage_keeps_the_entry(self):
        self.directory.on_events([], ["a"], at(11), units.Instant(5.0))
        self.assertEqual(self.usable(), ["a", "b"])
        self.directory.on_events([], ["b"], at(12))
        self.assertEqual(self.usable(), ["a"])

    def test_missing_draining_server_is_removed_at_once(self):
        self.directory.on_events([entry("a", DRAINING)], [], at(11))
        self.directory.on_listing([entry("b")], at(12), units.Instant(5.0))
        self.assertIsNone(self.directory.entry("a"))

    def test_listing_replaces_all_entries(self):
        self.directory.on_listing([entry("c")], at(11))
        self.assertEqual(self.usable(), ["c"])
        self.assertEqual(self.directory.revision, at(11))

    def test_second_listing_does_not_extend_the_grace_period(self):
        self.directory.on_listing([entry("b")], at(11), units.Instant(5.0))
        self.directory.on_listing([entry("b")], at(12), units.Instant(9.0))
        self.directory.expire(units.Instant(5.0))
        self.assertEqual(self.usable(), ["b"])

    def test_changed_entries_are_not_reported_as_added(self):
        moved = dataclasses.replace(
            entry("a"), address=addresses.Address("10.0.0.2", 80)
        )
        change = self.directory.on_events([moved], [], at(11))
        self.assertEqual(change.added, ())
        self.assertEqual(self.directory.entry("a"), moved)


if __name__ == "__main__":
    unittest.main()
