"""Tests what daemons believe about servers that say that they are leaving."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import ids
from lavendershed.reliability import leaving_servers

SERVER = ids.ServerNumber(7)
RESTARTED = ids.ServerNumber(8)
ALL = frozenset(map(ids.ServerNumber, range(12)))
NONE = frozenset()
# More than the daemons remember of servers without an entry.
MANY = 2_000

numbers = strategies.sampled_from(sorted(ALL))
servers = strategies.frozensets(numbers)
# Answers to a daemon, reports of one to another, and lists of servers.
steps = strategies.lists(
    strategies.tuples(strategies.just("answer"), numbers)
    | strategies.tuples(strategies.just("report"), strategies.booleans())
    | strategies.tuples(strategies.just("list"), servers),
    max_size=40,
)


class LeavingServersTest(unittest.TestCase):
    """Guards against new work for a server that has said that it leaves."""

    def setUp(self):
        self.leaving = leaving_servers.LeavingServers()

    def test_an_answer_holds_whatever_the_store_lists(self):
        """Guards against an older entry that brings a server back."""
        self.assertTrue(self.leaving.on_answer(SERVER))
        for listed in (ALL, NONE, ALL):
            self.leaving.on_servers(listed, listed)
            self.assertTrue(self.leaving.is_leaving(SERVER))
        self.assertFalse(self.leaving.on_answer(SERVER))

    def test_a_new_incarnation_starts_clean(self):
        self.leaving.on_answer(SERVER)
        self.leaving.on_servers(frozenset({RESTARTED}), frozenset({RESTARTED}))
        self.assertFalse(self.leaving.is_leaving(RESTARTED))

    def test_news_of_a_peer_hold_before_the_entry_is_known(self):
        self.assertEqual(self.leaving.on_peer_news((SERVER,)), (SERVER,))
        self.leaving.on_servers(ALL, ALL)
        self.assertTrue(self.leaving.is_leaving(SERVER))

    def test_only_own_news_about_ready_entries_are_reported(self):
        """Guards against reports that grow with each server that ever left."""
        self.leaving.on_servers(ALL, ALL)
        self.leaving.on_answer(SERVER)
        self.leaving.on_peer_news((RESTARTED,))
        self.assertEqual(self.leaving.to_report, (SERVER,))
        self.leaving.on_servers(ALL, ALL - {SERVER})
        self.assertEqual(self.leaving.to_report, ())

    def test_the_newest_news_are_reported_first(self):
        """A report has room for some; the others were in earlier ones."""
        self.leaving.on_servers(ALL, ALL)
        for number in (3, 1, 2):
            self.leaving.on_answer(ids.ServerNumber(number))
        self.assertEqual(self.leaving.to_report, (2, 1, 3))

    def test_memory_is_bounded_and_listed_servers_are_kept(self):
        self.leaving.on_answer(SERVER)
        self.leaving.on_servers(frozenset({SERVER}), NONE)
        self.leaving.on_peer_news(range(100, 100 + MANY))
        remembered = sum(map(self.leaving.is_leaving, range(100, 100 + MANY)))
        self.assertLess(remembered, MANY)
        self.assertTrue(self.leaving.is_leaving(SERVER))
        self.assertTrue(self.leaving.is_leaving(99 + MANY))

    @hypothesis.given(steps, strategies.integers(0, 2**32))
    def test_news_are_never_lost_and_spread_to_all(self, played, seed):
        """Reports are lost, repeated and late; lists are of any age."""
        generator = random.Random(seed)
        fleet = [leaving_servers.LeavingServers() for _ in range(3)]
        for daemon in fleet:
            daemon.on_servers(ALL, ALL)
        told = [set() for _ in fleet]
        sent = [()]
        for kind, value in played:
            at = generator.randrange(len(fleet))
            match kind:
                case "answer":
                    self.assertEqual(
                        fleet[at].on_answer(value), value not in told[at]
                    )
                    told[at].add(value)
                case "report":
                    if value:
                        sent.append(fleet[at].to_report)
                    old = generator.choice(sent)
                    new = fleet[at].on_peer_news(old)
                    self.assertEqual(set(new), set(old) - told[at])
                    told[at].update(old)
                case "list":
                    fleet[at].on_servers(value, value)
            for daemon, known in zip(fleet, told, strict=True):
                self.assertEqual(set(filter(daemon.is_leaving, ALL)), known)
        for daemon in fleet:
            daemon.on_servers(ALL, ALL)
        reports = [daemon.to_report for daemon in fleet]
        for daemon in fleet:
            for report in reports:
                daemon.on_peer_news(report)
        for daemon in fleet:
            self.assertEqual(
                set(filter(daemon.is_leaving, ALL)), set().union(*told)
            )


if __name__ == "__main__":
    unittest.main()
