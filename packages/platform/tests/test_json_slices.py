"""Tests the division of JSON into its parts."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import orjson

from lavendershed.platform import json_slices

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


class JsonSlicesTest(unittest.TestCase):
    """Guards against parts that are lost or mixed up beside an odd one."""

    @hypothesis.given(strategies.lists(JSON))
    @hypothesis.settings(derandomize=True, max_examples=40)
    def test_elements_are_those_of_the_array(self, array):
        found = json_slices.elements(orjson.dumps(array))
        self.assertEqual([orjson.loads(part) for part in found], array)

    @hypothesis.given(strategies.dictionaries(strategies.text(), JSON))
    @hypothesis.settings(derandomize=True, max_examples=40)
    def test_members_are_those_of_the_object(self, table):
        found = json_slices.members(
            orjson.dumps(table, option=orjson.OPT_INDENT_2)
        )
        self.assertEqual(
            {orjson.loads(k): orjson.loads(v) for k, v in found.items()}, table
        )

    def test_deep_parts_stand_beside_others(self):
        deep = b"[" * 100_000 + b"]" * 100_000
        self.assertEqual(
            json_slices.elements(b'[1,%s,{"a":2}]' % deep),
            [b"1", deep, b'{"a":2}'],
        )

    def test_broken_documents_are_rejected(self):
        for broken in (b"", b"[", b"[1", b"[1]]", b'["a]', b"{}", b"[}", b"1"):
            with self.subTest(broken=broken), self.assertRaises(ValueError):
                json_slices.elements(broken)
        for broken in (b"", b"{", b"[]", b"{1}", b'{"a"}', b'{"a":1}}'):
            with self.subTest(broken=broken), self.assertRaises(ValueError):
                json_slices.members(broken)


if __name__ == "__main__":
    unittest.main()
