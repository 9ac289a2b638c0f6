"""Tests planned shutdowns: no new requests, no interrupted answers."""

from __future__ import annotations

import asyncio
import time
import unittest

import deployment_case

from lavendershed.standin import checkers
from lavendershed.standin import deployment as deployment_module

DRAIN_LIMIT_S = 5.0
TIMEOUT_S = 20.0


class LeavingEngineTest(deployment_case.DeploymentCase):
    """Fails if a leaving engine gets new requests after 5 s."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=2, engines=2, enable_peers=True
    )

    async def send_for(self, seconds):
        tasks = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for router in self.deployment.routers:
                tasks.append(
                    asyncio.create_task(
                        self.deployment.generate(
                            router, f"p-{len(tasks)}", 1_000, 5, TIMEOUT_S
                        )
                    )
                )
            await asyncio.sleep(0.1)
        return await asyncio.gather(*tasks)

    async def check(self, start_leaving):
        await asyncio.sleep(1.0)
        leaving_since = time.time()
        await start_leaving()
        sent = await self.send_for(8.0)
        self.check_answers(sent)
        late_starts = checkers.check_starts_after_leaving(
            self.history("engine-1"), leaving_since, DRAIN_LIMIT_S
        )
        self.assertEqual(late_starts, [])
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})

    async def test_engine_that_reports_leaving_gets_no_new_requests(self):
        await self.check(lambda: self.control("engine-1", "leave"))

    async def test_engine_on_a_leaving_vm_gets_no_new_requests(self):
        live_vms = ["engine-2", *self.deployment.routers]
        await self.check(
            lambda: self.control("store", live=live_vms, leaving=["engine-1"])
        )


if __name__ == "__main__":
    unittest.main()
