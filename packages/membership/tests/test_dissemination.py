"""Tests for the dissemination of soft-state records and its bounds."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import simulation

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import dissemination
from lavendershed.membership import records
from lavendershed.membership import transmissions

LOCAL = backend_servers.Owner(ids.VmId("me"), ids.Incarnation(1))
PEER = backend_servers.Owner(ids.VmId("peer"), ids.Incarnation(2))
START = units.Instant(100.0)


def quarantine(number, lifetime=60.0):
    """Returns a quarantine record."""
    return cluster.QuarantineRecord(
        ids.Fingerprint(number), units.Seconds(lifetime)
    )


def from_peer(version, content, lifetime=60.0):
    """Returns a record received from another daemon."""
    return records.VersionedRecord(
        PEER, version, units.Seconds(lifetime), content
    )


class DisseminationTest(unittest.TestCase):
    """Fails if stale records replace newer ones or a bound is exceeded."""

    def setUp(self):
        self.records = dissemination.Dissemination(
            LOCAL,
            simulation.FixedSizer(),
            dissemination.DisseminationLimits(
                max_records=20, max_bytes=units.Bytes(1_500), max_per_origin=12
            ),
        )

    @hypothesis.given(strategies.permutations(range(1, 7)))
    @hypothesis.settings(derandomize=True, database=None, max_examples=30)
    def test_newest_version_wins_in_any_order(self, versions):
        store = dissemination.Dissemination(LOCAL, simulation.FixedSizer())
        for version in versions:
            load = cluster.LoadRecord(
                (
                    cluster.EngineLoad(
                        ids.BackendServerId("e"), version, units.Tokens(0)
                    ),
                )
            )
            store.on_record(from_peer(version, load), 3, START)
        (record,) = store.snapshot(START)
        self.assertEqual(record.version, 6)

    def test_lifetime_decreases_while_stored_and_ends(self):
        self.records.on_record(from_peer(1, quarantine(1), 10.0), 3, START)
        later = units.Instant(START + 4.0)
        self.assertEqual(self.records.snapshot(later)[0].lifetime, 6.0)
        self.assertEqual(self.records.snapshot(units.Instant(110.0)), ())
        self.assertEqual(self.records.total_bytes, 0)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 40), strategies.floats(0.1, 5_000.0)
            ),
            max_size=80,
        )
    )
    @hypothesis.settings(derandomize=True, database=None, max_examples=30)
    def test_number_and_bytes_stay_bounded(self, items):
        for version, (number, lifetime) in enumerate(items):
            content = quarantine(number, lifetime)
            self.records.on_record(
                from_peer(version, content, lifetime), 3, START
            )
            self.records.publish(content, 3, START)
            self.assertLessEqual(self.records.record_count, 15)
            self.assertLessEqual(self.records.total_bytes, 1_500)

    def test_transmissions_are_bounded_and_fit_the_size_limit(self):
        self.records.on_record(from_peer(1, quarantine(1)), 100, START)
        self.assertEqual(
            self.records.take_records(units.Bytes(99), START)[0], ()
        )
        sent = 0
        while self.records.take_records(units.Bytes(100), START)[0]:
            sent += 1
        self.assertEqual(sent, transmissions.transmission_limit(100))

    def test_urgent_record_is_sent_before_digests(self):
        store = dissemination.Dissemination(LOCAL, simulation.FixedSizer())
        for number in range(20):
            origin = backend_servers.Owner(
                ids.VmId(str(number)), ids.Incarnation(number)
            )
            store.on_record(
                records.VersionedRecord(
                    origin, 1, units.Seconds(9.0), cluster.LoadRecord(())
                ),
                100,
                START,
            )
        store.publish(quarantine(1), 100, START)
        (record,), _ = store.take_records(units.Bytes(100), START)
        self.assertEqual(record.content, quarantine(1))

    def test_urgent_record_reaches_all_within_five_seconds(self):
        # Work to a leaving server has to stop within 5 s.
        large = simulation.Cluster(60)
        large.run(20.0)
        large.loss = 0.1
        # Digests published by all daemons must not delay it.
        for daemon in large.daemons.values():
            daemon.publish(cluster.LoadRecord(()))
        large.daemons["vm-7"].publish(
            cluster.BackendLeavingRecord(ids.BackendServerId("e"), None)
        )
        large.run(5.0)
        missing = [
            vm
            for vm, daemon in large.daemons.items()
            if not any(
                isinstance(record.content, cluster.BackendLeavingRecord)
                for record in daemon.gossip.records.snapshot(large.timers.now())
            )
        ]
        self.assertEqual(missing, [])


class ByteBudgetTest(unittest.TestCase):
    """Fails if more than the rate and one burst can be sent."""

    @hypothesis.given(strategies.lists(strategies.floats(0.0, 3.0)))
    @hypothesis.settings(derandomize=True, database=None, max_examples=30)
    def test_sent_bytes_stay_below_rate_and_burst(self, pauses):
        budget = transmissions.ByteBudget(100.0, units.Bytes(50))
        now, sent = START, 0
        for pause in pauses:
            now = units.Instant(now + pause)
            size = budget.available(now)
            budget.spend(size, now)
            sent += size
        self.assertLessEqual(sent, 50 + 100.0 * (now - START) + 1)


if __name__ == "__main__":
    unittest.main()
