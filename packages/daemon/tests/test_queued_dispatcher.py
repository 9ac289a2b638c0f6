"""Tests waiting, resumption and cancellation of attempts."""

from __future__ import annotations

import asyncio
import random
import unittest

from lavendershed.configuration import manifest
from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_health
from lavendershed.daemon import dispatcher
from lavendershed.daemon import queued_dispatcher
from lavendershed.routing import limits
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments
from lavendershed.telemetry import log

SERVICE = ids.ServiceId("drafting")
NO_CONSTRAINTS = dispatcher.Constraints()


class QueuedDispatcherTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a waiting attempt is not dispatched, refused or removed."""

    @classmethod
    def setUpClass(cls):
        # A process has one metrics registry.
        cls.instruments = instruments.Instruments(ids.VmId("vm-1"))

    def setUp(self):
        self.timers = timers.VirtualTimerService()
        self.log = log.MemoryEventLog()
        self.state = state.ConfigurationState()
        self.dispatcher = queued_dispatcher.QueuedDispatcher(
            ids.VmId("vm-1"),
            self.state,
            self.timers,
            self.log,
            self.instruments,
            backend_health.BackendHealth(
                self.timers,
                random.Random(1),
                cluster.SingleDaemonCluster(
                    backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(1))
                ),
                self.log,
            ),
            limits.FullShare(),
            random.Random(1),
        )
        self.configure(1, 0.5)

    def configure(self, epoch, long_prefill_share, engines=1):
        chunk = manifest.Chunk(
            services=(
                model.Service(
                    SERVICE,
                    states.ServiceKind.MODEL_ENGINE,
                    tuple(
                        model.BackendServer(
                            ids.BackendServerId(f"engine-{n}"),
                            f"127.0.0.1:{n + 1}",
                            ids.AvailabilityZoneId("zone-a"),
                        )
                        for n in range(engines)
                    ),
                ),
            ),
            presets=(
                model.Preset(
                    ids.PresetName("day"), long_prefill_share=long_prefill_share
                ),
            ),
        )
        name = ids.ChunkHash(f"chunk-{epoch}")
        self.state.on_manifest(
            manifest.Manifest(
                ids.Epoch(epoch), ids.PresetName("day"), (name,), ()
            ),
            self.timers.now(),
        )
        (applied,) = self.state.on_chunk(name, chunk, self.timers.now())
        self.dispatcher.on_configuration(applied.old, applied.new)

    def request(self, tokens=200_000, timeout=60.0):
        return requests.GenerateRequest(
            ids.RequestId("same"),
            ids.OrganisationId("press"),
            SERVICE,
            "prompt",
            units.Tokens(tokens),
            units.Tokens(10),
            deadlines.Deadline.from_timeout(
                self.timers.now(), units.Seconds(timeout)
            ),
        )

    async def start(self, request):
        task = asyncio.create_task(
            self.dispatcher.acquire(request, NO_CONSTRAINTS)
        )
        await asyncio.sleep(0)
        return task

    async def test_release_dispatches_a_waiting_attempt_of_the_same_request(
        self,
    ):
        request = self.request()
        first = (
            await self.dispatcher.acquire(request, NO_CONSTRAINTS)
        ).unwrap()
        waiting = await self.start(request)
        self.assertFalse(waiting.done())
        self.dispatcher.release(request, first)
        self.assertEqual((await waiting).unwrap().engine, first.engine)

    async def test_deadline_refuses_a_waiting_attempt_as_not_run(self):
        await self.dispatcher.acquire(self.request(), NO_CONSTRAINTS)
        waiting = await self.start(self.request(timeout=30.0))
        self.timers.advance(units.Seconds(30.0))
        failure = (await waiting).unwrap_err()
        self.assertIs(failure.reason, states.FailureReason.DEADLINE_EXCEEDED)
        self.assertIs(failure.execution, states.Execution.NOT_RUN)

    async def test_cancelled_attempt_leaves_no_load_on_queue_or_engine(self):
        request = self.request()
        first = (
            await self.dispatcher.acquire(request, NO_CONSTRAINTS)
        ).unwrap()
        queued = await self.start(request)
        queued.cancel()
        await asyncio.gather(queued, return_exceptions=True)
        dispatched = await self.start(request)
        # The assignment and the cancellation happen in the same iteration of
        # the event loop.
        self.dispatcher.release(request, first)
        dispatched.cancel()
        await asyncio.gather(dispatched, return_exceptions=True)
        self.assertEqual(self.dispatcher.local_loads, ())

    async def test_preset_change_dispatches_a_waiting_attempt(self):
        self.configure(2, 0.5, engines=2)
        await self.dispatcher.acquire(self.request(), NO_CONSTRAINTS)
        waiting = await self.start(self.request())
        self.assertFalse(waiting.done())
        self.configure(3, 1.0, engines=2)
        self.assertTrue((await waiting).is_ok())

    async def test_every_decision_is_logged_with_a_reason(self):
        await self.dispatcher.acquire(self.request(), NO_CONSTRAINTS)
        await self.start(self.request())
        await self.dispatcher.acquire(self.request(500_000), NO_CONSTRAINTS)
        numbers = [event for event, fields in self.log.records]
        self.assertEqual(
            numbers,
            [
                events.Event.REQUEST_DISPATCHED,
                events.Event.REQUEST_QUEUED,
                events.Event.REQUEST_REFUSED,
            ],
        )
        self.assertTrue(all(f["reason"] for _, f in self.log.records))


if __name__ == "__main__":
    unittest.main()
