"""Generation components with stand-in engines, for tests."""

from __future__ import annotations

import asyncio
import random
import unittest

import result

from lavendershed.configuration import manifest
from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.daemon import allocation_manager
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import dispatcher
from lavendershed.daemon import engine_incarnations
from lavendershed.daemon import generation
from lavendershed.daemon import generation_components
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import retry_budget
from lavendershed.reliability import retry_policy
from lavendershed.standin import in_process_engine
from lavendershed.telemetry import instruments
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

SERVICE = ids.ServiceId("drafting")
OWNER = backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(7))
ZONE = ids.AvailabilityZoneId("zone-a")


class FirstAvailableDispatcher(dispatcher.Dispatcher):
    """Assigns the first engine that is not excluded and records it."""

    def __init__(self, names):
        self.names = names
        self.assigned = []
        self.released = 0
        self.on_acquire = lambda: None
        self.sends_prompt = False

    async def acquire(self, request, constraints):
        """Returns the first allowed engine, or a refusal if there is none."""
        self.on_acquire()
        if self.sends_prompt:
            constraints.on_prompt_sent()
        for name in self.names:
            if name not in constraints.excluded:
                self.assigned.append((name, constraints.exclusive))
                return result.Ok(dispatcher.Assignment(name, 0))
        return result.Err(
            outcomes.not_run(states.FailureReason.NO_BACKEND_SERVER, "none")
        )

    def on_first_token(self, request, assignment):
        """Ignored."""

    def release(self, request, assignment):
        """Counts released assignments."""
        self.released += 1


class FakeCaller(requests.ResponseSink):
    """Receives a response; can disconnect or stop reading."""

    def __init__(self):
        self.events = []
        self.final_token_count = None
        self.disconnected = asyncio.Event()
        self.reading = asyncio.Event()
        self.reading.set()
        self.first_token = asyncio.Event()

    async def deliver(self, events):
        """Stores events, after waiting until the caller reads."""
        self.first_token.set()
        await self.reading.wait()
        self.events += events
        return not self.disconnected.is_set()

    async def wait_for_disconnect(self):
        """Waits until the test sets `disconnected`."""
        await self.disconnected.wait()

    async def end(self, token_count, reason):
        """Stores the token count of the complete response."""
        assert self.final_token_count is None
        self.final_token_count = token_count


class RecordingExchange(cluster.SingleDaemonCluster):
    """Stores published records."""

    def __init__(self, owner):
        super().__init__(owner)
        self.published = []

    def publish(self, record):
        """Stores a record."""
        self.published.append(record)


class GenerationTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts engines and the generation components that use them."""

    @classmethod
    def setUpClass(cls):
        # A process has one metrics registry.
        cls.instruments = instruments.Instruments(OWNER.vm)

    async def start(self, count, settings=None):
        """Starts `count` engines and builds a `GenerationExecutor`."""
        self.engines = [
            in_process_engine.InProcessEngine(
                settings or in_process_engine.DEFAULT_SETTINGS
            )
            for _ in range(count)
        ]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.stop)
        self.names = [ids.BackendServerId(f"engine-{i}") for i in range(count)]
        self.clients = dict(
            zip(self.names, (e.client() for e in self.engines), strict=True)
        )
        self.timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self.log = log.MemoryEventLog()
        self.directory = backend_directory.BackendDirectory(self._factory())
        self.directory.on_configuration(self._configuration().current)
        self.ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerLimits())
        incarnations = engine_incarnations.EngineIncarnations()
        self.allocation_manager = allocation_manager.AllocationManager(
            self.ledger, incarnations, self.timers, self.log
        )
        release_loop = asyncio.create_task(self.allocation_manager.run())
        self.addCleanup(release_loop.cancel)
        self.dispatcher = FirstAvailableDispatcher(self.names)
        self.exchange = RecordingExchange(OWNER)
        self.suspects = crash_suspects.CrashSuspects(
            crash_suspects.SuspectLimits()
        )
        self.generation = generation.GenerationExecutor(
            generation_components.GenerationComponents(
                OWNER,
                self._configuration(),
                self.directory,
                backend_health.BackendHealth(
                    self.timers, random.Random(1), self.exchange, self.log
                ),
                self.dispatcher,
                retry_policy.RetryPolicy(
                    retry_policy.RetryLimits(),
                    retry_budget.RetryBudget(retry_budget.BudgetLimits()),
                    random.Random(1),
                ),
                self.suspects,
                self.allocation_manager,
                incarnations,
                self.exchange,
                self.timers,
                self.log,
                self.instruments,
            )
        )

    def _factory(self):
        clients = self.clients

        class Factory(backend_directory.ClientFactory):
            def model_engine(self, server):
                return clients[server.name]

            def plain_service(self, server):
                raise NotImplementedError

        return Factory()

    def _configuration(self):
        servers = tuple(
            model.BackendServer(name, str(engine.address), ZONE)
            for name, engine in zip(self.names, self.engines, strict=True)
        )
        chunk = manifest.Chunk(
            services=(
                model.Service(
                    SERVICE, states.ServiceKind.MODEL_ENGINE, servers
                ),
            ),
            presets=(model.Preset(ids.PresetName("ordinary")),),
        )
        configuration = state.ConfigurationState()
        now = units.Instant(0.0)
        configuration.on_manifest(
            manifest.Manifest(
                ids.Epoch(1),
                ids.PresetName("ordinary"),
                (ids.ChunkHash("c"),),
                (),
            ),
            now,
        )
        configuration.on_chunk(ids.ChunkHash("c"), chunk, now)
        return configuration

    def request(self, prompt="rain", max_tokens=20, timeout=10.0):
        """Returns a request of one organisation."""
        return requests.GenerateRequest(
            ids.RequestId("request-1"),
            ids.OrganisationId("press"),
            SERVICE,
            prompt,
            units.Tokens(100),
            units.Tokens(max_tokens),
            deadlines.Deadline.from_timeout(
                self.timers.now(), units.Seconds(timeout)
            ),
        )

    async def run_request(self, caller=None, **fields):
        """Runs a request; returns its outcome and its caller."""
        caller = caller or FakeCaller()
        outcome = await self.generation.run(self.request(**fields), caller)
        return outcome, caller

    async def wait_until(self, condition):
        """Waits for a condition; fails after ten seconds."""
        async with asyncio.timeout(10.0):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def assert_no_memory_is_held(self):
        """Fails unless ledger and live engines end without allocations."""
        await self.wait_until(lambda: not len(self.ledger))
        for client in self.clients.values():
            allocations = await client.list_allocations(None)
            self.assertEqual(allocations.unwrap_or(()), ())
