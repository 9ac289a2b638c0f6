"""Tests the reuse of chunks between configurations."""

from __future__ import annotations

import dataclasses
import random
import unittest

import sample

from lavendershed.configuration import chunking
from lavendershed.configuration import comparison
from lavendershed.configuration import manifest as manifest_module
from lavendershed.core import ids

HASHER = sample.ReprHasher()


class ChunkingTest(unittest.TestCase):
    """Fails if a small change rewrites many chunks or an entity is lost."""

    def test_changing_one_organisation_rewrites_one_chunk(self):
        before = sample.configuration(2_000)
        changed = dataclasses.replace(sample.organisation(7), weight=2.0)
        after = comparison.patch(
            before,
            (
                comparison.Difference(
                    comparison.Item(
                        comparison.ItemKind.ORGANISATION, changed.name
                    ),
                    comparison.DifferenceKind.CHANGED,
                    changed,
                ),
            ),
        )
        old = {part.hash for part in chunking.split(before, HASHER)}
        new = {part.hash for part in chunking.split(after, HASHER)}
        self.assertEqual(len(new - old), 1)

    def test_order_of_entities_does_not_change_chunks(self):
        base = sample.configuration(300)
        entries = list(base.organisations.items())
        random.Random(1).shuffle(entries)
        shuffled = dataclasses.replace(base, organisations=dict(entries))
        self.assertEqual(
            chunking.split(base, HASHER), chunking.split(shuffled, HASHER)
        )

    def test_chunks_assemble_to_the_configuration(self):
        whole = sample.configuration(500, epoch=4)
        parts = chunking.split(whole, HASHER)
        root = manifest_module.Manifest(
            ids.Epoch(4),
            whole.active_preset,
            tuple(part.hash for part in parts),
            (),
        )
        assembled = manifest_module.assemble(root, [p.chunk for p in parts])
        self.assertEqual(assembled.unwrap(), whole)


if __name__ == "__main__":
    unittest.main()
