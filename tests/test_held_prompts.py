"""Tests the use of prompts that engines retain, with one daemon."""

from __future__ import annotations

import unittest
from unittest import mock

import platform_case

from lavendershed.platform import callers

DEADLY_PART = "f51bf2c1e50"
SHARED_PART = "90c5a82f9411"


class HeldPromptsTest(platform_case.PlatformCase):
    """Fails if a daemon doesn't learn what engines hold, or believes too much.

    The prompts of 8,000 tokens take 45 ms, less than is divided among engines.
    """

    async def configure(self, *, retains_prompts):
        body = platform_case.configuration(2)
        body["services"][0]["engine"] = platform_case.ENGINE | {
            "retains_prompts": retains_prompts
        }
        self.store.put("config", "main", body)
        view = self.context.view
        await self.wait_until(lambda: view.version == 2)
        service = view.table.service(platform_case.MODEL_SERVICE)
        self.chooser = self.context.choosers.chooser(service)

    @property
    def context(self):
        return self.daemon.parts.components.context

    async def send(self, part, number):
        return await self.stream(
            "8000,100", prefix_hash=f"{part}:7000,{number:x}:1000"
        )

    async def test_requests_follow_the_engine_that_holds_their_beginning(self):
        await self.configure(retains_prompts=True)
        for number in range(10):
            response = await self.send(SHARED_PART, number)
            self.assertEqual(response.head.status, 200)
        used = [engine for engine in self.engines if engine.executed_requests]
        self.assertEqual(len(used), 1)

    async def test_nothing_is_kept_for_engines_that_retain_nothing(self):
        await self.configure(retains_prompts=False)
        await self.send(SHARED_PART, 1)
        self.assertEqual(self.chooser.retained_prompts.size, 0)

    async def test_prompt_that_crashes_engines_is_not_recorded(self):
        await self.configure(retains_prompts=True)
        for engine in self.engines:
            engine.deadly_parts = frozenset({DEADLY_PART})
        await self.send(DEADLY_PART, 1)
        self.assertEqual(self.chooser.retained_prompts.size, 0)

    async def test_part_that_was_in_a_crash_attracts_nothing(self):
        await self.configure(retains_prompts=True)
        now = self.context.timers.now()
        self.context.crash_attribution.on_crash(
            7, frozenset({callers._hash_part(DEADLY_PART)}), now, now
        )
        with mock.patch.object(
            self.chooser, "choose", wraps=self.chooser.choose
        ) as choose:
            await self.send(DEADLY_PART, 2)
            await self.send(SHARED_PART, 3)
        prefixes = [call.args[0].prompt_prefix for call in choose.mock_calls]
        self.assertEqual(len(prefixes[0].hashes), 0)
        self.assertEqual(len(prefixes[-1].hashes), 2)


if __name__ == "__main__":
    unittest.main()
