"""Tests the load that daemons report to each other."""

from __future__ import annotations

import unittest

import engine_fixture

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routing import load_tracker

NOW = engine_fixture.NOW
PEER = ids.Incarnation(7)


class LoadBoardTest(unittest.TestCase):
    """Fails if a task is counted twice, too long or not at all."""

    def setUp(self):
        self.board = load_tracker.LoadTracker()
        self.urgent = []
        self.board.subscribe(self.urgent.append)

    def writers(self, name="e"):
        return len(self.board.load(name).decoding)

    def test_a_report_replaces_the_previous_one(self):
        work = engine_fixture.work("e")
        self.board.on_report(PEER, (work, engine_fixture.work("e")), NOW)
        self.board.on_report(PEER, (work,), NOW)
        self.assertEqual(self.writers(), 1)
        self.board.on_report(PEER, (), NOW)
        self.assertEqual(self.writers(), 0)

    def test_local_and_reported_tasks_add_up(self):
        self.board.add(engine_fixture.work("e"))
        self.board.on_report(PEER, (engine_fixture.work("e"),), NOW)
        self.assertEqual(self.writers(), 2)
        self.assertEqual(len(self.board.local_tasks), 1)

    def test_tasks_of_a_daemon_without_reports_expire(self):
        self.board.on_report(PEER, (engine_fixture.work("e"),), NOW)
        self.board.expire(units.Instant(NOW + 2.9))
        self.assertEqual(self.writers(), 1)
        self.board.expire(units.Instant(NOW + 3.1))
        self.assertEqual(self.writers(), 0)

    def test_only_new_tasks_are_urgent_changes(self):
        number = self.board.add(
            engine_fixture.work("e", engine_fixture.READING)
        )
        self.board.on_first_token([number])
        self.board.remove(number)
        self.assertEqual(self.urgent, [True, False, False])

    def test_prefill_helpers_are_done_with_the_first_token(self):
        numbers = [
            self.board.add(
                engine_fixture.work(
                    name, engine_fixture.READING, kv_tokens=memory
                )
            )
            for name, memory in (("first", 9_000), ("helper", 0), ("h", 5))
        ]
        self.board.on_first_token(numbers)
        self.assertEqual(self.writers("first"), 1)
        self.assertEqual(self.board.load("helper").requests, 0)
        # It holds part of the KV cache and takes part in each decode step.
        self.assertEqual(self.writers("h"), 1)

    def test_a_cancelled_prefill_counts_until_its_iteration_ends(self):
        number = self.board.add(
            engine_fixture.work(
                "e",
                engine_fixture.READING,
                first_token_at=units.Instant(NOW + 2.0),
            )
        )
        self.board.cancel(number, NOW)
        load = self.board.load("e")
        self.assertEqual(len(load.prefilling), 1)
        self.assertEqual(load.kv_tokens, 0)
        self.board.expire(units.Instant(NOW + 2.1))
        self.assertEqual(self.board.load("e").requests, 0)

    def test_a_cancelled_decode_ends_at_once(self):
        number = self.board.add(engine_fixture.work("e"))
        self.board.cancel(number, NOW)
        self.assertEqual(self.writers(), 0)


class EngineLoadTest(unittest.TestCase):
    """Fails if the queueing time at an engine is predicted wrongly."""

    def load(self, *works):
        return load_tracker.EngineLoad(works)

    def test_no_slot_wait_while_a_slot_is_free(self):
        load = self.load(*(engine_fixture.work("e") for _ in range(7)))
        self.assertEqual(load.slot_wait_ms(NOW, 8), 0.0)

    def test_slot_wait_of_a_full_engine(self):
        load = self.load(
            *(
                engine_fixture.work("e", completes_at=units.Instant(NOW + n))
                for n in range(1, 9)
            )
        )
        self.assertAlmostEqual(load.slot_wait_ms(NOW, 8), 1_000.0)

    def test_prefills_that_are_not_urgent_delay_no_request(self):
        late = engine_fixture.work("e", engine_fixture.READING, urgent=False)
        load = self.load(*(late for _ in range(20)))
        self.assertEqual(load.slot_wait_ms(NOW, 8), 0.0)
        self.assertEqual(load.prefill_backlog_ms(NOW, 45.0), 0.0)

    def test_an_overdue_prefill_counts_as_incomplete(self):
        read = engine_fixture.work(
            "e",
            engine_fixture.READING,
            prefill_ms=400.0,
            first_token_at=units.Instant(NOW - 1.0),
        )
        self.assertAlmostEqual(
            self.load(read).prefill_backlog_ms(NOW, 45.0), 100.0
        )


if __name__ == "__main__":
    unittest.main()
