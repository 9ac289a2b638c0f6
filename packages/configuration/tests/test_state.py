"""Tests configuration state with invalid manifests and missing chunks."""

from __future__ import annotations

import dataclasses
import unittest

import sample

from lavendershed.configuration import chunking
from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import state as state_module
from lavendershed.core import ids
from lavendershed.core import units

HASHER = sample.ReprHasher()
NOW = units.Instant(0.0)


def published(configuration):
    """Returns the manifest and the chunks of a configuration."""
    chunks = chunking.split(configuration, HASHER)
    root = manifest_module.Manifest(
        configuration.epoch,
        configuration.active_preset,
        tuple(chunk.hash for chunk in chunks),
        (),
    )
    return root, chunks


class StateTest(unittest.TestCase):
    """Fails if an invalid manifest replaces or blocks a valid one."""

    def setUp(self):
        self.state = state_module.ConfigurationState()

    def deliver(self, configuration):
        root, chunks = published(configuration)
        commands = list(self.state.on_manifest(root, NOW))
        for chunk in chunks:
            commands += self.state.on_chunk(chunk.hash, chunk.chunk, NOW)
        return commands

    def test_configuration_is_applied_once_all_chunks_arrived(self):
        root, chunks = published(sample.configuration(epoch=1))
        self.state.on_manifest(root, NOW)
        for chunk in chunks[:-1]:
            self.assertEqual(
                self.state.on_chunk(chunk.hash, chunk.chunk, NOW), ()
            )
            self.assertFalse(self.state.ready)
        self.state.on_chunk(chunks[-1].hash, chunks[-1].chunk, NOW)
        self.assertEqual(self.state.current.epoch, 1)

    def test_unreadable_manifests_do_not_block_a_readable_one(self):
        root, _ = published(sample.configuration(epoch=1))
        for ahead in range(2, 20):
            self.state.on_manifest(
                dataclasses.replace(
                    root,
                    epoch=ids.Epoch(ahead),
                    chunks=(ids.ChunkHash(f"absent-{ahead}"),),
                ),
                NOW,
            )
        self.deliver(sample.configuration(epoch=1))
        self.assertEqual(self.state.current.epoch, 1)
        self.assertLessEqual(
            len(self.state.pending), state_module.MAX_PENDING_MANIFESTS
        )

    def test_invalid_chunk_rejects_its_manifest(self):
        self.deliver(sample.configuration(epoch=1))
        bad = sample.organisation(1, weight=-1.0)
        broken = dataclasses.replace(
            sample.configuration(epoch=2), organisations={bad.name: bad}
        )
        commands = self.deliver(broken)
        self.assertIn(state_module.RejectManifest, [type(c) for c in commands])
        self.assertEqual(self.state.current.epoch, 1)
        self.deliver(sample.configuration(epoch=3))
        self.assertEqual(self.state.current.epoch, 3)

    def test_missing_chunks_are_requested_again_after_the_interval(self):
        root, chunks = published(sample.configuration(epoch=1))
        (first,) = self.state.on_manifest(root, NOW)
        self.assertEqual(len(first.hashes), len(chunks))
        self.assertEqual(self.state.on_timer(NOW), ())
        later = units.after(NOW, state_module.REFETCH_INTERVAL)
        self.assertEqual(self.state.on_timer(later), (first,))

    def test_chunks_of_replaced_configurations_are_dropped(self):
        self.deliver(sample.configuration(2, epoch=1))
        _, old_chunks = published(sample.configuration(2, epoch=1))
        self.deliver(sample.configuration(0, epoch=2))
        _, new_chunks = published(sample.configuration(0, epoch=2))
        held = {p.hash for p in (*old_chunks, *new_chunks)}
        kept = {h for h in held if self.state.chunk(h) is not None}
        self.assertEqual(kept, {chunk.hash for chunk in new_chunks})


if __name__ == "__main__":
    unittest.main()
