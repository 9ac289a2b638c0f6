"""Callers of the soak test and checks of the responses they get."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import itertools
import random
import signal

import result

from lavendershed.core import units
from lavendershed.standin import platform_engine
from lavendershed.standin import soak_daemon
from lavendershed.transport import client
from lavendershed.transport import errors

HOST = "users.example"
# Number of events in a stream.
EVENTS_PER_STREAM = 6
# Timeout of the routes, which callers also send as their deadline.
REQUEST_TIMEOUT = units.Seconds(4.0)
# A final response may arrive this long after the timeout.
_RESPONSE_SLACK = units.Seconds(0.5)
# Longer than the request timeout, so that callers see late responses.
_CALLER_TIMEOUT = units.Seconds(REQUEST_TIMEOUT + 2.0)
_MAX_RESPONSE_SIZE = units.Bytes(1_000_000)
# Share of the requests sent over persistent connections.
_KEEP_ALIVE_SHARE = 0.6
# Backend servers may still be busy in this last part of the grace period.
_FINAL_GRACE_SHARE = 1 / 6
# Statuses which guarantee that a request was not executed.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_DISRUPTIVE_SIGNALS = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
_LAG_INTERVAL = units.Seconds(0.05)


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """Result of one request as seen by its caller.

    Attributes:
        kind: Kind of the request: stream, safe or unsafe.
        daemon: Daemon that the request was sent to.
        sent_at: Send time on the event loop's clock.
        ended_at: End time on the event loop's clock.
        status: HTTP status, if the response head was received.
        body: Body of a complete response.
        complete: Whether the response was complete.
        closed: Whether the connection was lost before the response was
            complete.
    """

    kind: str
    daemon: soak_daemon.DaemonProcess
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    closed: bool = False


class SoakCallers:
    """Sends requests, some over persistent connections, and checks them."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"callers of {seed}")
        self._request_numbers = itertools.count()
        self._outcomes: dict[str, RequestOutcome] = {}
        self._idle_connections: collections.defaultdict[
            soak_daemon.DaemonProcess, list[client.ClientConnection]
        ] = collections.defaultdict(list)
        # Maximum delay of this process's event loop, in seconds.
        self._max_lag = 0.0

    @property
    def outcomes(self) -> collections.Counter[str]:
        """Number of requests by kind and result."""
        return collections.Counter(
            f"{outcome.kind} {outcome.status if outcome.complete else 'cut'}"
            for outcome in self._outcomes.values()
        )

    async def measure_lag(self) -> None:
        """Records the delay of this process's event loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _LAG_INTERVAL
            await asyncio.sleep(_LAG_INTERVAL)
            self._max_lag = max(self._max_lag, loop.time() - due)

    async def request(
        self,
        kind: str,
        daemon: soak_daemon.DaemonProcess,
        api_key: str,
        prompt_tokens: int,
    ) -> RequestOutcome:
        """Sends one request; `prompt_tokens` is ignored except for streams."""
        loop = asyncio.get_running_loop()
        attempt_id = f"{kind}-{next(self._request_numbers)}"
        headers = [
            ("host", HOST),
            ("attempt-id", attempt_id),
            ("deadline-ms", str(int(REQUEST_TIMEOUT * 1_000))),
            ("x-api-key", api_key),
        ]
        if kind == "stream":
            headers.append(("token-count", f"{prompt_tokens},300"))
        head = client.RequestHead("POST", f"/{kind}/x", tuple(headers))
        outcome = RequestOutcome(kind, daemon, loop.time())
        self._outcomes[attempt_id] = outcome
        keep_alive = self._random.random() < _KEEP_ALIVE_SHARE
        connection = await self._connect(daemon, keep_alive)
        if connection is None:
            outcome.ended_at = loop.time()
            return outcome
        try:
            await self._exchange(connection, head, attempt_id.encode(), outcome)
        finally:
            outcome.ended_at = loop.time()
            if keep_alive and outcome.complete and connection.reusable:
                self._idle_connections[daemon].append(connection)
            else:
                connection.close()
        return outcome

    def find_violations(
        self,
        engines: Iterable[platform_engine.StandinPlatformEngine],
    ) -> list[str]:
        """Returns violations, from outcomes and the servers' executions."""
        execution_counts = collections.Counter(
            request.headers.get("attempt-id", "")
            for engine in engines
            for request in engine.executed_requests
        )
        violations = [
            f"request {attempt_id} {violation}"
            for attempt_id, outcome in self._outcomes.items()
            for violation in self._check_outcome(
                attempt_id, outcome, execution_counts[attempt_id]
            )
        ]
        unknown_ids = set(execution_counts) - set(self._outcomes)
        if unknown_ids:
            violations.append(
                f"servers executed requests that were never sent: {unknown_ids}"
            )
        return violations

    def close(self) -> None:
        """Closes the idle persistent connections."""
        for connection in itertools.chain.from_iterable(
            self._idle_connections.values()
        ):
            connection.close()

    async def _connect(
        self, daemon: soak_daemon.DaemonProcess, keep_alive: bool
    ) -> client.ClientConnection | None:
        idle_connections = self._idle_connections[daemon]
        while keep_alive and idle_connections:
            connection = idle_connections.pop()
            if connection.reusable:
                connection.start_next_exchange()
                return connection
            connection.close()
        connected = await client.connect(
            daemon.frontend_address, REQUEST_TIMEOUT
        )
        return connected.ok_value if isinstance(connected, result.Ok) else None

    async def _exchange(
        self,
        connection: client.ClientConnection,
        head: client.RequestHead,
        body: bytes,
        outcome: RequestOutcome,
    ) -> None:
        await connection.send(head, body, _CALLER_TIMEOUT)
        head_result = await connection.read_head(_CALLER_TIMEOUT)
        if isinstance(head_result, result.Err):
            outcome.closed = _is_connection_closed(head_result.err_value)
            return
        outcome.status = head_result.ok_value.status
        body_result = await connection.read_body(
            _CALLER_TIMEOUT, _MAX_RESPONSE_SIZE
        )
        if isinstance(body_result, result.Err):
            outcome.closed = _is_connection_closed(body_result.err_value)
            return
        outcome.body = body_result.ok_value
        outcome.complete = True

    def _check_outcome(
        self, attempt_id: str, outcome: RequestOutcome, execution_count: int
    ) -> list[str]:
        violations = []
        if outcome.kind == "unsafe" and execution_count > 1:
            violations.append(f"was executed {execution_count} times")
        if (
            outcome.kind == "unsafe"
            and outcome.status in _NOT_EXECUTED_STATUSES
            and execution_count
        ):
            violations.append(f"was refused but executed: {outcome}")
        if self._was_lost_after_forwarding(outcome, execution_count):
            violations.append(f"was lost after it was forwarded: {outcome}")
        time_limit = REQUEST_TIMEOUT + _RESPONSE_SLACK + self._max_lag
        if (
            outcome.ended_at - outcome.sent_at > time_limit
            and not self._daemon_was_disrupted(outcome)
        ):
            violations.append(f"got no response within its timeout: {outcome}")
        if outcome.status != 200 or not outcome.complete:
            return violations
        if not self._has_expected_body(attempt_id, outcome):
            violations.append(f"got an unexpected body: {outcome.body!r}")
        if not execution_count:
            violations.append("succeeded without being executed")
        return violations

    def _has_expected_body(
        self, attempt_id: str, outcome: RequestOutcome
    ) -> bool:
        if outcome.kind != "stream":
            return outcome.body.endswith(attempt_id.encode())
        return outcome.body == b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n)
            for n in range(1, EVENTS_PER_STREAM + 1)
        )

    def _was_lost_after_forwarding(
        self, outcome: RequestOutcome, execution_count: int
    ) -> bool:
        """Returns whether a daemon dropped a call that a server executed.

        Streams are exempt, since faults interrupt them at the engine. So are
        calls to daemons that were killed or paused, or whose grace period was
        about to end.
        """
        if (
            outcome.kind == "stream"
            or not outcome.closed
            or not execution_count
        ):
            return False
        grace = soak_daemon.GRACE_PERIOD
        return not self._daemon_was_disrupted(
            outcome
        ) and not outcome.daemon.was_signalled(
            (signal.SIGTERM,),
            outcome.ended_at - grace - _RESPONSE_SLACK,
            outcome.ended_at - grace * (1 - _FINAL_GRACE_SHARE),
        )

    def _daemon_was_disrupted(self, outcome: RequestOutcome) -> bool:
        return outcome.daemon.was_signalled(
            _DISRUPTIVE_SIGNALS,
            outcome.sent_at - REQUEST_TIMEOUT,
            outcome.ended_at,
        )


def _is_connection_closed(error: errors.TransportError) -> bool:
    return error.kind is not errors.TransportErrorKind.IDLE_TIMEOUT
