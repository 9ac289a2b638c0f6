"""Stand-ins, fault proxies and daemon processes of the soak test."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import pathlib
import random
import tempfile
from typing import Any

import result

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import fault_proxy
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.standin import soak_callers
from lavendershed.standin import soak_daemon
from lavendershed.transport import address as address_module
from lavendershed.transport import client

MODEL_SERVICE = "model"
PLAIN_SERVICE = "ledger"
_PORTS_PER_DAEMON = 4
# Number of daemons that the settings of all daemons list as seeds.
_SEED_COUNT = 3
_READY_TIMEOUT = units.Seconds(2.0)
_READY_POLL_INTERVAL = units.Seconds(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """Size, request rate and duration of a soak run.

    Attributes:
        checkout: Root of the source tree whose daemon is started; None for
            the code that runs the soak.
    """

    daemons: int = 3
    engines: int = 4
    plain_servers: int = 3
    requests_per_second: float = 25.0
    duration_s: float = 20.0
    checkout: pathlib.Path | None = None


def server_zone(index: int) -> str:
    """Returns the availability zone of a server; half of them are in each."""
    return "ab"[index % 2]


class SoakDeployment:
    """Store and backend servers, each behind a fault proxy, and daemons."""

    def __init__(
        self,
        options: SoakOptions,
        generator: random.Random,
        timer_service: timers.TimerService,
    ) -> None:
        self._options = options
        self._random = generator
        self._timers = timer_service
        self._store = platform_store.StandinPlatformStore(timer_service)
        self._proxies: list[fault_proxy.FaultProxy] = []
        self._backend_servers: list[platform_engine.StandinPlatformEngine] = []
        self._daemons: list[soak_daemon.DaemonProcess] = []
        self._configuration_versions = itertools.count(1)
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))

    @property
    def log_directory(self) -> pathlib.Path:
        """Directory of the daemons' settings and logs."""
        return self._directory

    @property
    def store(self) -> platform_store.StandinPlatformStore:
        """The object store, without its proxy."""
        return self._store

    @property
    def proxies(self) -> list[fault_proxy.FaultProxy]:
        """Proxies of the backend servers, in order, then of the store."""
        return self._proxies

    @property
    def backend_servers(self) -> list[platform_engine.StandinPlatformEngine]:
        """Model engines, followed by the servers of the plain service."""
        return self._backend_servers

    @property
    def daemons(self) -> list[soak_daemon.DaemonProcess]:
        """All daemons, including those that are not running."""
        return self._daemons

    async def start(self, api_key: str) -> None:
        """Starts all processes and waits until all daemons are ready."""
        await self._store.start()
        self.publish_configuration(api_key)
        for index in range(self._options.engines + self._options.plain_servers):
            backend_server = platform_engine.StandinPlatformEngine(
                f"i-{index}",
                self._timers,
                events_per_stream=soak_callers.EVENTS_PER_STREAM,
            )
            await backend_server.start()
            self._backend_servers.append(backend_server)
            await self._start_proxy(backend_server.address)
            self.publish_server(index)
        self._store_proxy = await self._start_proxy(self._store.address)
        first_port = 20_000 + self._random.randrange(2_000) * _PORTS_PER_DAEMON
        for index in range(self._options.daemons):
            daemon = soak_daemon.DaemonProcess(
                index, first_port, self._directory, self._options.checkout
            )
            self._daemons.append(daemon)
            await self.start_daemon(daemon)
        for daemon in self._daemons:
            await self.wait_until_ready(daemon)

    async def _start_proxy(
        self, upstream: address_module.Address
    ) -> fault_proxy.FaultProxy:
        proxy = fault_proxy.FaultProxy(upstream)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    async def start_daemon(self, daemon: soak_daemon.DaemonProcess) -> None:
        """Starts or restarts a daemon."""
        seeds = [
            other.frontend_address.host for other in self._daemons[:_SEED_COUNT]
        ]
        await daemon.start(self._store_proxy.address, seeds)

    def publish_configuration(self, api_key: str) -> None:
        """Writes the next configuration version, with one API key."""
        self._store.put("config", "main", self.next_configuration(api_key))

    def next_configuration(self, api_key: str) -> dict[str, Any]:
        """Returns the next configuration version, with one API key."""
        common_fields = {
            "host": soak_callers.HOST,
            "timeout_ms": int(soak_callers.REQUEST_TIMEOUT * 1_000),
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        route_kinds = (
            ("stream", "streaming", MODEL_SERVICE),
            ("safe", "safe", PLAIN_SERVICE),
            ("unsafe", "unsafe", PLAIN_SERVICE),
        )
        routes = [
            {
                **common_fields,
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "service": service,
                "resumable": kind == "streaming",
                "gap_target_ms": 250,
            }
            for name, kind, service in route_kinds
        ]
        engine_profile = {
            "slots": 8,
            "kv_capacity": 315_000,
            "stride": 51,
            "step_ms": 0.85,
            "read_per_s": 2_000_000.0,
            "chunk": 2_048,
        }
        return {
            "version": next(self._configuration_versions),
            "route_table": routes,
            "services": [
                {"name": MODEL_SERVICE, "engine": engine_profile},
                {"name": PLAIN_SERVICE},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "o", "api_keys": [api_key]}],
        }

    def publish_server(
        self,
        index: int,
        state: str = "ready",
        *,
        bypass_proxy: bool = False,
        service: str | None = None,
    ) -> None:
        """Writes a server's entry with the proxy's or its own address.

        Args:
            index: Position in `backend_servers`.
            state: State of the server.
            bypass_proxy: Whether the entry has the server's own address.
            service: Its service, if it is not the usual one.
        """
        is_model_engine = index < self._options.engines
        server = (
            self._backend_servers[index]
            if bypass_proxy
            else self._proxies[index]
        )
        entry = {
            "service": service
            or (MODEL_SERVICE if is_model_engine else PLAIN_SERVICE),
            "address": str(server.address),
            "zone": server_zone(index),
            "state": state,
            "born": 1,
            "seq": 1,
        }
        self._store.put("servers", f"i-{index}", entry)

    def set_evacuated(self, zone: str, *, evacuated: bool) -> None:
        """Writes or removes the entry that asks to send no work to a zone."""
        if evacuated:
            self._store.put("evacuations", zone, {})
        else:
            self._store.delete("evacuations", zone)

    async def wait_until_ready(self, daemon: soak_daemon.DaemonProcess) -> None:
        """Waits until the readiness endpoint of a daemon returns 200."""
        while True:
            connected = await client.connect(
                daemon.readiness_address, _READY_TIMEOUT
            )
            if isinstance(connected, result.Ok):
                connection = connected.ok_value
                request = client.RequestHead("GET", "/readyz")
                await connection.send(request, b"", _READY_TIMEOUT)
                head = await connection.read_head(_READY_TIMEOUT)
                connection.close()
                if isinstance(head, result.Ok) and head.ok_value.status == 200:
                    return
            await asyncio.sleep(_READY_POLL_INTERVAL)

    async def close(self) -> None:
        """Stops the daemons and the stand-ins."""
        for daemon in self._daemons:
            daemon.close()
        for daemon in self._daemons:
            await daemon.wait()
        for proxy in self._proxies:
            await proxy.stop()
        for backend_server in self._backend_servers:
            backend_server.close()
        self._store.close()
