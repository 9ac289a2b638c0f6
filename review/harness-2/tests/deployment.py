"""A small deployment on loopback addresses for the cases of this review.

It starts the daemon with the command of the deploy file, beside the project's
stand-ins of the platform's store and of servers. Everything that a case sent,
saw and ran goes to `record.txt` in its folder.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[3]
HOST = "users.example"
KEY = "key-of-the-workshops"
TENANT = "workshops"
MODEL = "shed-advisor"
PLAIN = "guild-desk"
ZONES = ("varna-a", "varna-b", "varna-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A run takes a minute; the scripts may take two.
_LIMIT_S = 100.0
# Of callers, readiness, control, other daemons, and relayed requests.
_PORTS = 5
_MAX_DRAWS = 100
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_ENGINE = {
    "slots": 8,
    "kv_capacity": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2_048,
    "usual": {"prompt": 11_108, "answer": 1_622},
    "hop_ms": 0.05,
}


def route(prefix, kind, service, **changes):
    """Returns a route of the operator's configuration."""
    return {
        "name": f"r{prefix}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1_500,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def configuration(version, routes=None):
    """Returns a configuration like that of a small deployment."""
    return {
        "version": version,
        "route_table": routes
        or [
            route(
                "/ask/",
                "streaming",
                MODEL,
                resumable=True,
                sticky=True,
                gap_target_ms=250,
                timeout_ms=10_000,
                priority=1,
            ),
            route("/lookup/", "safe", PLAIN),
            route("/order/", "unsafe", PLAIN, max_attempts=1),
        ],
        "services": [
            {
                "name": MODEL,
                "health_path": "/healthz",
                "max_connections": 194,
                "protocol": "h1",
                "tls": False,
                "engine": _ENGINE,
            },
            {
                "name": PLAIN,
                "health_path": "/healthz",
                "max_connections": 49,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Record:
    """Writes what was sent, answered and run, with the time."""

    def __init__(self, directory):
        self._file = (pathlib.Path(directory) / "record.txt").open("w")
        self._start = time.monotonic()

    def write(self, text):
        at = time.monotonic() - self._start
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Network:
    """A network 127.A.B.0/24 with free ports, drawn anew for each run."""

    def __init__(self, hosts):
        for _ in range(_MAX_DRAWS):
            self._prefix = (
                f"127.{random.randint(2, 254)}.{random.randint(0, 254)}"
            )
            self._first_port = random.randint(10_000, 28_000)
            if all(
                _is_free(self.host(number), self._first_port + offset)
                for number in range(hosts)
                for offset in range(_PORTS)
            ):
                return
        raise NotRunError("no free ports")

    def host(self, number):
        return f"{self._prefix}.{number + 1}"

    @property
    def ports(self):
        """Ports of callers, readiness, control, and the internal ones."""
        return tuple(self._first_port + n for n in range(4))


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, network, number, store, directory, record, seeds):
        self.host = network.host(number)
        self.name = f"edge-{number}"
        self._zone = ZONES[number % len(ZONES)]
        self._ports = network.ports
        self._directory = pathlib.Path(directory)
        self._record = record
        self._store = store
        self._seeds = seeds
        self._process = None
        self.log_path = self._directory / f"{self.name}.log"

    @property
    def callers(self):
        return self.host, self._ports[0]

    @property
    def readiness(self):
        return self.host, self._ports[1]

    @property
    def process_id(self):
        return self._process.pid

    @property
    def running(self):
        return self._process is not None and self._process.returncode is None

    async def start(self):
        path = self._directory / f"{self.name}.toml"
        path.write_text(self._settings())
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/daemon.py",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._directory),
                    "LAVENDERSHED_CONFIG": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} started at {self.host}")

    def send_signal(self, number):
        if self.running:
            self._process.send_signal(number)
            self._record.write(
                f"{self.name} gets {signal.Signals(number).name}"
            )

    async def stop(self):
        if self.running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    async def wait_ready(self, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.readiness_status(1.0) == 200:
                self._record.write(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} is not ready after {limit} s")

    async def readiness_status(self, timeout):
        """Asks as the balancer does; returns the status, or None."""
        answer = await exchange(
            self.readiness, b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n", timeout
        )
        return answer.status

    def _settings(self):
        callers, ready, control, internal = self._ports
        seeds = ",".join(f'"{seed}:{control}"' for seed in self._seeds)
        return f"""
node_name = "{self.name}"
role = "router"
machine_class = "edge"
serves = ["edge","control"]
ip = "{self.host}"
zone = "{self._zone}"
region = "varna"
internal_ports = [{internal},{internal + 15}]
seeds = [{seeds}]
bootstrap = false
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
varna-a = "varna"
varna-b = "varna"
varna-c = "varna"
[listen]
frontend = "{self.host}:{callers}"
ready = "{self.host}:{ready}"
control_plane = "{self.host}:{control}"
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
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 102
recover_s = 12
event_delay_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[provider]
address = "{self._store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class NotRunError(Exception):
    """The case could not run."""


class Answer:
    """What a caller has got: a status and a body, or None and a cause."""

    def __init__(self, status, headers, body, cause, seconds):
        self.status = status
        self.headers = headers
        self.body = body
        self.cause = cause
        self.seconds = seconds

    def __str__(self):
        """Returns what the record says."""
        what = self.status if self.status is not None else self.cause
        return f"{what} after {self.seconds:.3f} s"


async def exchange(address, data, timeout):
    """Sends one request on a new connection; returns the answer."""
    started = time.monotonic()
    writer = None

    def result(status=None, headers=None, body=b"", cause=""):
        return Answer(
            status, headers or {}, body, cause, time.monotonic() - started
        )

    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (
                    line.partition(":") for line in lines[1:]
                )
                if name
            }
            status = int(lines[0].split()[1])
            if headers.get("transfer-encoding") == "chunked":
                body = b""
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
            return result(status, headers, body)
    except TimeoutError:
        return result(cause="no answer")
    except asyncio.IncompleteReadError:
        return result(cause="connection closed")
    except OSError as error:
        return result(cause=f"connection failed: {error}")
    finally:
        if writer is not None:
            writer.transport.abort()


def request(method, path, deadline_ms, body=b"", headers=()):
    """Returns the id and the bytes of a caller's request."""
    attempt = f"{random.getrandbits(64):016x}"
    fields = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        ("X-Api-Key", KEY),
        *headers,
    ]
    if body or method == "POST":
        fields.append(("Content-Length", str(len(body))))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields
    )
    return attempt, head.encode() + b"\r\n" + body


class Deployment:
    """Store, servers and daemons of one run."""

    def __init__(self, record, daemons=1):
        from lavendershed.standin import platform_store
        from lavendershed.transport import boot_timers

        self.record = record
        self._temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._temporary.name)
        self.timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self.store = platform_store.StandinPlatformStore(self.timers)
        self.network = Network(daemons)
        self.servers = []
        self.daemons = []
        self._count = daemons

    async def start(self, config=None, models=3, plain=3):
        from lavendershed.standin import platform_engine

        await self.store.start()
        self.store.put("config", "main", config or configuration(1))
        for service, count in ((MODEL, models), (PLAIN, plain)):
            for number in range(count):
                server = platform_engine.StandinPlatformEngine(
                    f"i-{service}-{number}", self.timers
                )
                await server.start()
                self.servers.append(server)
                self.register(server.id, server.address, service)
        seeds = [self.network.host(n) for n in range(self._count)]
        self.daemons = [
            Daemon(
                self.network,
                number,
                self.store.address,
                self.directory,
                self.record,
                seeds,
            )
            for number in range(self._count)
        ]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def register(self, name, address, service, **changes):
        self.store.put(
            "servers",
            name,
            {
                "service": service,
                "address": str(address),
                "zone": "varna-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": 1_700_000_000_000,
                "seq": 1,
                **changes,
            },
        )

    async def close(self):
        for daemon in self.daemons:
            await daemon.stop()
        for server in self.servers:
            server.close()
        self.store.close()
        self._temporary.cleanup()


def main(case_directory, run, daemons=1, kind=Deployment):
    """Runs a case; exits with 1 if its rule was broken, 2 if it did not run."""
    record = Record(case_directory)

    async def play():
        # What was started is ended also if this process is told to end.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        deployment = kind(record, daemons)
        try:
            async with asyncio.timeout(_LIMIT_S):
                return await run(deployment)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        # Anything else than a whole run says nothing about the rule.
        record.write(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write("BROKEN" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
