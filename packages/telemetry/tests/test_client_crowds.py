"""Tests what is logged of crowds of callers."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.telemetry import client_crowds
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.transport import client_memory

Standing = client_memory.Standing
EVENT = events.Event
LIMIT = 100_000


class Holder(client_memory.Holder):
    """A connection that is only counted."""

    def refresh(self):
        """Nothing is taken of its response."""

    def give_up(self, standing):
        """Is closed."""


class Server:
    """What the recorder reads of a server."""

    def __init__(self):
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(units.Bytes(LIMIT), 4)
        )
        self.accept_pauses = 0
        self.accepting = True
        self.delayed_inputs = 0
        self.waiting_inputs = 0


class ClientCrowdRecorderTest(unittest.TestCase):
    """Fails if a caller is refused or closed without a trace."""

    def setUp(self):
        self.server = Server()
        self.log = log.MemoryEventLog()
        self.instruments = request_instruments.RequestInstruments(
            ids.VmId("vm")
        )
        self.recorder = client_crowds.ClientCrowdRecorder(
            "callers", self.server, self.log, self.instruments
        )

    def report(self):
        """Returns the events of one report and the metrics after it."""
        self.log.records.clear()
        self.recorder.report()
        return list(self.log.records), self.instruments.exposition().decode()

    def test_nothing_is_logged_in_calm(self):
        account = self.server.memory.open(Holder(), "a", 0.0)
        account.update(Standing.SERVED, 10_000, 0.0)
        records, metrics = self.report()
        self.assertEqual(records, [])
        self.assertRegex(metrics, r"client_memory_bytes{[^}]*} 18192")
        self.assertRegex(metrics, r"client_connections{[^}]*} 1\.0")

    def test_connections_that_were_given_up_are_counted_once(self):
        for _ in range(4):
            self.server.memory.open(Holder(), "a", 0.0)
        self.server.memory.open(Holder(), "a", 10.0)
        ((event, fields),), metrics = self.report()
        self.assertIs(event, EVENT.CONNECTIONS_GIVEN_UP)
        self.assertEqual(fields["given_up"], ["unused=1"])
        self.assertEqual(fields["connections"], 4)
        self.assertRegex(
            metrics, r'connections_given_up_total{[^}]*standing="unused"} 1\.0'
        )
        self.assertEqual(self.report()[0], [])

    def test_requests_without_memory_are_counted_once(self):
        account = self.server.memory.open(Holder(), "a", 0.0)
        for _ in range(3):
            account.update(Standing.RECEIVING, LIMIT, 0.0)
        ((event, fields),), metrics = self.report()
        self.assertIs(event, EVENT.REQUESTS_WITHOUT_MEMORY)
        self.assertEqual(fields["count"], 3)
        self.assertRegex(metrics, r"requests_without_memory_total{[^}]*} 3\.0")
        self.assertEqual(self.report()[0], [])

    def test_delayed_input_is_logged_while_more_of_it_waits(self):
        self.server.delayed_inputs = 5
        self.assertEqual(self.report()[0], [])
        self.server.delayed_inputs, self.server.waiting_inputs = 12, 3
        ((event, fields),), metrics = self.report()
        self.assertIs(event, EVENT.INPUT_DELAYED)
        self.assertEqual((fields["count"], fields["waiting"]), (7, 3))
        self.assertRegex(metrics, r"delayed_inputs_total{[^}]*} 12\.0")
        self.assertEqual(self.report()[0], [])

    def test_pauses_of_accepting_begin_and_end_with_one_line(self):
        self.server.accepting = False
        seen = []
        for pauses in (1, 5, 9, 9):
            self.server.accept_pauses = pauses
            seen += [event for event, _ in self.report()[0]]
        self.assertEqual(seen, [EVENT.ACCEPTS_PAUSED])
        self.server.accepting = True
        ((event, fields),), metrics = self.report()
        self.assertIs(event, EVENT.ACCEPTS_RESUMED)
        self.assertEqual(fields["pauses"], 9)
        self.assertRegex(metrics, r"accept_pauses_total{[^}]*} 9\.0")


if __name__ == "__main__":
    unittest.main()
