"""Randomised soak test of open connections beside changes and disruptions.

Callers use their connections until the daemon is gone, while the configuration,
the settings, the servers and the daemons change. Each request is accounted for
by what its caller saw, what the servers received and what the daemons logged.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import pathlib
import random
import signal

import orjson

from lavendershed.core import units
from lavendershed.standin import connection_callers
from lavendershed.standin import platform_store
from lavendershed.standin import soak_callers
from lavendershed.standin import soak_daemon
from lavendershed.standin import soak_deployment
from lavendershed.telemetry import events
from lavendershed.transport import boot_timers

API_KEY = "soak-key"
_CALLERS = 80
# Each kind of service twice, so that routes can move.
_SERVICES = {
    soak_deployment.MODEL_SERVICE: ("model", "model-b"),
    soak_deployment.PLAIN_SERVICE: ("ledger", "ledger-b"),
}
_IDLE_TIMEOUTS = (1.0, 1.5, 2.0, 3.0, 5.0, 15.0)
_HEADER_TIMEOUTS = (1.0, 2.0, 4.0)
_ROUTE_TIMEOUTS = (5.0, 6.0, 8.0)
_MAX_READY_WAIT = units.Seconds(15.0)
# The daemon stops waiting for requests this long before the grace period is
# over, or after it if it was paused meanwhile.
_GRACE_MARGIN = units.Seconds(0.6)
_MAX_PAUSE = units.Seconds(2.0)
# At the end of the grace period, the daemon refuses the requests that it has
# read and not answered before.
_LAST_ANSWERS_TIME = units.Seconds(0.3)
# A connection that was closed before its request arrived is reset at once.
_CROSSING_TIME = units.Seconds(0.2)
# Statuses which guarantee that a request was not executed.
_NOT_EXECUTED_STATUSES = frozenset({408, 429, 503})
_REJECTED_END = "rejected"


class Outcome(enum.Enum):
    """What became of a request."""

    ANSWERED = "whole answer"
    REFUSED = "refusal"
    INCOMPLETE = "incomplete answer"
    LOST = "closed without a byte, passed on"
    DROPPED = "closed without a byte, read and not passed on"
    CROSSED = "closed without a byte, not read (crossed the close)"
    CUT = "cut while it was sent"
    REJECTION_UNSEEN = "rejection not seen"
    GRACE_OVER = "ended with the grace period"
    GRACE_OVER_UNSENT = "ended with the grace period while it was sent"
    HUNG = "neither answer nor end"


# No server breaks off, so that no daemon has a reason to do so.
_VIOLATIONS = frozenset(
    {
        Outcome.INCOMPLETE,
        Outcome.LOST,
        Outcome.DROPPED,
        Outcome.CUT,
        Outcome.REJECTION_UNSEEN,
        Outcome.HUNG,
    }
)


class DaemonLogs:
    """What the daemons logged about requests without a complete answer."""

    def __init__(self, paths: list[pathlib.Path]) -> None:
        self._unanswered_by_peer: dict[tuple[str, str], str] = {}
        self._unanswered_by_target: dict[str, str] = {}
        self._failures: dict[str, str] = {}
        for path in paths:
            for line in path.read_bytes().splitlines():
                if line.startswith(b"{"):
                    self._add(path.name, orjson.loads(line))

    def _add(self, log_name: str, record: dict[str, object]) -> None:
        reason = str(record.get("reason"))
        if record.get("event") == events.Event.REQUEST_FAILED:
            self._failures[str(record["request"])] = reason
        elif record.get("event") == events.Event.REQUEST_UNANSWERED:
            self._unanswered_by_peer[(log_name, str(record["peer"]))] = reason
            if record["target"] is not None:
                request_id = str(record["target"]).rpartition("/")[2]
                self._unanswered_by_target[request_id] = reason

    def unanswered(self, exchange: connection_callers.Exchange) -> str | None:
        """Returns the reason of its `request_unanswered` line, if any."""
        peer = (exchange.daemon.log_path.name, exchange.local_address)
        return self._unanswered_by_target.get(
            exchange.id, self._unanswered_by_peer.get(peer)
        )

    def failure(self, exchange: connection_callers.Exchange) -> str | None:
        """Returns the reason of its `request_failed` line, if any."""
        return self._failures.get(exchange.id)


class ConnectionSoak:
    """Runs callers, changes and disruptions, and accounts for requests."""

    def __init__(self, seed: int, options: soak_deployment.SoakOptions) -> None:
        self._seed = seed
        self._options = options
        self._timers = boot_timers.BootTimerService(asyncio.get_running_loop())
        self._random = random.Random(f"connections of {seed}")
        self._deployment = soak_deployment.SoakDeployment(
            options, random.Random(seed), self._timers
        )
        self._exchanges: list[connection_callers.Exchange] = []
        self._stopping: set[soak_daemon.DaemonProcess] = set()
        self._leaving: set[int] = set()
        self._violations: list[str] = []
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._ends: collections.Counter[str] = collections.Counter()

    @property
    def log_directory(self) -> pathlib.Path:
        """Directory of the daemons' settings and logs."""
        return self._deployment.log_directory

    @property
    def outcomes(self) -> collections.Counter[str]:
        """Number of requests by outcome; refusals by status."""
        return self._outcomes

    @property
    def ends(self) -> collections.Counter[str]:
        """Number of requests without an answer by what the daemons logged."""
        return self._ends

    async def run(self) -> list[str]:
        """Runs the soak; returns the violations."""
        loop = asyncio.get_running_loop()
        try:
            await self._deployment.start(API_KEY)
            self._limits = connection_callers.LimitHistory(
                connection_callers.PublishedLimits(
                    loop.time(), units.Seconds(1.0), units.Seconds(1.0)
                )
            )
            for index in range(len(self._deployment.backend_servers)):
                self._publish_server(index)
            self._publish_configuration()
            await asyncio.sleep(1.0)
            end_time = loop.time() + self._options.duration_s
            async with asyncio.TaskGroup() as group:
                for number in range(_CALLERS):
                    caller = connection_callers.ConnectionCaller(
                        str(number),
                        random.Random(f"caller {number} of {self._seed}"),
                        API_KEY,
                        self._limits,
                        self._exchanges,
                    )
                    group.create_task(
                        caller.run(self._deployment.daemons, end_time)
                    )
                disruptions: tuple[Callable[[], Awaitable[None]], ...] = (
                    self._silence_servers,
                    self._move_server_away,
                    self._pause_daemon,
                    self._change_settings,
                    self._disturb_store,
                )
                group.create_task(
                    self._repeat((self._change_limits,), (0.3, 2.5), end_time)
                )
                group.create_task(
                    self._repeat((self._restart_daemon,), (0.5, 2.0), end_time)
                )
                for _ in range(2):
                    group.create_task(
                        self._repeat(disruptions, (0.1, 0.6), end_time)
                    )
            self._violations += [
                f"{daemon.frontend_address} is not running"
                for daemon in self._deployment.daemons
                if not daemon.running
            ]
        finally:
            await self._deployment.close()
        self._account()
        return self._violations

    async def _repeat(
        self,
        actions: tuple[Callable[[], Awaitable[None]], ...],
        pauses: tuple[float, float],
        end_time: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_time:
            await self._random.choice(actions)()
            await asyncio.sleep(self._random.uniform(*pauses))

    async def _change_limits(self) -> None:
        self._publish_configuration()

    def _publish_configuration(self) -> None:
        """Writes a version with other limits, routes, timeouts and keys."""
        specification = self._deployment.next_configuration(API_KEY)
        limits = connection_callers.PublishedLimits(
            asyncio.get_running_loop().time(),
            units.Seconds(self._random.choice(_IDLE_TIMEOUTS)),
            units.Seconds(self._random.choice(_HEADER_TIMEOUTS)),
        )
        self._limits.add(limits)
        specification["limits"] |= {
            "max_body_bytes": connection_callers.MAX_BODY,
            "header_timeout_ms": int(limits.header_timeout * 1_000),
            "idle_timeout_ms": int(limits.idle_timeout * 1_000),
        }
        for route in specification["route_table"]:
            route["service"] = self._random.choice(_SERVICES[route["service"]])
            route["timeout_ms"] = int(
                self._random.choice(_ROUTE_TIMEOUTS) * 1_000
            )
        used = {route["service"] for route in specification["route_table"]}
        keeps_unused = self._random.random() < 0.5
        specification["services"] = [
            {**service, "name": name}
            for service in specification["services"]
            for name in _SERVICES[service["name"]]
            if keeps_unused or name in used
        ]
        specification["tenants"] += [
            {"name": f"other-{number}", "api_keys": [f"key-{number}"]}
            for number in range(self._random.randrange(3))
        ]
        self._deployment.store.put("config", "main", specification)

    def _publish_server(self, index: int, state: str = "ready") -> None:
        kind = (
            soak_deployment.MODEL_SERVICE
            if index < self._options.engines
            else soak_deployment.PLAIN_SERVICE
        )
        self._deployment.publish_server(
            index, state, service=_SERVICES[kind][index % 2]
        )

    async def _silence_servers(self) -> None:
        silent_until = units.after(
            self._timers.now(), units.Seconds(self._random.uniform(0.8, 1.4))
        )
        servers = self._deployment.backend_servers
        for server in self._random.sample(
            servers, self._random.randint(1, len(servers))
        ):
            server.silent_until = silent_until

    async def _move_server_away(self) -> None:
        """Lets a server leave and come back; one at a time."""
        if self._leaving:
            return
        index = self._random.randrange(len(self._deployment.backend_servers))
        self._leaving.add(index)
        self._publish_server(index, "draining")
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        if self._random.random() < 0.5:
            self._deployment.store.delete("servers", f"i-{index}")
            await asyncio.sleep(self._random.uniform(0.1, 0.5))
        self._publish_server(index)
        self._leaving.discard(index)

    async def _pause_daemon(self) -> None:
        daemon = self._random.choice(self._deployment.daemons)
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, _MAX_PAUSE))
        daemon.send_signal(signal.SIGCONT)

    async def _change_settings(self) -> None:
        daemon = self._random.choice(self._deployment.daemons)
        # A process that has not installed its handlers is ended by SIGHUP.
        if daemon not in self._stopping:
            daemon.change_settings(self._random.choice((80, 100, 120)))

    async def _disturb_store(self) -> None:
        store = self._deployment.store
        store.fault = self._random.choice(
            (
                platform_store.StoreFault.RESET,
                platform_store.StoreFault.SILENT,
                platform_store.StoreFault.BUSY,
            )
        )
        store.wake_watches()
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        store.fault = platform_store.StoreFault.NONE

    async def _restart_daemon(self) -> None:
        daemon = self._random.choice(self._deployment.daemons)
        self._stopping.add(daemon)
        if not daemon.running:
            self._violations.append(f"{daemon.frontend_address} has ended")
        daemon.send_signal(signal.SIGTERM)
        exit_status = await daemon.wait()
        if exit_status:
            self._violations.append(f"a daemon exited with {exit_status}")
        await self._deployment.start_daemon(daemon)
        try:
            async with asyncio.timeout(_MAX_READY_WAIT):
                await self._deployment.wait_until_ready(daemon)
        except TimeoutError:
            self._violations.append(f"{daemon.frontend_address} is not ready")
        self._stopping.discard(daemon)

    def _account(self) -> None:
        logs = DaemonLogs(
            [daemon.log_path for daemon in self._deployment.daemons]
        )
        servers = self._deployment.backend_servers
        received = collections.Counter(
            request.headers.get("attempt-id", "")
            for server in servers
            for request in server.received_requests
        )
        executed = collections.Counter(
            request.headers.get("attempt-id", "")
            for server in servers
            for request in server.executed_requests
        )
        for exchange in self._exchanges:
            outcome = self._outcome(exchange, logs, bool(received[exchange.id]))
            problems = self._find_problems(
                exchange, outcome, executed[exchange.id]
            )
            self._violations += [
                f"{problem}; unanswered: {logs.unanswered(exchange)}, "
                f"failed: {logs.failure(exchange)}; "
                f"{exchange.daemon.log_path.name}; {exchange}"
                for problem in problems
            ]
            status = exchange.status if outcome is Outcome.REFUSED else ""
            self._outcomes[f"{outcome.value} {status}".strip()] += 1
            if outcome not in (Outcome.ANSWERED, Outcome.REFUSED):
                logged = logs.unanswered(exchange) or (
                    "failed" if logs.failure(exchange) else "no line"
                )
                self._ends[f"{outcome.value}: {logged}"] += 1

    def _outcome(
        self,
        exchange: connection_callers.Exchange,
        logs: DaemonLogs,
        passed_on: bool,
    ) -> Outcome:
        if exchange.complete:
            if exchange.status == 408 and not exchange.late:
                return Outcome.CUT
            return (
                Outcome.ANSWERED if exchange.status == 200 else Outcome.REFUSED
            )
        if not exchange.connection_ended:
            return Outcome.HUNG
        if self._grace_was_over(exchange) and self._may_be_cut(exchange):
            return (
                Outcome.GRACE_OVER_UNSENT
                if exchange.sent_at is None
                else Outcome.GRACE_OVER
            )
        if exchange.status is not None:
            return Outcome.INCOMPLETE
        if passed_on:
            return Outcome.LOST
        logged = logs.unanswered(exchange)
        if logged == _REJECTED_END:
            return Outcome.REJECTION_UNSEEN
        if exchange.sent_at is not None:
            was_read = logged is not None or logs.failure(exchange) is not None
            return Outcome.DROPPED if was_read else Outcome.CROSSED
        crossed = logged is None and (
            exchange.ended_at - exchange.began_at < _CROSSING_TIME
            or self._daemon_was_paused(exchange)
        )
        return Outcome.CROSSED if crossed else Outcome.CUT

    def _find_problems(
        self,
        exchange: connection_callers.Exchange,
        outcome: Outcome,
        execution_count: int,
    ) -> list[str]:
        """Returns the violations of one request."""
        problems = [outcome.value] if outcome in _VIOLATIONS else []
        if outcome is Outcome.ANSWERED and not self._is_own_answer(exchange):
            problems.append("answer that is not complete or not its own")
        if exchange.kind == "unsafe":
            if execution_count > 1:
                problems.append(f"ran {execution_count} times")
            if execution_count and exchange.status in _NOT_EXECUTED_STATUSES:
                problems.append("ran although it was refused")
        if (
            exchange.style is connection_callers.SendingStyle.OVERSIZED
            and execution_count
        ):
            problems.append("ran although it exceeds the size limit")
        return problems

    def _is_own_answer(self, exchange: connection_callers.Exchange) -> bool:
        if exchange.kind != "stream":
            return exchange.body.endswith(b" to " + exchange.request_body)
        return exchange.body == b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n)
            for n in range(1, soak_callers.EVENTS_PER_STREAM + 1)
        )

    def _grace_was_over(self, exchange: connection_callers.Exchange) -> bool:
        """Returns whether the daemon was at the end of its grace period."""
        grace = soak_daemon.GRACE_PERIOD
        return exchange.daemon.was_signalled(
            (signal.SIGTERM,),
            exchange.ended_at - grace - _MAX_PAUSE,
            exchange.ended_at - grace + _GRACE_MARGIN,
        )

    def _may_be_cut(self, exchange: connection_callers.Exchange) -> bool:
        """Returns whether the end of the grace period explains the end."""
        return (
            exchange.sent_at is None
            or exchange.style is connection_callers.SendingStyle.SLOW_READER
            or exchange.ended_at - exchange.sent_at < _LAST_ANSWERS_TIME
        )

    def _daemon_was_paused(self, exchange: connection_callers.Exchange) -> bool:
        return exchange.daemon.was_signalled(
            (signal.SIGSTOP, signal.SIGCONT),
            exchange.began_at - _MAX_PAUSE,
            exchange.ended_at,
        )
