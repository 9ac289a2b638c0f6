"""Tests that bookings run at most once when processes fail."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import tempfile
import unittest

import orjson

from lavendershed.standin import checkers
from lavendershed.standin import deployment
from lavendershed.standin import fleet as fleet_module
from lavendershed.standin import load_client
from lavendershed.transport import client

FAULTS = (
    "none",
    "refuse",
    "drop_before",
    "drop_after",
    "silent_after",
    "none",
)
BOOKING_COUNT = 40
TIMEOUT_S = 1.5


class BookingsProcessTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a booking runs twice or `not_run` is reported falsely."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployment.Deployment(
            pathlib.Path(directory.name),
            deployment.DeploymentOptions(routers=2, engines=1, plain_servers=2),
        )
        self.addAsyncCleanup(self.deployment.fleet.stop)
        await self.deployment.start_backends()
        status, _, errors = await self.deployment.apply()
        self.assertEqual(status, 0, errors)
        fleet = self.deployment.fleet
        for name in self.deployment.routers:
            await fleet.start_router(name, self.deployment.store)
        self.assertTrue(await fleet.wait_ready(self.deployment.routers))
        self.sent = []

    async def control(self, name, **content):
        response = await fleet_module.exchange(
            self.deployment.fleet.member(name).address,
            client.RequestHead("POST", "/control"),
            orjson.dumps(content),
        )
        self.assertEqual(response.head.status, 200)

    async def book(self, router, subject):
        sent = await self.deployment.book(router, subject, TIMEOUT_S)
        self.sent.append(sent)
        return sent.outcome

    async def book_until_completed(self, subject, generator):
        for _ in range(3):
            router = generator.choice(self.deployment.routers)
            answer = await self.book(router, subject)
            if answer.ending is load_client.OutcomeKind.COMPLETE:
                return

    async def test_bookings_run_at_most_once_under_faults(self):
        generator = random.Random(11)
        for name in self.deployment.plain_servers:
            faults = [generator.choice(FAULTS) for _ in range(BOOKING_COUNT)]
            if name == "ledger-1":
                faults[BOOKING_COUNT // 4] = "crash_after"
            await self.control(name, faults=faults)
        bookings = asyncio.gather(
            *(
                self.book_until_completed(f"run-{number}", generator)
                for number in range(BOOKING_COUNT)
            )
        )
        await self.control("store", lose_answers=8)
        await asyncio.sleep(0.3)
        await self.control("store", unavailable=True)
        await asyncio.sleep(0.5)
        await self.control("store", unavailable=False)
        self.deployment.fleet.member("vm-1").signal(signal.SIGKILL)
        await self.deployment.fleet.restart("vm-1")
        await bookings
        crashed = self.deployment.fleet.member("ledger-1").process
        self.assertIsNotNone(crashed.returncode)
        await self.deployment.fleet.restart("ledger-1")
        for name in self.deployment.plain_servers:
            await self.control(name, faults=[])
        await asyncio.gather(
            *(self.book("vm-2", f"run-{n}") for n in range(BOOKING_COUNT))
        )
        violations = checkers.check_calls(
            self.sent, self.deployment.plain_histories()
        )
        self.assertEqual(violations, [])
        endings = {item.outcome.ending for item in self.sent}
        self.assertIn(load_client.OutcomeKind.COMPLETE, endings)
        self.assertIn(load_client.OutcomeKind.PROBLEM, endings)

    async def test_a_finished_booking_is_replayed_by_another_router(self):
        first = await self.book("vm-1", "run-a")
        replayed = await self.book("vm-2", "run-a")
        self.assertIs(first.ending, load_client.OutcomeKind.COMPLETE)
        self.assertEqual(replayed.text, first.text)


if __name__ == "__main__":
    unittest.main()
