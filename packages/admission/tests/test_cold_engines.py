"""Tests what is known of cold engines."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.admission import cold_engines
from lavendershed.admission import engine_limits
from lavendershed.admission import permit_allocator
from lavendershed.admission import request_limits
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units

SERVER = ids.ServerNumber(7)
PROFILE = cold_engines.ColdProfile(
    units.Seconds(3.0), units.RequestsPerSecond(17.0)
)
# Calls for permits, 200 a second.
_CALLS = 500
BOUNDS = cold_engines.ColdBounds(1.5, 5.0)


def statement(revision, remaining, server=SERVER):
    """Returns an entry of an engine."""
    return cold_engines.EngineStatement(
        server,
        store_revisions.of(1, revision),
        units.Seconds(remaining),
        PROFILE,
    )


class ColdEnginesTest(unittest.TestCase):
    """Guards against a cold engine that is taken to be warm."""

    def setUp(self):
        self.cold = cold_engines.ColdEngines(BOUNDS)

    def is_cold(self, at):
        return self.cold.is_cold(SERVER, units.Instant(at))

    def test_an_entry_of_the_first_listing_is_believed(self):
        self.cold.on_entries([statement(1, 0.0)], [], units.Instant(0.0))
        self.assertFalse(self.is_cold(0.0))

    def test_an_engine_that_appears_later_has_started(self):
        """Also one whose entry had lapsed, or that has a new incarnation."""
        self.cold.on_entries([statement(1, 0.0)], [], units.Instant(0.0))
        self.cold.on_entries([], [SERVER], units.Instant(1.0))
        self.cold.on_entries([statement(2, 0.0)], [], units.Instant(2.0))
        self.assertTrue(self.is_cold(4.9))
        self.cold.on_entries([statement(3, 0.0)], [], units.Instant(3.0))
        self.assertFalse(self.is_cold(3.0))

    def test_the_same_entry_is_no_later_statement(self):
        """A new configuration or another server's entry lists it again."""
        self.cold.on_entries([statement(1, 2.0)], [], units.Instant(0.0))
        self.cold.on_entries([statement(1, 2.0)], [], units.Instant(1.9))
        self.assertTrue(self.is_cold(1.9))
        self.assertFalse(self.is_cold(2.5))

    def test_a_failure_may_be_a_crash_until_the_next_entry(self):
        self.cold.on_entries([statement(1, 0.0)], [], units.Instant(0.0))
        self.cold.on_failure(SERVER, units.Seconds(1.0), units.Instant(1.0))
        self.assertTrue(self.is_cold(4.9))
        self.assertFalse(self.is_cold(6.0))
        # Written before the failure, it may be of the time before a crash.
        self.cold.on_entries([statement(2, 0.0)], [], units.Instant(1.1))
        self.assertTrue(self.is_cold(4.9))
        self.cold.on_entries([statement(3, 0.0)], [], units.Instant(3.5))
        self.assertFalse(self.is_cold(3.5))

    def test_an_engine_of_a_zone_that_is_taken_back_may_be_cold(self):
        """Its entry may say so up to an interval of its writes later."""
        self.cold.on_entries([statement(1, 0.0)], [], units.Instant(0.0))
        self.cold.on_taken_back(SERVER, units.Instant(5.0))
        self.assertTrue(self.is_cold(7.9))
        self.assertFalse(self.is_cold(8.5))

    def test_another_daemon_may_know_an_engine_first(self):
        news = cold_engines.ColdNews(PROFILE.rate, units.Seconds(2.0))
        self.cold.on_entries([], [], units.Instant(0.0))
        self.cold.on_peer_news(SERVER, news, units.Instant(0.0))
        self.cold.on_entries([], [], units.Instant(0.5))
        self.assertTrue(self.is_cold(1.9))
        self.assertFalse(self.is_cold(2.0))

    def test_two_issuers_together_keep_the_bound(self):
        self.cold.on_entries([statement(1, 2.0)], [], units.Instant(0.0))
        limit = self.cold.request_limit(SERVER, units.Instant(1.0))
        self.assertLessEqual(2 * (limit.rate + limit.burst), 17.0 * 1.5 + 5)
        self.assertGreater(2 * limit.rate, 17.0)

    def test_the_lower_limit_holds(self):
        named = engine_limits.EngineLimits()
        limits = request_limits.LowestLimits((named, self.cold))
        now = units.Instant(1.0)
        self.assertIsNone(limits.request_limit(SERVER, now))
        self.cold.on_entries([statement(1, 2.0)], [], now)
        self.assertEqual(limits.request_limit(SERVER, now).rate, 12.75)
        named.on_named(SERVER, units.RequestsPerSecond(4.0), now)
        self.assertEqual(limits.request_limit(SERVER, now).rate, 4.0)

    @hypothesis.given(
        strategies.lists(
            # Pause before an entry, remaining time in it, time under way.
            strategies.tuples(
                strategies.floats(0.0, 2.0),
                strategies.floats(0.0, 6.0),
                strategies.floats(0.0, 3.0),
            ),
            min_size=1,
        ),
        strategies.floats(0.0, 0.99),
    )
    def test_no_known_cold_time_is_cut_short(self, entries, share):
        """Entries that arrive in order, late and when the engine wrote them."""
        written_at = arrived_at = 0.0
        arrivals = []
        for pause, remaining, delay in entries:
            written_at += pause
            arrived_at = max(arrived_at, written_at + delay)
            arrivals.append((arrived_at, written_at + remaining, remaining))
        self.cold = cold_engines.ColdEngines(BOUNDS)
        for revision, (at, warm_at, remaining) in enumerate(arrivals, 1):
            self.cold.on_entries(
                [statement(revision, remaining)], [], units.Instant(at)
            )
            if warm_at > at:
                self.assertTrue(self.is_cold(at + (warm_at - at) * share))

    @hypothesis.given(
        strategies.integers(0, 1_000),
        strategies.floats(1.0, 40.0),
        strategies.floats(1.0, 3.0),
        strategies.floats(3.0, 20.0),
    )
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    def test_no_second_has_more_than_the_bound(
        self, seed, rate, overrun, slack
    ):
        """Callers with other members ask one of two issuers at any time."""
        self.cold = cold_engines.ColdEngines(
            cold_engines.ColdBounds(overrun, slack)
        )
        news = cold_engines.ColdNews(
            units.RequestsPerSecond(rate), units.Seconds(60.0)
        )
        self.cold.on_peer_news(SERVER, news, units.Instant(0.0))
        allocators = [permit_allocator.PermitAllocator() for _ in range(2)]
        generator = random.Random(seed)
        now = 0.0
        issued = []
        for _ in range(_CALLS):
            now += generator.uniform(0.0, 0.01)
            second = generator.random() < 0.5
            limit = self.cold.request_limit(SERVER, units.Instant(now))
            wait = allocators[second].request(
                SERVER,
                limit.rate,
                units.Instant(now),
                as_standby=False,
                burst=limit.burst,
            )
            issued += [] if wait else [now]
        for start in issued:
            count = sum(start <= at < start + 1.0 for at in issued)
            self.assertLessEqual(count, rate * overrun + slack + 1e-6)


if __name__ == "__main__":
    unittest.main()
