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


if __name__ == "__main__":
    unittest.main()
