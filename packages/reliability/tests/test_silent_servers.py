"""Tests the memory of servers that are silent."""

from __future__ import annotations

import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import silent_servers

SERVERS = tuple(
    (ids.BackendServerId(f"s-{n}"), ids.Incarnation(1)) for n in range(8)
)


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


class SilentServersTest(unittest.TestCase):
    """Guards against a pause of many servers that overloads the others."""

    def setUp(self):
        self.silences = silent_servers.SilentServers()

    def set_silent(self, count, now=0.0):
        for server in SERVERS[:count]:
            self.silences.on_silent(server, at(now))

    def test_a_few_silent_servers_are_avoided(self):
        self.set_silent(2)
        expected = {"s-0", "s-1"}
        self.assertEqual(self.silences.avoided(SERVERS, at(1.0)), expected)

    def test_none_is_avoided_if_many_are_silent(self):
        self.set_silent(3)
        self.assertEqual(self.silences.avoided(SERVERS, at(1.0)), frozenset())
        self.assertEqual(len(self.silences.silent(SERVERS, at(1.0))), 3)

    def test_one_of_two_servers_is_avoided(self):
        self.set_silent(1)
        self.assertEqual(self.silences.avoided(SERVERS[:2], at(0.0)), {"s-0"})

    def test_an_answer_ends_the_silence(self):
        self.set_silent(1)
        self.silences.on_answer(SERVERS[0])
        self.assertEqual(self.silences.silent(SERVERS, at(0.0)), frozenset())

    def test_a_server_that_was_not_used_since_is_tried_again(self):
        self.set_silent(1)
        self.assertEqual(self.silences.silent(SERVERS, at(2.1)), frozenset())

    def test_another_incarnation_is_not_silent(self):
        self.set_silent(1)
        restarted = (SERVERS[0][0], ids.Incarnation(2))
        self.assertFalse(self.silences.silent((restarted,), at(0.0)))


if __name__ == "__main__":
    unittest.main()
