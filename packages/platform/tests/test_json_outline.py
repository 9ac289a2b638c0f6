"""Tests the division of JSON into its parts."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import orjson

from lavendershed.platform import json_outline

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
# The largest answer of the store.
ANSWER_BYTES = 8_000_000


def scan(document):
    """Returns the outline of a document."""
    outline = json_outline.Outline(document)
    for _ in outline.steps():
        pass
    return outline


def rebuild(outline, container):
    """Returns the value of a container from its parts."""
    if container.is_array:
        return [
            orjson.loads(outline.text(part))
            if part.container is None
            else rebuild(outline, part.container)
            for part in container.parts
        ]
    members = {}
    for part in container.parts:
        key, value = outline.key(part)
        members[orjson.loads(key)] = (
            orjson.loads(value)
            if part.container is None
            else rebuild(outline, part.container)
        )
    return members


class JsonOutlineTest(unittest.TestCase):
    """Guards against parts that are lost or mixed up beside an odd one."""

    @hypothesis.given(
        strategies.lists(JSON)
        | strategies.dictionaries(strategies.text(), JSON)
    )
    @hypothesis.settings(derandomize=True, max_examples=150)
    def test_parts_are_those_of_the_document(self, value):
        for option in (0, orjson.OPT_INDENT_2):
            outline = scan(orjson.dumps(value, option=option))
            self.assertEqual(rebuild(outline, outline.root), value)

    def test_deep_parts_stand_beside_others(self):
        deep = b"[" * 100_000 + b"]" * 100_000
        outline = scan(b'[1,%s,{"a":2}]' % deep)
        self.assertEqual(
            [outline.text(part) for part in outline.root.parts],
            [b"1", deep, b'{"a":2}'],
        )

    def test_broken_documents_are_rejected(self):
        for broken in (
            *(b"", b"[", b"[1", b"[1]]", b'["a]', b"[}", b"1", b"[[1]", b"[]1"),
            *(b"{", b"{]", b'{"a":1}}', b'{"a":[1}'),
        ):
            with self.subTest(broken=broken), self.assertRaises(ValueError):
                scan(broken)
        for broken in (b"{1}", b'{"a"}', b"{,}"):
            outline = scan(broken)
            with self.subTest(broken=broken), self.assertRaises(ValueError):
                for part in outline.root.parts:
                    outline.key(part)

    def test_a_container_with_too_many_parts_is_not_kept(self):
        """Guards against parts that take more memory than their document."""
        outline = scan(b"[[%s1],2]" % (b"1," * 100_000))
        first, second = outline.root.parts
        self.assertFalse(first.container.readable)
        self.assertLessEqual(len(first.container.parts), json_outline.MAX_PARTS)
        self.assertEqual(outline.text(second), b"2")

    def test_steps_grow_with_the_bytes_and_not_faster(self):
        """Guards against a scan that holds the loop or repeats itself.

        A step scans a fixed number of tokens, and no token has less than one
        byte.
        """
        for odd in (b"[" * 10 + b"1," * 10 + b"1" + b"]" * 10, b"[],", b"1,"):
            array = odd * (ANSWER_BYTES // 40 // len(odd)) + b"1"
            outline = json_outline.Outline(b'{"items":[{"spec":[%s]}]}' % array)
            steps = sum(1 for _ in outline.steps())
            with self.subTest(odd=odd):
                self.assertLessEqual(steps, len(array) // 5_000 + 2)


if __name__ == "__main__":
    unittest.main()
