"""Tests that configuration changes are not lost, reverted or late."""

from __future__ import annotations

import asyncio
import json
import signal
import time
import unittest

import deployment_case

from lavendershed.cli import errors
from lavendershed.standin import deployment as deployment_module

APPLY_LIMIT_S = 6.0


class ConfigurationFaultsTest(deployment_case.DeploymentCase):
    """Fails if an accepted change is late, lost or reverted."""

    OPTIONS = deployment_module.DeploymentOptions(
        routers=3, engines=1, plain_servers=1, enable_peers=True
    )

    async def is_applied(self, routers, epoch):
        statuses = [await self.status(name) for name in routers]
        return all(
            status is not None and status["epoch"] >= epoch
            for status in statuses
        )

    async def activate(self, preset):
        """Activates a preset; returns the accepted epoch."""
        status, stdout, stderr = await self.deployment.command(
            "preset", "activate", preset, "--output", "json"
        )
        self.assertEqual(status, 0, stderr)
        return json.loads(stdout)["epoch"]

    async def test_preset_change_is_applied_everywhere_in_time(self):
        epoch = await self.activate("peak")
        accepted_at = time.monotonic()
        await self.eventually(
            lambda: self.is_applied(self.deployment.routers, epoch),
            APPLY_LIMIT_S - (time.monotonic() - accepted_at),
            "epoch applied",
        )
        page = await self.status("vm-1")
        self.assertEqual(page["preset"], "peak")

    async def test_concurrent_changes_get_distinct_epochs(self):
        names = ["peak", "ordinary"] * 3
        results = await asyncio.gather(
            *(
                self.deployment.command(
                    "preset", "activate", name, "--output", "json"
                )
                for name in names
            )
        )
        epochs = []
        for status, stdout, stderr in results:
            if status:
                self.assertEqual(status, errors.ExitCode.CONFLICT, stderr)
                self.assertIn("preset", stderr.split(":", 1)[1])
            elif json.loads(stdout)["changed"]:
                epochs.append(json.loads(stdout)["epoch"])
        self.assertGreaterEqual(len(epochs), 1)
        self.assertEqual(len(epochs), len(set(epochs)))
        epoch = max(epochs)
        await self.eventually(
            lambda: self.is_applied(self.deployment.routers, epoch),
            APPLY_LIMIT_S,
            "epoch applied",
        )
        presets = {
            (await self.status(name))["preset"]
            for name in self.deployment.routers
        }
        self.assertEqual(len(presets), 1)
        self.check_configuration()

    async def test_change_reaches_all_routers_during_a_store_outage(self):
        paused_router = self.fleet.member("vm-3")
        paused_router.signal(signal.SIGSTOP)
        epoch = await self.activate("peak")
        await self.eventually(
            lambda: self.is_applied(["vm-1", "vm-2"], epoch),
            APPLY_LIMIT_S,
            "epoch applied by the running routers",
        )
        await self.control("store", unavailable=True)
        paused_router.signal(signal.SIGCONT)
        self.fleet.member("vm-2").signal(signal.SIGKILL)
        await self.fleet.member("vm-2").process.wait()
        await self.fleet.restart("vm-2")
        await self.eventually(
            lambda: self.is_applied(["vm-2", "vm-3"], epoch),
            APPLY_LIMIT_S + 2.0,
            "epoch applied after restart and pause without the store",
        )
        self.check_configuration()

    async def test_wait_returns_once_the_change_is_applied(self):
        status, _, stderr = await self.deployment.command(
            "preset", "activate", "peak", "--wait", "--wait-seconds", "10"
        )
        self.assertEqual(status, 0, stderr)
        for name in self.deployment.routers:
            self.assertEqual((await self.status(name))["preset"], "peak")

    async def test_change_whose_response_is_lost_is_applied_once(self):
        await self.control("store", lose_answers=1)
        epoch = await self.activate("peak")
        self.assertEqual(epoch, 2)


if __name__ == "__main__":
    unittest.main()
