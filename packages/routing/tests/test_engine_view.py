"""Tests the load estimate and the prefix index of an engine."""

from __future__ import annotations

import unittest

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import engine_view

ENGINE = ids.BackendServerId("engine-1")
PEER = ids.VmId("vm-2")


def report(timestamp, prefill):
    """Returns a report whose engine clock is 1,000 s behind."""
    return backend_servers.LoadReport(
        timestamp - 1_000.0,
        ids.Incarnation(1),
        1,
        0,
        units.Tokens(prefill),
        units.Bytes(0),
        units.Bytes(1),
        states.EngineRole.GENERAL,
        (),
        False,
    )


class EngineViewTest(unittest.TestCase):
    """Fails if prompt tokens are missed or counted after their prefill."""

    def setUp(self):
        self.view = engine_view.EngineView(
            ENGINE, units.Tokens(400_000), 20_000.0, 100
        )

    def tokens(self, now):
        return self.view.estimate(units.Instant(now)).prefill_tokens

    def peer_load(self, tokens, now):
        load = cluster.EngineLoad(ENGINE, 1, units.Tokens(tokens))
        self.view.on_peer_load(PEER, load, units.Instant(now))

    def test_peer_dispatch_counts_until_a_report_contains_it(self):
        self.view.on_report(report(2_000.0, 0), units.Instant(2_000.0))
        self.peer_load(50_000, 2_000.2)
        # This report is late: it was taken before the peer's dispatch.
        self.view.on_report(report(2_000.1, 0), units.Instant(2_000.3))
        self.assertGreater(self.tokens(2_000.3), 40_000)
        self.view.on_report(report(2_000.6, 100), units.Instant(2_000.6))
        self.assertEqual(self.tokens(2_000.6), 100)

    def test_repeated_digest_adds_nothing(self):
        self.peer_load(50_000, 2_000.0)
        self.peer_load(50_000, 2_000.1)
        self.assertLessEqual(self.tokens(2_000.1), 50_000)

    def test_reported_prefill_decreases_with_time(self):
        self.view.on_report(report(2_000.0, 50_000), units.Instant(2_000.0))
        self.assertEqual(self.tokens(2_000.0), 50_000)
        self.assertLess(self.tokens(2_002.0), 15_000)


if __name__ == "__main__":
    unittest.main()
