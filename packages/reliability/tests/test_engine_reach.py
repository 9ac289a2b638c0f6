"""Tests when a daemon takes its own links to the servers for cut."""

from __future__ import annotations

import math
import random
import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import engine_reach

State = engine_reach.ReachState
STEP_S = 0.05
PROBE_S = 0.2


def target(number):
    """Returns a server; they are spread over three zones and two services."""
    return engine_reach.Target(
        addresses.Address(f"10.0.{number % 3}.{number}", 80),
        ids.AvailabilityZoneId("abc"[number % 3]),
        ids.ServiceId("model" if number % 8 else "plain"),
    )


class Link:
    """Probes and connections of one daemon, in virtual time."""

    def __init__(self, servers=24, seed=1):
        self.reach = engine_reach.EngineReach(random.Random(seed))
        self.servers = [target(number) for number in range(servers)]
        self.now = units.Instant(100.0)
        self.down = frozenset()
        self.hangs = True
        self.changes = []
        self.probes = 0
        self.pending = []

    def accepts(self, server):
        return server not in self.down

    def connect(self, server):
        """The result of a connection is known later if it hangs."""
        if self.accepts(server):
            self.note(self.reach.on_connected(server.address, self.now))
        elif self.hangs:
            self.pending.append((self.now + PROBE_S, server))
        else:
            self.fail(server)

    def fail(self, server):
        self.note(
            self.reach.on_connect_failed(
                server.address, len(self.servers), self.now
            )
        )

    def note(self, change):
        if change is not None:
            self.changes.append((self.now, change))

    def run(self, seconds, requests=()):
        for _ in range(round(seconds / STEP_S)):
            self.now = units.Instant(self.now + STEP_S)
            due = [s for at, s in self.pending if at <= self.now]
            self.pending = [p for p in self.pending if p[0] > self.now]
            for server in due:
                self.fail(server)
            if self.reach.next_probe_at <= self.now:
                for server in self.reach.select_targets(self.servers, self.now):
                    self.probes += 1
                    self.connect(server)
            for server in requests:
                self.connect(server)


class EngineReachTest(unittest.TestCase):
    """Guards against a cut found out by each request, and false alarms."""

    def test_a_cut_is_known_within_a_second_of_the_first_failure(self):
        for hangs in (True, False):
            with self.subTest(hangs=hangs):
                link = Link()
                link.hangs = hangs
                link.down = frozenset(link.servers)
                link.connect(link.servers[0])
                link.run(1.0)
                self.assertIs(link.reach.state, State.LOST)
                ((_, change),) = link.changes
                self.assertGreaterEqual(change.servers, 5)

    def test_one_silent_server_is_no_cut(self):
        link = Link()
        link.down = frozenset(link.servers[:1])
        for _ in range(20):
            link.connect(link.servers[0])
            link.run(0.3)
        self.assertEqual(link.changes, [])
        self.assertLessEqual(link.probes, 20 * 4)

    def test_a_herd_of_crashes_and_a_lost_zone_are_no_cut(self):
        for down in (range(0, 24, 3), range(16)):
            with self.subTest(down=down):
                link = Link()
                link.down = frozenset(link.servers[n] for n in down)
                link.hangs = False
                for number in down:
                    link.connect(link.servers[number])
                    link.run(0.1)
                self.assertEqual(link.changes, [])

    def test_the_way_back_takes_less_than_two_seconds(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                link = Link(seed=seed)
                link.down = frozenset(link.servers)
                link.connect(link.servers[0])
                link.run(10.0)
                cut_probes = link.probes
                link.down = frozenset()
                link.run(1.5)
                self.assertIs(link.reach.state, State.REACHABLE)
                self.assertEqual(len(link.changes), 2)
                self.assertLessEqual(cut_probes, 10 * 4 * 1.7)
                self.assertEqual(link.reach.next_probe_at, math.inf)

    def test_daemons_return_at_different_times(self):
        returned = set()
        for seed in range(20):
            link = Link(seed=seed)
            link.down = frozenset(link.servers)
            link.connect(link.servers[0])
            link.run(10.0)
            link.down = frozenset()
            link.run(1.5)
            returned.add(link.changes[-1][0])
        self.assertGreater(len(returned), 5)

    def test_a_fleet_of_few_servers(self):
        link = Link(servers=3)
        link.down = frozenset(link.servers)
        link.connect(link.servers[0])
        link.run(1.0)
        self.assertIs(link.reach.state, State.LOST)


if __name__ == "__main__":
    unittest.main()
