"""Tests the state that daemons take from each other instead of the store."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import result

from lavendershed.admission import server_pauses
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import requests
from lavendershed.forwarding import server_notices
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.peer import peer_state
from lavendershed.peer import wire
from lavendershed.reliability import server_health
from lavendershed.routes import model
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

NOW = units.Instant(100.0)
NAMES = ("i-1", "i-2", "i-3", "i-4")


class FakeDecoder(codecs.ObjectDecoder):
    """Decodes server objects whose content is the state of the server.

    An incarnation other than 1 follows the state after a colon.
    The content of a configuration is its version.
    """

    def decode_configuration(self, stored):
        limits = model.CallerLimits(0, 0, units.Seconds(1), units.Seconds(1))
        return result.Ok(
            model.RoutingConfiguration(
                ids.Epoch(int(stored.spec)), (), (), None, limits
            )
        )

    def decode_server(self, stored):
        state, _, incarnation = stored.spec.decode().partition(":")
        return result.Ok(
            server_directory.ServerEntry(
                ids.BackendServerId(stored.name),
                ids.Incarnation(int(incarnation or 1)),
                ids.ServiceId("s"),
                addresses.Address("10.0.0.1", 80),
                ids.AvailabilityZoneId("z"),
                forwarding_states.ServerState(state),
                stored.revision,
            )
        )


def at(number, era=1):
    """Returns a revision of the store."""
    return store_revisions.of(era, number)


def stored(name, revision, state=forwarding_states.ServerState.READY, era=1):
    """Returns the object of a server."""
    return peer_state.StoredObject(
        name, at(revision, era), state.value.encode()
    )


def new_view(*, has_evacuations=False):
    """Returns the view of a daemon that has just started."""
    return deployment_view.DeploymentView(
        FakeDecoder(),
        server_health.ServerHealth(),
        log.MemoryEventLog(),
        server_notices.ServerNoticeObserver(
            server_pauses.ServerPauses(),
            timers.VirtualTimerService(),
            log.MemoryEventLog(),
            request_instruments.RequestInstruments(ids.VmId("vm")),
        ),
        has_evacuations=has_evacuations,
    )


def listed(*names, revision=10, has_evacuations=False):
    """Returns a view after a listing."""
    view = new_view(has_evacuations=has_evacuations)
    view.on_server_listing(
        tuple(stored(name, revision) for name in names), at(revision), NOW
    )
    return view


def servers(view):
    """Returns the ids of the known servers."""
    return {entry.id for entry in view.directory.entries}


def take_state(target, source, now=NOW):
    """Sends what `target` lacks from `source`, encoded as between daemons."""
    state = source.state_since(target.known_state, now)
    decoded = peer_state.decode_state(peer_state.encode_state(state))
    target.on_peer_state(decoded, now)
    return decoded


class PeerStateTest(unittest.TestCase):
    """Guards against daemons that miss or revert changes taken from peers."""

    def test_only_changes_are_sent_to_a_peer_that_has_the_rest(self):
        """Guards against the whole list for each change to each daemon."""
        watcher, member = listed(*NAMES), listed(*NAMES)
        watcher.on_server_events((stored("i-9", 12),), ("i-1",), at(12), NOW)
        state = take_state(member, watcher)
        self.assertTrue(state.partial)
        self.assertEqual([o.name for o in state.servers], ["i-9"])
        self.assertEqual(servers(member), servers(watcher))

    def test_a_new_daemon_gets_the_whole_list(self):
        watcher, member = listed(*NAMES), new_view()
        self.assertFalse(take_state(member, watcher).partial)
        self.assertEqual(servers(member), set(NAMES))

    def test_older_state_changes_nothing(self):
        """Guards against a server that had left and is used again."""
        old, member = listed(*NAMES), listed(*NAMES)
        member.on_server_events((), ("i-1",), at(12), NOW)
        take_state(member, old)
        self.assertNotIn("i-1", servers(member))
        restarted = new_view()
        take_state(restarted, member)
        take_state(restarted, old)
        self.assertNotIn("i-1", servers(restarted))

    def test_lapsed_servers_are_kept_by_members_too(self):
        """Guards against a member that drops servers after a store outage."""
        watcher, member = listed(*NAMES), listed(*NAMES)
        watcher.on_store_recovered(NOW)
        watcher.on_server_events((), ("i-1",), at(12), NOW)
        take_state(member, watcher)
        self.assertIn("i-1", servers(member))
        member.expire(units.after(NOW, server_directory.MISSING_ENTRY_GRACE))
        self.assertNotIn("i-1", servers(member))

    def test_a_removal_long_after_an_outage_is_final(self):
        watcher, member = listed(*NAMES), listed(*NAMES)
        watcher.on_store_recovered(NOW)
        later = units.Instant(NOW + 5.0)
        watcher.on_server_events((), ("i-1",), at(12), later)
        take_state(member, watcher, later)
        self.assertNotIn("i-1", servers(member))

    def test_a_listing_is_not_reported_as_a_change(self):
        """Guards against a fetch by all daemons after each restart of one."""
        view = new_view()
        view.on_server_listing((stored("i-1", 7),), at(30), NOW)
        self.assertEqual(view.last_server_change, at(7))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(NAMES),
                strategies.booleans(),
                strategies.booleans(),
            ),
            max_size=100,
        )
    )
    def test_members_follow_any_sequence_of_changes(self, steps):
        """Guards against members that differ after missed changes.

        A member fetches after some of the changes only, also after more than
        the watcher remembers.
        """
        watcher, member = listed(*NAMES), listed(*NAMES)
        for revision, (name, present, fetches) in enumerate(steps, 11):
            if present:
                watcher.on_server_events(
                    (stored(name, revision),), (), at(revision), NOW
                )
            else:
                watcher.on_server_events((), (name,), at(revision), NOW)
            if fetches:
                take_state(member, watcher)
                self.assertEqual(servers(member), servers(watcher))
        take_state(member, watcher)
        self.assertEqual(servers(member), servers(watcher))

    def test_a_large_object_is_sent_compressed(self):
        """Guards against changes that fill the links of small VMs.

        Two watchers send a configuration to all daemons of their zone.
        """
        spec = b'{"path_prefix": "/a/", "kind": "safe"},' * 2_000
        sent = peer_state.PeerState(
            at(3),
            (peer_state.StoredObject("main", at(3), spec),),
            at(4),
            (),
        )
        encoded = peer_state.encode_state(sent)
        self.assertLess(len(encoded), len(spec) / 5)
        self.assertEqual(peer_state.decode_state(encoded), sent)

    def test_a_damaged_or_endless_object_is_rejected(self):
        """Guards against memory that a compressed message may fill."""
        too_large = bytes(peer_state.MAX_OBJECT_BYTES + 1)
        encoded = peer_state.encode_state(
            peer_state.PeerState(
                at(3),
                (peer_state.StoredObject("main", at(3), too_large),),
                at(4),
                (),
            )
        )
        with self.assertRaises(ValueError):
            peer_state.decode_state(encoded)
        damaged = encoded[:60] + bytes(20) + encoded[80:]
        with self.assertRaises(wire.DECODE_ERRORS):
            peer_state.decode_state(damaged)


def confirmation(version=5, servers_known=10, age=0.5, evacuations_known=None):
    """Returns the report of a peer that knew the newest objects."""
    if evacuations_known is None:
        evacuations_known = servers_known
    return load_reports.LoadReport(
        ids.Incarnation(1),
        None,
        ids.AvailabilityZoneId("z"),
        1,
        ids.Epoch(version),
        at(0),
        (),
        (),
        (),
        (),
        (),
        configuration_age=age,
        servers_age=age,
        servers_known=at(servers_known),
        evacuations_known=at(evacuations_known),
        evacuations_age=age,
    )


class EraTest(unittest.TestCase):
    """Guards against revisions that are compared across a restore."""

    def setUp(self):
        self.view = listed("i-1", "i-2", revision=90)

    def restore(self, *names, revision=20):
        self.view.on_server_listing(
            tuple(stored(name, revision, era=2) for name in names),
            at(revision, era=2),
            NOW,
        )
        self.view.expire(units.Instant(NOW + 60.0))

    def test_a_listing_of_a_new_era_replaces_one_of_a_higher_revision(self):
        self.restore("i-1")
        self.assertEqual(servers(self.view), {"i-1"})
        self.assertEqual(self.view.directory.revision, at(20, era=2))

    def test_a_listing_of_an_older_era_changes_nothing(self):
        """A call from before the restore is answered late."""
        self.restore("i-1")
        self.view.on_server_listing((stored("i-9", 95),), at(95), NOW)
        self.assertEqual(servers(self.view), {"i-1"})

    def test_changes_of_another_era_are_not_mixed_into_a_listing(self):
        self.view.on_server_events((), ("i-1",), at(91, era=2), NOW)
        self.assertEqual(servers(self.view), {"i-1", "i-2"})
        self.restore("i-1")
        self.view.on_server_events((stored("i-9", 92),), (), at(92), NOW)
        self.assertEqual(servers(self.view), {"i-1"})

    def test_a_peer_of_the_old_era_gets_the_whole_list(self):
        """Its revision is higher than all of the new era."""
        old = listed("i-1", "i-2", revision=90)
        self.restore("i-1")
        self.assertFalse(take_state(old, self.view).partial)
        self.assertEqual(old.directory.revision, at(20, era=2))

    def test_the_state_of_a_peer_of_the_old_era_changes_nothing(self):
        old = listed("i-1", "i-2", revision=90)
        self.restore("i-1")
        take_state(self.view, old)
        self.assertEqual(servers(self.view), {"i-1"})

    def test_a_restore_without_servers_is_reported_as_a_change(self):
        before = self.view.last_server_change
        self.restore()
        self.assertGreater(self.view.last_server_change, before)


class PeerConfirmationTest(unittest.TestCase):
    """Guards against daemons that confirm each other's outdated state."""

    def setUp(self):
        self.view = listed(*NAMES, revision=10, has_evacuations=True)
        self.view.on_configuration(peer_state.StoredObject("main", at(9), b"5"))
        self.view.on_evacuation_listing((), at(10), NOW)

    def ages(self):
        return tuple(
            self.view.freshness_of(kind).age(NOW) for kind in codecs.ObjectKind
        )

    def test_a_peer_confirms_objects_that_are_not_older(self):
        for version, known in ((5, 10), (4, 8)):
            with self.subTest(version=version, known=known):
                self.setUp()
                self.view.on_peer_confirmed(confirmation(version, known), NOW)
                self.assertEqual(self.ages(), (0.5, 0.5, 0.5))

    def test_a_peer_with_newer_objects_confirms_nothing(self):
        self.view.on_peer_confirmed(confirmation(6, 11), NOW)
        self.assertEqual(self.ages(), (None, None, None))

    def test_a_peer_that_has_listed_a_removal_confirms_nothing(self):
        """Its remaining objects are all known here, the removal is not."""
        peer = listed("i-1", revision=10)
        peer.on_server_listing((stored("i-1", 10),), at(12), NOW)
        self.assertEqual(peer.last_server_change, at(10))
        self.view.on_peer_confirmed(
            confirmation(5, peer.servers_known.number, evacuations_known=10),
            NOW,
        )
        self.assertEqual(self.ages(), (0.5, None, 0.5))

    def test_a_check_extends_what_is_known(self):
        """Other objects of the store raise its revision, too."""
        for kind in (codecs.ObjectKind.SERVERS, codecs.ObjectKind.EVACUATIONS):
            self.view.on_store_checked(kind, at(30), NOW)
        self.view.on_peer_confirmed(confirmation(5, 30, age=0.0), NOW)
        self.assertEqual(self.ages(), (0.0, 0.0, 0.0))

    def test_a_peer_that_knows_no_age_confirms_nothing(self):
        """Daemons of an older build do not send it."""
        self.view.on_peer_confirmed(confirmation(age=None), NOW)
        self.assertEqual(self.ages(), (None, None, None))


def zone_object(zone, revision, era=1):
    """Returns the object of an evacuated zone."""
    return peer_state.StoredObject(zone, at(revision, era), b"{}")


class EvacuationTest(unittest.TestCase):
    """Guards against new work for servers of an evacuated zone."""

    def setUp(self):
        self.view = listed("i-1", "i-2", revision=10, has_evacuations=True)
        self.view.on_configuration(peer_state.StoredObject("main", at(9), b"5"))

    def accepting(self, view=None):
        return len((view or self.view).servers_accepting_work("s"))

    def change(self, *zones, removed=(), revision):
        self.view.on_events(
            codecs.ObjectKind.EVACUATIONS,
            tuple(zone_object(zone, revision) for zone in zones),
            removed,
            at(revision),
            NOW,
        )

    def test_servers_of_an_evacuated_zone_get_no_new_work(self):
        """Also those that were chosen before, and that register later."""
        self.view.on_evacuation_listing((), at(11), NOW)
        chosen = self.view.servers_accepting_work("s")[0]
        self.change("unknown", revision=12)
        self.assertTrue(self.view.accepts_new_work(chosen))
        self.change("z", revision=13)
        self.assertFalse(self.view.accepts_new_work(chosen))
        self.view.on_server_events((stored("i-3", 14),), (), at(14), NOW)
        self.assertEqual(self.accepting(), 0)
        self.change(removed=("z",), revision=15)
        self.assertTrue(self.view.accepts_new_work(chosen))
        self.assertEqual(self.accepting(), 3)

    def test_a_server_that_left_since_it_was_chosen_gets_no_new_work(self):
        self.view.on_evacuation_listing((), at(11), NOW)
        first, second = self.view.servers_accepting_work("s")
        draining = stored("i-1", 12, forwarding_states.ServerState.DRAINING)
        replaced = peer_state.StoredObject("i-2", at(12), b"ready:2")
        self.view.on_server_events((draining, replaced), (), at(12), NOW)
        self.assertFalse(self.view.accepts_new_work(first))
        self.assertFalse(self.view.accepts_new_work(second))

    def test_a_daemon_that_starts_waits_for_the_evacuations(self):
        """Configuration and servers alone would let it use the zone."""
        self.view.expire(NOW)
        self.assertFalse(self.view.complete)
        self.view.on_evacuation_listing((zone_object("z", 3),), at(11), NOW)
        self.assertTrue(self.view.complete)
        self.assertEqual(self.accepting(), 0)

    def test_a_daemon_serves_if_nobody_knows_the_evacuations(self):
        """The store is away, and the peers are of an older version."""
        self.view.expire(NOW)
        self.view.expire(units.Instant(NOW + 2.9))
        self.assertFalse(self.view.complete)
        self.view.expire(units.Instant(NOW + 3.0))
        self.assertTrue(self.view.complete)
        self.view.on_evacuation_listing((zone_object("z", 3),), at(11), NOW)
        self.assertEqual(self.accepting(), 0)

    def test_a_peer_brings_the_evacuations(self):
        """The receiver is new, is behind, or has all but the last change."""
        self.view.on_evacuation_listing((zone_object("z", 3),), at(11), NOW)
        member = new_view(has_evacuations=True)
        take_state(member, self.view)
        self.assertTrue(member.complete)
        self.assertEqual(self.accepting(member), 0)
        self.change(removed=("z",), revision=12)
        take_state(member, self.view)
        self.assertEqual(self.accepting(member), 2)
        take_state(self.view, listed(has_evacuations=True))
        self.assertEqual(self.accepting(), 2)

    def test_evacuations_are_ignored_where_the_deployment_has_none(self):
        self.view.on_evacuation_listing((zone_object("z", 3),), at(11), NOW)
        member = listed("i-1")
        take_state(member, self.view)
        self.assertEqual(self.accepting(member), 1)

    def test_a_peer_of_an_older_version_knows_no_evacuations(self):
        """Its answer has none of the new fields, its request neither."""
        old = listed("i-1", "i-2", revision=20)
        self.view.on_evacuation_listing((zone_object("z", 3),), at(11), NOW)
        take_state(self.view, old)
        self.assertEqual(self.accepting(), 0)
        request = peer_state.encode_state_request(old.known_state)
        known = peer_state.decode_state_request(request)
        self.assertEqual(known, old.known_state)
        self.assertEqual(known.evacuations, store_revisions.NONE)


class ServerNoticesTest(unittest.TestCase):
    """Guards against new work for servers that have asked for none."""

    def setUp(self):
        self.view = listed("i-1", "i-2")
        self.leaving = self.view.directory.entry("i-1")

    def accepting(self):
        return {entry.id for entry in self.view.servers_accepting_work("s")}

    def test_nothing_older_brings_a_leaving_server_back(self):
        """Its entry says ready, in the store and in the state of peers."""
        self.assertEqual(self.accepting(), {"i-1", "i-2"})
        self.view.notices.on_answer(
            self.leaving, requests.ServerNotices(leaving=True)
        )
        self.assertEqual(self.accepting(), {"i-2"})
        ready = (stored("i-1", 12), stored("i-2", 12))
        self.view.on_server_listing((stored("i-2", 11),), at(11), NOW)
        self.view.on_server_listing(ready, at(12), NOW)
        self.view.on_server_events(ready[:1], (), at(13), NOW)
        self.view.on_peer_state(
            peer_state.PeerState(
                store_revisions.NONE, (), at(14), ready, partial=False
            ),
            NOW,
        )
        copy = (stored("i-1", 5, era=2), stored("i-2", 5, era=2))
        self.view.on_server_listing(copy, at(5, era=2), NOW)
        self.assertEqual(self.accepting(), {"i-2"})
        self.assertFalse(self.view.accepts_new_work(self.leaving))

    def test_a_server_that_starts_again_is_used(self):
        self.view.notices.on_answer(
            self.leaving, requests.ServerNotices(leaving=True)
        )
        again = peer_state.StoredObject("i-1", at(12), b"ready:2")
        self.view.on_server_events((again,), (), at(12), NOW)
        self.assertEqual(self.accepting(), {"i-1", "i-2"})
        self.assertTrue(
            self.view.accepts_new_work(self.view.directory.entry("i-1"))
        )
        self.assertFalse(self.view.accepts_new_work(self.leaving))

    def test_a_request_is_not_sent_to_a_server_that_pauses(self):
        """It may have been chosen before another one was refused."""
        self.view.notices.on_answer(
            self.leaving, requests.ServerNotices(pause=result.Ok(2.0))
        )
        self.assertFalse(self.view.accepts_new_work(self.leaving))
        self.assertTrue(
            self.view.accepts_new_work(self.view.directory.entry("i-2"))
        )


if __name__ == "__main__":
    unittest.main()
