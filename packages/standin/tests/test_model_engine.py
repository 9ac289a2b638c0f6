"""Guards the stand-in engine, which other tests rely on as the platform."""

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
KIND = backend_servers.BackendErrorKind
PROMPT = "rain in march"
STREAM = ids.StreamId("stream-1")


def stream_request(**changes):
    """Returns a request for five tokens."""
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


def text(start, end):
    """Returns the tokens that every engine produces for the prompt."""
    return "".join(
        engine_timing_model.token_text(PROMPT, i) for i in range(start, end)
    )


class ModelEngineTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the stand-in breaks the engine protocol of section 4.1."""

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

    async def read_all(self, client, opened):
        stream = opened.unwrap()
        pieces, end = "", None
        while end is None:
            for event in (await stream.read()).unwrap():
                if isinstance(event, backend_servers.TokenBatch):
                    pieces += client.decode_text(event.events)
                elif isinstance(event, backend_servers.StreamEnd):
                    end = event.token_count
        stream.close()
        return pieces, end

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
        self.assertEqual(await self.read_all(client, first), (text(0, 5), 5))
        again = await client.resume_stream(STREAM, 2)
        self.assertEqual(await self.read_all(client, again), (text(2, 5), 5))
        self.assertEqual(await self.allocations(client), ())

    async def test_unread_answer_is_kept_until_it_is_cancelled(self):
        _, client = await self.engine()
        (await client.start_stream(stream_request())).unwrap().close()
        self.assertEqual(len(await self.allocations(client)), 1)
        await client.cancel_stream(STREAM)
        self.assertEqual(await self.allocations(client), ())
        resumed = await client.resume_stream(STREAM, 0)
        self.assertIs(resumed.err_value.kind, KIND.UNKNOWN_STREAM)

    async def test_deadline_frees_a_stream(self):
        _, client = await self.engine()
        request = stream_request(
            max_tokens=units.Tokens(10_000), timeout=units.Milliseconds(50)
        )
        (await client.start_stream(request)).unwrap().close()
        self.clock.advance(units.Seconds(0.1))
        self.assertEqual(await self.allocations(client), ())
        self.assertEqual((await client.load_report()).unwrap().running, 0)

    async def test_cancelled_stream_does_not_end_like_a_whole_one(self):
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

    async def test_start_after_its_cancel_is_refused(self):
        _, client = await self.engine()
        await client.cancel_stream(STREAM)
        started = await client.start_stream(stream_request())
        self.assertIs(started.err_value.kind, KIND.REFUSED_BEFORE_START)

    async def test_continuation_gives_the_tokens_of_the_first_engine(self):
        _, client = await self.engine()
        opened = await client.start_stream(
            stream_request(resume_text=text(0, 2), first_offset=2)
        )
        self.assertEqual(await self.read_all(client, opened), (text(2, 7), 7))
        wrong = stream_request(
            stream_id=ids.StreamId("s2"), resume_text="x", first_offset=2
        )
        opened = await client.start_stream(wrong)
        pieces, _ = await self.read_all(client, opened)
        self.assertNotEqual(pieces, text(2, 7))

    async def test_holds_reserve_memory_for_their_lifetime(self):
        settings = engine_timing_model.EngineSettings(
            kv_tokens=units.Tokens(1_000)
        )
        _, client = await self.engine(settings)
        hold, other = ids.ReservationId("h1"), ids.ReservationId("h2")
        for _ in range(2):
            taken = await client.create_reservation(
                hold, OWNER, units.Bytes(800), units.Seconds(0.1)
            )
            self.assertIsInstance(taken, result.Ok)
        refused = await client.create_reservation(
            other, OWNER, units.Bytes(800), units.Seconds(9.0)
        )
        self.assertIs(refused.err_value.kind, KIND.REFUSED_BEFORE_START)
        (allocation,) = await self.allocations(client)
        self.assertEqual(
            (allocation.kind, allocation.size),
            (backend_servers.AllocationKind.RESERVATION, 800),
        )
        self.clock.advance(units.Seconds(0.15))
        taken = await client.create_reservation(
            other, OWNER, units.Bytes(800), units.Seconds(9.0)
        )
        self.assertIsInstance(taken, result.Ok)
        await client.release_reservation(other)
        self.assertEqual(await self.allocations(client), ())

    async def test_segments_chain_over_engines(self):
        settings = engine_timing_model.EngineSettings(
            prefill_rate=1e6, kv_tokens=units.Tokens(4_000)
        )
        engines = [await self.engine(settings) for _ in range(3)]
        names = [ids.KvHandle(f"group-{i}") for i in range(2)]
        hold = ids.ReservationId("hold")
        for index, (_, client) in enumerate(engines):
            # Other work waits for memory and must not take the hold's place.
            taken = await client.create_reservation(
                hold, OWNER, units.Bytes(3_500), units.Seconds(5.0)
            )
            self.assertIsInstance(taken, result.Ok)
            for source, name in zip(engines[:index], names, strict=False):
                imported = await client.import_kv(
                    str(source[0].address), name, OWNER
                )
                self.assertIsInstance(imported, result.Ok)
            request = stream_request(
                prompt_tokens=units.Tokens(min(7_000, 3_000 * (index + 1))),
                kv_imports=tuple(names[:index]),
                reservation=hold,
            )
            if index < 2:
                done = await client.export_kv(request, names[index], hold)
                self.assertIsInstance(done, result.Ok)
                sizes = [a.size for a in await self.allocations(client)]
                self.assertIn(3_000, sizes)
        opened = await client.start_stream(request)
        self.assertEqual(await self.read_all(client, opened), (text(0, 5), 5))
        for _, client in engines:
            for name in names:
                await client.release_kv(name)
            self.assertEqual(await self.allocations(client), ())
            self.assertEqual((await client.load_report()).unwrap().waiting, 0)

    async def test_stream_with_an_unknown_segment_is_refused(self):
        _, client = await self.engine()
        request = stream_request(kv_imports=(ids.KvHandle("x"),))
        started = await client.start_stream(request)
        self.assertIs(started.err_value.kind, KIND.REFUSED_BEFORE_START)

    async def order(self, client, number, order_id, kind, target):
        return await client.execute_order(
            backend_servers.EngineOrder(
                ids.OrderId(order_id),
                backend_servers.OrderKind(kind),
                target,
                ids.FencingNumber(number),
            )
        )

    async def test_orders_load_in_time_and_check_the_fencing_number(self):
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
        self.assertIs(stale.err_value.kind, KIND.STALE_FENCING_NUMBER)
        await self.order(client, 6, "o3", "change_role", "prefill")
        report = (await client.load_report()).unwrap()
        self.assertIs(report.role, states.EngineRole.PREFILL)
        _, other = await self.engine(checks_fencing=False, **options)
        for number in (5, 4):
            taken = await self.order(
                other, number, str(number), "change_role", "decode"
            )
            self.assertIsInstance(taken, result.Ok)

    async def test_model_that_is_not_loaded_is_refused(self):
        _, client = await self.engine(models=("other",))
        started = await client.start_stream(stream_request())
        self.assertIs(started.err_value.kind, KIND.REFUSED_BEFORE_START)

    async def test_leaving_engine_refuses_work_and_finishes_its_own(self):
        engine, client = await self.engine()
        opened = await client.start_stream(stream_request())
        await self.control(engine, "leave")
        refused = await client.start_stream(
            stream_request(stream_id=ids.StreamId("s2"))
        )
        self.assertTrue(refused.err_value.leaving)
        self.assertEqual(await self.read_all(client, opened), (text(0, 5), 5))

    async def test_silent_connections_stay_open_and_new_ones_work(self):
        engine, client = await self.engine()
        request = stream_request(max_tokens=units.Tokens(50))
        stream = (await client.start_stream(request)).unwrap()
        await stream.read()
        await self.control(engine, "faults", silence=True)
        while isinstance(events := await stream.read(), result.Ok):
            pass
        self.assertIs(events.err_value.kind, KIND.IDLE_TIMEOUT)
        resumed = await client.resume_stream(STREAM, 0)
        _, end = await self.read_all(client, resumed)
        self.assertEqual(end, 50)

    async def test_crash_marker_and_restart_with_a_new_incarnation(self):
        engine, client = await self.engine()
        before = engine.incarnation
        crashed = await client.start_stream(
            stream_request(prompt=model_engine.CRASH_MARKER)
        )
        self.assertIs(crashed.err_value.kind, KIND.CONNECTION_LOST)
        refused = await client.load_report()
        self.assertIs(refused.err_value.kind, KIND.CONNECTION_REFUSED)
        await engine.start()
        self.assertNotEqual(engine.incarnation, before)
        self.assertEqual(await self.allocations(client), ())

    async def test_cache_events_come_late_and_numbered(self):
        _, client = await self.engine(cache_delay=units.Seconds(0.1))
        opened = await client.start_stream(stream_request())
        await self.read_all(client, opened)
        self.assertEqual((await client.cache_events(0)).unwrap(), ())
        self.clock.advance(units.Seconds(0.15))
        (event,) = (await client.cache_events(0)).unwrap()
        self.assertEqual((event.sequence, event.stored), (1, (11, 12)))
        self.assertEqual((await client.cache_events(1)).unwrap(), ())

    async def test_malformed_call_is_refused_before_the_start(self):
        engine, _ = await self.engine()
        for body in (b"{", b"[]", b"{}", b'{"stream_id": 1}'):
            answer = await fleet.exchange(
                engine.address,
                transport_client.RequestHead("POST", "/v1/streams"),
                body,
            )
            self.assertEqual(answer.head.status, 400)


if __name__ == "__main__":
    unittest.main()
