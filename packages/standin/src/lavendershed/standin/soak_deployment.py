"""Stand-ins, proxies and daemons of the soak."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import pathlib
import random
import tempfile

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

_MODEL_SERVICE = "model"
_PLAIN_SERVICE = "ledger"
_PORT_COUNT = 4
# Daemons that the settings of the others name.
_SEEDS = 3
_READY_TIMEOUT = units.Seconds(2.0)
_READY_POLL = units.Seconds(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakShape:
    """Size and length of a soak."""

    daemons: int = 3
    engines: int = 4
    ledgers: int = 3
    requests_per_second: float = 25.0
    seconds: float = 20.0


class SoakDeployment:
    """One store, engines and plain servers behind proxies, and daemons."""

    def __init__(
        self,
        shape: SoakShape,
        generator: random.Random,
        timer_service: timers.TimerService,
    ) -> None:
        self._shape = shape
        self._random = generator
        self._timers = timer_service
        self._store = platform_store.StandinPlatformStore(timer_service)
        self._proxies: list[fault_proxy.FaultProxy] = []
        self._engines: list[platform_engine.StandinPlatformEngine] = []
        self._daemons: list[soak_daemon.DaemonProcess] = []
        self._versions = itertools.count(1)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))

    @property
    def folder(self) -> pathlib.Path:
        """Logs of the daemons."""
        return self._folder

    @property
    def store(self) -> platform_store.StandinPlatformStore:
        """The store itself, behind its proxy."""
        return self._store

    @property
    def proxies(self) -> list[fault_proxy.FaultProxy]:
        """Proxies of the servers, in their order, and of the store."""
        return self._proxies

    @property
    def engines(self) -> list[platform_engine.StandinPlatformEngine]:
        """Model engines and, after them, servers of the plain service."""
        return self._engines

    @property
    def daemons(self) -> list[soak_daemon.DaemonProcess]:
        """All daemons, running or not."""
        return self._daemons

    async def start(self, key: str) -> None:
        """Starts everything; returns when all daemons are ready."""
        await self._store.start()
        self.configure(key)
        for number in range(self._shape.engines + self._shape.ledgers):
            engine = platform_engine.StandinPlatformEngine(
                f"i-{number}", self._timers, events=soak_callers.EVENTS
            )
            await engine.start()
            self._engines.append(engine)
            await self._proxy(engine.address)
            self.announce(number)
        self._store_proxy = await self._proxy(self._store.address)
        first_port = 20_000 + self._random.randrange(2_000) * _PORT_COUNT
        for number in range(self._shape.daemons):
            daemon = soak_daemon.DaemonProcess(number, first_port, self._folder)
            self._daemons.append(daemon)
            await self.start_daemon(daemon)
        for daemon in self._daemons:
            await self.await_ready(daemon)

    async def _proxy(
        self, upstream: address_module.Address
    ) -> fault_proxy.FaultProxy:
        proxy = fault_proxy.FaultProxy(upstream)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    async def start_daemon(self, daemon: soak_daemon.DaemonProcess) -> None:
        """Starts a daemon, the first time or again."""
        seeds = [other.callers.host for other in self._daemons[:_SEEDS]]
        await daemon.start(self._store_proxy.address, seeds)

    def configure(self, key: str) -> None:
        """Writes the next version, with one key."""
        common = {
            "host": soak_callers.HOST,
            "timeout_ms": int(soak_callers.PATIENCE * 1_000),
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        kinds = (
            ("stream", "streaming", _MODEL_SERVICE),
            ("safe", "safe", _PLAIN_SERVICE),
            ("unsafe", "unsafe", _PLAIN_SERVICE),
        )
        routes = [
            {
                **common,
                "name": name,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "service": service,
                "resumable": kind == "streaming",
                "gap_target_ms": 250,
            }
            for name, kind, service in kinds
        ]
        engine = {
            "slots": 8,
            "kv_capacity": 315_000,
            "stride": 51,
            "step_ms": 0.85,
            "read_per_s": 2_000_000.0,
            "chunk": 2_048,
        }
        specification = {
            "version": next(self._versions),
            "route_table": routes,
            "services": [
                {"name": _MODEL_SERVICE, "engine": engine},
                {"name": _PLAIN_SERVICE},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "o", "api_keys": [key]}],
        }
        self._store.put("config", "main", specification)

    def announce(
        self, number: int, state: str = "ready", *, direct: bool = False
    ) -> None:
        """Writes the entry of a server, at its proxy or at itself."""
        model = number < self._shape.engines
        server = self._engines[number] if direct else self._proxies[number]
        entry = {
            "service": _MODEL_SERVICE if model else _PLAIN_SERVICE,
            "address": str(server.address),
            "zone": "a",
            "state": state,
            "born": 1,
            "seq": 1,
        }
        self._store.put("servers", f"i-{number}", entry)

    async def await_ready(self, daemon: soak_daemon.DaemonProcess) -> None:
        """Returns when a daemon says that it is ready."""
        while True:
            connected = await client.connect(daemon.ready, _READY_TIMEOUT)
            if isinstance(connected, result.Ok):
                connection = connected.ok_value
                request = client.RequestHead("GET", "/readyz")
                await connection.send(request, b"", _READY_TIMEOUT)
                head = await connection.read_head(_READY_TIMEOUT)
                connection.close()
                if isinstance(head, result.Ok) and head.ok_value.status == 200:
                    return
            await asyncio.sleep(_READY_POLL)

    async def close(self) -> None:
        """Ends the daemons and the stand-ins."""
        for daemon in self._daemons:
            daemon.close()
        for daemon in self._daemons:
            await daemon.ended()
        for proxy in self._proxies:
            await proxy.stop()
        for engine in self._engines:
            engine.close()
        self._store.close()
