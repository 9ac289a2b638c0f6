"""Guards the stand-in model engine, on which other tests rely."""

from __future__ import annotations

import dataclasses
import unittest

import orjson
import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin import fleet
from lavendershed.standin import in_process_engine
from lavendershed.standin import model_engine
from lavendershed.transport import client as transport_client

OWNER = backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(7))
ERROR_KINDS = backend_servers.BackendErrorKind
PROMPT = "rain in march"
STREAM = ids.StreamId("stream-1")


def stream_request(**changes):
    """Returns a stream request for five tokens."""
    request = backend_servers.StreamRequest(
        STREAM,
        ids.AttemptId("attempt-1"),
        OWNER,
        ids.ModelId("m"),
        None,
        PROMPT,
        units.Tokens(100),
        (11, 12),
        units.Tokens(5),
        0,
        units.Milliseconds(5_000),
    )
    return dataclasses.replace(request, **changes)


def expected_text(start, end):
    """Returns the expected tokens of the prompt in an offset range."""
    return "".join(
        engine_timing_model.token_text(PROMPT, i) for i in range(start, end)
    )


class ModelEngineTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the stand-in violates the engine protocol of section 4.1."""

    def setUp(self):
        self.clock = timers.VirtualTimerService()

    async def engine(self, settings=None, **options):
        engine = in_process_engine.InProcessEngine(
            settings or in_process_engine.DEFAULT_SETTINGS,
            model_engine.EngineOptions(cache_gap_share=0.0, **options),
            timer_service=self.clock,
        )
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        return engine, engine.client()

    async def read_all(self, client, started):
        stream = started.unwrap()
        output, token_count = "", None
        while token_count is None:
            for event in (await stream.read()).unwrap():
                if isinstance(event, backend_servers.TokenBatch):
                    output += client.decode_text(event.events)
                elif isinstance(event, backend_servers.StreamEnd):
                    token_count = event.token_count
        stream.close()
        return output, token_count

    async def control(self, engine, name, **content):
        await fleet.exchange(
            engine.address,
            transport_client.RequestHead("POST", f"/control/{name}"),
            orjson.dumps(content),
        )

    async def allocations(self, client):
        return (await client.list_allocations(None)).unwrap()

    async def test_resumes_from_an_offset_even_after_the_end(self):
        _, client = await self.engine()
        first = await client.start_stream(stream_request())
        self.assertEqual(
            await self.read_all(client, first), (expected_text(0, 5), 5)
        )
        again = await client.resume_stream(STREAM, 2)
        self.assertEqual(
            await self.read_all(client, again), (expected_text(2, 5), 5)
        )
        self.assertEqual(await self.allocations(client), ())

    async def test_undelivered_stream_is_kept_until_it_is_cancelled(self):
        _, client = await self.engine()
        (await client.start_stream(stream_request())).unwrap().close()
        self.assertEqual(len(await self.allocations(client)), 1)
        await client.cancel_stream(STREAM)
        self.assertEqual(await self.allocations(client), ())
        resumed = await client.resume_stream(STREAM, 0)
        self.assertIs(resumed.err_value.kind, ERROR_KINDS.UNKNOWN_STREAM)

    async def test_deadline_frees_a_stream(self):
        _, client = await self.engine()
        request = stream_request(
            max_tokens=units.Tokens(10_000), timeout=units.Milliseconds(50)
        )
        (await client.start_stream(request)).unwrap().close()
        self.clock.advance(units.Seconds(0.1))
        self.assertEqual(await self.allocations(client), ())
        self.assertEqual((await client.load_report()).unwrap().running, 0)

    async def test_cancelled_stream_sends_no_end_event(self):
        _, client = await self.engine()
        request = stream_request(max_tokens=units.Tokens(10_000))
        stream = (await client.start_stream(request)).unwrap()
        await stream.read()
        confirmed = await client.cancel_stream(STREAM)
        self.assertIsInstance(confirmed, result.Ok)
        while isinstance(events := await stream.read(), result.Ok):
            for event in events.ok_value:
                self.assertNotIsInstance(event, backend_servers.StreamEnd)
        unknown = await client.cancel_stream(ids.StreamId("other"))
        self.assertEqual(unknown, confirmed)

    async def test_start_after_its_cancellation_is_refused(self):
        _, client = await self.engine()
        await client.cancel_stream(STREAM)
        started = await client.start_stream(stream_request())
        self.assertIs(started.err_value.kind, ERROR_KINDS.REFUSED_BEFORE_START)

    async def test_continuation_produces_the_same_tokens(self):
        _, client = await self.engine()
        started = await client.start_stream(
            stream_request(resume_text=expected_text(0, 2), first_offset=2)
        )
        self.assertEqual(
            await self.read_all(client, started), (expected_text(2, 7), 7)
        )
        mismatched_request = stream_request(
            stream_id=ids.StreamId("s2"), resume_text="x", first_offset=2
        )
        started = await client.start_stream(mismatched_request)
        output, _ = await self.read_all(client, started)
        self.assertNotEqual(output, expected_text(2, 7))

    async def test_reservations_hold_memory_for_their_lifetime(self):
        settings = engine_timing_model.EngineSettings(
            kv_tokens=units.Tokens(1_000)
        )
        _, client = await self.engine(settings)
        first_reservation, second_reservation = (
            ids.ReservationId("h1"),
            ids.ReservationId("h2"),
        )
        for _ in range(2):
            reserved = await client.create_reservation(
                first_reservation, OWNER, units.Bytes(800), units.Seconds(0.1)
            )
            self.assertIsInstance(reserved, result.Ok)
        refused = await client.create_reservation(
            second_reservation, OWNER, units.Bytes(800), units.Seconds(9.0)
        )
        self.assertIs(refused.err_value.kind, ERROR_KINDS.REFUSED_BEFORE_START)
        (allocation,) = await self.allocations(client)
        self.assertEqual(
            (allocation.kind, allocation.size),
            (backend_servers.AllocationKind.RESERVATION, 800),
        )
        self.clock.advance(units.Seconds(0.15))
        reserved = await client.create_reservation(
            second_reservation, OWNER, units.Bytes(800), units.Seconds(9.0)
        )
        self.assertIsInstance(reserved, result.Ok)
        await client.release_reservation(second_reservation)
        self.assertEqual(await self.allocations(client), ())

    async def test_kv_segments_are_exported_and_imported_across_engines(self):
        settings = engine_timing_model.EngineSettings(
            prefill_rate=1e6, kv_tokens=units.Tokens(4_000)
        )
        engines = [await self.engine(settings) for _ in range(3)]
        handles = [ids.KvHandle(f"group-{i}") for i in range(2)]
        reservation = ids.ReservationId("hold")
        for index, (_, client) in enumerate(engines):
            # Other streams that wait for memory must not take reserved memory.
            reserved = await client.create_reservation(
                reservation, OWNER, units.Bytes(3_500), units.Seconds(5.0)
            )
            self.assertIsInstance(reserved, result.Ok)
            for source, handle in zip(engines[:index], handles, strict=False):
                imported = await client.import_kv(
                    str(source[0].address), handle, OWNER
                )
                self.assertIsInstance(imported, result.Ok)
            request = stream_request(
                prompt_tokens=units.Tokens(min(7_000, 3_000 * (index + 1))),
                kv_imports=tuple(handles[:index]),
                reservation=reservation,
            )
            if index < 2:
                exported = await client.export_kv(
                    request, handles[index], reservation
                )
                self.assertIsInstance(exported, result.Ok)
                sizes = [a.size for a in await self.allocations(client)]
                self.assertIn(3_000, sizes)
        started = await client.start_stream(request)
        self.assertEqual(
            await self.read_all(client, started), (expected_text(0, 5), 5)
        )
        for _, client in engines:
            for handle in handles:
                await client.release_kv(handle)
            self.assertEqual(await self.allocations(client), ())
            self.assertEqual((await client.load_report()).unwrap().waiting, 0)

    async def test_stream_with_an_unknown_kv_segment_is_refused(self):
        _, client = await self.engine()
        request = stream_request(kv_imports=(ids.KvHandle("x"),))
        started = await client.start_stream(request)
        self.assertIs(started.err_value.kind, ERROR_KINDS.REFUSED_BEFORE_START)

    async def order(self, client, fencing_number, order_id, kind, target):
        return await client.execute_order(
            backend_servers.EngineOrder(
                ids.OrderId(order_id),
                backend_servers.OrderKind(kind),
                target,
                ids.FencingNumber(fencing_number),
            )
        )

    async def test_orders_take_the_load_time_and_check_fencing_numbers(self):
        options = {
            "models": ("m",),
            "load_time": units.Seconds(0.1),
            "report_lag": units.Seconds(0.0),
        }
        _, client = await self.engine(**options)
        await self.order(client, 5, "o1", "load_model", "n")
        self.assertEqual((await client.load_report()).unwrap().models, ("m",))
        self.clock.advance(units.Seconds(0.15))
        self.assertEqual(
            (await client.load_report()).unwrap().models, ("m", "n")
        )
        stale = await self.order(client, 4, "o2", "unload_model", "m")
        self.assertIs(stale.err_value.kind, ERROR_KINDS.STALE_FENCING_NUMBER)
        await self.order(client, 6, "o3", "change_role", "prefill")
        report = (await client.load_report()).unwrap()
        self.assertIs(report.role, states.EngineRole.PREFILL)
        _, unfenced_client = await self.engine(checks_fencing=False, **options)
        for number in (5, 4):
            accepted = await self.order(
                unfenced_client, number, str(number), "change_role", "decode"
            )
            self.assertIsInstance(accepted, result.Ok)

    async def test_stream_for_a_model_that_is_not_loaded_is_refused(self):
        _, client = await self.engine(models=("other",))
        started = await client.start_stream(stream_request())
        self.assertIs(started.err_value.kind, ERROR_KINDS.REFUSED_BEFORE_START)

    async def test_leaving_engine_refuses_new_and_finishes_open_streams(self):
        engine, client = await self.engine()
        started = await client.start_stream(stream_request())
        await self.control(engine, "leave")
        refused = await client.start_stream(
            stream_request(stream_id=ids.StreamId("s2"))
        )
        self.assertTrue(refused.err_value.leaving)
        self.assertEqual(
            await self.read_all(client, started), (expected_text(0, 5), 5)
        )

    async def test_stalled_connections_stay_open_and_new_ones_work(self):
        engine, client = await self.engine()
        request = stream_request(max_tokens=units.Tokens(50))
        stream = (await client.start_stream(request)).unwrap()
        await stream.read()
        await self.control(engine, "faults", silence=True)
        while isinstance(events := await stream.read(), result.Ok):
            pass
        self.assertIs(events.err_value.kind, ERROR_KINDS.IDLE_TIMEOUT)
        resumed = await client.resume_stream(STREAM, 0)
        _, end = await self.read_all(client, resumed)
        self.assertEqual(end, 50)

    async def test_crash_marker_crashes_and_restart_changes_incarnation(self):
        engine, client = await self.engine()
        before = engine.incarnation
        crashed = await client.start_stream(
            stream_request(prompt=model_engine.CRASH_MARKER)
        )
        self.assertIs(crashed.err_value.kind, ERROR_KINDS.CONNECTION_LOST)
        refused = await client.load_report()
        self.assertIs(refused.err_value.kind, ERROR_KINDS.CONNECTION_REFUSED)
        await engine.start()
        self.assertNotEqual(engine.incarnation, before)
        self.assertEqual(await self.allocations(client), ())

    async def test_cache_events_are_delayed_and_numbered(self):
        _, client = await self.engine(cache_delay=units.Seconds(0.1))
        started = await client.start_stream(stream_request())
        await self.read_all(client, started)
        self.assertEqual((await client.cache_events(0)).unwrap(), ())
        self.clock.advance(units.Seconds(0.15))
        (event,) = (await client.cache_events(0)).unwrap()
        self.assertEqual((event.sequence, event.stored), (1, (11, 12)))
        self.assertEqual((await client.cache_events(1)).unwrap(), ())

    async def test_malformed_request_is_refused_before_execution(self):
        engine, _ = await self.engine()
        for body in (b"{", b"[]", b"{}", b'{"stream_id": 1}'):
            response = await fleet.exchange(
                engine.address,
                transport_client.RequestHead("POST", "/v1/streams"),
                body,
            )
            self.assertEqual(response.head.status, 400)


if __name__ == "__main__":
    unittest.main()
