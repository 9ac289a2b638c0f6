"""Tests what the server list and failures say about cold engines."""

from __future__ import annotations

import types
import unittest

from lavendershed.admission import cold_engines
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import cold_observer
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.routes import model
from lavendershed.routing import engine_slowdown
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments


class ColdObserverTest(unittest.TestCase):
    """Guards against engines whose cold state nobody takes note of."""

    def setUp(self):
        self.timers = timers.VirtualTimerService()
        self.cold = cold_engines.ColdEngines()
        self.slowdowns = engine_slowdown.EngineSlowdowns()
        self.log = log.MemoryEventLog()
        self.view = types.SimpleNamespace(
            directory=types.SimpleNamespace(
                is_initialised=True, entries=(), entry=self.entry
            ),
            evacuations=types.SimpleNamespace(
                evacuations=types.SimpleNamespace(zones=frozenset())
            ),
            table=types.SimpleNamespace(
                configuration=types.SimpleNamespace(services=())
            ),
        )
        self.observer = cold_observer.ColdObserver(
            self.view,
            self.cold,
            self.slowdowns,
            self.timers,
            self.log,
            request_instruments.RequestInstruments(ids.VmId("vm")),
        )
        self.configure(units.RequestsPerSecond(17.0))

    def configure(self, rate):
        self.view.table.configuration.services = (
            model.Service(
                ids.ServiceId("model"), 100, None, units.Seconds(3.0), rate
            ),
        )

    def entry(self, server):
        return next(
            (e for e in self.view.directory.entries if e.id == server), None
        )

    def list_engine(self, revision, remaining, incarnation=1):
        entry = server_entry(revision, remaining, incarnation)
        self.view.directory.entries = (entry,)
        self.observer.on_view()
        return entry

    def is_cold(self, entry):
        number = load_reports.hash_incarnation(entry.id, entry.incarnation)
        return self.cold.is_cold(number, self.timers.now())

    def logged(self, event):
        return [fields for e, fields in self.log.records if e is event]

    def test_an_engine_is_cold_as_long_as_its_entry_says(self):
        entry = self.list_engine(1, 2.0)
        self.assertTrue(self.is_cold(entry))
        self.assertEqual(len(self.logged(events.Event.ENGINE_COLD)), 1)
        self.assertGreater(
            self.slowdowns.factor(entry.id, self.timers.now()), 1.0
        )
        self.timers.advance(units.Seconds(2.5))
        self.assertFalse(self.is_cold(entry))
        self.assertEqual(len(self.logged(events.Event.ENGINE_WARM)), 1)

    def test_an_engine_that_starts_again_under_its_id_is_cold(self):
        self.list_engine(1, 0.0)
        entry = self.list_engine(2, 0.0, incarnation=2)
        self.assertTrue(self.is_cold(entry))

    def test_a_failure_here_or_at_a_peer_may_be_a_crash(self):
        entry = self.list_engine(1, 0.0)
        self.observer.on_failure(entry, units.Seconds(1.0))
        self.timers.advance(units.Seconds(3.9))
        self.assertTrue(self.is_cold(entry))
        self.timers.advance(units.Seconds(1.0))
        self.assertFalse(self.is_cold(entry))
        self.observer.on_peer_failures([(entry.id, units.Seconds(0.5))])
        self.assertTrue(self.is_cold(entry))

    def test_a_zone_that_is_taken_back_may_be_cold(self):
        entry = self.list_engine(1, 0.0)
        evacuations = self.view.evacuations.evacuations
        evacuations.zones = frozenset({entry.availability_zone})
        self.observer.on_view()
        self.assertFalse(self.is_cold(entry))
        evacuations.zones = frozenset()
        self.observer.on_view()
        self.assertTrue(self.is_cold(entry))

    def test_a_service_without_a_cold_rate_is_left_alone(self):
        self.configure(units.RequestsPerSecond(0.0))
        entry = self.list_engine(1, 2.0)
        self.observer.on_failure(entry, units.Seconds(1.0))
        self.assertFalse(self.is_cold(entry))
        self.assertEqual(
            self.slowdowns.factor(entry.id, self.timers.now()), 1.0
        )
        self.assertFalse(self.logged(events.Event.ENGINE_COLD))

    def test_a_new_rate_holds_at_once(self):
        entry = self.list_engine(1, 2.0)
        self.configure(units.RequestsPerSecond(4.0))
        self.observer.on_view()
        number = load_reports.hash_incarnation(entry.id, entry.incarnation)
        news = self.cold.news(number, self.timers.now())
        self.assertEqual(news.rate, 4.0)
        self.assertGreater(news.remaining, 2.0)

    def test_the_end_of_the_configured_rate_ends_the_limit(self):
        entry = self.list_engine(1, 2.0)
        self.configure(units.RequestsPerSecond(0.0))
        self.observer.on_view()
        self.assertFalse(self.is_cold(entry))


def server_entry(revision, remaining, incarnation):
    """Returns the entry of the engine."""
    return server_directory.ServerEntry(
        ids.BackendServerId("e"),
        ids.Incarnation(incarnation),
        ids.ServiceId("model"),
        addresses.Address("10.0.1.1", 80),
        ids.AvailabilityZoneId("a"),
        forwarding_states.ServerState.READY,
        store_revisions.of(1, revision),
        units.Seconds(remaining),
    )


if __name__ == "__main__":
    unittest.main()
