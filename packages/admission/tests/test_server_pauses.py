"""Tests how long servers that ask for a pause get no requests."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.admission import server_pauses
from lavendershed.core import ids
from lavendershed.core import units

SERVER = ids.ServerNumber(7)
OTHER = ids.ServerNumber(8)
NOW = units.Instant(100.0)

numbers = strategies.sampled_from((SERVER, OTHER))
seconds = strategies.floats(0.0, 20.0)


def after(delay):
    """Returns a time of the test."""
    return units.after(NOW, units.Seconds(delay))


class ServerPausesTest(unittest.TestCase):
    """Guards against requests to a server that has asked for none."""

    def setUp(self):
        self.pauses = server_pauses.ServerPauses()

    def test_a_pause_counts_from_the_arrival_of_the_answer(self):
        self.pauses.on_asked(SERVER, units.Seconds(2.5), NOW)
        self.assertEqual(self.pauses.ends_at(SERVER), after(2.5))
        self.assertEqual(self.pauses.count(after(2.4)), 1)
        self.assertEqual(self.pauses.count(after(2.5)), 0)

    def test_an_answer_that_was_overtaken_shortens_no_pause(self):
        self.pauses.on_asked(SERVER, units.Seconds(5.0), NOW)
        self.pauses.on_asked(SERVER, units.Seconds(0.5), after(0.1))
        self.pauses.on_asked(SERVER, units.Seconds(0.0), after(0.2))
        self.assertEqual(self.pauses.ends_at(SERVER), after(5.0))

    def test_servers_pause_independently(self):
        """A new incarnation has another number, and starts without a pause."""
        self.pauses.on_asked(SERVER, units.Seconds(5.0), NOW)
        self.assertLess(self.pauses.ends_at(OTHER), NOW)
        self.assertEqual(self.pauses.wait_time((SERVER, OTHER), NOW), 0.0)
        self.assertEqual(self.pauses.wait_time((), NOW), 0.0)

    def test_if_all_pause_the_first_end_counts(self):
        self.pauses.on_asked(SERVER, units.Seconds(5.0), NOW)
        self.pauses.on_asked(OTHER, units.Seconds(3.0), NOW)
        wait = self.pauses.wait_time((SERVER, OTHER), after(1.0))
        self.assertAlmostEqual(wait, 2.0)

    def test_pauses_are_bounded(self):
        for asked, applied in (
            (-1.0, 0.0),
            (0.25, 0.25),
            (86_400.0, server_pauses.MAX_PAUSE),
            (1e32, server_pauses.MAX_PAUSE),
        ):
            with self.subTest(asked=asked):
                self.assertEqual(server_pauses.bounded(asked), applied)

    @hypothesis.given(
        strategies.lists(strategies.tuples(numbers, seconds, seconds))
    )
    def test_no_answer_is_forgotten_before_its_pause_ends(self, answers):
        """Compares with all answers so far, in any order and at any time."""
        self.setUp()
        now = NOW
        asked = {SERVER: [], OTHER: []}
        for server, delay, pause in answers:
            now = units.after(now, units.Seconds(delay))
            self.pauses.on_asked(server, units.Seconds(pause), now)
            asked[server].append(units.after(now, units.Seconds(pause)))
            for number, ends in asked.items():
                expected = any(end > now for end in ends)
                self.assertEqual(self.pauses.ends_at(number) > now, expected)
                if expected:
                    self.assertEqual(self.pauses.ends_at(number), max(ends))


if __name__ == "__main__":
    unittest.main()
