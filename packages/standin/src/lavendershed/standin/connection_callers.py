"""Callers that use their connections until these end.

A request is sent in parts and its response is read whenever it comes, so that a
response to a request that is still being sent is seen, too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import enum
import itertools
import random
import socket
import typing

import h11

from lavendershed.core import units
from lavendershed.standin import soak_callers
from lavendershed.standin import soak_daemon
from lavendershed.transport import address as address_module

# No route takes longer; callers send it as their deadline.
DEADLINE = units.Seconds(8.0)
MAX_BODY = units.Bytes(300_000)
_OVERSIZED_BODY = units.Bytes(900_000)
_SLOW_BODY = units.Bytes(40_000)
_LARGE_BODY = units.Bytes(250_000)
# Small, so that a caller that reads slowly delays the daemon's writes.
_SLOW_RECEIVE_BUFFER = units.Bytes(8_192)
_CONNECT_TIMEOUT = units.Seconds(3.0)
# Longer than the deadline, a pause of the daemon and a slow reader take.
_RESPONSE_TIMEOUT = units.Seconds(DEADLINE + 6.0)
# Callers use up to this share of a limit. A request that they sent later than
# the second share, since this process was held up, is not held against daemons.
_USED_SHARE = 0.8
_LATE_SHARE = 0.9
_MAX_IDLE_TIME = units.Seconds(5.0)
_MAX_HEAD_PAUSE = units.Seconds(2.0)
_MAX_SENDING_TIME = units.Seconds(5.0)
_PARTS_OF_BODY = 5


class SendingStyle(enum.Enum):
    """How a caller sends a request and reads the response."""

    WHOLE = "whole"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    OVERSIZED = "oversized"
    SLOW_READER = "slow_reader"


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedLimits:
    """Limits of a configuration version, and when it was written."""

    published_at: float
    idle_timeout: units.Seconds
    header_timeout: units.Seconds


class LimitHistory:
    """Limits that daemons may apply, as callers know them."""

    # A daemon that was paused without the store still has earlier limits.
    _MAX_DELAY = units.Seconds(4.0)

    def __init__(self, initial: PublishedLimits) -> None:
        self._published = [initial]

    def add(self, limits: PublishedLimits) -> None:
        """Adds the limits of the next version."""
        self._published.append(limits)

    def _possible(self) -> Iterator[PublishedLimits]:
        since = asyncio.get_running_loop().time() - self._MAX_DELAY
        for limits, successor in itertools.pairwise(self._published):
            if successor.published_at >= since:
                yield limits
        yield self._published[-1]

    @property
    def idle_timeout(self) -> units.Seconds:
        """The shortest idle limit that may be in force."""
        return min(limits.idle_timeout for limits in self._possible())

    @property
    def header_timeout(self) -> units.Seconds:
        """The shortest header limit that may be in force."""
        return min(limits.header_timeout for limits in self._possible())


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and what its caller saw.

    Attributes:
        id: Its `attempt-id`, which is also the end of its path.
        kind: stream, safe or unsafe.
        style: How it was sent.
        daemon: Where it was sent to.
        local_address: The caller's end of the connection.
        request_body: The body.
        reused: Whether the connection had carried a request before.
        idle_s: How long the connection had been idle, in seconds.
        began_at: When its first byte was sent, on the event loop's clock.
        sent_at: When its last byte was sent; None if it was cut before.
        ended_at: When the response was complete or the connection had ended.
        late: Whether the caller exceeded a limit, since it was held up.
        status: Status of the response, if its head was received.
        headers: Headers of the response.
        body: What was received of its body.
        complete: Whether the response was complete.
        connection_ended: Whether the connection ended before that.
        was_reset: Whether it was reset.
    """

    id: str
    kind: str
    style: SendingStyle
    daemon: soak_daemon.DaemonProcess = dataclasses.field(repr=False)
    local_address: str
    request_body: bytes = dataclasses.field(repr=False)
    reused: bool
    idle_s: float
    began_at: float
    sent_at: float | None = None
    ended_at: float = 0.0
    late: bool = False
    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray, repr=False)
    complete: bool = False
    connection_ended: bool = False
    was_reset: bool = False


class CallerConnection(asyncio.Protocol):
    """A connection that records what the daemon sends, and its end."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._ended = asyncio.Event()
        self._responded = asyncio.Event()
        self._local_address = ""

    @property
    def ended(self) -> bool:
        """Whether the daemon has closed or reset the connection."""
        return self._ended.is_set()

    @property
    def local_address(self) -> str:
        """The caller's address, as the daemon logs it."""
        return self._local_address

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return (
            not self.ended
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the address."""
        self._transport = typing.cast(asyncio.Transport, transport)
        host, port = transport.get_extra_info("sockname")[:2]
        self._local_address = f"{host}:{port}"

    def data_received(self, data: bytes) -> None:
        """Records a part of a response."""
        self._http.receive_data(data)
        self._read_events()

    def eof_received(self) -> bool:
        """Notes the end of the connection."""
        self._end(was_reset=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self._end(was_reset=exc is not None)

    def encode(self, head: h11.Request, body: bytes) -> tuple[bytes, bytes]:
        """Returns the encoded head and body of the next request."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        encoded_head = self._http.send(head)
        encoded_body = self._http.send(h11.Data(data=body))
        assert encoded_head is not None
        assert encoded_body is not None
        self._http.send(h11.EndOfMessage())
        return encoded_head, encoded_body

    def begin(self, exchange: Exchange) -> None:
        """Records responses and the end in `exchange` from now on."""
        self._exchange = exchange
        self._responded = asyncio.Event()

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the connection has ended."""
        assert self._transport is not None
        if not self.ended:
            self._transport.write(data)

    async def pause_reading(self, duration: units.Seconds) -> None:
        """Reads nothing for a while."""
        assert self._transport is not None
        self._transport.pause_reading()
        await asyncio.sleep(duration)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    async def wait_for_response(self, timeout: units.Seconds) -> bool:
        """Waits for a whole response or the end; False if neither came."""
        return await self._wait(self._responded, timeout)

    async def wait_for_end(self, timeout: units.Seconds) -> bool:
        """Waits for the end of the connection; False if it stays open."""
        return await self._wait(self._ended, timeout)

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self, event: asyncio.Event, timeout: units.Seconds) -> bool:
        try:
            async with asyncio.timeout(timeout):
                return await event.wait()
        except TimeoutError:
            return False

    def _read_events(self) -> None:
        exchange = self._exchange
        while exchange is not None and not self._responded.is_set():
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                # The connection ended within the response.
                return
            if isinstance(event, h11.Response):
                exchange.status = event.status_code
                exchange.headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                exchange.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                exchange.complete = True
                self._responded.set()
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _end(self, *, was_reset: bool) -> None:
        if self.ended:
            return
        self._ended.set()
        if self._exchange is not None and not self._exchange.complete:
            self._exchange.connection_ended = True
            self._exchange.was_reset = was_reset
        self._responded.set()


class ConnectionCaller:
    """Sends requests one after the other on connections that it keeps."""

    def __init__(
        self,
        name: str,
        generator: random.Random,
        api_key: str,
        limits: LimitHistory,
        exchanges: list[Exchange],
    ) -> None:
        """Creates a caller.

        Args:
            name: Prefix of its request ids.
            generator: Draws kinds, styles and pauses.
            api_key: Its key.
            limits: The limits that it respects.
            exchanges: Where it records its requests.
        """
        self._name = name
        self._random = generator
        self._api_key = api_key
        self._limits = limits
        self._exchanges = exchanges
        self._numbers = itertools.count()

    async def run(
        self, daemons: list[soak_daemon.DaemonProcess], end_time: float
    ) -> None:
        """Sends requests to random daemons until `end_time`."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_time:
            daemon = self._random.choice(daemons)
            reads_slowly = self._random.random() < 0.1
            connection = await _connect(daemon.frontend_address, reads_slowly)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(connection, daemon, reads_slowly, end_time)
            finally:
                connection.close()

    async def _use(
        self,
        connection: CallerConnection,
        daemon: soak_daemon.DaemonProcess,
        reads_slowly: bool,
        end_time: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        idle_s = 0.0
        for number in itertools.count():
            if connection.ended or loop.time() >= end_time:
                return
            exchange = await self._exchange(
                connection, daemon, reads_slowly, number > 0, idle_s
            )
            if exchange.sent_at is None or not connection.reusable:
                return
            limit = _announced_timeout(exchange) or self._limits.idle_timeout
            # For the daemon, the connection may be idle before a caller that
            # reads slowly has the response.
            idle_since = exchange.sent_at if reads_slowly else exchange.ended_at
            longest = limit * _USED_SHARE - (loop.time() - idle_since)
            await connection.wait_for_end(self._idle_time(longest))
            idle_s = loop.time() - idle_since
            if idle_s > limit * _LATE_SHARE:
                return

    def _idle_time(self, longest: float) -> units.Seconds:
        """Returns a pause; half of them are short, as in a burst."""
        bound = min(longest, _MAX_IDLE_TIME)
        if self._random.random() < 0.5:
            bound = min(bound, 0.2)
        return units.Seconds(self._random.uniform(0.0, max(0.0, bound)))

    async def _exchange(
        self,
        connection: CallerConnection,
        daemon: soak_daemon.DaemonProcess,
        reads_slowly: bool,
        reused: bool,
        idle_s: float,
    ) -> Exchange:
        loop = asyncio.get_running_loop()
        kind = self._random.choice(("stream", "safe", "unsafe"))
        style = (
            SendingStyle.SLOW_READER
            if reads_slowly
            else self._random.choices(
                (
                    SendingStyle.WHOLE,
                    SendingStyle.SLOW_HEAD,
                    SendingStyle.SLOW_BODY,
                    SendingStyle.OVERSIZED,
                ),
                (0.7, 0.1, 0.12, 0.08),
            )[0]
        )
        request_id = f"{kind}-{self._name}-{next(self._numbers)}-end"
        body = request_id.encode().rjust(_body_size(style), b".")
        head, encoded_body = connection.encode(
            self._head(request_id, kind, len(body)), body
        )
        exchange = Exchange(
            request_id,
            kind,
            style,
            daemon,
            connection.local_address,
            body,
            reused,
            idle_s,
            loop.time(),
        )
        self._exchanges.append(exchange)
        connection.begin(exchange)
        await self._send(connection, exchange, head, encoded_body)
        if style is SendingStyle.SLOW_READER:
            await connection.pause_reading(
                units.Seconds(self._random.uniform(0.2, 1.0))
            )
        await connection.wait_for_response(_RESPONSE_TIMEOUT)
        exchange.ended_at = loop.time()
        return exchange

    def _head(self, request_id: str, kind: str, size: int) -> h11.Request:
        headers = [
            ("host", soak_callers.HOST),
            ("attempt-id", request_id),
            ("deadline-ms", str(int(DEADLINE * 1_000))),
            ("x-api-key", self._api_key),
            ("content-length", str(size)),
        ]
        if kind == "stream":
            prompt_tokens = self._random.choice((500, 5_000, 100_000))
            headers.append(("token-count", f"{prompt_tokens},300"))
        return h11.Request(
            method="POST", target=f"/{kind}/{request_id}", headers=headers
        )

    async def _send(
        self,
        connection: CallerConnection,
        exchange: Exchange,
        head: bytes,
        body: bytes,
    ) -> None:
        """Sends a request until the connection ends or a response comes."""
        loop = asyncio.get_running_loop()
        header_timeout = self._limits.header_timeout
        for part, pause in self._parts(exchange.style, head, body):
            if pause and await connection.wait_for_response(pause):
                if exchange.style is not SendingStyle.OVERSIZED:
                    return
                if connection.ended:
                    return
            if (
                exchange.style is SendingStyle.SLOW_HEAD
                and loop.time() - exchange.began_at
                > header_timeout * _LATE_SHARE
            ):
                exchange.late = True
            connection.write(part)
        if not connection.ended:
            exchange.sent_at = loop.time()

    def _parts(
        self, style: SendingStyle, head: bytes, body: bytes
    ) -> list[tuple[bytes, units.Seconds]]:
        """Returns the parts of a request, each with the pause before it."""
        match style:
            case SendingStyle.SLOW_HEAD:
                limit = min(
                    self._limits.header_timeout * _USED_SHARE, _MAX_HEAD_PAUSE
                )
                middle = self._random.randrange(1, len(head) - 1)
                pause = units.Seconds(self._random.uniform(0.0, limit))
                return [
                    (head[:middle], units.Seconds(0.0)),
                    (head[middle:] + body, pause),
                ]
            case SendingStyle.SLOW_BODY | SendingStyle.OVERSIZED:
                if style is SendingStyle.OVERSIZED:
                    sending_time = self._random.uniform(0.0, 1.0)
                else:
                    sending_time = min(
                        self._limits.idle_timeout
                        * self._random.uniform(1.1, 1.6),
                        _MAX_SENDING_TIME,
                    )
                pause = units.Seconds(sending_time / _PARTS_OF_BODY)
                size = -(-len(body) // _PARTS_OF_BODY)
                return [
                    (head, units.Seconds(0.0)),
                    *(
                        (body[start : start + size], pause)
                        for start in range(0, len(body), size)
                    ),
                ]
            case _:
                return [(head + body, units.Seconds(0.0))]


def _body_size(style: SendingStyle) -> int:
    """Returns the least size of a body in bytes."""
    return {
        SendingStyle.SLOW_BODY: _SLOW_BODY,
        SendingStyle.OVERSIZED: _OVERSIZED_BODY,
        SendingStyle.SLOW_READER: _LARGE_BODY,
    }.get(style, units.Bytes(0))


def _announced_timeout(exchange: Exchange) -> units.Seconds | None:
    """Returns how long the daemon keeps an idle connection open, if stated."""
    parameter = exchange.headers.get("keep-alive", "")
    name, _, seconds = parameter.partition("=")
    return units.Seconds(float(seconds)) if name == "timeout" else None


async def _connect(
    address: address_module.Address, reads_slowly: bool
) -> CallerConnection | None:
    loop = asyncio.get_running_loop()
    connecting = socket.socket()
    connecting.setblocking(False)
    if reads_slowly:
        connecting.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_RECEIVE_BUFFER
        )
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT):
            await loop.sock_connect(connecting, (address.host, address.port))
            _, connection = await loop.create_connection(
                CallerConnection, sock=connecting
            )
    except OSError:
        # Refused, since the daemon stops or starts, or not in time.
        connecting.close()
        return None
    return connection
