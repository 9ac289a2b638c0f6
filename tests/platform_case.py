"""Base class of tests with one daemon and a stand-in platform."""

from __future__ import annotations

import asyncio
import math
import random
import unittest

import result

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.forwarding import daemon
from lavendershed.platform import factory
from lavendershed.platform import settings
from lavendershed.reliability import fleet_retry_budget
from lavendershed.standin import loopback
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.telemetry import log
from lavendershed.transport import boot_timers
from lavendershed.transport import client
from lavendershed.transport import errors

TIMEOUT = units.Seconds(5.0)
HOST = "users.example"
KEY = "key-of-the-almanac"
ORGANISATION = "almanac"
MODEL_SERVICE = "model"
PLAIN_SERVICE = "ledger"
ENGINE = {
    "slots": 8,
    "kv_capacity": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.0,
    "chunk": 2_048,
    "usual": {"prompt": 11_000, "answer": 1_600},
    "hop_ms": 0.05,
}
_POLL_INTERVAL_S = 0.005


def route(prefix, kind, service, **changes):
    """Returns a route of the platform's configuration."""
    return {
        "name": f"route{prefix}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def configuration(version, *routes, api_keys=(KEY,), **model_service):
    """Returns a configuration of the platform."""
    return {
        "version": version,
        "route_table": [
            route(
                "/stream/",
                "streaming",
                MODEL_SERVICE,
                resumable=True,
                gap_target_ms=100,
                timeout_ms=30_000,
                target_latency_ms=600,
            ),
            route("/safe/", "safe", PLAIN_SERVICE),
            route("/unsafe/", "unsafe", PLAIN_SERVICE, max_attempts=2),
            *routes,
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "max_connections": 100,
                "engine": ENGINE,
                **model_service,
            },
            {"name": PLAIN_SERVICE, "max_connections": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": ORGANISATION, "api_keys": list(api_keys), "priority": 1}
        ],
    }


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, two engines of each service and one daemon."""

    # Daemons watch evacuations of zones if it is set.
    evacuation_bound = None

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.timers = boot_timers.BootTimerService(self.loop)
        self.store = platform_store.StandinPlatformStore(self.timers)
        await self.store.start()
        self.store.put("config", "main", configuration(1))
        self.engines = [await self.add_engine(f"e-{n}") for n in range(2)]
        self.plain_servers = [
            await self.add_engine(f"l-{n}", PLAIN_SERVICE) for n in range(2)
        ]
        self._daemons = []
        self.daemon = await self.start_daemon()
        self.daemon_address = self.daemon.caller_address

    async def asyncTearDown(self):
        for running_daemon in self._daemons:
            running_daemon.task.cancel()
        await asyncio.gather(
            *(running_daemon.task for running_daemon in self._daemons),
            return_exceptions=True,
        )
        for engine in self.engines + self.plain_servers:
            engine.close()
        self.store.close()

    async def add_engine(self, name, service=MODEL_SERVICE, **entry):
        engine = platform_engine.StandinPlatformEngine(name, self.timers)
        await engine.start()
        self.register_server(engine, service, **entry)
        return engine

    def register_server(self, engine, service=MODEL_SERVICE, **entry):
        self.store.put(
            "servers",
            engine.id,
            {
                "service": service,
                "address": str(engine.address),
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "born": 1,
                "seq": 1,
                **entry,
            },
        )

    async def use_only(self, server):
        """Registers a server for both services, and no other one."""
        for engine in self.engines + self.plain_servers:
            self.store.delete("servers", engine.id)
        name = server.id
        for number, service in enumerate((MODEL_SERVICE, PLAIN_SERVICE)):
            server.id = f"{name}-{number}"
            self.register_server(server, service)
        directory = self.daemon.parts.components.context.view.directory
        await self.wait_until(lambda: len(directory.entries) == 2)

    async def start_daemon(
        self, seeds=(), ready=True, grace_period=2.0, store=None
    ):
        running_daemon = RunningDaemon(
            self, seeds, grace_period, store or self.store.address
        )
        self._daemons.append(running_daemon)
        if ready:
            await self.wait_until(lambda: running_daemon.daemon.ready)
        return running_daemon

    async def start_fleet(self, size):
        """Starts daemons beside the first one; returns all of them."""
        fleet = [self.daemon]
        for _ in range(size - 1):
            fleet.append(
                await self.start_daemon(seeds=(self.daemon.peer_address,))
            )
        await self.wait_until(
            lambda: all(
                daemon.parts.peers.fleet_size == size for daemon in fleet
            )
        )
        return fleet

    async def wait_until(self, condition, limit=TIMEOUT):
        async with asyncio.timeout(limit):
            while not condition():
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def request(self, path, body=b"", address=None, **headers):
        """Sends one request on a new connection; returns the response."""
        connection = await self.connect(address)
        try:
            return await self.exchange(connection, path, body, **headers)
        finally:
            connection.close()

    async def connect(self, address=None):
        return (
            await client.connect(address or self.daemon_address, TIMEOUT)
        ).unwrap()

    async def exchange(
        self,
        connection,
        path,
        body=b"",
        key=KEY,
        extra_headers=(),
        patience=TIMEOUT,
        **headers,
    ):
        header_fields = {
            "host": HOST,
            "attempt-id": f"id-{random.getrandbits(40):x}",
            "deadline-ms": "3000",
            **{n.replace("_", "-"): v for n, v in headers.items()},
            **dict(extra_headers),
        }
        if key is not None:
            header_fields["x-api-key"] = key
        head = client.RequestHead("POST", path, tuple(header_fields.items()))
        (await connection.send(head, body, TIMEOUT)).unwrap()
        response_head = await connection.read_head(patience)
        if isinstance(response_head, result.Err):
            return response_head
        body_result = await connection.read_body(
            patience, units.Bytes(1_000_000)
        )
        if isinstance(body_result, result.Err):
            return body_result
        return client.Response(response_head.ok_value, body_result.ok_value)

    async def stream(self, token_count="1000,100", **headers):
        return await self.request(
            "/stream/x",
            b"prompt",
            token_count=token_count,
            model="m",
            **headers,
        )

    def set_fault(self, fault, engines=None):
        for engine in engines or self.engines + self.plain_servers:
            engine.fault = fault

    def executed_requests(self):
        return [
            request
            for engine in self.engines + self.plain_servers
            for request in engine.executed_requests
        ]


class Links(connections.Connector):
    """Links of one daemon to the servers, which a test can cut.

    Attributes:
        hang: New connections are not established.
        refuse: New connections are refused.
        cut_addresses: Servers that a cut concerns; all if empty.
    """

    def __init__(self):
        self.hang = False
        self.refuse = False
        self.cut_addresses = frozenset()
        self.attempts = 0

    @property
    def is_cut(self):
        return self.hang or self.refuse

    async def connect(self, address, timeout):
        self.attempts += 1
        if not self.is_cut or (
            self.cut_addresses and address not in self.cut_addresses
        ):
            return await client.connect(address, timeout)
        kind = errors.TransportErrorKind.CONNECT_FAILED
        if self.hang:
            await asyncio.sleep(timeout)
            kind = errors.TransportErrorKind.IDLE_TIMEOUT
        return result.Err(errors.TransportError(kind, False, str(address)))


class RunningDaemon:
    """One daemon on the event loop of the test."""

    def __init__(self, case, seeds, grace_period, store_address):
        self.caller_address = loopback.own_network().free_address()
        self.ready_address = loopback.own_network().free_address()
        self.peer_address = loopback.own_network().free_address()
        # Requests that are relayed come at the next port.
        loopback.own_network().free_address()
        self.links = Links()
        self.log = log.MemoryEventLog()
        self.stop = asyncio.Event()
        self.settings = settings.PlatformSettings(
            ids.VmId("vm"),
            ids.AvailabilityZoneId("a"),
            self.caller_address,
            self.ready_address,
            self.peer_address,
            tuple(seeds),
            store_address,
            units.Seconds(grace_period),
            fleet_retry_budget.FleetBudgetLimits(
                0.2, 100.0, units.Seconds(10.0)
            ),
            evacuation_bound=case.evacuation_bound,
        )
        self.parts = factory.build(
            self.settings,
            ids.Incarnation(random.getrandbits(60)),
            case.timers,
            self.log,
            random.Random(1),
            self.links,
            # It has run for long, so that it has its whole retry budget.
            units.Instant(-math.inf),
        )
        self.daemon = daemon.ForwardingDaemon(
            self.parts.components,
            daemon.Endpoints(
                self.caller_address, self.ready_address, self.peer_address
            ),
            self.settings.grace_period,
        )
        self.task = case.loop.create_task(self.daemon.run(self.stop))

    def events(self, event):
        return [
            fields
            for recorded_event, fields in self.log.records
            if recorded_event is event
        ]
