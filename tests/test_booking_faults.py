"""Tests bookings against double execution and false outcomes."""

from __future__ import annotations

import asyncio
import signal
import unittest

import deployment_case

from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import fault_proxy

TIMEOUT_S = 6.0


class BookingFaultsTest(deployment_case.DeploymentCase):
    """Fails if a booking runs twice or its outcome is reported falsely."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=3,
        engines=0,
        plain_servers=2,
        enable_peers=True,
        plain_arguments=("--duration-ms", "300"),
    )

    async def book_all(self, subjects, routers, timeout=TIMEOUT_S):
        return await asyncio.gather(
            *(
                self.deployment.book(router, subject, timeout)
                for subject in subjects
                for router in routers
            )
        )

    async def test_resends_to_all_routers_run_once(self):
        subjects = [f"order-{index}" for index in range(10)]
        sent = await self.book_all(subjects, self.deployment.routers)
        sent += await self.book_all(subjects, ["vm-2"])
        self.check_calls(sent)
        last = [item.outcome.ending for item in sent[-len(subjects) :]]
        self.assertEqual(set(last), {deployment_case.COMPLETE})

    async def test_router_killed_at_each_moment_runs_nothing_twice(self):
        sent = []
        for round_number in range(4):
            subjects = [f"round-{round_number}-{n}" for n in range(4)]
            first = asyncio.create_task(self.book_all(subjects, ["vm-1"]))
            await asyncio.sleep(0.02 + 0.12 * round_number)
            self.fleet.member("vm-1").signal(signal.SIGKILL)
            sent += await first
            sent += await self.book_all(subjects, ["vm-2", "vm-3"])
            await self.fleet.member("vm-1").process.wait()
            await self.fleet.restart("vm-1")
            self.assertTrue(await self.fleet.wait_ready(["vm-1"]))
        self.check_calls(sent)

    async def test_paused_router_runs_nothing_after_its_claim_is_dead(self):
        subjects = [f"paused-{n}" for n in range(4)]
        first = asyncio.create_task(
            self.book_all(subjects, ["vm-1"], timeout=4 * TIMEOUT_S)
        )
        await asyncio.sleep(0.05)
        router = self.fleet.member("vm-1")
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(8.0)
        sent = await self.book_all(subjects, ["vm-2"])
        router.signal(signal.SIGCONT)
        sent += await first
        await asyncio.sleep(1.0)
        self.check_calls(sent)

    async def test_lost_connections_to_the_service_run_nothing_twice(self):
        for name, fault in zip(
            self.deployment.plain_servers,
            ("drop_after", "crash_after"),
            strict=True,
        ):
            await self.control(name, faults=[fault])
        subjects = [f"lost-{n}" for n in range(6)]
        sent = await self.book_all(subjects, ["vm-1"])
        sent += await self.book_all(subjects, ["vm-2"])
        self.check_calls(sent)


class StoreFaultsTest(deployment_case.DeploymentCase):
    """Fails if a lost response of the store causes a second execution."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=2, engines=1, plain_servers=1, enable_peers=True
    )

    async def start(self):
        await self.deployment.start_backends()
        status, _, errors = await self.deployment.apply()
        self.assertEqual(status, 0, errors)
        self.proxy = fault_proxy.FaultProxy(self.deployment.store)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        await self.deployment.start_routers(self.proxy.address)

    async def test_lost_store_answers_run_nothing_twice(self):
        subjects = [f"order-{index}" for index in range(4)]
        self.proxy.set_connection_behaviour(
            fault_proxy.RelayBehaviour.DROP_RESPONSES
        )
        first = asyncio.gather(
            *(self.deployment.book("vm-1", s, TIMEOUT_S) for s in subjects)
        )
        await asyncio.sleep(1.0)
        self.proxy.set_connection_behaviour(fault_proxy.RelayBehaviour.FORWARD)
        sent = list(await first)
        self.proxy.reset_connections()
        for router in ("vm-2", "vm-1"):
            sent += [
                await self.deployment.book(router, s, TIMEOUT_S)
                for s in subjects
            ]
        self.check_calls(sent)

    async def test_outage_refuses_bookings_and_serves_prompts(self):
        await self.control("store", unavailable=True)
        booking = await self.deployment.book("vm-1", "during-outage", TIMEOUT_S)
        self.assertEqual(booking.outcome.execution, "not_run", booking)
        prompt = await self.deployment.generate(
            "vm-1", "during-outage", 2_000, 5, TIMEOUT_S
        )
        self.assertEqual(prompt.outcome.ending, deployment_case.COMPLETE)
        await self.control("store", unavailable=False)

        async def booked():
            booking = await self.deployment.book("vm-2", "after", TIMEOUT_S)
            return booking.outcome.ending is deployment_case.COMPLETE

        await self.eventually(booked, 15.0, "bookings work again")
        self.check_calls([booking])


if __name__ == "__main__":
    unittest.main()
