"""Measures the processor time of logging in a daemon, per request.

A daemon and its stand-ins run in this process. The same requests are sent
with a log that writes lines to a pipe and with one that drops events, in
alternation; the difference of the medians is the cost. Lines for each request
are counted as well. A single line is measured before that.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import socket
import statistics
import time

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.forwarding import daemon
from lavendershed.platform import factory
from lavendershed.platform import settings
from lavendershed.reliability import fleet_retry_budget
from lavendershed.standin import soak_deployment
from lavendershed.telemetry import buffered_log
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import boot_timers
from lavendershed.transport import client

_ROUNDS = 9
_REQUESTS_PER_ROUND = 300
_LINE_COUNT = 3_000
_TIMEOUT = units.Seconds(5.0)
_KEY = "measured"
_HEADERS = {
    "safe": (),
    "stream": (("token-count", "1000,100"),),
}


class NullEventLog(log.EventLog):
    """Drops all events."""

    def emit(self, event: events.Event, **fields: log.LogValue) -> None:
        """Drops one event."""


class CountingReader(asyncio.Protocol):
    """Reads the lines of the log and counts them."""

    def __init__(self) -> None:
        self.lines = 0

    def data_received(self, data: bytes) -> None:
        """Counts lines."""
        self.lines += data.count(b"\n")


def free_address() -> addresses.Address:
    """Returns a loopback address with an unused port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return addresses.Address(*sock.getsockname())


async def start_daemon(
    event_log: log.EventLog,
    store: addresses.Address,
    timer_service: boot_timers.BootTimerService,
    seeds: tuple[addresses.Address, ...] = (),
    connector: connections.Connector | None = None,
    peer_address: addresses.Address | None = None,
) -> tuple[addresses.Address, asyncio.Task[Exception | None]]:
    """Returns the caller address of a new daemon and its task.

    Args:
        event_log: Log of the daemon.
        store: Address of the store.
        timer_service: Clock and timers.
        seeds: Addresses of peers, if any.
        connector: Opens connections to the servers; TCP by default.
        peer_address: Address for peers; any free one by default.
    """
    caller_address, ready_address = free_address(), free_address()
    peer_address = peer_address or free_address()
    platform_settings = settings.PlatformSettings(
        ids.VmId("vm"),
        ids.AvailabilityZoneId("a"),
        caller_address,
        ready_address,
        peer_address,
        seeds,
        store,
        units.Seconds(1.0),
        fleet_retry_budget.FleetBudgetLimits(0.2, 100.0, units.Seconds(10.0)),
    )
    parts = factory.build(
        platform_settings,
        ids.Incarnation(random.getrandbits(60)),
        timer_service,
        event_log,
        random.Random(1),
        connector,
    )
    forwarding_daemon = daemon.ForwardingDaemon(
        parts.components,
        daemon.Endpoints(caller_address, ready_address, peer_address),
        platform_settings.grace_period,
    )
    task = asyncio.get_running_loop().create_task(
        forwarding_daemon.run(asyncio.Event())
    )
    while not forwarding_daemon.ready:
        await asyncio.sleep(0.01)
    return caller_address, task


async def send(address: addresses.Address, kind: str, numbers: range) -> None:
    """Sends consecutive requests over one connection."""
    connection = (await client.connect(address, _TIMEOUT)).unwrap()
    for number in numbers:
        head = client.RequestHead(
            "POST",
            f"/{kind}/x",
            (
                ("host", "users.example"),
                ("attempt-id", f"{kind}-{number}"),
                ("deadline-ms", "4000"),
                ("x-api-key", _KEY),
                *_HEADERS[kind],
            ),
        )
        (await connection.send(head, b"body", _TIMEOUT)).unwrap()
        (await connection.read_head(_TIMEOUT)).unwrap()
        (await connection.read_body(_TIMEOUT, units.Bytes(1 << 20))).unwrap()
        connection.start_next_exchange()
    connection.close()


def measure_line() -> None:
    """Prints the time of one line about the choice of an engine."""
    read_fd, write_fd = os.pipe()
    event_log = buffered_log.BufferedEventLog(write_fd)
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        for number in range(_LINE_COUNT):
            event_log.emit(
                events.Event.REQUEST_DISPATCHED,
                request=f"{number:016x}",
                route="stream",
                server="i-3f1c9a77d0",
                helpers=["i-0b52c9e1aa", "i-77d0e1c9f2"],
                prompt=5_000,
                answer=1_600,
                predicted_ms=101.3,
                loss=0.115,
                candidates=69,
                attempt=1,
                version=12,
                load_age_ms=310,
            )
            if number % 10 == 0:
                event_log.flush()
                os.read(read_fd, 1 << 16)
        times.append((time.process_time() - started) / _LINE_COUNT * 1e6)
        event_log.flush()
        os.read(read_fd, 1 << 16)
    event_log.close()
    os.close(read_fd)
    os.close(write_fd)
    print(f"one line: {statistics.median(times):.0f} us")


async def main() -> None:
    """Prints the cost for each kind of request."""
    measure_line()
    loop = asyncio.get_running_loop()
    timer_service = boot_timers.BootTimerService(loop)
    options = soak_deployment.SoakOptions(daemons=0, engines=2, plain_servers=2)
    deployment = soak_deployment.SoakDeployment(
        options, random.Random(1), timer_service
    )
    await deployment.start(_KEY)
    for engine in deployment.backend_servers:
        engine.event_interval_s = 0.0
    read_fd, write_fd = os.pipe()
    pipe_log = buffered_log.BufferedEventLog(write_fd)
    pipe_log.start(timer_service)
    reader = CountingReader()
    await loop.connect_read_pipe(lambda: reader, os.fdopen(read_fd, "rb"))
    store = deployment.store.address
    with_log, logging_task = await start_daemon(pipe_log, store, timer_service)
    without_log, unlogged_task = await start_daemon(
        NullEventLog(), store, timer_service
    )
    numbers = itertools.count(0, _REQUESTS_PER_ROUND)
    for kind in _HEADERS:
        times_by_daemon: dict[addresses.Address, list[float]] = {
            with_log: [],
            without_log: [],
        }
        for address in (with_log, without_log):
            await send(address, kind, range(20))
        reader.lines = 0
        for _ in range(_ROUNDS):
            for address, times in times_by_daemon.items():
                start = next(numbers)
                started = time.process_time()
                await send(
                    address, kind, range(start, start + _REQUESTS_PER_ROUND)
                )
                times.append(
                    (time.process_time() - started) / _REQUESTS_PER_ROUND * 1e6
                )
        await asyncio.sleep(0.3)
        lines = reader.lines / _ROUNDS / _REQUESTS_PER_ROUND
        logged_us, unlogged_us = (
            statistics.median(t) for t in times_by_daemon.values()
        )
        print(
            f"{kind}: {logged_us:.0f} us with the log, {unlogged_us:.0f} us "
            f"without, difference {logged_us - unlogged_us:.0f} us for "
            f"{lines:.2f} lines"
        )
    for task in (logging_task, unlogged_task):
        task.cancel()
    await asyncio.gather(logging_task, unlogged_task, return_exceptions=True)
    await deployment.close()


if __name__ == "__main__":
    asyncio.run(main())
