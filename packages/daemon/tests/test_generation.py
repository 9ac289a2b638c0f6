"""Tests attempts and failover of generate requests on stand-in engines."""

from __future__ import annotations

import asyncio

import generation_fixture
import orjson
import result

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.reliability import fingerprints
from lavendershed.reliability import memory_ledger
from lavendershed.standin import engine_timing_model
from lavendershed.standin import fleet
from lavendershed.standin import model_engine
from lavendershed.telemetry import events
from lavendershed.transport import client as transport_client

SLOW_DECODE = engine_timing_model.EngineSettings(
    prefill_rate=1_000_000.0, decode_base=units.Seconds(0.02)
)
# The prefill of a hundred tokens takes five seconds.
SLOW_PREFILL = engine_timing_model.EngineSettings(prefill_rate=20.0)


async def send_control_call(engine, name, **content):
    """Sends a control call to a stand-in engine."""
    await fleet.exchange(
        engine.address,
        transport_client.RequestHead("POST", f"/control/{name}"),
        orjson.dumps(content),
    )


class GenerationTest(generation_fixture.GenerationTestCase):
    """Fails if a request has a wrong or late outcome, or leaks memory."""

    def assert_complete(self, caller, prompt, count):
        expected = "".join(
            engine_timing_model.token_text(prompt, i) for i in range(count)
        )
        client = self.clients[self.names[0]]
        self.assertEqual(client.decode_text(tuple(caller.events)), expected)
        self.assertEqual(caller.final_token_count, count)

    def count(self, event):
        return sum(number is event for number, _ in self.log.records)

    async def test_complete_response_leaves_no_allocations(self):
        await self.start(1)
        outcome, caller = await self.run_request()
        self.assertIsInstance(outcome, result.Ok)
        self.assert_complete(caller, "rain", 20)
        self.assertEqual(self.dispatcher.released, 1)
        self.assertEqual(self.suspects.in_flight, 0)
        await self.assert_no_memory_is_held()

    async def test_continues_on_another_engine_after_a_crash(self):
        await self.start(2, SLOW_DECODE)
        prompt = "wind"
        caller = generation_fixture.FakeCaller()
        request_task = asyncio.create_task(
            self.run_request(caller, prompt=prompt, max_tokens=12)
        )
        await caller.first_token.wait()
        await self.engines[0].stop()
        outcome, _ = await request_task
        self.assertIsInstance(outcome, result.Ok)
        self.assert_complete(caller, prompt, 12)
        # The request is a crash suspect, so its second attempt runs
        # without other requests on the engine.
        self.assertEqual(
            self.dispatcher.assigned,
            [(self.names[0], False), (self.names[1], True)],
        )
        # The new incarnation proves that the memory of the old one is free.
        await self.engines[0].start()
        await self.assert_no_memory_is_held()

    async def test_continues_on_the_only_engine_after_its_restart(self):
        await self.start(1, SLOW_DECODE)
        caller = generation_fixture.FakeCaller()
        request_task = asyncio.create_task(self.run_request(caller))
        await caller.first_token.wait()
        await self.engines[0].stop()
        await asyncio.sleep(0.1)
        self.assertFalse(request_task.done())
        await self.engines[0].start()
        outcome, _ = await request_task
        self.assertIsInstance(outcome, result.Ok)
        self.assert_complete(caller, "rain", 20)
        await self.assert_no_memory_is_held()

    async def check_quarantine_after_two_crashes(self, prompt):
        await self.start(4)
        outcome, _ = await self.run_request(prompt=prompt)
        failure = outcome.err_value
        self.assertIs(failure.reason, states.FailureReason.QUARANTINED)
        self.assertIsNot(failure.execution, states.Execution.NOT_RUN)
        self.assertEqual([e.crashes for e in self.engines], [1, 1, 0, 0])
        suspect, record = self.exchange.published
        self.assertIsInstance(suspect, cluster.CrashSuspectRecord)
        self.assertGreater(record.lifetime, 0)
        again, _ = await self.run_request(prompt=prompt, max_tokens=9)
        self.assertIs(again.err_value.execution, states.Execution.NOT_RUN)
        self.assertEqual(sum(e.crashes for e in self.engines), 2)
        other, _ = await self.run_request(prompt="sun")
        self.assertIsInstance(other, result.Ok)

    async def test_request_crashing_at_start_is_quarantined_after_two_crashes(
        self,
    ):
        await self.check_quarantine_after_two_crashes(model_engine.CRASH_MARKER)

    async def test_request_crashing_in_decode_is_quarantined_after_two_crashes(
        self,
    ):
        await self.check_quarantine_after_two_crashes(
            model_engine.DECODE_CRASH_MARKER
        )

    async def test_stalled_connection_is_resumed_on_the_same_engine(self):
        await self.start(1, SLOW_DECODE)
        caller = generation_fixture.FakeCaller()
        request_task = asyncio.create_task(self.run_request(caller))
        await caller.first_token.wait()
        await send_control_call(self.engines[0], "faults", silence=True)
        outcome, _ = await request_task
        self.assertIsInstance(outcome, result.Ok)
        self.assert_complete(caller, "rain", 20)
        self.assertEqual(self.count(events.Event.STREAM_RESUMED), 1)
        self.assertEqual(len(self.dispatcher.assigned), 1)

    async def test_refusals_by_all_engines_are_not_run(self):
        await self.start(2)
        for engine in self.engines:
            await send_control_call(engine, "faults", refuse=True)
        outcome, _ = await self.run_request()
        failure = outcome.err_value
        self.assertIs(failure.execution, states.Execution.NOT_RUN)
        self.assertEqual(len(self.ledger), 0)

    async def test_prompt_sent_during_assignment_is_not_reported_as_not_run(
        self,
    ):
        await self.start(1)
        self.dispatcher.names = []
        self.dispatcher.sends_prompt = True
        outcome, _ = await self.run_request()
        failure = outcome.err_value
        self.assertIs(failure.execution, states.Execution.UNKNOWN)

    async def test_deadline_during_the_response_is_reported_as_started(self):
        await self.start(1, SLOW_DECODE)
        outcome, caller = await self.run_request(max_tokens=9_000, timeout=1.0)
        failure = outcome.err_value
        self.assertIs(failure.reason, states.FailureReason.DEADLINE_EXCEEDED)
        self.assertIs(failure.execution, states.Execution.FAILED_AFTER_START)
        self.assertIsNone(caller.final_token_count)
        await self.assert_no_memory_is_held()

    async def test_disconnect_before_the_first_token_cancels_the_stream(self):
        await self.start(1, SLOW_PREFILL)
        caller = generation_fixture.FakeCaller()
        request_task = asyncio.create_task(self.run_request(caller))
        await self.wait_until(lambda: len(self.ledger))
        caller.disconnected.set()
        outcome, _ = await asyncio.wait_for(request_task, 3.0)
        self.assertIs(
            outcome.err_value.reason, states.FailureReason.CALLER_DISCONNECTED
        )
        await self.assert_no_memory_is_held()

    async def test_request_of_a_caller_that_does_not_read_ends_at_the_deadline(
        self,
    ):
        await self.start(1)
        caller = generation_fixture.FakeCaller()
        caller.reading.clear()
        start = self.timers.now()
        outcome, _ = await self.run_request(caller, timeout=1.0)
        self.assertIs(
            outcome.err_value.reason, states.FailureReason.DEADLINE_EXCEEDED
        )
        self.assertLess(self.timers.now() - start, 5.0)
        await self.assert_no_memory_is_held()

    async def test_release_is_repeated_until_the_engine_confirms(self):
        await self.start(1, SLOW_DECODE)
        caller = generation_fixture.FakeCaller()
        request_task = asyncio.create_task(
            self.run_request(caller, max_tokens=9_000)
        )
        await caller.first_token.wait()
        await send_control_call(self.engines[0], "faults", abort=True)
        caller.disconnected.set()
        await request_task
        await self.wait_until(
            lambda: self.count(events.Event.RELEASE_FAILED) > 1
        )
        self.assertEqual(self.ledger.pending_releases, 1)
        await send_control_call(self.engines[0], "faults", abort=False)
        await self.allocation_manager.release()
        await self.assert_no_memory_is_held()

    async def test_graceful_stop_releases_remaining_allocations(self):
        await self.start(1)
        client = self.clients[self.names[0]]
        key = memory_ledger.AllocationKey(
            self.names[0], backend_servers.AllocationKind.RESERVATION, "hold"
        )
        self.allocation_manager.register(key, client, None)
        created = await client.create_reservation(
            ids.ReservationId("hold"),
            generation_fixture.OWNER,
            units.Bytes(10),
            units.Seconds(60.0),
        )
        self.allocation_manager.confirm(key, created.unwrap())
        await self.allocation_manager.release()
        await self.assert_no_memory_is_held()

    async def test_request_that_becomes_a_suspect_while_queued_runs_alone(self):
        await self.start(1)
        fingerprint = fingerprints.fingerprint_of(self.request())
        attempt = ids.AttemptId("earlier attempt of the same request")
        self.suspects.on_attempt_started(
            attempt, fingerprint, self.names[0], False
        )
        self.dispatcher.on_acquire = lambda: self.suspects.on_engine_crash(
            attempt, False, self.timers.now()
        )
        outcome, _ = await self.run_request()
        self.assertIsInstance(outcome, result.Ok)
        self.assertEqual(
            [exclusive for _, exclusive in self.dispatcher.assigned],
            [False, True],
        )
        self.assertEqual(self.dispatcher.released, 2)
