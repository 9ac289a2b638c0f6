"""Tests the load that daemons report to each other."""

from __future__ import annotations

import unittest

import engine_fixture

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routing import load_tracker

NOW = engine_fixture.NOW
PEER = ids.Incarnation(7)


class LoadTrackerTest(unittest.TestCase):
    """Fails if a task is counted twice, too long or not at all."""

    def setUp(self):
        self.tracker = load_tracker.LoadTracker()
        self.urgent = []
        self.tracker.subscribe(self.urgent.append)

    def decoding_count(self, name="e"):
        return len(self.tracker.load(name).decoding)

    def test_a_report_replaces_the_previous_one(self):
        task = engine_fixture.task("e")
        self.tracker.on_report(PEER, (task, engine_fixture.task("e")), NOW)
        self.tracker.on_report(PEER, (task,), NOW)
        self.assertEqual(self.decoding_count(), 1)
        self.tracker.on_report(PEER, (), NOW)
        self.assertEqual(self.decoding_count(), 0)

    def test_local_and_reported_tasks_add_up(self):
        self.tracker.add(engine_fixture.task("e"))
        self.tracker.on_report(PEER, (engine_fixture.task("e"),), NOW)
        self.assertEqual(self.decoding_count(), 2)
        self.assertEqual(len(self.tracker.local_tasks), 1)

    def test_tasks_of_a_daemon_without_reports_expire(self):
        self.tracker.on_report(PEER, (engine_fixture.task("e"),), NOW)
        self.tracker.expire(units.Instant(NOW + 2.9))
        self.assertEqual(self.decoding_count(), 1)
        self.tracker.expire(units.Instant(NOW + 3.1))
        self.assertEqual(self.decoding_count(), 0)

    def test_only_new_tasks_are_urgent_changes(self):
        task_id = self.tracker.add(
            engine_fixture.task("e", engine_fixture.PREFILL)
        )
        self.tracker.on_first_token([task_id])
        self.tracker.remove(task_id)
        self.assertEqual(self.urgent, [True, False, False])

    def test_prefill_helpers_are_done_with_the_first_token(self):
        task_ids = [
            self.tracker.add(
                engine_fixture.task(
                    name, engine_fixture.PREFILL, kv_tokens=kv_tokens
                )
            )
            for name, kv_tokens in (
                ("first", 9_000),
                ("helper", 0),
                ("holder", 5),
            )
        ]
        self.tracker.on_first_token(task_ids)
        self.assertEqual(self.decoding_count("first"), 1)
        self.assertEqual(self.tracker.load("helper").requests, 0)
        # An engine with part of the KV cache takes part in each decode step.
        self.assertEqual(self.decoding_count("holder"), 1)

    def test_a_cancelled_prefill_counts_until_its_iteration_ends(self):
        task_id = self.tracker.add(
            engine_fixture.task(
                "e",
                engine_fixture.PREFILL,
                first_token_at=units.Instant(NOW + 2.0),
            )
        )
        self.tracker.cancel(task_id, NOW)
        load = self.tracker.load("e")
        self.assertEqual(len(load.prefilling), 1)
        self.assertEqual(load.kv_tokens, 0)
        self.tracker.expire(units.Instant(NOW + 2.1))
        self.assertEqual(self.tracker.load("e").requests, 0)

    def test_a_cancelled_decode_ends_at_once(self):
        task_id = self.tracker.add(engine_fixture.task("e"))
        self.tracker.cancel(task_id, NOW)
        self.assertEqual(self.decoding_count(), 0)


class EngineLoadTest(unittest.TestCase):
    """Fails if the queueing time at an engine is predicted wrongly."""

    def load(self, *tasks):
        return load_tracker.EngineLoad(tasks)

    def test_no_slot_wait_while_a_slot_is_free(self):
        load = self.load(*(engine_fixture.task("e") for _ in range(7)))
        self.assertEqual(load.slot_wait_ms(NOW, 8), 0.0)

    def test_slot_wait_of_a_full_engine(self):
        load = self.load(
            *(
                engine_fixture.task("e", completes_at=units.Instant(NOW + n))
                for n in range(1, 9)
            )
        )
        self.assertAlmostEqual(load.slot_wait_ms(NOW, 8), 1_000.0)

    def test_prefills_that_are_not_urgent_delay_no_request(self):
        late = engine_fixture.task("e", engine_fixture.PREFILL, urgent=False)
        load = self.load(*(late for _ in range(20)))
        self.assertEqual(load.slot_wait_ms(NOW, 8), 0.0)
        self.assertEqual(load.prefill_backlog_ms(NOW, 45.0), 0.0)

    def test_an_overdue_prefill_counts_as_incomplete(self):
        overdue = engine_fixture.task(
            "e",
            engine_fixture.PREFILL,
            prefill_ms=400.0,
            first_token_at=units.Instant(NOW - 1.0),
        )
        self.assertAlmostEqual(
            self.load(overdue).prefill_backlog_ms(NOW, 45.0), 100.0
        )


if __name__ == "__main__":
    unittest.main()
