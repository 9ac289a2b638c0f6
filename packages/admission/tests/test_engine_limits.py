"""Tests what daemons believe about the request limits of servers."""

from __future__ import annotations

import unittest

from lavendershed.admission import engine_limits
from lavendershed.core import ids
from lavendershed.core import units

SERVER = ids.ServerNumber(7)
RATE = units.RequestsPerSecond(2.0)


def at(seconds):
    """Returns a time of the test."""
    return units.Instant(float(seconds))


class EngineLimitsTest(unittest.TestCase):
    """Guards against limits that are missed, or kept after their end."""

    def setUp(self):
        self.limits = engine_limits.EngineLimits()

    def test_a_limit_holds_until_an_answer_does_not_name_it(self):
        self.limits.on_named(SERVER, RATE, at(1))
        self.assertEqual(self.limits.limit(SERVER).rate, RATE)
        self.limits.on_not_named(SERVER, sent_at=at(2), now=at(3))
        self.assertIsNone(self.limits.limit(SERVER))

    def test_an_overtaken_answer_does_not_end_a_limit(self):
        """An answer from before the limit arrives on another connection."""
        self.limits.on_named(SERVER, RATE, at(5))
        self.limits.on_not_named(SERVER, sent_at=at(4), now=at(6))
        self.assertEqual(self.limits.limit(SERVER).rate, RATE)

    def test_servers_without_a_limit_take_no_memory(self):
        self.limits.on_not_named(SERVER, sent_at=at(1), now=at(2))
        self.assertIsNone(self.limits.limit(SERVER))
        self.assertEqual(self.limits.limited_count, 0)

    def test_a_new_incarnation_starts_without_a_limit(self):
        self.limits.on_named(SERVER, RATE, at(1))
        self.limits.retain(frozenset({ids.ServerNumber(8)}), at(60))
        self.assertIsNone(self.limits.limit(SERVER))

    def test_a_limit_is_kept_as_long_as_its_server_is_registered(self):
        """No request for an hour is no sign that the limit has ended."""
        self.limits.on_named(SERVER, RATE, at(1))
        self.limits.retain(frozenset({SERVER}), at(3_600))
        self.assertEqual(self.limits.limit(SERVER).rate, RATE)

    def test_limits_are_bounded(self):
        for named, applied in (
            (0.0, engine_limits.MIN_RATE),
            (1e30, engine_limits.MAX_RATE),
            (3.5, 3.5),
        ):
            with self.subTest(named=named):
                self.assertEqual(engine_limits.bounded(named), applied)


if __name__ == "__main__":
    unittest.main()
