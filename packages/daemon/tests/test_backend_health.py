"""Tests which backend servers receive new work."""

from __future__ import annotations

import random
import unittest

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_health
from lavendershed.telemetry import log

SERVER_A = ids.BackendServerId("a")
SERVER_B = ids.BackendServerId("b")
OLD_INCARNATION = ids.Incarnation(2)
NEW_INCARNATION = ids.Incarnation(1)
PEER = backend_servers.Owner(ids.VmId("vm-2"), ids.Incarnation(7))
SERVICE = ids.ServiceId("drafting")
ERROR_KINDS = backend_servers.BackendErrorKind


class FakeExchange(cluster.RecordExchange):
    """Stores published records and delivers records of a peer."""

    def __init__(self):
        self.published = []
        self.listeners = []

    def publish(self, record):
        self.published.append(record)

    def subscribe(self, listener):
        self.listeners.append(listener)

    def deliver(self, record):
        for listener in self.listeners:
            listener(PEER, record)


def report(incarnation, leaving=False):
    """Returns a load report of an idle engine."""
    return backend_servers.LoadReport(
        0.0,
        incarnation,
        0,
        0,
        units.Tokens(0),
        units.Bytes(0),
        units.Bytes(1),
        states.EngineRole.GENERAL,
        (),
        leaving,
    )


def error(kind, leaving=False):
    """Returns the error of a failed call."""
    return backend_servers.BackendError(kind, False, "", leaving)


class BackendHealthTest(unittest.TestCase):
    """Fails if a leaving server gets work or a healthy one gets none."""

    def setUp(self):
        self.timers = timers.VirtualTimerService()
        self.exchange = FakeExchange()
        self.health = backend_health.BackendHealth(
            self.timers, random.Random(1), self.exchange, log.MemoryEventLog()
        )
        servers = tuple(
            model.BackendServer(
                name, "127.0.0.1:1", ids.AvailabilityZoneId("z"), ids.VmId(name)
            )
            for name in (SERVER_A, SERVER_B)
        )
        service = model.Service(
            SERVICE, states.ServiceKind.MODEL_ENGINE, servers
        )
        new = model.Configuration(
            ids.Epoch(1), ids.PresetName("day"), {}, {SERVICE: service}, {}
        )
        self.health.on_configuration(model.EMPTY, new)

    def refuse(self, server):
        self.health.on_error(server, error(ERROR_KINDS.CONNECTION_REFUSED))

    def advance(self, seconds):
        self.timers.advance(units.Seconds(seconds))

    def assert_accepts(self, server, expected):
        self.assertIs(self.health.accepts_work(server), expected)

    def test_leaving_report_of_any_source_stops_work_immediately(self):
        sources = {
            "load report": lambda: self.health.on_load_report(
                SERVER_A, report(OLD_INCARNATION, leaving=True)
            ),
            "refused call": lambda: self.health.on_error(
                SERVER_A, error(ERROR_KINDS.REFUSED_BEFORE_START, leaving=True)
            ),
            "VM list": lambda: self.health.on_vm_list(
                object_store.VmList(frozenset(), frozenset({ids.VmId("a")}))
            ),
            "peer": lambda: self.exchange.deliver(
                cluster.BackendLeavingRecord(SERVER_A, OLD_INCARNATION)
            ),
        }
        for name, report_leaving in sources.items():
            with self.subTest(name):
                self.setUp()
                report_leaving()
                self.assert_accepts(SERVER_A, False)
                self.assert_accepts(SERVER_B, True)
                expected = [] if name == "peer" else [SERVER_A]
                published = [
                    record.server for record in self.exchange.published
                ]
                self.assertEqual(published, expected)

    def test_restarted_server_is_used_and_stale_leaving_records_are_ignored(
        self,
    ):
        self.health.on_load_report(
            SERVER_A, report(OLD_INCARNATION, leaving=True)
        )
        self.health.on_load_report(SERVER_A, report(NEW_INCARNATION))
        self.assert_accepts(SERVER_A, True)
        self.exchange.deliver(
            cluster.BackendLeavingRecord(SERVER_A, OLD_INCARNATION)
        )
        self.assert_accepts(SERVER_A, True)

    def test_later_report_of_the_same_incarnation_does_not_end_leaving(self):
        self.exchange.deliver(
            cluster.BackendLeavingRecord(SERVER_A, OLD_INCARNATION)
        )
        self.health.on_load_report(SERVER_A, report(OLD_INCARNATION))
        self.assert_accepts(SERVER_A, False)

    def test_leaving_report_without_incarnation_expires(self):
        leaving = error(ERROR_KINDS.REFUSED_BEFORE_START, leaving=True)
        self.health.on_error(SERVER_A, leaving)
        self.advance(29.0)
        self.assert_accepts(SERVER_A, False)
        self.advance(2.0)
        self.assert_accepts(SERVER_A, True)

    def test_refused_server_is_probed_by_one_request(self):
        self.refuse(SERVER_A)
        self.assert_accepts(SERVER_A, False)
        self.advance(0.5)
        self.assert_accepts(SERVER_A, True)
        self.health.on_request_sent(SERVER_A)
        self.assert_accepts(SERVER_A, False)
        self.health.on_success(SERVER_A)
        self.assert_accepts(SERVER_A, True)

    def test_backoffs_grow_up_to_the_maximum(self):
        for _ in range(12):
            self.refuse(SERVER_A)
            self.advance(10.0)
            self.assert_accepts(SERVER_A, True)
        self.refuse(SERVER_A)
        self.advance(4.9)
        self.assert_accepts(SERVER_A, False)

    def test_single_lost_connection_has_no_effect(self):
        self.health.on_error(SERVER_A, error(ERROR_KINDS.CONNECTION_LOST))
        self.assert_accepts(SERVER_A, True)
        self.health.on_error(SERVER_A, error(ERROR_KINDS.IDLE_TIMEOUT))
        self.health.on_error(SERVER_A, error(ERROR_KINDS.CONNECTION_LOST))
        self.assert_accepts(SERVER_A, False)

    def test_servers_are_retried_soon_if_all_of_a_service_are_down(self):
        for _ in range(8):
            self.refuse(SERVER_A)
            self.refuse(SERVER_B)
            self.advance(10.0)
        self.refuse(SERVER_A)
        self.refuse(SERVER_B)
        self.assert_accepts(SERVER_A, False)
        self.advance(0.5)
        self.assert_accepts(SERVER_A, True)
        self.assert_accepts(SERVER_B, True)


if __name__ == "__main__":
    unittest.main()
