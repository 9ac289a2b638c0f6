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


def entry(name, state=READY, incarnation=1, revision=0, era=1):
    """Returns an entry of a server."""
    return server_directory.ServerEntry(
        ids.BackendServerId(name),
        ids.Incarnation(incarnation),
        SERVICE,
        addresses.Address("10.0.0.1", 80),
        ids.AvailabilityZoneId("a"),
        state,
        at(revision, era),
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


class CopiedEntryTest(unittest.TestCase):
    """Guards against entries of a copy of the store that were removed since."""

    LAPSE = units.Instant(7.0)

    def setUp(self):
        self.directory = server_directory.ServerDirectory()
        self.directory.on_listing(
            [entry("a", revision=5), entry("b", revision=6)], at(10)
        )

    def restore(self, *entries, revision=8, era=2):
        self.directory.on_listing(
            entries, at(revision, era), units.Instant(2.0), self.LAPSE
        )

    def usable(self):
        return [e.id for e in self.directory.servers_accepting_work(SERVICE)]

    def copies(self):
        return entry("a", revision=5, era=2), entry("b", revision=6, era=2)

    def test_a_removed_server_is_not_used_again(self):
        self.directory.on_events([], ["a"], at(11))
        self.restore(*self.copies())
        self.assertEqual(self.usable(), ["b"])
        self.assertEqual(self.directory.outdated_servers, {"a"})

    def test_a_leaving_server_is_not_used_again(self):
        """Its incarnation never becomes ready again."""
        self.directory.on_events([entry("a", DRAINING, 1, 11)], [], at(11))
        self.restore(*self.copies())
        self.directory.expire(units.Instant(60.0))
        self.assertEqual(self.usable(), ["b"])

    def test_a_replaced_incarnation_is_not_used_again(self):
        """A later one with its id was ready, or leaving, before the restore."""
        for state in (READY, DRAINING):
            with self.subTest(state=state):
                self.setUp()
                self.directory.on_events([entry("a", state, 2, 11)], [], at(11))
                self.restore(*self.copies())
                self.assertEqual(self.usable(), ["b"])
                self.assertEqual(self.directory.outdated_servers, {"a"})

    def test_another_listing_of_the_era_does_not_bring_it_back(self):
        self.directory.on_events([], ["a"], at(11))
        self.restore(*self.copies())
        self.restore(*self.copies(), revision=9)
        self.assertEqual(self.usable(), ["b"])

    def test_a_server_that_writes_its_entry_again_is_used(self):
        self.directory.on_events([], ["a"], at(11))
        self.restore(*self.copies())
        again = entry("a", revision=12, era=2)
        self.directory.on_events([again], [], at(12, era=2))
        self.assertEqual(self.usable(), ["a", "b"])

    def test_an_entry_that_does_not_lapse_belongs_to_a_server(self):
        """It was removed while its server did not reach the store."""
        self.directory.on_events([], ["a"], at(11))
        self.restore(*self.copies())
        self.directory.expire(units.Instant(self.LAPSE - 0.1))
        self.assertEqual(self.usable(), ["b"])
        self.directory.expire(self.LAPSE)
        self.assertEqual(self.usable(), ["a", "b"])

    def test_a_new_incarnation_is_used_at_once(self):
        self.directory.on_events([], ["a"], at(11))
        self.restore(entry("a", incarnation=2, revision=5, era=2))
        self.assertIn("a", self.usable())

    def test_removals_within_an_era_are_no_reason_for_doubt(self):
        self.directory.on_events([], ["a"], at(11))
        self.directory.on_listing([entry("a", revision=5)], at(12))
        self.assertIn("a", self.usable())


if __name__ == "__main__":
    unittest.main()
