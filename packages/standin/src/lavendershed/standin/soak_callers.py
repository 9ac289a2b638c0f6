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
EVENTS = 6
# Time that callers wait, and the limit of the routes.
PATIENCE = units.Seconds(4.0)
# A final answer may come this much after the limit.
_ANSWER_SLACK = units.Seconds(0.5)
# Callers notice an answer that is too late only if they wait longer.
_CALLER_WAIT = units.Seconds(PATIENCE + 2.0)
_MAX_ANSWER = units.Bytes(1_000_000)
# Part of the requests that go over a connection which is kept open.
_KEPT_SHARE = 0.6
# Engines may still be at work in this last part of the grace time.
_LAST_PART = 1 / 6
# Answers that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
_DISTURBANCES = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
_LAG_INTERVAL = units.Seconds(0.05)


@dataclasses.dataclass(slots=True)
class Outcome:
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
    closed: bool = False


class SoakCallers:
    """Sends requests, partly over connections that are kept open."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"callers of {seed}")
        self._numbers = itertools.count()
        self._outcomes: dict[str, Outcome] = {}
        self._kept: collections.defaultdict[
            soak_daemon.DaemonProcess, list[client.ClientConnection]
        ] = collections.defaultdict(list)
        # Longest time that this process, the measuring one, was late.
        self._lag = 0.0

    @property
    def outcomes(self) -> collections.Counter[str]:
        """How many requests ended in which way."""
        return collections.Counter(
            f"{o.kind} {o.status if o.complete else 'cut'}"
            for o in self._outcomes.values()
        )

    async def watch_lag(self) -> None:
        """Measures the lateness of this process until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _LAG_INTERVAL
            await asyncio.sleep(_LAG_INTERVAL)
            self._lag = max(self._lag, loop.time() - due)

    async def request(
        self,
        kind: str,
        daemon: soak_daemon.DaemonProcess,
        key: str,
        prompt: int,
    ) -> Outcome:
        """Sends one request; `prompt` is the size of a stream's prompt."""
        loop = asyncio.get_running_loop()
        identity = f"{kind}-{next(self._numbers)}"
        headers = [
            ("host", HOST),
            ("attempt-id", identity),
            ("deadline-ms", str(int(PATIENCE * 1_000))),
            ("x-api-key", key),
        ]
        if kind == "stream":
            headers.append(("token-count", f"{prompt},300"))
        head = client.RequestHead("POST", f"/{kind}/x", tuple(headers))
        outcome = Outcome(kind, daemon, loop.time())
        self._outcomes[identity] = outcome
        keep = self._random.random() < _KEPT_SHARE
        connection = await self._connect(daemon, keep)
        if connection is None:
            outcome.ended_at = loop.time()
            return outcome
        try:
            await self._exchange(connection, head, identity.encode(), outcome)
        finally:
            outcome.ended_at = loop.time()
            if keep and outcome.complete and connection.reusable:
                self._kept[daemon].append(connection)
            else:
                connection.close()
        return outcome

    def problems(
        self,
        engines: Iterable[platform_engine.StandinPlatformEngine],
    ) -> list[str]:
        """Returns the promises that were broken, from both ends' view."""
        ran = collections.Counter(
            arrival.headers.get("attempt-id", "")
            for engine in engines
            for arrival in engine.ran
        )
        found = [
            f"request {identity} {problem}"
            for identity, outcome in self._outcomes.items()
            for problem in self._judge(identity, outcome, ran[identity])
        ]
        unknown = set(ran) - set(self._outcomes)
        if unknown:
            found.append(f"requests that nobody sent: {unknown}")
        return found

    def close(self) -> None:
        """Closes the connections that are kept."""
        for connection in itertools.chain.from_iterable(self._kept.values()):
            connection.close()

    async def _connect(
        self, daemon: soak_daemon.DaemonProcess, keep: bool
    ) -> client.ClientConnection | None:
        kept = self._kept[daemon]
        while keep and kept:
            connection = kept.pop()
            if connection.reusable:
                connection.start_next_exchange()
                return connection
            connection.close()
        connected = await client.connect(daemon.callers, PATIENCE)
        return connected.ok_value if isinstance(connected, result.Ok) else None

    async def _exchange(
        self,
        connection: client.ClientConnection,
        head: client.RequestHead,
        body: bytes,
        outcome: Outcome,
    ) -> None:
        await connection.send(head, body, _CALLER_WAIT)
        answered = await connection.read_head(_CALLER_WAIT)
        if isinstance(answered, result.Err):
            outcome.closed = _closed(answered.err_value)
            return
        outcome.status = answered.ok_value.status
        content = await connection.read_body(_CALLER_WAIT, _MAX_ANSWER)
        if isinstance(content, result.Err):
            outcome.closed = _closed(content.err_value)
            return
        outcome.body = content.ok_value
        outcome.complete = True

    def _judge(self, identity: str, outcome: Outcome, runs: int) -> list[str]:
        found = []
        if outcome.kind == "unsafe" and runs > 1:
            found.append(f"ran {runs} times")
        if outcome.kind == "unsafe" and outcome.status in _PROMISES and runs:
            found.append(f"was refused but ran: {outcome}")
        if self._lost(outcome, runs):
            found.append(f"was passed on and lost: {outcome}")
        limit = PATIENCE + _ANSWER_SLACK + self._lag
        if outcome.ended_at - outcome.sent_at > limit and not self._disturbed(
            outcome
        ):
            found.append(f"had no answer in time: {outcome}")
        if outcome.status != 200 or not outcome.complete:
            return found
        if not self._whole(identity, outcome):
            found.append(f"has another body: {outcome.body!r}")
        if not runs:
            found.append("succeeded without running")
        return found

    def _whole(self, identity: str, outcome: Outcome) -> bool:
        if outcome.kind != "stream":
            return outcome.body.endswith(identity.encode())
        return outcome.body == b"".join(
            b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
        )

    def _lost(self, outcome: Outcome, runs: int) -> bool:
        """Returns whether a daemon closed on a call that a server had.

        Streams are left out: their engines break off in the middle. So are
        calls at daemons that were killed or paused, or whose grace time was
        nearly over.
        """
        if outcome.kind == "stream" or not outcome.closed or not runs:
            return False
        grace = soak_daemon.GRACE
        return not self._disturbed(outcome) and not outcome.daemon.signalled(
            (signal.SIGTERM,),
            outcome.ended_at - grace - _ANSWER_SLACK,
            outcome.ended_at - grace * (1 - _LAST_PART),
        )

    def _disturbed(self, outcome: Outcome) -> bool:
        return outcome.daemon.signalled(
            _DISTURBANCES,
            outcome.sent_at - PATIENCE,
            outcome.ended_at,
        )


def _closed(error: errors.TransportError) -> bool:
    return error.kind is not errors.TransportErrorKind.IDLE_TIMEOUT
