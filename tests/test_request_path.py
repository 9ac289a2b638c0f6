"""Tests the path from a caller to the backend servers, as processes."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import tempfile
import unittest

from lavendershed.configuration import manifest
from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.objects import codec
from lavendershed.objects import http_store
from lavendershed.standin import engine_timing_model
from lavendershed.standin import fleet as fleet_module
from lavendershed.standin import load_client
from lavendershed.transport import event_loop_timers
from lavendershed.transport import pool

TOKEN = "secret"
ZONE = ids.AvailabilityZoneId("zone-a")


class RequestPathTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a request or a configuration does not reach its target."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = fleet_module.Fleet(pathlib.Path(directory.name))
        self.addAsyncCleanup(self.fleet.stop)
        store = await self.fleet.start_standin("store", "object-store")
        engine = await self.fleet.start_standin("engine-1", "model-engine")
        ledger = await self.fleet.start_standin("ledger-1", "plain-service")
        await self.publish(store.address, engine.address, ledger.address)
        self.router = await self.fleet.start_router("vm-1", store.address)
        self.assertTrue(await self.fleet.wait_ready(["vm-1"]))
        self.client = load_client.LoadClient(self.router.address, TOKEN)

    async def publish(self, store, engine, ledger):
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        client = http_store.HttpObjectStore(
            pool.ConnectionPool(store, timers, pool.PoolLimits())
        )
        chunk = codec.CHUNK_CODEC.encode(
            manifest.Chunk(
                organisations=(
                    model.Organisation(
                        ids.OrganisationId("press"),
                        (hashlib.sha256(TOKEN.encode()).hexdigest(),),
                    ),
                ),
                services=(
                    model.Service(
                        ids.ServiceId("drafting"),
                        states.ServiceKind.MODEL_ENGINE,
                        (
                            model.BackendServer(
                                ids.BackendServerId("engine-1"),
                                str(engine),
                                ZONE,
                            ),
                        ),
                    ),
                    model.Service(
                        ids.ServiceId("ledger"),
                        states.ServiceKind.PLAIN,
                        (
                            model.BackendServer(
                                ids.BackendServerId("ledger-1"),
                                str(ledger),
                                ZONE,
                            ),
                        ),
                        (model.Route("proofs", idempotent=True),),
                    ),
                ),
                presets=(model.Preset(ids.PresetName("ordinary")),),
            )
        )
        name = codec.chunk_hash(chunk)
        if_absent = object_store.IfAbsent()
        await client.put(codec.chunk_key(name), chunk, if_absent)
        manifest_object = manifest.Manifest(
            ids.Epoch(1), ids.PresetName("ordinary"), (name,), ()
        )
        await client.put(
            codec.MANIFEST_KEY,
            codec.MANIFEST_CODEC.encode(manifest_object),
            if_absent,
        )

    async def test_answer_matches_the_output_of_the_engine(self):
        answer = await self.client.generate(
            "drafting", "rain in march", 1_000, 5, units.Seconds(10.0)
        )
        self.assertEqual(
            answer.ending, load_client.OutcomeKind.COMPLETE, answer
        )
        expected = "".join(
            engine_timing_model.token_text("rain in march", i) for i in range(5)
        )
        self.assertEqual(answer.text, expected)

    async def test_call_reaches_the_plain_service(self):
        answer = await self.client.call(
            "ledger", "proofs", b"run 7", units.Seconds(5.0)
        )
        self.assertEqual(answer.status, 200, answer)
        self.assertIn("run 7", answer.text)

    async def test_request_with_an_unknown_token_is_not_executed(self):
        unauthenticated_client = load_client.LoadClient(
            self.router.address, "wrong"
        )
        answer = await unauthenticated_client.call(
            "ledger", "proofs", b"", units.Seconds(5.0)
        )
        self.assertEqual(answer.status, 401)
        self.assertEqual(answer.execution, "not_run")


if __name__ == "__main__":
    unittest.main()
