"""Callers of the soak, and what they may see."""

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
# Events of each stream.
EVENTS_PER_STREAM = 6
# Time that callers wait, and the limit of the routes.
REQUEST_TIMEOUT = units.Seconds(4.0)
# A final answer may come this much after the limit.
_RESPONSE_SLACK = units.Seconds(0.5)
# Callers notice an answer that is too late only if they wait longer.
_CALLER_TIMEOUT = units.Seconds(REQUEST_TIMEOUT + 2.0)
_MAX_RESPONSE_SIZE = units.Bytes(1_000_000)
# Part of the requests that go over a connection which is kept open.
_KEEP_ALIVE_SHARE = 0.6
# Engines may still be at work in this last part of the grace time.
_FINAL_GRACE_SHARE = 1 / 6
# Answers that promise that a request has not run.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_DISRUPTIVE_SIGNALS = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
_LAG_INTERVAL = units.Seconds(0.05)


@dataclasses.dataclass(slots=True)
class RequestOutcome:
    """What a caller saw of one request.

    Attributes:
        kind: Kind of the request.
        daemon: Where it was sent.
        sent_at: Time of the loop.
        ended_at: Time of the loop.
        status: Status of the answer, if its head came.
        body: Body of a whole answer.
        complete: Whether the answer was whole.
        closed: Whether the daemon closed the connection before that.
    """

    kind: str
    daemon: soak_daemon.DaemonProcess
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b""
    complete: bool = False
    connection_closed: bool = False


class SoakCallers:
    """Sends requests, partly over connections that are kept open."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"callers of {seed}")
        self._request_numbers = itertools.count()
        self._outcomes: dict[str, RequestOutcome] = {}
        self._idle_connections: collections.defaultdict[
            soak_daemon.DaemonProcess, list[client.ClientConnection]
        ] = collections.defaultdict(list)
        # Longest time that this process, the measuring one, was late.
        self._max_lag = 0.0

    @property
    def outcomes(self) -> collections.Counter[str]:
        """How many requests ended in which way."""
        return collections.Counter(
            f"{o.kind} {o.status if o.complete else 'cut'}"
            for o in self._outcomes.values()
        )

    async def measure_lag(self) -> None:
        """Measures the lateness of this process until cancelled."""
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
        """Sends one request; `prompt` is the size of a stream's prompt."""
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
        """Returns the promises that were broken, from both ends' view."""
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
            violations.append(f"requests that nobody sent: {unknown_ids}")
        return violations

    def close(self) -> None:
        """Closes the connections that are kept."""
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
            outcome.connection_closed = _is_connection_closed(
                head_result.err_value
            )
            return
        outcome.status = head_result.ok_value.status
        body_result = await connection.read_body(
            _CALLER_TIMEOUT, _MAX_RESPONSE_SIZE
        )
        if isinstance(body_result, result.Err):
            outcome.connection_closed = _is_connection_closed(
                body_result.err_value
            )
            return
        outcome.body = body_result.ok_value
        outcome.complete = True

    def _check_outcome(
        self, attempt_id: str, outcome: RequestOutcome, execution_count: int
    ) -> list[str]:
        violations = []
        if outcome.kind == "unsafe" and execution_count > 1:
            violations.append(f"ran {execution_count} times")
        if (
            outcome.kind == "unsafe"
            and outcome.status in _NOT_EXECUTED_STATUSES
            and execution_count
        ):
            violations.append(f"was refused but ran: {outcome}")
        if self._was_lost_after_forwarding(outcome, execution_count):
            violations.append(f"was passed on and lost: {outcome}")
        time_limit = REQUEST_TIMEOUT + _RESPONSE_SLACK + self._max_lag
        if (
            outcome.ended_at - outcome.sent_at > time_limit
            and not self._daemon_was_disrupted(outcome)
        ):
            violations.append(f"had no answer in time: {outcome}")
        if outcome.status != 200 or not outcome.complete:
            return violations
        if not self._has_expected_body(attempt_id, outcome):
            violations.append(f"has another body: {outcome.body!r}")
        if not execution_count:
            violations.append("succeeded without running")
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
        """Returns whether a daemon closed on a call that a server had.

        Streams are left out: their engines break off in the middle. So are
        calls at daemons that were killed or paused, or whose grace time was
        nearly over.
        """
        if (
            outcome.kind == "stream"
            or not outcome.connection_closed
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
