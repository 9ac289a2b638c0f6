"""Tests all invariants together under random faults, as processes.

`LAVENDERSHED_FAULT_SEED` and `LAVENDERSHED_FAULT_SECONDS` set seed and
duration of a run.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import unittest

import deployment_case

from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import load_client

SEED = int(os.environ.get("LAVENDERSHED_FAULT_SEED", "1"))
DURATION_S = float(os.environ.get("LAVENDERSHED_FAULT_SECONDS", "25"))
BOOKING_TIMEOUT_S = 15.0
# Engines release the memory of a stream at its deadline. This timeout exceeds
# the wait for released memory, so that only routers can have released it.
PROMPT_TIMEOUT_S = 60.0
RELEASE_TIMEOUT_S = 25.0
INVARIANT_VIOLATION_EVENT = b'"event": 901'


class RandomFaultsTest(deployment_case.DeploymentCase):
    """Fails if an invariant is violated under overlapping faults."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=3,
        engines=5,
        plain_servers=2,
        enable_peers=True,
        plain_arguments=("--duration-ms", "50"),
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.random = random.Random(SEED)
        self.killed_members = set()
        self.faulty_members = set()
        self.sent_prompts = []
        self.sent_bookings = []

    async def test_invariants_hold_under_overlapping_faults(self):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DURATION_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_prompts(group, deadline))
            group.create_task(self.send_bookings(group, deadline))
            for _ in range(2):
                group.create_task(self.inject_faults(deadline))
        await self.check()

    async def send_prompts(self, group, deadline):
        while asyncio.get_running_loop().time() < deadline:
            group.create_task(self.send_prompt(f"p-{len(self.sent_prompts)}"))
            self.sent_prompts.append(None)
            await asyncio.sleep(0.05)

    async def send_prompt(self, name):
        tokens = self.random.choice((1_000, 2_000, 30_000))
        router = self.random.choice(self.deployment.routers)
        sent = await self.deployment.generate(
            router, name, tokens, 30, PROMPT_TIMEOUT_S
        )
        self.sent_prompts.append((router, sent))

    async def send_bookings(self, group, deadline):
        number = 0
        while asyncio.get_running_loop().time() < deadline:
            group.create_task(self.send_booking(f"b-{number}"))
            number += 1
            await asyncio.sleep(0.25)

    async def send_booking(self, subject):
        for _ in range(3):
            router = self.random.choice(self.deployment.routers)
            sent = await self.deployment.book(
                router, subject, BOOKING_TIMEOUT_S
            )
            self.sent_bookings.append(sent)
            if sent.outcome.ending is deployment_case.COMPLETE:
                return
            await asyncio.sleep(0.5)

    async def inject_faults(self, deadline):
        faults = (
            self.kill_router,
            self.pause_router,
            self.kill_engine,
            self.pause_engine,
            self.stop_store,
            self.change_preset,
        )
        while asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.random.choice(faults)()

    async def inject_into_one(self, names, action):
        """Runs `action` on a random process without another active fault."""
        eligible = [name for name in names if name not in self.faulty_members]
        # At least one router and three engines stay available for requests.
        if len(eligible) < 2 or len(names) - len(eligible) > 1:
            return
        name = self.random.choice(eligible)
        self.faulty_members.add(name)
        try:
            await action(self.fleet.member(name))
        finally:
            self.faulty_members.discard(name)

    async def kill_router(self):
        await self.inject_into_one(self.deployment.routers, self.kill)

    async def pause_router(self):
        await self.inject_into_one(self.deployment.routers, self.pause)

    async def kill_engine(self):
        await self.inject_into_one(self.deployment.engines, self.kill)

    async def pause_engine(self):
        await self.inject_into_one(self.deployment.engines, self.pause)

    async def kill(self, member):
        self.killed_members.add(member.name)
        member.signal(signal.SIGKILL)
        await member.process.wait()
        await self.fleet.restart(member.name)

    async def pause(self, member):
        member.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        member.signal(signal.SIGCONT)

    async def stop_store(self):
        await self.control("store", unavailable=True)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        await self.control("store", unavailable=False)

    async def change_preset(self):
        name = self.random.choice(("ordinary", "peak"))
        await self.deployment.command("preset", "activate", name)

    async def check(self):
        sent = [item for item in self.sent_prompts if item is not None]
        self.check_answers(item for _, item in sent)
        self.check_calls(self.sent_bookings)
        self.check_configuration()
        routers_with_broken_streams = {
            router
            for router, item in sent
            if item.outcome.ending is load_client.OutcomeKind.BROKEN
        }
        self.assertLessEqual(routers_with_broken_streams, self.killed_members)
        completed = sum(
            item.outcome.ending is deployment_case.COMPLETE for _, item in sent
        )
        self.assertGreater(completed, len(sent) // 2)
        for name in self.deployment.routers:
            log = self.fleet.log_path(name).read_bytes()
            self.assertNotIn(INVARIANT_VIOLATION_EVENT, log)
            self.assertNotIn(b"Traceback", log)
        await self.eventually(
            self.all_memory_released, RELEASE_TIMEOUT_S, "memory released"
        )
        await self.eventually(
            self.all_epochs_equal, 8.0, "same epoch everywhere"
        )

    async def all_memory_released(self):
        allocations = [
            await self.allocations(name) for name in self.deployment.engines
        ]
        return not any(allocations)

    async def all_epochs_equal(self):
        statuses = [await self.status(name) for name in self.deployment.routers]
        return (
            None not in statuses
            and len({status["epoch"] for status in statuses}) == 1
        )


if __name__ == "__main__":
    unittest.main()
