"""A small deployment: daemons as processes, with stand-ins around them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

import clients
import servers

from lavendershed.standin import platform_store
from lavendershed.transport import boot_timers

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "almanac-model"
LEDGER = "press-ledger"
ZONES = ("nbo", "eld", "ksm")
GRACE_S = 8
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The platform starts a process that has ended again after this time.
_RESTART_DELAY_S = 0.3
_READY_LIMIT_S = 20.0
# Figures of the engines as the system page has them.
ENGINE = {
    "slots": 8,
    "kv_capacity": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.00425,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2_048,
    "usual": {"prompt": 11_000, "answer": 1_600},
    "hop_ms": 0.05,
}


def route(
    prefix: str,
    kind: str,
    service: str,
    **changes: Any,  # noqa: ANN401
) -> dict[str, Any]:
    """Returns a route like those of the deployment."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": clients.HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 800,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def configuration(version: int) -> dict[str, Any]:
    """Returns a configuration with the kinds of request of the deployment."""
    stream = {
        "timeout_ms": 10_000,
        "priority": 1,
        "gap_target_ms": 250,
        "resumable": True,
        "sticky": True,
    }
    return {
        "version": version,
        "route_table": [
            route("/desk/", "streaming", MODEL, **stream),
            route(
                "/digest/",
                "streaming",
                MODEL,
                **{**stream, "timeout_ms": 15_000, "target_latency_ms": 3_000},
            ),
            # A stream that may not be resumed, which counts as unsafe.
            route(
                "/draft/",
                "streaming",
                MODEL,
                **{**stream, "resumable": False, "max_attempts": 1},
            ),
            route("/booking/", "unsafe", LEDGER, max_attempts=1),
            route("/proof/", "safe", LEDGER),
        ],
        "services": [
            {"name": MODEL, "max_connections": 434, "engine": ENGINE},
            {"name": LEDGER, "max_connections": 110},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": clients.TENANT,
                "api_keys": [clients.KEY],
                "priority": 1,
            }
        ],
    }


@dataclasses.dataclass
class Ending:
    """The end of a process.

    Attributes:
        own: Whether nobody had sent it a signal.
    """

    at: float
    code: int
    own: bool


class Daemon:
    """A daemon process, started with the command of the deploy file."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number + 1}"
        self.host = deployment.host(number)
        self.frontend = f"{self.host}:{deployment.port}"
        self.ready = f"{self.host}:{deployment.port + 1}"
        self.endings: list[Ending] = []
        self.process: asyncio.subprocess.Process | None = None
        self.in_rotation = False
        self._signalled = False
        self._keep_running = True
        self._misses = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._log = (deployment.folder / f"{self.name}.log").open("ab")

    def start(self) -> None:
        """Runs the process, and asks whether it is ready each second."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._supervise()),
            loop.create_task(self._ask()),
        ]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._signalled |= number in (signal.SIGTERM, signal.SIGKILL)
            self._deployment.note("signal", daemon=self.name, signal=number)
            os.kill(self.process.pid, number)

    async def close(self) -> None:
        """Kills the process."""
        self._keep_running = False
        if self.process is not None and self.process.returncode is None:
            self._signalled = True
            self.process.kill()
            await self.process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._log.close()

    async def _supervise(self) -> None:
        path = self._deployment.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        while self._keep_running:
            self._signalled = False
            self.process = await asyncio.create_subprocess_exec(
                *self._deployment.command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "LAVENDERSHED_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=self._log,
                stderr=self._log,
            )
            self._deployment.note(
                "start", daemon=self.name, process=self.process.pid
            )
            code = await self.process.wait()
            if not self._keep_running:
                return
            ending = Ending(time.monotonic(), code, not self._signalled)
            self.endings.append(ending)
            self._deployment.note(
                "end", daemon=self.name, code=code, own=ending.own
            )
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _ask(self) -> None:
        while True:
            status = await self._ask_ready()
            self._misses = 0 if status else self._misses + 1
            in_rotation = status or (self.in_rotation and self._misses < 2)
            if in_rotation != self.in_rotation:
                self._deployment.note(
                    "rotation", daemon=self.name, takes=in_rotation
                )
            self.in_rotation = in_rotation
            await asyncio.sleep(1.0 if self.in_rotation else 0.2)

    async def _ask_ready(self) -> bool:
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    def _settings(self) -> str:
        deployment = self._deployment
        seeds = ", ".join(
            f'"{deployment.host(n)}:{deployment.port + 2}"'
            for n in range(min(3, deployment.size))
        )
        return f"""
node_name = "{self.name}"
role = "router"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{self.host}"
zone = "{self.zone}"
region = "ke-central"
internal_ports = [{deployment.port + 3}, {deployment.port + 18}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
nbo = "ke-central"
eld = "ke-central"
ksm = "ke-central"
[listen]
frontend = "{self.frontend}"
ready = "{self.ready}"
control_plane = "{self.host}:{deployment.port + 2}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = {GRACE_S}
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 106
recover_s = 12
event_delay_ms = 120
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[provider]
address = "{deployment.store.address}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Deployment:
    """Daemons, servers, the store and the record of what happens."""

    def __init__(
        self, daemons: int, engines: int, ledgers: int, record: pathlib.Path
    ) -> None:
        self.size = daemons
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["router"]["run"].split(" ")
        self._record = record.open("w")
        self._began = time.monotonic()
        self.attempts: list[clients.Attempt] = []
        self.engines = [
            servers.Server(f"i-m{n}", MODEL, ZONES[n % len(ZONES)])
            for n in range(engines)
        ]
        self.ledgers = [
            servers.Server(f"i-l{n}", LEDGER, ZONES[n % len(ZONES)])
            for n in range(ledgers)
        ]
        self._prefix, self._guard = _claim_network()
        self.port = random.SystemRandom().randrange(11_000, 29_000)
        self.daemons: list[Daemon] = []
        self._turn = itertools.count()
        self.store: platform_store.StandinPlatformStore

    def host(self, number: int) -> str:
        """Returns the loopback address of a daemon."""
        return f"{self._prefix}.{number + 2}"

    @property
    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._began

    def note(self, what: str, **fields: Any) -> None:  # noqa: ANN401
        """Writes one line to the record."""
        line = {"at": round(self.now, 3), "what": what, **fields}
        self._record.write(json.dumps(line) + "\n")

    async def start(self) -> None:
        """Starts all; returns when every daemon is ready."""
        loop = asyncio.get_running_loop()
        self.store = platform_store.StandinPlatformStore(
            boot_timers.BootTimerService(loop)
        )
        await self.store.start()
        self.store.put("config", "main", configuration(1))
        for server in self.all_servers:
            await server.start()
            self.store.put("servers", server.id, server.entry())
        self.daemons = [Daemon(self, n) for n in range(self.size)]
        for daemon in self.daemons:
            daemon.start()
        async with asyncio.timeout(_READY_LIMIT_S):
            while not all(d.in_rotation for d in self.daemons):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        # The daemons find each other.
        await asyncio.sleep(2.5)
        self.note("ready")

    @property
    def all_servers(self) -> list[servers.Server]:
        """Engines and plain servers."""
        return self.engines + self.ledgers

    async def close(self) -> None:
        """Ends all processes and keeps only the record."""
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))
        for server in self.all_servers:
            server.stop()
        self.store.close()
        for arrival in self.arrivals:
            self.note(
                "arrival",
                id=arrival.id,
                server=arrival.server,
                path=arrival.target,
                received=round(arrival.at - self._began, 3),
                run=arrival.run,
                spoiled=arrival.spoiled,
                end=arrival.end,
            )
        self._record.close()
        self._guard.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def arrivals(self) -> list[servers.Arrival]:
        """All requests that reached a server."""
        return [a for server in self.all_servers for a in server.arrivals]

    def pick_daemon(self) -> Daemon:
        """Returns the daemon that the platform sends a new connection to."""
        chosen = [d for d in self.daemons if d.in_rotation] or self.daemons
        return chosen[next(self._turn) % len(chosen)]

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        daemon: Daemon | None = None,
        **options: Any,  # noqa: ANN401
    ) -> clients.Attempt:
        """Sends one request to a daemon, and records what came of it."""
        target = daemon or self.pick_daemon()
        attempt = await clients.send(
            target.frontend, method, path, body, **options
        )
        self.attempts.append(attempt)
        self.note(
            "answer",
            id=attempt.id,
            path=path,
            daemon=target.name,
            sent=round(attempt.sent_at - self._began, 3),
            status=attempt.status,
            complete=attempt.complete,
            seconds=round(attempt.seconds, 3),
            error=attempt.error,
        )
        return attempt

    def background(
        self, per_s: float, send: Callable[[], Any]
    ) -> asyncio.Task[None]:
        """Sends requests at a rate until the task is cancelled."""
        return asyncio.get_running_loop().create_task(
            _send_at(per_s, send), name="traffic"
        )


async def _send_at(per_s: float, send: Callable[[], Any]) -> None:
    running: set[asyncio.Task[Any]] = set()
    try:
        while True:
            task = asyncio.get_running_loop().create_task(send())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / per_s)
    finally:
        for task in running:
            task.cancel()


def _claim_network() -> tuple[str, socket.socket]:
    """Returns a loopback network that no other run uses, and its guard."""
    generator = random.SystemRandom()
    for _ in range(1_000):
        prefix = f"127.{generator.randint(1, 254)}.{generator.randint(0, 254)}"
        guard = socket.socket()
        try:
            guard.bind((f"{prefix}.1", 9_999))
        except OSError:
            guard.close()
            continue
        return prefix, guard
    raise OSError("no free loopback network")


def run(
    case: Callable[[Deployment], Any],
    folder: pathlib.Path,
    *,
    daemons: int = 3,
    engines: int = 6,
    ledgers: int = 3,
    limit_s: float = 110.0,
) -> None:
    """Runs a case, which returns whether the rule held, and exits."""

    async def play() -> bool:
        current = asyncio.current_task()
        if current is not None:
            # All processes end, too, if the case is stopped.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, current.cancel
            )
        deployment = Deployment(
            daemons, engines, ledgers, folder / "record.txt"
        )
        try:
            async with asyncio.timeout(limit_s):
                await deployment.start()
                held: bool = await case(deployment)
                deployment.note("verdict", held=held, trouble=TROUBLE)
                return held
        finally:
            with contextlib.suppress(AttributeError):
                await deployment.close()

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        sys.stderr.write(f"the case could not run: {error!r}\n")
        sys.exit(NOT_RUN)
    sys.exit(HELD if held else BROKEN)
