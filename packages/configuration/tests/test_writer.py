"""Tests writer steps that the random history test rarely reaches."""

from __future__ import annotations

import random
import unittest

import sample

from lavendershed.configuration import changes
from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.configuration import writer as writer_module
from lavendershed.core import backoff
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units

NOW = units.Instant(0.0)
KINDS = object_store.StoreErrorKind


def make_writer(change):
    """Returns a writer with a deadline of 5 s."""
    return writer_module.ChangeWriter(
        change,
        writer_module.ChangeMetadata(ids.ChangeId("mine"), "operator"),
        sample.ReprHasher(),
        backoff.Backoff(random.Random(1)),
        units.Instant(5.0),
    )


def record(epoch, change_id="theirs"):
    """Returns a change of another operator."""
    return manifest_module.ChangeRecord(
        ids.ChangeId(change_id), ids.Epoch(epoch), "other", "something"
    )


class WriterTest(unittest.TestCase):
    """Fails if an unknown outcome is reported as success or failure."""

    def written(self):
        writer = make_writer(changes.ReplaceAll(sample.configuration(), "f"))
        writer.start()
        writer.on_no_manifest(NOW)
        (command,) = writer.on_chunks_written(NOW)
        return writer, command

    def lose_response(self, writer):
        error = object_store.StoreError(KINDS.AMBIGUOUS, "no answer")
        (wait,) = writer.on_store_error(error, NOW)
        writer.on_timer(wait.until)

    def test_first_write_requires_that_no_manifest_exists(self):
        _, command = self.written()
        self.assertIsNone(command.expected)
        self.assertEqual(command.manifest.epoch, 1)

    def test_change_id_resolves_a_lost_response(self):
        writer, command = self.written()
        self.lose_response(writer)
        writer.on_manifest(ids.ObjectVersion(9), command.manifest, NOW)
        self.assertEqual(writer.outcome.ok_value.epoch, 1)

    def test_outcome_is_unknown_after_the_change_id_is_truncated(self):
        writer, command = self.written()
        self.lose_response(writer)
        later = manifest_module.Manifest(
            ids.Epoch(50), sample.ORDINARY, (), (record(49), record(50))
        )
        writer.on_manifest(ids.ObjectVersion(99), later, NOW)
        self.assertIsInstance(
            writer.outcome.err_value, writer_module.OutcomeUnknown
        )

    def test_lost_write_is_repeated_unchanged(self):
        writer, first = self.written()
        self.lose_response(writer)
        writer.on_no_manifest(NOW)
        (second,) = writer.on_chunks_written(NOW)
        self.assertEqual(first, second)

    def test_outcome_is_unknown_if_the_store_fails_after_a_lost_response(self):
        writer, _ = self.written()
        self.lose_response(writer)
        down = object_store.StoreError(KINDS.UNAVAILABLE, "down")
        writer.on_store_error(down, units.Instant(10.0))
        self.assertIsInstance(
            writer.outcome.err_value, writer_module.OutcomeUnknown
        )

    def test_store_down_before_the_write_changes_nothing(self):
        writer = make_writer(changes.ActivatePreset(sample.PEAK))
        writer.start()
        down = object_store.StoreError(KINDS.UNAVAILABLE, "down")
        writer.on_store_error(down, units.Instant(10.0))
        self.assertIsInstance(
            writer.outcome.err_value, writer_module.StoreFailed
        )

    def test_first_preset_becomes_active(self):
        writer = make_writer(changes.CreateEntity(model.Preset("ordinary")))
        writer.start()
        writer.on_no_manifest(NOW)
        (command,) = writer.on_chunks_written(NOW)
        self.assertEqual(command.manifest.active_preset, "ordinary")

    def test_recent_changes_are_bounded(self):
        root = None
        for epoch in range(1, manifest_module.MAX_RECENT_CHANGES + 5):
            kept = manifest_module.append_recent_change(root, record(epoch))
            root = manifest_module.Manifest(
                ids.Epoch(epoch), sample.ORDINARY, (), kept
            )
        self.assertEqual(
            len(root.recent_changes), manifest_module.MAX_RECENT_CHANGES
        )
        self.assertEqual(root.recent_changes[-1].epoch, root.epoch)


if __name__ == "__main__":
    unittest.main()
