"""Tests the placement of models on engines by routers, as processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

from lavendershed.standin import deployment
from lavendershed.standin import fleet as fleet_module
from lavendershed.standin import history

TARGET_MODEL = "almanac-2"
# An engine must be idle in the reserve role for 6 s before it is changed.
PLACEMENT_TIMEOUT_S = 30.0


class PlacementProcessTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a preset's models are not loaded on the engines."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployment.Deployment(
            pathlib.Path(directory.name),
            deployment.DeploymentOptions(
                routers=2,
                engines=1,
                plain_servers=1,
                engine_arguments=("--model", "almanac"),
            ),
        )
        self.deployment.presets = [
            {
                "name": "ordinary",
                "service_plans": [
                    {
                        "service": deployment.GENERATE_SERVICE,
                        "models": [{"model": TARGET_MODEL}],
                    }
                ],
            }
        ]
        fleet = self.deployment.fleet
        self.addAsyncCleanup(fleet.stop)
        await self.deployment.start_backends()
        status, _, errors = await self.deployment.apply()
        self.assertEqual(status, 0, errors)
        for name in self.deployment.routers:
            await fleet.start_router(name, self.deployment.store)
        self.assertTrue(await fleet.wait_ready(self.deployment.routers))

    async def load_report(self):
        member = self.deployment.fleet.member("engine-1")
        response = await fleet_module.get(member.address, "/v1/load")
        return response.body.decode()

    async def test_models_of_a_preset_are_placed_by_one_router(self):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PLACEMENT_TIMEOUT_S
        expected_models = f'"models":["{TARGET_MODEL}"]'
        while loop.time() < deadline:
            load_report = await self.load_report()
            if (
                expected_models in load_report
                and '"role":"general"' in load_report
            ):
                break
            await asyncio.sleep(0.2)
        else:
            self.fail(load_report)
        orders = [
            record
            for record in history.read(
                self.deployment.fleet.history_path("engine-1")
            )
            if record["action"] == "order"
        ]
        self.assertEqual(
            [order["kind"] for order in orders],
            ["change_role", "unload_model", "load_model", "change_role"],
        )
        self.assertEqual({order["fencing_number"] for order in orders}, {1})


if __name__ == "__main__":
    unittest.main()
