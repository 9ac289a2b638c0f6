"""Tests the cooperation of routers, as processes."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile
import unittest

import orjson

from lavendershed.standin import deployment
from lavendershed.standin import fleet
from lavendershed.standin import load_client
from lavendershed.standin import loopback
from lavendershed.transport import client

SETTLE_TIME_S = "1.0"
# At 10 ms per token, the answer takes longer than the settle time.
LONG_ANSWER_TOKENS = 250
# Limits from the design page.
APPLY_LIMIT_S = 6.0
DRAIN_LIMIT_S = 5.0


class PeerProcessTest(unittest.IsolatedAsyncioTestCase):
    """Fails if routers miss failures, changes or requests of their peers."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployment.Deployment(
            pathlib.Path(directory.name),
            deployment.DeploymentOptions(
                routers=3,
                engines=2,
                enable_peers=True,
                router_arguments=("--settle-time-seconds", SETTLE_TIME_S),
            ),
        )
        self.fleet = self.deployment.fleet
        self.addAsyncCleanup(self.fleet.stop)
        await self.deployment.start()

    async def status(self, router):
        address = self.fleet.member(router).address
        response = await fleet.get(address, "/v1/status")
        return orjson.loads(response.body)

    async def eventually(self, condition, seconds):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while not await condition():
            self.assertLess(loop.time(), deadline, "not reached in time")
            await asyncio.sleep(0.05)

    async def members_are(self, router, *states):
        members = (await self.status(router))["members"]
        return [members.get(vm) for vm in self.deployment.routers] == [*states]

    async def epoch_is(self, router, epoch):
        return (await self.status(router))["epoch"] == epoch

    async def limit_share_source_is(self, router, source):
        return (await self.status(router))["limit_shares"] == source

    async def control_store(self, **content):
        await fleet.exchange(
            self.deployment.store,
            client.RequestHead("POST", "/control"),
            orjson.dumps(content),
        )

    async def test_router_restarts_while_the_store_is_down(self):
        await self.eventually(
            lambda: self.members_are("vm-1", "alive", "alive", "alive"), 10.0
        )
        await self.eventually(
            lambda: self.limit_share_source_is("vm-1", "demand"), 15
        )
        self.fleet.member("vm-3").signal(signal.SIGKILL)
        await self.eventually(
            lambda: self.members_are("vm-1", "alive", "alive", "dead"), 20.0
        )
        self.assertTrue(await self.limit_share_source_is("vm-1", "equal"))
        await self.control_store(unavailable=True)
        await self.fleet.restart("vm-3")
        self.assertTrue(await self.fleet.wait_ready(["vm-3"]))
        self.assertEqual((await self.status("vm-3"))["epoch"], 1)
        await self.control_store(unavailable=False)
        await self.eventually(
            lambda: self.members_are("vm-1", "alive", "alive", "alive"), 10.0
        )

    async def test_change_reaches_a_router_without_access_to_the_store(self):
        arguments = self.fleet.member("vm-1").arguments
        peer = arguments[arguments.index("--peer-listen") + 1]
        keys = arguments[arguments.index("--peer-keys") + 1]
        await self.fleet.start_router(
            "vm-4",
            loopback.own_network().free_address(),
            "--peer-listen",
            str(loopback.own_network().free_address()),
            "--peers",
            peer,
            "--peer-keys",
            keys,
        )
        self.assertTrue(await self.fleet.wait_ready(["vm-4"]))
        self.deployment.presets[0]["max_groups"] = 2
        status, _, errors = await self.deployment.apply()
        self.assertEqual(status, 0, errors)
        await self.eventually(lambda: self.epoch_is("vm-4", 2), APPLY_LIMIT_S)

    async def test_leaving_server_gets_no_new_requests(self):
        await self.control_store(live=["engine-2"], leaving=["engine-1"])
        await asyncio.sleep(DRAIN_LIMIT_S)
        for router in self.deployment.routers:
            sent = [
                await self.deployment.generate(router, f"p{n}", 10, 2, 5.0)
                for n in range(4)
            ]
            endings = {prompt.outcome.ending for prompt in sent}
            self.assertEqual(endings, {load_client.OutcomeKind.COMPLETE})
            log = self.fleet.log_path(router).read_text()
            used_engines = [
                orjson.loads(line)["engine"]
                for line in log.splitlines()
                if "request_dispatched" in line
            ]
            self.assertEqual(set(used_engines), {"engine-2"})

    async def test_graceful_shutdown_under_load_interrupts_no_request(self):
        router = self.fleet.member("vm-1")
        stopping = asyncio.Event()
        answers = []

        async def send(number):
            count = 0
            while not stopping.is_set():
                name = f"{number}-{count}"
                prompt = await self.deployment.generate(
                    "vm-1", name, 100, LONG_ANSWER_TOKENS, 30.0
                )
                answers.append(prompt.outcome)
                count += 1

        senders = [asyncio.create_task(send(n)) for n in range(8)]
        await asyncio.sleep(1.0)
        answers_before_stop = len(answers)
        router.signal(signal.SIGTERM)
        while True:
            ready = await fleet.get(router.address, "/health/ready")
            if ready is None or ready.head.status != 200:
                break
            await asyncio.sleep(0.02)
        # Requests that arrive before the load balancer reacts are served.
        await asyncio.sleep(0.5)
        router.signal(signal.SIGTERM)
        stopping.set()
        await asyncio.gather(*senders)
        self.assertEqual(await router.process.wait(), 0)
        self.assertGreater(len(answers), answers_before_stop)
        endings = {answer.ending for answer in answers}
        self.assertEqual(endings, {load_client.OutcomeKind.COMPLETE}, answers)
        # A stream that was cancelled early would have been resumed elsewhere.
        log = self.fleet.log_path("vm-1").read_text()
        self.assertNotIn("attempt_failed", log)
        self.assertNotIn("stream_resumed", log)
        await self.eventually(
            lambda: self.members_are("vm-2", "leaving", "alive", "alive"), 1.0
        )


if __name__ == "__main__":
    unittest.main()
