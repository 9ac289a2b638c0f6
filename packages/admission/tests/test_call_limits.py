"""Tests the limits on calls in flight with a simulated plain service."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest

from lavendershed.admission import call_limits
from lavendershed.admission import priority_order
from lavendershed.admission import waiting_request
from lavendershed.core import ids
from lavendershed.core import units

SERVER = ids.BackendServerId("s")
NOW = units.Instant(1_000.0)
CALL_S = 0.05
CAPACITY = 6


def at(seconds):
    """Returns a time after the start."""
    return units.Instant(NOW + seconds)


class _Service:
    """A server that refuses calls beyond its capacity, and its daemons."""

    def __init__(self, daemons):
        self.limits = [
            call_limits.CallLimits(random.Random(n)) for n in range(daemons)
        ]
        self.served = 0
        self.refused = 0

    def play(self, seconds):
        """Lets each daemon send whenever its limits allow it."""
        running = 0
        numbers = itertools.count()
        events = [
            (n * 1e-4, next(numbers), "look", n)
            for n in range(len(self.limits))
        ]
        heapq.heapify(events)
        while events and events[0][0] < seconds:
            now, _, kind, daemon = heapq.heappop(events)
            limits = self.limits[daemon]
            if kind == "end":
                running -= 1
                self.served += 1
                limits.on_answered(SERVER)
                limits.on_ended(SERVER)
            else:
                next_look = (now + 0.005, next(numbers), "look", daemon)
                heapq.heappush(events, next_look)
            while limits.accepts(SERVER, at(now)):
                limits.on_sent(SERVER)
                if running < CAPACITY:
                    running += 1
                    end = (now + CALL_S, next(numbers), "end", daemon)
                    heapq.heappush(events, end)
                    continue
                self.refused += 1
                limits.on_refused(SERVER, at(now), at(now))
                limits.on_ended(SERVER)


class CallLimitsTest(unittest.TestCase):
    """Guards against calls that servers refuse again and again."""

    def setUp(self):
        self.limits = call_limits.CallLimits(random.Random(1))

    def test_a_server_that_refuses_nothing_has_no_limit(self):
        for _ in range(100):
            self.limits.on_sent(SERVER)
        self.assertTrue(self.limits.accepts(SERVER, NOW))
        self.assertIsNone(self.limits.limit(SERVER))

    def test_a_refusal_halves_what_is_sent_and_pauses(self):
        for _ in range(8):
            self.limits.on_sent(SERVER)
        self.limits.on_refused(SERVER, NOW, at(0.01))
        self.assertFalse(self.limits.accepts(SERVER, at(0.02)))
        self.assertEqual(self.limits.limit(SERVER), 4)
        for _ in range(5):
            self.limits.on_ended(SERVER)
        self.assertGreater(self.limits.opens_in([SERVER], at(0.02)), 0.0)
        self.assertTrue(self.limits.accepts(SERVER, at(0.1)))

    def test_refusals_of_one_burst_count_once(self):
        for _ in range(8):
            self.limits.on_sent(SERVER)
        for _ in range(5):
            self.limits.on_refused(SERVER, NOW, at(0.01))
        self.assertEqual(self.limits.limit(SERVER), 4)

    def test_pauses_grow_until_calls_are_taken(self):
        pauses = []
        now = NOW
        for _ in range(8):
            self.limits.on_sent(SERVER)
            self.limits.on_refused(SERVER, now, now)
            pauses.append(self.limits.opens_in([SERVER], now))
            self.limits.on_ended(SERVER)
            now = units.Instant(now + 2.0)
        self.assertLess(pauses[0], 0.07)
        self.assertGreater(pauses[-1], 0.5)
        self.assertLessEqual(pauses[-1], 1.0)
        for _ in range(20):
            self.limits.on_answered(SERVER)
        self.limits.on_refused(SERVER, now, now)
        self.assertLess(self.limits.opens_in([SERVER], now), 0.07)

    def test_the_limit_ends_after_answers(self):
        self.limits.on_sent(SERVER)
        self.limits.on_refused(SERVER, NOW, NOW)
        for _ in range(1_000):
            self.limits.on_answered(SERVER)
        self.assertIsNone(self.limits.limit(SERVER))

    def test_a_burst_of_many_daemons_uses_the_server_with_few_refusals(self):
        service = _Service(daemons=30)
        service.play(5.0)
        self.assertGreater(service.served, 0.8 * 5.0 / CALL_S * CAPACITY)
        self.assertLess(service.refused, service.served)


class PriorityOrderTest(unittest.TestCase):
    """Guards against urgent calls that wait behind others."""

    def call(self, utility, due_in=0.2):
        return waiting_request.WaitingRequest(
            ids.RequestId("r"),
            None,
            utility,
            units.Seconds(CALL_S),
            units.Seconds(CALL_S),
            NOW,
            at(due_in),
            at(2.0),
            units.Bytes(100),
        )

    def test_urgent_calls_go_first_and_late_ones_last(self):
        order = priority_order.PriorityOrder()
        urgent, other = self.call(1.0), self.call(0.5)
        late = self.call(1.0, due_in=0.01)
        self.assertGreater(order.rank(urgent, NOW), order.rank(other, NOW))
        self.assertGreater(order.rank(other, NOW), order.rank(late, NOW))


if __name__ == "__main__":
    unittest.main()
