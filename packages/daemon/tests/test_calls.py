"""Tests calls to plain services.

Guards against duplicate execution and a false report of `not_run`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import unittest

import fakes
import result

from lavendershed.booking import state_machine
from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.daemon import backend_health
from lavendershed.daemon import bookings
from lavendershed.daemon import calls
from lavendershed.daemon import load_balancer
from lavendershed.reliability import retry_budget
from lavendershed.reliability import retry_policy
from lavendershed.telemetry import instruments
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

LEDGER = ids.ServiceId("ledger")
SERVERS = tuple(ids.BackendServerId(name) for name in ("a", "b"))
INSTRUMENTS = instruments.Instruments(ids.VmId("vm-1"))


class FakeConfigurationState:
    """A configuration state with one plain service."""

    current = model.Configuration(
        ids.Epoch(1),
        ids.PresetName("ordinary"),
        {},
        {
            LEDGER: model.Service(
                LEDGER,
                states.ServiceKind.PLAIN,
                tuple(
                    model.BackendServer(
                        name, "127.0.0.1:1", ids.AvailabilityZoneId("z")
                    )
                    for name in SERVERS
                ),
                (
                    model.Route("reserve", idempotent=False),
                    model.Route("proofs", idempotent=True),
                ),
            )
        },
        {},
    )


class FakeDirectory:
    """Fake clients of two backend servers."""

    def __init__(self):
        self.services = {name: fakes.FakePlainService() for name in SERVERS}

    def plain_service(self, name):
        return self.services[name]


class CallsTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a call runs twice or its caller gets a wrong outcome."""

    def setUp(self):
        self.store = fakes.FakeStore()
        self.directory = FakeDirectory()
        self.log = log.MemoryEventLog()

    def new_executor(self, vm="vm-1"):
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.timers = timers
        owner = backend_servers.Owner(ids.VmId(vm), ids.Incarnation(1))
        generator = random.Random(7)
        health = backend_health.BackendHealth(
            timers, generator, cluster.SingleDaemonCluster(owner), self.log
        )
        self.bookings = bookings.BookingExecutor(
            self.store,
            cluster.SingleDaemonCluster(owner),
            owner,
            timers,
            self.log,
            INSTRUMENTS,
            generator,
            state_machine.BookingLimits(initial_backoff=units.Seconds(0.01)),
        )
        return calls.CallExecutor(
            FakeConfigurationState(),
            self.directory,
            health,
            load_balancer.LeastOutstandingBalancer(health, generator),
            self.bookings,
            retry_policy.RetryPolicy(
                retry_policy.RetryLimits(max_attempts=3),
                retry_budget.RetryBudget(retry_budget.BudgetLimits()),
                generator,
            ),
            timers,
            self.log,
            INSTRUMENTS,
        )

    def request(self, path="reserve", key="k", body=b"run 7", timeout=5.0):
        return requests.CallRequest(
            ids.RequestId("r"),
            ids.OrganisationId("press"),
            LEDGER,
            path,
            body,
            "text/plain",
            ids.IdempotencyKey(key),
            deadlines.Deadline.from_timeout(
                self.timers.now(), units.Seconds(timeout)
            ),
        )

    def call_count(self):
        return sum(len(s.calls) for s in self.directory.services.values())

    def responses(self, *responses):
        for service in self.directory.services.values():
            service.responses = list(responses)

    async def test_a_resend_to_another_daemon_gets_the_stored_response(
        self,
    ):
        first = await self.new_executor().run(self.request())
        await self.bookings.release()
        self.assertEqual(self.store.puts, 2)
        again = await self.new_executor("vm-2").run(self.request())
        self.assertIsInstance(first, result.Ok)
        self.assertEqual(again, first)
        self.assertEqual(self.call_count(), 1)

    async def test_a_booking_uses_a_new_connection(self):
        await self.new_executor().run(self.request())
        (call,) = [c for s in self.directory.services.values() for c in s.calls]
        self.assertTrue(call.fresh_connection)
        self.assertLessEqual(
            call.send_deadline,
            units.after(self.timers.now(), units.Seconds(3.0)),
        )

    async def test_a_store_outage_refuses_bookings_as_not_run(self):
        self.store.down = True
        outcome = await self.new_executor().run(self.request())
        self.assertIs(outcome.err_value.execution, states.Execution.NOT_RUN)
        self.assertEqual(self.call_count(), 0)

    async def test_a_lost_response_to_the_claim_write_still_runs_once(self):
        self.store.faults = ["lost"]
        outcome = await self.new_executor().run(self.request())
        self.assertIsInstance(outcome, result.Ok)
        self.assertEqual(self.call_count(), 1)

    async def test_a_response_survives_failed_writes_of_its_record(self):
        self.store.faults = [None, "dropped", "dropped", "lost"]
        first = await self.new_executor().run(self.request())
        await self.bookings.release()
        self.assertEqual(
            await self.new_executor("vm-2").run(self.request()), first
        )
        self.assertEqual(self.bookings.status()["bookings_unsettled"], 0)

    async def test_a_refused_booking_is_sent_to_another_server(self):
        self.directory.services[SERVERS[0]].responses = [fakes.refusal()] * 4
        executor = self.new_executor()
        for number in range(4):
            outcome = await executor.run(self.request(key=f"k{number}"))
            self.assertIsInstance(outcome, result.Ok)
        self.assertLessEqual(len(self.directory.services[SERVERS[0]].calls), 1)

    async def test_a_lost_response_is_unknown_and_not_run_again(self):
        self.responses(fakes.lost_connection(), fakes.lost_connection())
        for _ in range(2):
            outcome = await self.new_executor().run(self.request())
            self.assertIs(outcome.err_value.execution, states.Execution.UNKNOWN)
            await self.bookings.release()
        self.assertEqual(self.call_count(), 1)

    async def test_booking_without_a_key_is_refused_as_not_run(self):
        executor = self.new_executor()
        request = dataclasses.replace(self.request(), idempotency_key=None)
        failure = (await executor.run(request)).err_value
        self.assertIs(
            failure.reason, states.FailureReason.MISSING_IDEMPOTENCY_KEY
        )
        self.assertIs(failure.execution, states.Execution.NOT_RUN)
        self.assertIn("Idempotency-Key", failure.detail)

    async def test_another_body_under_the_same_key_is_refused(self):
        await self.new_executor().run(self.request())
        await self.bookings.release()
        outcome = await self.new_executor().run(self.request(body=b"run 8"))
        self.assertIs(
            outcome.err_value.reason,
            states.FailureReason.IDEMPOTENCY_KEY_REUSED,
        )

    async def test_idempotent_calls_are_retried_on_another_server(self):
        responses = [fakes.lost_connection()]
        for service in self.directory.services.values():
            service.responses = responses
        outcome = await self.new_executor().run(self.request(path="proofs"))
        self.assertIsInstance(outcome, result.Ok)
        calls_made = [len(s.calls) for s in self.directory.services.values()]
        self.assertEqual(calls_made, [1, 1])

    async def test_a_call_with_a_lost_attempt_is_not_reported_as_not_run(self):
        # The first response is lost; then both servers refuse as leaving.
        responses = [fakes.lost_connection(), fakes.refusal(), fakes.refusal()]
        for service in self.directory.services.values():
            service.responses = responses
        outcome = await self.new_executor().run(self.request(path="proofs"))
        self.assertIs(outcome.err_value.execution, states.Execution.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
