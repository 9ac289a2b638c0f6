"""Guards the HTTP front end against malformed requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import result

from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.httpd import application
from lavendershed.httpd import front_end
from lavendershed.httpd import request_decoder
from lavendershed.transport import address
from lavendershed.transport import client
from lavendershed.transport import connection_ends
from lavendershed.transport import event_loop_timers
from lavendershed.transport import handlers
from lavendershed.transport import pool
from lavendershed.transport import server

TIMEOUT = units.Seconds(2.0)
AUTHORIZED = ("authorization", "Bearer right")
GENERATE = "/v1/services/drafting/generate"
CALL = "/v1/services/ledger/call/reserve"
GOOD_BODY = b'{"prompt": "rain"}'


class FakeApplication(application.Application):
    """Accepts one token and two services; records the requests it gets."""

    def __init__(self):
        self.requests = []

    @property
    def ready(self):
        return True

    @property
    def refusal(self):
        return None

    def authenticate(self, bearer_token):
        if bearer_token == "right":
            return result.Ok(ids.OrganisationId("press"))
        return result.Err(
            outcomes.not_run(states.FailureReason.UNAUTHENTICATED, "token")
        )

    def request_limits(self, service):
        if service in ("drafting", "ledger"):
            return result.Ok(
                application.RequestLimits(
                    units.Seconds(5.0), units.Seconds(60.0)
                )
            )
        return result.Err(
            outcomes.not_run(states.FailureReason.UNKNOWN_SERVICE, "service")
        )

    async def generate(self, request, sink):
        self.requests.append(request)
        await sink.end(units.Tokens(0), states.FinishReason.STOP)
        return result.Ok(None)

    async def call(self, request):
        self.requests.append(request)
        return result.Ok(
            backend_servers.PlainResponse(200, "text/plain", b"ok")
        )

    def metrics(self):
        return b""

    def status(self):
        return {}


class FrontEndTest(unittest.IsolatedAsyncioTestCase):
    """Fails if invalid input is run or not reported as `not_run`."""

    async def asyncSetUp(self):
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.app = FakeApplication()
        self.observer = connection_ends.IgnoringObserver()
        listener = server.HttpServer(
            front_end.FrontEnd(self.app, timers),
            timers,
            server.ServerLimits(),
            observer=self.observer,
        )
        await listener.start(address.Address("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.pool = pool.ConnectionPool(
            listener.address, timers, pool.PoolLimits()
        )
        self.addCleanup(self.pool.close)

    async def send(self, target, body, *headers, method="POST"):
        head = client.RequestHead(method, target, headers)
        return (await self.pool.exchange(head, body)).unwrap()

    async def test_invalid_input_is_not_run_and_the_error_names_the_field(self):
        cases = (
            (GENERATE, GOOD_BODY, (), 401, "Authorization"),
            (GENERATE, GOOD_BODY, (("authorization", "x"),), 401, "Bearer"),
            (GENERATE, b"{", (AUTHORIZED,), 400, "body"),
            (GENERATE, b"[]", (AUTHORIZED,), 400, "body"),
            (GENERATE, b'{"prompt": 1}', (AUTHORIZED,), 400, "prompt"),
            (GENERATE, b'{"prompt": ""}', (AUTHORIZED,), 400, "prompt"),
            (
                GENERATE,
                b'{"prompt": "a", "max_tokens": 0}',
                (AUTHORIZED,),
                400,
                "max_tokens",
            ),
            (
                GENERATE,
                b'{"prompt": "a", "prompt_tokens": true}',
                (AUTHORIZED,),
                400,
                "prompt_tokens",
            ),
            (
                GENERATE,
                b'{"prompt": "a", "adapter": 1}',
                (AUTHORIZED,),
                400,
                "adapter",
            ),
            (
                GENERATE,
                GOOD_BODY,
                (AUTHORIZED, ("request-timeout-ms", "-1")),
                400,
                "Request-Timeout-Ms",
            ),
            (
                GENERATE,
                GOOD_BODY,
                (AUTHORIZED, ("request-timeout-ms", "60001")),
                400,
                "60000",
            ),
            (
                CALL,
                b"",
                (AUTHORIZED, ("idempotency-key", "k" * 256)),
                400,
                "Idempotency-Key",
            ),
            ("/v1/services/none/generate", b"", (AUTHORIZED,), 404, "service"),
            (
                "/v1/services/drafting/other",
                b"",
                (AUTHORIZED,),
                404,
                "no resource",
            ),
            ("/else", b"", (AUTHORIZED,), 404, "/else"),
        )
        for target, body, headers, status, text in cases:
            with self.subTest(target=target, body=body, headers=headers):
                response = await self.send(target, body, *headers)
                problem = json.loads(response.body)
                self.assertEqual(response.head.status, status)
                self.assertEqual(problem["execution"], "not_run")
                self.assertIn(text, problem["detail"])
        self.assertEqual(self.app.requests, [])

    async def test_other_methods_are_rejected(self):
        response = await self.send(GENERATE, b"", AUTHORIZED, method="PUT")
        self.assertEqual(response.head.status, 400)

    async def test_request_id_of_the_caller_is_returned(self):
        response = await self.send(
            CALL, b"", AUTHORIZED, ("request-id", "order-7")
        )
        self.assertEqual(response.head.header("request-id"), "order-7")
        self.assertEqual(self.app.requests[0].request_id, "order-7")

    async def test_a_bug_after_a_call_is_not_reported_as_not_run(self):
        """Guards against callers that repeat a booking that has run."""
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None
        )

        async def run_and_raise(request):
            self.app.requests.append(request)
            raise ValueError

        with mock.patch.object(self.app, "call", run_and_raise):
            response = await self.send(CALL, b"", AUTHORIZED)
        problem = json.loads(response.body)
        self.assertEqual(response.head.status, 500)
        self.assertEqual(problem["execution"], "unknown")
        self.assertEqual(problem["status"], 500)

    async def test_an_error_event_that_is_not_read_ends_its_connection(self):
        """Guards against a caller that holds a request past its deadline."""

        async def fill_and_fail(request, sink):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await sink.deliver((b"x" * 20_000_000,))
            return result.Err(
                outcomes.RequestFailure(
                    states.FailureReason.DEADLINE_EXCEEDED,
                    states.Execution.UNKNOWN,
                    "late",
                )
            )

        with (
            mock.patch.object(self.app, "generate", fill_and_fail),
            mock.patch.object(self.observer, "on_unanswered") as reported,
        ):
            connection = (await self.pool.acquire()).unwrap()
            self.addCleanup(connection.close)
            head = client.RequestHead("POST", GENERATE, (AUTHORIZED,))
            (await connection.send(head, GOOD_BODY, TIMEOUT)).unwrap()
            for _ in range(40):
                if reported.called:
                    break
                await asyncio.sleep(0.05)
        (request,) = reported.call_args.args
        self.assertIs(
            request.end, connection_ends.ConnectionEnd.RESPONSE_ABORTED
        )


class RequestDecoderTest(unittest.TestCase):
    """Fails if any body raises or decodes to values out of range."""

    VALUES = strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=5),
        lambda inner: strategies.lists(inner, max_size=2),
        max_leaves=3,
    )

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.binary(max_size=40)
        | strategies.dictionaries(
            strategies.sampled_from(
                ("prompt", "prompt_tokens", "max_tokens", "adapter", "x")
            ),
            VALUES,
        ).map(lambda content: json.dumps(content).encode())
    )
    def test_bodies_are_decoded_or_rejected(self, body):
        decoded = request_decoder.generate_request(
            handlers.ServerRequest("POST", GENERATE, "", (), body),
            ids.RequestId("r"),
            ids.OrganisationId("press"),
            ids.ServiceId("drafting"),
            deadlines.Deadline(units.Instant(1.0)),
        )
        if isinstance(decoded, result.Err):
            execution = decoded.err_value.execution
            self.assertIs(execution, states.Execution.NOT_RUN)
            return
        self.assertTrue(decoded.ok_value.prompt)
        self.assertGreaterEqual(decoded.ok_value.prompt_tokens, 1)
        self.assertGreaterEqual(decoded.ok_value.max_tokens, 1)


if __name__ == "__main__":
    unittest.main()
