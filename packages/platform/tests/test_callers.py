"""Tests the decoding of caller requests."""

from __future__ import annotations

import unittest

from lavendershed.platform import callers
from lavendershed.transport import handlers


class PromptPartsTest(unittest.TestCase):
    """Guards against parts of prompts that are mixed up."""

    def parts(self, text):
        headers = () if text is None else (("prefix-hash", text),)
        request = handlers.ServerRequest(
            "POST", "/a", "", headers, b"", target="/a"
        )
        decoded = callers.PlatformCallerCodec().decode(request).unwrap()
        return decoded.prompt_parts

    def test_the_last_part_is_the_requests_own(self):
        self.assertEqual(len(self.parts("aa:40,bb:95,cc:560")), 2)
        self.assertEqual(
            self.parts("aa:40,bb:95,cc:560"), self.parts("aa:40,bb:95,dd:1")
        )
        self.assertEqual(self.parts("cc:560"), frozenset())

    def test_a_part_is_the_same_whatever_its_tokens_and_place(self):
        self.assertEqual(
            self.parts("aa:40,bb:95,cc:1"), self.parts("bb:7, aa:40,cc:1")
        )

    def test_a_missing_or_odd_list_has_no_parts(self):
        for text in (None, "", "no list"):
            self.assertEqual(self.parts(text), frozenset())


class PromptPrefixTest(unittest.TestCase):
    """Guards against prompts that only seem to begin like another."""

    def prefix(self, text):
        request = handlers.ServerRequest(
            "POST", "/a", "", (("prefix-hash", text),), b"", target="/a"
        )
        decoded = callers.PlatformCallerCodec().decode(request).unwrap()
        return decoded.prompt_prefix

    def test_parts_are_chained_in_their_order(self):
        first = self.prefix("aa:40,bb:95,cc:560")
        self.assertEqual(first.ends, (40, 135, 695))
        self.assertEqual(
            first.hashes[:2], self.prefix("aa:40,bb:95,dd:1").hashes[:2]
        )
        self.assertNotIn(
            first.hashes[1], self.prefix("bb:95,aa:40,cc:560").hashes
        )

    def test_list_ends_before_the_first_odd_part_and_is_bounded(self):
        self.assertEqual(self.prefix("aa:40,bb:x,cc:1").ends, (40,))
        self.assertEqual(self.prefix("no list").ends, ())
        self.assertEqual(len(self.prefix("aa:1," * 40).ends), 16)


if __name__ == "__main__":
    unittest.main()
