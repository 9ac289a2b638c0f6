"""Randomised soak of daemons on the platform, as separate processes.

The store and the engines are stand-ins in this process. Each engine and the
store are reached through a proxy of their own, which delays, resets and
silences connections. The daemons are started as programs and get signals.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile

import result

from lavendershed.core import units
from lavendershed.standin import fault_proxy
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.transport import address as address_module
from lavendershed.transport import boot_timers
from lavendershed.transport import client

HOST = "users.example"
KEY = "soak-key"
MODEL_SERVICE = "model"
PLAIN_SERVICE = "ledger"
EVENTS = 6
# Time that callers wait, and the limit of the routes.
_PATIENCE = units.Seconds(4.0)
_MAX_ANSWER = units.Bytes(1_000_000)
# A configuration has to be in force, and a leaving server without new work,
# two seconds after the store has acknowledged it.
_APPLY_TIME = units.Seconds(2.0)
# Reservations are leased for 3.5 s; nothing renews them after a request.
_RELEASE_TIME = units.Seconds(5.0)
_RECOVERY_TIME = units.Seconds(12.0)
_GRACE = 4
_PORT_COUNT = 4
# Answers that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
# A process that gets SIGTERM before it listens has nothing to finish.
_EXPECTED_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)
_ENGINE_FAULTS = (
    platform_engine.EngineFault.SHED,
    platform_engine.EngineFault.ERROR,
    platform_engine.EngineFault.RESET_BEFORE_ANSWER,
    platform_engine.EngineFault.RESET_IN_STREAM,
    platform_engine.EngineFault.HANG,
    platform_engine.EngineFault.HANG_IN_STREAM,
    platform_engine.EngineFault.NO_SIGNATURE,
    platform_engine.EngineFault.OTHER_ID,
    platform_engine.EngineFault.ENCODED,
    platform_engine.EngineFault.PARTIAL_EVENT,
    platform_engine.EngineFault.GAP,
    platform_engine.EngineFault.UNSAID_REFUSAL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakShape:
    """Size and length of a soak."""

    daemons: int = 3
    engines: int = 4
    ledgers: int = 3
    requests_per_second: float = 25.0
    seconds: float = 20.0


@dataclasses.dataclass(slots=True)
class _Outcome:
    """What a caller saw of one request."""

    kind: str
    status: int | None
    body: bytes
    complete: bool


class DaemonProcess:
    """One daemon, with an address of its own on the loopback network."""

    def __init__(
        self, number: int, first_port: int, folder: pathlib.Path
    ) -> None:
        self._host = f"127.0.0.{10 + number}"
        self._first_port = first_port
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._log = (folder / f"daemon-{number}.log").open("ab")

    @property
    def callers(self) -> address_module.Address:
        """Where requests arrive."""
        return address_module.Address(self._host, self._first_port)

    @property
    def ready(self) -> address_module.Address:
        """Where readiness is asked."""
        return address_module.Address(self._host, self._first_port + 1)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(
        self, store: address_module.Address, seeds: list[str]
    ) -> None:
        """Starts the program with a settings file of its own."""
        path = self._folder / f"{self._host}.toml"
        path.write_text(self._settings(store, seeds))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lavendershed.platform.main",
            env={**os.environ, "LAVENDERSHED_CONFIG": str(path)},
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def ended(self) -> int | None:
        """Waits for the end; returns the exit status."""
        return None if self._process is None else await self._process.wait()

    def close(self) -> None:
        """Ends the process and its log."""
        self.signal(signal.SIGKILL)
        self._log.close()

    def _settings(self, store: address_module.Address, seeds: list[str]) -> str:
        listed = ", ".join(f'"{seed}:1"' for seed in seeds)
        return f"""
node_name = "{self._host}"
ip = "{self._host}"
zone = "a"
internal_ports = [{self._first_port + 2}, {self._first_port + 3}]
seeds = [{listed}]
[listen]
frontend = "{self.callers}"
ready = "{self.ready}"
[bounds]
grace_s = {_GRACE}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
[provider]
address = "{store}"
"""


class PlatformSoak:
    """Runs callers and faults for a while and collects broken promises."""

    def __init__(self, seed: int, shape: SoakShape) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self._store = platform_store.StandinPlatformStore(self._timers)
        self._proxies: list[fault_proxy.FaultProxy] = []
        self._engines: list[platform_engine.StandinPlatformEngine] = []
        self._daemons: list[DaemonProcess] = []
        self._restarting: set[DaemonProcess] = set()
        self._outcomes: dict[str, _Outcome] = {}
        self._numbers = itertools.count()
        self._versions = itertools.count(1)
        self._problems: list[str] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))

    @property
    def folder(self) -> pathlib.Path:
        """Logs of the daemons."""
        return self._folder

    @property
    def outcomes(self) -> collections.Counter[str]:
        """How many requests ended in which way."""
        return collections.Counter(
            f"{o.kind} {o.status if o.complete else 'cut'}"
            for o in self._outcomes.values()
        )

    async def run(self) -> list[str]:
        """Returns the promises that were broken."""
        try:
            await self._start()
            end = self._timers.now() + self._shape.seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_requests(group, end))
                for _ in range(2):
                    group.create_task(self._inject(end))
            await self._heal()
            self._check_history()
            await self._check_recovery()
            return self._problems
        finally:
            await self._close()

    async def _start(self) -> None:
        await self._store.start()
        self._configure()
        services = [MODEL_SERVICE] * self._shape.engines
        services += [PLAIN_SERVICE] * self._shape.ledgers
        for number, service in enumerate(services):
            engine = platform_engine.StandinPlatformEngine(
                f"i-{number}", self._timers, events=EVENTS
            )
            await engine.start()
            self._engines.append(engine)
            proxy = await self._proxy(engine.address)
            self._announce(number, service, proxy.address)
        self._store_proxy = await self._proxy(self._store.address)
        first_port = 20_000 + self._random.randrange(2_000) * _PORT_COUNT
        for number in range(self._shape.daemons):
            daemon = DaemonProcess(number, first_port, self._folder)
            self._daemons.append(daemon)
            await self._start_daemon(daemon)
        for daemon in self._daemons:
            await self._await_ready(daemon)

    async def _proxy(
        self, upstream: address_module.Address
    ) -> fault_proxy.FaultProxy:
        proxy = fault_proxy.FaultProxy(upstream)
        await proxy.start()
        self._proxies.append(proxy)
        return proxy

    async def _start_daemon(self, daemon: DaemonProcess) -> None:
        seeds = [other.callers.host for other in self._daemons[:3]]
        await daemon.start(self._store_proxy.address, seeds)

    def _configure(self) -> None:
        common = {
            "host": HOST,
            "timeout_ms": int(_PATIENCE * 1_000),
            "target_latency_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
        kinds = (
            ("stream", "streaming", MODEL_SERVICE),
            ("safe", "safe", PLAIN_SERVICE),
            ("unsafe", "unsafe", PLAIN_SERVICE),
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
                {"name": MODEL_SERVICE, "engine": engine},
                {"name": PLAIN_SERVICE},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "o", "api_keys": [KEY]}],
        }
        self._store.put("config", "main", specification)

    def _announce(
        self,
        number: int,
        service: str,
        address: address_module.Address,
        state: str = "ready",
    ) -> None:
        entry = {
            "service": service,
            "address": str(address),
            "zone": "a",
            "state": state,
            "born": 1,
            "seq": 1,
        }
        self._store.put("servers", f"i-{number}", entry)

    async def _send_requests(
        self, group: asyncio.TaskGroup, end: float
    ) -> None:
        while self._timers.now() < end:
            kind = self._random.choice(("stream", "stream", "safe", "unsafe"))
            group.create_task(self._request(kind))
            await asyncio.sleep(
                self._random.expovariate(self._shape.requests_per_second)
            )

    async def _request(
        self, kind: str, daemon: DaemonProcess | None = None
    ) -> _Outcome:
        identity = f"{kind}-{next(self._numbers)}"
        chosen = daemon or self._random.choice(self._daemons)
        headers = [
            ("host", HOST),
            ("attempt-id", identity),
            ("deadline-ms", str(int(_PATIENCE * 1_000))),
            ("x-api-key", KEY),
        ]
        if kind == "stream":
            prompt = self._random.choice((500, 5_000, 400_000))
            headers.append(("token-count", f"{prompt},300"))
        head = client.RequestHead("POST", f"/{kind}/x", tuple(headers))
        outcome = _Outcome(kind, None, b"", False)
        self._outcomes[identity] = outcome
        connected = await client.connect(chosen.callers, _PATIENCE)
        if isinstance(connected, result.Err):
            return outcome
        connection = connected.ok_value
        try:
            await self._exchange(connection, head, identity.encode(), outcome)
        finally:
            connection.close()
        return outcome

    async def _exchange(
        self,
        connection: client.ClientConnection,
        head: client.RequestHead,
        body: bytes,
        outcome: _Outcome,
    ) -> None:
        limit = units.Seconds(_PATIENCE + 1.0)
        await connection.send(head, body, limit)
        answered = await connection.read_head(limit)
        if isinstance(answered, result.Err):
            return
        outcome.status = answered.ok_value.status
        content = await connection.read_body(limit, _MAX_ANSWER)
        if isinstance(content, result.Ok):
            outcome.body = content.ok_value
            outcome.complete = True

    async def _inject(self, end: float) -> None:
        faults = (
            self._fault_engine,
            self._fault_proxy,
            self._fault_store,
            self._signal_daemon,
            self._change_configuration,
            self._drain_engine,
        )
        while self._timers.now() < end:
            await self._random.choice(faults)()
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _fault_engine(self) -> None:
        engine = self._random.choice(self._engines)
        engine.fault = self._random.choice(_ENGINE_FAULTS)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.fault = platform_engine.EngineFault.NONE

    async def _fault_proxy(self) -> None:
        proxy = self._random.choice(self._proxies)
        match self._random.randrange(5):
            case 0:
                proxy.cut()
            case 1:
                proxy.silence_established()
            case 2:
                proxy.set_delay(units.Seconds(self._random.uniform(0, 0.2)))
            case 3:
                proxy.set_refusing(True)
            case _:
                proxy.set_all_connections(fault_proxy.Behaviour.LOSE_ANSWERS)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self._mend(proxy)

    def _mend(self, proxy: fault_proxy.FaultProxy) -> None:
        proxy.set_delay(units.Seconds(0.0))
        proxy.set_refusing(False)
        proxy.set_new_connections(fault_proxy.Behaviour.FORWARD)

    async def _fault_store(self) -> None:
        self._store.fault = self._random.choice(
            (
                platform_store.StoreFault.RESET,
                platform_store.StoreFault.SILENT,
                platform_store.StoreFault.BUSY,
            )
        )
        self._store.cut_watches()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self._store.fault = platform_store.StoreFault.NONE
        if self._random.random() < 0.5:
            self._store.forget_history()

    async def _signal_daemon(self) -> None:
        daemon = self._random.choice(self._daemons)
        match self._random.randrange(4):
            case 0:
                daemon.signal(signal.SIGKILL)
            case 1:
                daemon.signal(signal.SIGTERM)
            case 2:
                daemon.signal(signal.SIGSTOP)
                await asyncio.sleep(self._random.uniform(0.2, 2.0))
                daemon.signal(signal.SIGCONT)
                return
            case _:
                daemon.signal(signal.SIGHUP)
                return
        if daemon in self._restarting:
            return
        # Signals come in series, but only one of them starts it again.
        self._restarting.add(daemon)
        daemon.signal(signal.SIGCONT)
        status = await daemon.ended()
        self._restarting.discard(daemon)
        if status not in _EXPECTED_STATUSES:
            self._problems.append(f"a daemon ended with status {status}")
        await self._start_daemon(daemon)

    async def _change_configuration(self) -> None:
        self._configure()

    async def _drain_engine(self) -> None:
        """Announces that a server leaves, and lets it come back."""
        number = self._random.randrange(len(self._engines))
        engine = self._engines[number]
        service = (
            MODEL_SERVICE if number < self._shape.engines else PLAIN_SERVICE
        )
        address = self._proxies[number].address
        self._announce(number, service, address, "draining")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        self._announce(number, service, engine.address)
        self._announce(number, service, address)

    async def _heal(self) -> None:
        """Ends all faults and brings all daemons back."""
        self._store.fault = platform_store.StoreFault.NONE
        for engine in self._engines:
            engine.fault = platform_engine.EngineFault.NONE
        for proxy in self._proxies:
            proxy.set_all_connections(fault_proxy.Behaviour.FORWARD)
            self._mend(proxy)
            proxy.cut()
        for daemon in self._daemons:
            daemon.signal(signal.SIGCONT)
            if not daemon.running:
                await self._start_daemon(daemon)
        self._configure()

    def _check_history(self) -> None:
        ran = collections.Counter(
            arrival.headers.get("attempt-id", "")
            for engine in self._engines
            for arrival in engine.ran
        )
        whole = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
        )
        for identity, outcome in self._outcomes.items():
            if outcome.kind == "unsafe" and ran[identity] > 1:
                self._problem(identity, f"ran {ran[identity]} times")
            if outcome.status in _PROMISES and (
                outcome.kind == "unsafe" and ran[identity]
            ):
                self._problem(identity, f"was refused but ran: {outcome}")
            if outcome.status != 200 or not outcome.complete:
                continue
            if outcome.kind == "stream" and outcome.body != whole:
                self._problem(identity, f"has another body: {outcome.body!r}")
            if outcome.kind != "stream" and not outcome.body.endswith(
                identity.encode()
            ):
                self._problem(identity, f"has another body: {outcome.body!r}")
            if not ran[identity]:
                self._problem(identity, "succeeded without running")
        unknown = set(ran) - set(self._outcomes)
        if unknown:
            self._problems.append(f"requests that nobody sent: {unknown}")

    def _problem(self, identity: str, text: str) -> None:
        self._problems.append(f"request {identity} {text}")

    async def _check_recovery(self) -> None:
        try:
            async with asyncio.timeout(_RECOVERY_TIME):
                for daemon in self._daemons:
                    await self._await_ready(daemon)
                    for kind in ("stream", "safe", "unsafe"):
                        await self._await_served(kind, daemon)
        except TimeoutError:
            self._problems.append("the daemons did not serve again in time")
        await asyncio.sleep(_RELEASE_TIME)
        for engine in self._engines:
            if engine.tickets:
                self._problems.append(f"{engine.id} holds {engine.tickets}")
            if engine.open_requests:
                self._problems.append(f"{engine.id} still works")

    async def _await_served(self, kind: str, daemon: DaemonProcess) -> None:
        while True:
            outcome = await self._request(kind, daemon)
            if outcome.status == 200 and outcome.complete:
                return
            await asyncio.sleep(0.1)

    async def _await_ready(self, daemon: DaemonProcess) -> None:
        while True:
            connected = await client.connect(daemon.ready, _APPLY_TIME)
            if isinstance(connected, result.Ok):
                connection = connected.ok_value
                request = client.RequestHead("GET", "/readyz")
                await connection.send(request, b"", _APPLY_TIME)
                head = await connection.read_head(_APPLY_TIME)
                connection.close()
                if isinstance(head, result.Ok) and head.ok_value.status == 200:
                    return
            await asyncio.sleep(0.05)

    async def _close(self) -> None:
        for daemon in self._daemons:
            daemon.close()
        for daemon in self._daemons:
            await daemon.ended()
        for proxy in self._proxies:
            await proxy.stop()
        for engine in self._engines:
            engine.close()
        self._store.close()
