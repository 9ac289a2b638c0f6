"""Tests answers under failures of engines, connections and routers."""

from __future__ import annotations

import asyncio
import signal
import unittest

import deployment_case

from lavendershed.core import units
from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import fault_proxy
from lavendershed.standin import model_engine

TIMEOUT_S = 20.0


class ProcessFailureTest(deployment_case.DeploymentCase):
    """Fails if a crash of an engine or router loses answers or memory."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=2,
        engines=3,
        enable_peers=True,
        router_arguments=("--settle-time-seconds", "0.2"),
    )

    async def send(self, router, count, prompt_tokens=2_000, answer_tokens=60):
        return [
            asyncio.create_task(
                self.deployment.generate(
                    router,
                    f"{router}-{index}",
                    prompt_tokens,
                    answer_tokens,
                    TIMEOUT_S,
                )
            )
            for index in range(count)
        ]

    async def has_allocations(self):
        names = self.deployment.engines
        return any([await self.allocations(name) for name in names])

    async def test_streams_of_a_killed_engine_are_resumed(self):
        tasks = await self.send("vm-1", 12)
        await asyncio.sleep(0.4)
        self.fleet.member("engine-1").signal(signal.SIGKILL)
        sent = await asyncio.gather(*tasks)
        self.check_answers(sent)
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})

    async def test_memory_of_a_killed_router_is_released(self):
        tasks = await self.send("vm-1", 8, answer_tokens=1_000)
        await asyncio.sleep(0.5)
        self.assertTrue(await self.has_allocations())
        self.fleet.member("vm-1").signal(signal.SIGKILL)
        await asyncio.gather(*tasks)

        async def released():
            return not await self.has_allocations()

        await self.eventually(released, 15.0, "allocations released")

    async def test_graceful_shutdown_interrupts_no_stream(self):
        tasks = await self.send("vm-1", 8, answer_tokens=100)
        await asyncio.sleep(0.3)
        router = self.fleet.member("vm-1")
        router.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        router.signal(signal.SIGTERM)
        sent = await asyncio.gather(*tasks)
        self.check_answers(sent)
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})
        self.assertEqual(await router.process.wait(), 0)

    async def test_paused_router_completes_its_requests_in_time(self):
        tasks = await self.send("vm-1", 4, answer_tokens=200)
        await asyncio.sleep(0.3)
        router = self.fleet.member("vm-1")
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(3.0)
        router.signal(signal.SIGCONT)
        sent = await asyncio.gather(*tasks)
        self.check_answers(sent)
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})


class CrashingRequestTest(deployment_case.DeploymentCase):
    """Fails if a request that crashes engines reaches a third one."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=2, engines=4, enable_peers=True
    )

    async def test_crashing_request_reaches_at_most_two_engines(self):
        other_requests = [
            asyncio.create_task(
                self.deployment.generate(
                    "vm-1", f"other-{index}", 2_000, 200, TIMEOUT_S
                )
            )
            for index in range(8)
        ]
        await asyncio.sleep(0.2)
        # The second router learns of the crash before the caller retries.
        for router in ("vm-1", "vm-2", "vm-2"):
            answer = await self.deployment.client(router).generate(
                deployment_module.GENERATE_SERVICE,
                model_engine.CRASH_MARKER,
                2_000,
                10,
                units.Seconds(TIMEOUT_S),
            )
            self.assertIsNot(answer.ending, deployment_case.COMPLETE)
            await asyncio.sleep(2.0)
        crashed = [
            name
            for name in self.deployment.engines
            if self.fleet.member(name).process.returncode is not None
        ]
        self.assertLessEqual(len(crashed), 2, crashed)
        sent = await asyncio.gather(*other_requests)
        self.check_answers(sent)
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})


class SilentConnectionTest(deployment_case.DeploymentCase):
    """Fails if an unresponsive connection loses a request."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=1, engines=2, router_arguments=("--idle-timeout-seconds", "1")
    )

    async def start(self):
        await self.deployment.start_backends()
        self.proxies = []
        for name in self.deployment.engines:
            proxy = fault_proxy.FaultProxy(self.fleet.member(name).address)
            await proxy.start()
            self.addAsyncCleanup(proxy.stop)
            self.proxies.append(proxy)
            self.deployment.advertise(name, proxy.address)
        status, _, errors = await self.deployment.apply()
        self.assertEqual(status, 0, errors)
        await self.deployment.start_routers()

    async def send_during_fault(self, inject):
        tasks = [
            asyncio.create_task(
                self.deployment.generate(
                    "vm-1", f"prompt-{index}", 2_000, 60, TIMEOUT_S
                )
            )
            for index in range(6)
        ]
        await asyncio.sleep(0.4)
        for proxy in self.proxies:
            inject(proxy)
        sent = await asyncio.gather(*tasks)
        self.check_answers(sent)
        endings = {item.outcome.ending for item in sent}
        self.assertEqual(endings, {deployment_case.COMPLETE})

    async def test_silent_connections_are_resumed_on_new_ones(self):
        await self.send_during_fault(
            fault_proxy.FaultProxy.blackhole_established
        )

    async def test_reset_connections_are_resumed_on_new_ones(self):
        await self.send_during_fault(fault_proxy.FaultProxy.reset_connections)

    async def test_long_prefill_without_tokens_is_not_a_failure(self):
        # The prefill takes 1.75 s, longer than the idle timeout.
        sent = await self.deployment.generate(
            "vm-1", "long", 350_000, 5, TIMEOUT_S
        )
        self.check_answers([sent])
        self.assertEqual(sent.outcome.ending, deployment_case.COMPLETE)


if __name__ == "__main__":
    unittest.main()
