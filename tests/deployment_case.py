"""Base class of tests that run a complete deployment as processes."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

import orjson

from lavendershed.standin import checkers
from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import fleet as fleet_module
from lavendershed.standin import history
from lavendershed.standin import load_client
from lavendershed.transport import client

COMPLETE = load_client.OutcomeKind.COMPLETE
_POLL_INTERVAL_S = 0.1


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Starts the deployment of `OPTIONS`; ends its processes afterwards."""

    OPTIONS = deployment_module.DeploymentOptions()

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployment_module.Deployment(
            pathlib.Path(directory.name), self.OPTIONS
        )
        self.fleet = self.deployment.fleet
        self.addAsyncCleanup(self.fleet.stop)
        await self.start()

    async def start(self):
        """Starts the deployment; tests with proxies override this."""
        await self.deployment.start()

    async def control(self, name, call="", **content):
        """Sends a control call to a stand-in."""
        target = f"/control/{call}" if call else "/control"
        response = await fleet_module.exchange(
            self.fleet.member(name).address,
            client.RequestHead("POST", target),
            orjson.dumps(content),
        )
        self.assertIsNotNone(response, f"{name} did not answer")

    async def status(self, router):
        """Returns a router's status, or None if it does not respond."""
        response = await fleet_module.get(
            self.fleet.member(router).address, "/v1/status"
        )
        return None if response is None else orjson.loads(response.body)

    async def eventually(self, condition, timeout, message):
        """Waits until the coroutine function `condition` returns true."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not await condition():
            if loop.time() > deadline:
                self.fail(f"timed out after {timeout} s: {message}")
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def allocations(self, engine):
        """Returns the allocations that an engine reports."""
        response = await fleet_module.get(
            self.fleet.member(engine).address, "/v1/allocations"
        )
        return orjson.loads(response.body)["allocations"]

    def history(self, name):
        """Returns the history that a stand-in recorded."""
        return history.read(self.fleet.history_path(name))

    def check_answers(self, sent):
        """Fails if an answer is wrong, of another request or late."""
        self.assertEqual(checkers.check_prompts(sent), [])

    def check_calls(self, sent):
        """Fails if a call ran twice or a `not_run` is false."""
        violations = checkers.check_calls(
            sent, self.deployment.plain_histories()
        )
        self.assertEqual(violations, [])

    def check_configuration(self):
        """Fails if an epoch decreased within one process."""
        paths = [self.fleet.log_path(name) for name in self.deployment.routers]
        self.assertEqual(checkers.check_applied_epochs(paths), [])
