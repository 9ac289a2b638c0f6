"""Fuzzes the decoding of manifests and chunks."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st
import orjson

from lavendershed.configuration import manifest
from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.objects import codec
from lavendershed.objects import configuration_store

SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
NOW = units.Instant(0.0)
CHUNK = manifest.Chunk(presets=(model.Preset(ids.PresetName("ordinary")),))
CHUNK_DATA = codec.CHUNK_CODEC.encode(CHUNK)
ROOT = manifest.Manifest(
    ids.Epoch(2),
    ids.PresetName("ordinary"),
    (codec.chunk_hash(CHUNK_DATA),),
    (manifest.ChangeRecord(ids.ChangeId("a"), ids.Epoch(2), "me", "x"),),
)
ROOT_DATA = codec.MANIFEST_CODEC.encode(ROOT)
_FIELDS = st.sampled_from(
    [
        "epoch",
        "active_preset",
        "chunks",
        "recent_changes",
        "organisations",
        "services",
        "presets",
        "name",
        "weight",
        "token_hashes",
        "kind",
        "backend_servers",
        "long_prefill_share",
    ]
)
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers(-(2**63), 2**64 - 1)
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(_FIELDS, inner, max_size=5)
    ),
    max_leaves=20,
).map(orjson.dumps)


def corrupted(data):
    """Returns encodings with a few bytes replaced."""
    return st.tuples(
        st.integers(0, len(data)), st.integers(0, 6), st.binary(max_size=6)
    ).map(lambda cut: data[: cut[0]] + cut[2] + data[cut[0] + cut[1] :])


class CodecTest(unittest.TestCase):
    """Fails if stored bytes raise or make the configuration invalid."""

    def active_state(self):
        state = state_module.ConfigurationState()
        state.on_manifest(ROOT, NOW)
        state.on_chunk(ROOT.chunks[0], CHUNK, NOW)
        self.assertEqual(state.current.epoch, 2)
        return state

    @SETTINGS
    @hypothesis.given(st.binary(max_size=60) | _JSON | corrupted(ROOT_DATA))
    def test_any_manifest_is_rejected_or_valid(self, data):
        state = self.active_state()
        decoded = codec.MANIFEST_CODEC.decode(data)
        if decoded.is_err():
            self.assertTrue(decoded.err_value)
            return
        state.on_manifest(decoded.ok_value, NOW)
        self.assertIn(state.current.active_preset, state.current.presets)
        self.assertGreaterEqual(state.current.epoch, 2)

    @SETTINGS
    @hypothesis.given(st.binary(max_size=60) | _JSON | corrupted(CHUNK_DATA))
    def test_any_chunk_is_rejected_or_valid(self, data):
        name = codec.chunk_hash(data)
        state = self.active_state()
        newer = manifest.Manifest(
            ids.Epoch(3), ids.PresetName("ordinary"), (name,), ()
        )
        state.on_manifest(newer, NOW)
        decoded = codec.decode_chunk(name, data)
        if decoded.is_ok():
            state.on_chunk(name, decoded.ok_value, NOW)
        self.assertIn(state.current.active_preset, state.current.presets)

    def test_chunk_with_another_hash_is_rejected(self):
        other = codec.chunk_hash(b"other")
        self.assertTrue(codec.decode_chunk(other, CHUNK_DATA).is_err())

    def test_hash_depends_on_the_content_only(self):
        hasher = configuration_store.JsonChunkHasher()
        again = codec.CHUNK_CODEC.decode(CHUNK_DATA).unwrap()
        self.assertEqual(hasher.hash(again), ROOT.chunks[0])


if __name__ == "__main__":
    unittest.main()
