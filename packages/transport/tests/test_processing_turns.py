"""Tests the shares of a turn of the event loop."""

from __future__ import annotations

import asyncio
import unittest

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import processing_order
from lavendershed.transport import processing_turns


class Connection(processing_order.Processor):
    """Spends time on each turn, and waits again while it has input."""

    def __init__(self, turns, group, clock, **behaviour):
        self.flow = processing_order.Flow(group, self)
        self.served = 0
        self._turns = turns
        self._clock = clock
        self._cost = behaviour.get("cost", 0.0)
        self._begins = behaviour.get("begins", False)
        self._input = behaviour.get("input", 1)
        self._backlog = behaviour.get("backlog", 0)

    @property
    def backlog(self):
        return self._backlog

    def process_turn(self):
        self._clock.advance(units.Seconds(self._cost))
        self.served += 1
        self._input -= 1
        if self._input:
            self.wait_for_turn()
        return self._begins

    def wait_for_turn(self):
        self._turns.enqueue(self.flow)


class ProcessingTurnsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against crowds that take all time between two steps of others."""

    def setUp(self):
        self.clock = timers.VirtualTimerService()
        self.turns = processing_turns.ProcessingTurns(self.clock)
        self.group = self.turns.create_group()

    def connections(self, count, **behaviour):
        return [
            Connection(self.turns, self.group, self.clock, **behaviour)
            for _ in range(count)
        ]

    async def test_a_turn_of_the_loop_begins_few_requests(self):
        connections = self.connections(100, begins=True)
        for connection in connections:
            connection.wait_for_turn()
        before = 0
        while before < 100:
            await asyncio.sleep(0)
            begun = [c.served for c in connections]
            self.assertLessEqual(sum(begun) - before, 4)
            self.assertEqual(begun, sorted(begun, reverse=True))
            before = sum(begun)

    async def test_input_is_processed_at_once_while_there_is_time(self):
        (connection,) = self.connections(1, cost=0.001)
        self.turns.process(connection.flow)
        self.assertEqual(connection.served, 1)

    async def test_a_turn_of_the_loop_has_a_limit_of_time(self):
        connections = self.connections(500, cost=0.0005, input=10)
        for connection in connections:
            self.turns.process(connection.flow)
        while any(c.served < 10 for c in connections):
            before = self.clock.now()
            await asyncio.sleep(0)
            # The limit, and the connection at which it is reached.
            self.assertLess(self.clock.now() - before, 0.0051)

    async def test_a_short_request_passes_a_crowd(self):
        """Guards against requests that wait for all input of others."""
        crowd = self.connections(500, cost=0.0005, input=1_000)
        for connection in crowd:
            self.turns.process(connection.flow)
        for _ in range(300):
            await asyncio.sleep(0)
        (short,) = self.connections(1, cost=0.0005)
        self.turns.process(short.flow)
        for _ in range(2):
            await asyncio.sleep(0)
        self.assertEqual(short.served, 1)

    async def test_a_short_request_passes_long_ones_that_wait(self):
        """Guards against heads that cost much and came before."""
        for connection in self.connections(300, cost=0.01, backlog=16_000):
            self.turns.process(connection.flow)
        await asyncio.sleep(0)
        (short,) = self.connections(1, cost=0.0005, backlog=200)
        self.turns.process(short.flow)
        for _ in range(2):
            await asyncio.sleep(0)
        self.assertEqual(short.served, 1)

    async def test_long_input_is_not_passed_without_end(self):
        (long,) = self.connections(1, cost=0.01, backlog=60_000)
        long.wait_for_turn()
        for connection in self.connections(10_000, cost=0.0005, backlog=200):
            self.turns.process(connection.flow)
        for _ in range(50):
            for connection in self.connections(8, cost=0.0005, backlog=200):
                self.turns.process(connection.flow)
            await asyncio.sleep(0)
            if long.served:
                return
        self.fail("the long input was never processed")

    async def test_a_listener_keeps_its_share_beside_a_crowd(self):
        """Guards the question for readiness from connections of callers."""
        for connection in self.connections(2_000, cost=0.0005):
            self.turns.process(connection.flow)
        self.group = self.turns.create_group()
        (question,) = self.connections(1, cost=0.0005)
        self.turns.process(question.flow)
        for _ in range(2):
            await asyncio.sleep(0)
        self.assertEqual(question.served, 1)


if __name__ == "__main__":
    unittest.main()
