"""Tests prompts larger than the memory of one engine, as processes."""

from __future__ import annotations

import asyncio
import signal
import unittest

import deployment_case

from lavendershed.standin import deployment as deployment_module

TIMEOUT_S = 40.0
OVERSIZED_PROMPT_TOKENS = 900_000


class EngineGroupTest(deployment_case.DeploymentCase):
    """Fails if an engine group corrupts an answer or leaks memory."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=2,
        engines=6,
        enable_peers=True,
        kv_tokens=400_000,
        prefill_rate=400_000.0,
        router_arguments=("--settle-time-seconds", "0.2"),
    )

    async def start(self):
        for preset in self.deployment.presets:
            preset["max_groups"] = 2
        await super().start()

    async def send(self, *routers):
        return [
            asyncio.create_task(
                self.deployment.generate(
                    router,
                    f"{router}-{index}",
                    OVERSIZED_PROMPT_TOKENS,
                    20,
                    TIMEOUT_S,
                )
            )
            for index, router in enumerate(routers)
        ]

    async def check_completed(self, tasks):
        sent = await asyncio.gather(*tasks)
        self.check_answers(sent)
        for item in sent:
            self.assertEqual(
                item.outcome.ending, deployment_case.COMPLETE, item
            )

    async def check_memory_released(self, engines, timeout):
        async def released():
            return not any([await self.allocations(name) for name in engines])

        await self.eventually(released, timeout, "allocations released")

    async def test_competing_groups_of_two_routers_complete(self):
        await self.check_completed(await self.send("vm-1", "vm-2", "vm-1"))
        await self.check_memory_released(self.deployment.engines, 10.0)

    async def test_group_is_formed_again_after_an_engine_crash(self):
        tasks = await self.send("vm-1")
        await asyncio.sleep(1.0)
        busy = [
            name
            for name in self.deployment.engines
            if await self.allocations(name)
        ]
        self.assertTrue(busy)
        self.fleet.member(busy[0]).signal(signal.SIGKILL)
        await self.check_completed(tasks)
        surviving = [
            name for name in self.deployment.engines if name != busy[0]
        ]
        await self.check_memory_released(surviving, 10.0)

    async def test_memory_of_a_killed_router_is_released(self):
        tasks = await self.send("vm-1")
        await asyncio.sleep(1.0)
        self.fleet.member("vm-1").signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
        await self.check_memory_released(self.deployment.engines, 15.0)


if __name__ == "__main__":
    unittest.main()
