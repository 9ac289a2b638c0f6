"""Tests that a part of prompts can't crash engine after engine."""

from __future__ import annotations

import asyncio
import itertools
import unittest

import platform_case

DAEMONS = 3
ENGINES = 8
DEADLY_PART = "f51bf2c1e50"
FIRST_PART = "90c5a82f9411"
# Requests with the part that may reach engines after the fifth crash.
MAX_LATER_REQUESTS = 3


class PromptPartCrashTest(platform_case.PlatformCase):
    """Fails if requests that share a part crash engines again and again.

    No two requests are alike, and they come at all daemons. Sound requests
    have the same organisation and the same first part.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.numbers = itertools.count()
        for number in range(len(self.engines), ENGINES):
            self.engines.append(await self.add_engine(f"e-{number}"))
        self.fleet = await self.start_fleet(DAEMONS)
        for engine in self.engines:
            engine.deadly_parts = frozenset({DEADLY_PART})

    async def send(self, daemon, *parts):
        number = next(self.numbers)
        return await self.request(
            "/stream/x",
            f"prompt {number}".encode(),
            daemon.caller_address,
            token_count="1000,100",
            model="m",
            prefix_hash=",".join(f"{p}:40" for p in (*parts, f"{number:x}")),
        )

    def deadly_requests(self):
        return [
            request
            for request in self.executed_requests()
            if DEADLY_PART in request.headers.get("prefix-hash", "")
        ]

    async def crash_engines(self, rounds=12):
        """Sends requests with and without the part to all daemons."""
        for round_number in range(rounds):
            daemon = self.fleet[round_number % len(self.fleet)]
            await asyncio.gather(
                self.send(daemon, FIRST_PART, DEADLY_PART),
                *(self.send(other, FIRST_PART) for other in self.fleet),
            )
            await asyncio.sleep(0.1)

    async def test_requests_that_share_a_deadly_part_are_refused(self):
        await self.crash_engines()
        crashes = sum(engine.crashes for engine in self.engines)
        self.assertLessEqual(crashes, 5 + MAX_LATER_REQUESTS)
        self.assertEqual(len(self.deadly_requests()), crashes)
        response = await self.send(self.fleet[1], FIRST_PART, DEADLY_PART)
        self.assertEqual(response.head.status, 503)
        self.assertGreater(float(response.head.header("retry-after")), 1.0)
        self.assertEqual(len(self.deadly_requests()), crashes)

    async def test_sound_requests_with_the_other_parts_are_served(self):
        await self.crash_engines()
        crashes = sum(engine.crashes for engine in self.engines)
        self.assertLessEqual(crashes, 5 + MAX_LATER_REQUESTS)
        for daemon in self.fleet:
            response = await self.send(daemon, FIRST_PART)
            self.assertEqual(response.head.status, 200)

    async def test_a_daemon_that_has_just_started_refuses_them_too(self):
        await self.crash_engines()
        before = len(self.deadly_requests())
        for daemon in self.fleet[1:]:
            daemon.task.cancel()
        newcomer = await self.start_daemon(seeds=(self.daemon.peer_address,))
        await self.wait_until(
            lambda: newcomer.parts.peers.live_peers, platform_case.TIMEOUT
        )
        await asyncio.sleep(0.2)
        response = await self.send(newcomer, FIRST_PART, DEADLY_PART)
        self.assertEqual(response.head.status, 503)
        self.assertEqual(len(self.deadly_requests()), before)


if __name__ == "__main__":
    unittest.main()
