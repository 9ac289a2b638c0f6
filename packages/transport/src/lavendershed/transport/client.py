"""HTTP/1.1 client connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
import contextlib
import dataclasses
import socket
from typing import TypeVar

import h11
import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import errors

_READ_BYTES = 65_536
# Methods whose requests have no body unless they state its length.
_BODILESS = frozenset({"GET", "HEAD", "DELETE"})
# Silent connections are noticed after about two seconds, the time in which a
# change of configuration has to be in force.
_PROBE_SECONDS = 1
_PROBES = 2
_UNACKNOWLEDGED_MS = 2_000

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers; names in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; names in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str | None:
        """Returns the first header with this lower-case name."""
        return next((v for n, v in self.headers if n == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    head: ResponseHead
    body: bytes


class _IdleLimit:
    """Time limit of reads, with one timer for many reads.

    A stream makes thousands of short reads. Arming and cancelling a timer for
    each of them would cost more than the reads, so that the timer stays armed
    and looks at its expiry whether a read is overdue. After it has ended a
    read, the connection can't be read any more.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._limit: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, timeout: units.Seconds) -> None:
        """Limits the read that begins now."""
        self._limit = self._loop.time() + timeout
        if self._timer is not None and self._timer.when() > self._limit:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._limit, self._expire)

    def stop(self) -> None:
        """Ends the limit of the current read."""
        self._limit = None

    def cancel(self) -> None:
        """Ends the timer when the connection closes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self._limit is None:
            return
        if self._loop.time() < self._limit:
            self._timer = self._loop.call_at(self._limit, self._expire)
            return
        self._reader.set_exception(TimeoutError())


class BufferedReader(asyncio.StreamReader):
    """A stream reader that tells whether bytes wait to be read."""

    @property
    def has_buffered_bytes(self) -> bool:
        """Whether received bytes have not been read."""
        # The base class offers no public way to ask without waiting.
        return bool(self._buffer)  # type: ignore[attr-defined]


class ClientConnection:
    """One connection that carries one exchange at a time."""

    def __init__(
        self,
        reader: BufferedReader,
        writer: asyncio.StreamWriter,
        address: address_module.Address,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._address = address
        self._protocol = h11.Connection(h11.CLIENT)
        self._sent = False
        # Whether all received bytes have been taken from the protocol.
        self._drained = False
        self._idle_limit = _IdleLimit(reader)

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection.

        Bytes that follow a complete answer belong to no request, so that the
        connection can't be used again.
        """
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._protocol.trailing_data[0]
            and not self._reader.has_buffered_bytes
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def start_next_exchange(self) -> None:
        """Prepares a reusable connection for the next request."""
        self._protocol.start_next_cycle()
        self._sent = False

    def close(self) -> None:
        """Closes the connection at once."""
        self._idle_limit.cancel()
        self._writer.transport.abort()

    async def send(
        self, head: RequestHead, body: bytes, timeout: units.Seconds
    ) -> result.Result[None, errors.TransportError]:
        """Sends a whole request."""
        given = {name for name, _ in head.headers}
        headers = [
            (name, value)
            for name, value in (
                ("host", str(self._address)),
                ("content-length", str(len(body))),
            )
            if name not in given
            and (
                name != "content-length" or body or head.method not in _BODILESS
            )
        ]
        headers += head.headers
        try:
            data = self._protocol.send(
                h11.Request(
                    method=head.method, target=head.target, headers=headers
                )
            )
            data += self._protocol.send(h11.Data(data=body)) if body else b""
            data += self._protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            return self._failed(errors.TransportErrorKind.PROTOCOL, str(error))
        self._sent = True
        self._writer.write(data)
        return await self._guarded(self._writer.drain(), timeout)

    async def read_head(
        self, timeout: units.Seconds
    ) -> result.Result[ResponseHead, errors.TransportError]:
        """Reads the status line and headers; each read waits `timeout`."""
        while True:
            event = await self._next_event(timeout)
            if isinstance(event, result.Err):
                return event
            if isinstance(event.ok_value, h11.Response):
                response = event.ok_value
                return result.Ok(
                    ResponseHead(
                        response.status_code,
                        tuple(
                            (name.decode("latin-1"), value.decode("latin-1"))
                            for name, value in response.headers
                        ),
                    )
                )
            if not isinstance(event.ok_value, h11.InformationalResponse):
                return self._failed(
                    errors.TransportErrorKind.CONNECTION_LOST,
                    "connection closed before a response",
                )

    async def read_part(
        self, timeout: units.Seconds
    ) -> result.Result[bytes, errors.TransportError]:
        """Reads body bytes that arrived together; empty at the end."""
        if self._protocol.their_state is not h11.SEND_BODY:
            # The end arrived together with the bytes of the last part.
            return result.Ok(b"")
        event = await self._next_event(timeout)
        if isinstance(event, result.Err):
            return event
        if not isinstance(event.ok_value, h11.Data):
            return result.Ok(b"")
        parts = [bytes(event.ok_value.data)]
        # Chunks that are already buffered are taken in the same step.
        while self._protocol.their_state is h11.SEND_BODY:
            try:
                buffered = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return self._failed(
                    errors.TransportErrorKind.PROTOCOL, str(error)
                )
            if not isinstance(buffered, h11.Data):
                self._drained = buffered is h11.NEED_DATA
                break
            parts.append(bytes(buffered.data))
        return result.Ok(b"".join(parts))

    async def read_body(
        self, timeout: units.Seconds, limit: units.Bytes
    ) -> result.Result[bytes, errors.TransportError]:
        """Reads the rest of the body, at most `limit` bytes."""
        parts: list[bytes] = []
        size = 0
        while self._protocol.their_state is h11.SEND_BODY:
            part = await self.read_part(timeout)
            if isinstance(part, result.Err):
                return part
            size += len(part.ok_value)
            if size > limit:
                return self._failed(
                    errors.TransportErrorKind.PROTOCOL,
                    f"response body is larger than {limit} bytes",
                )
            parts.append(part.ok_value)
        return result.Ok(b"".join(parts))

    async def _next_event(
        self, timeout: units.Seconds
    ) -> result.Result[h11.Event, errors.TransportError]:
        while True:
            if self._drained:
                self._drained = False
                data = await self._receive(timeout)
                if isinstance(data, result.Err):
                    return data
                self._protocol.receive_data(data.ok_value)
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    errors.TransportErrorKind.CONNECTION_LOST
                    if self._reader.at_eof()
                    else errors.TransportErrorKind.PROTOCOL
                )
                return self._failed(kind, str(error))
            if event is h11.PAUSED:
                return self._failed(
                    errors.TransportErrorKind.PROTOCOL, "unexpected data"
                )
            if event is not h11.NEED_DATA:
                return result.Ok(event)
            self._drained = True

    async def _receive(
        self, timeout: units.Seconds
    ) -> result.Result[bytes, errors.TransportError]:
        self._idle_limit.start(timeout)
        try:
            return result.Ok(await self._reader.read(_READ_BYTES))
        except TimeoutError:
            return self._idle(timeout)
        except OSError as error:
            return self._failed(
                errors.TransportErrorKind.CONNECTION_LOST, str(error)
            )
        finally:
            self._idle_limit.stop()

    async def _guarded(
        self, operation: Awaitable[T], timeout: units.Seconds
    ) -> result.Result[T, errors.TransportError]:
        try:
            async with asyncio.timeout(timeout):
                return result.Ok(await operation)
        except TimeoutError:
            return self._idle(timeout)
        except OSError as error:
            return self._failed(
                errors.TransportErrorKind.CONNECTION_LOST, str(error)
            )

    def _idle(
        self, timeout: units.Seconds
    ) -> result.Err[errors.TransportError]:
        return self._failed(
            errors.TransportErrorKind.IDLE_TIMEOUT,
            f"no progress for {timeout:.3f} s",
        )

    def _failed(
        self, kind: errors.TransportErrorKind, detail: str
    ) -> result.Err[errors.TransportError]:
        return result.Err(
            errors.TransportError(
                kind, self._sent, f"{self._address}: {detail}"
            )
        )


async def _connect_socket(
    address: address_module.Address, timeout: units.Seconds
) -> socket.socket:
    """Connects without the loop's own connect, which uses a resolver thread."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as unconnected:
        unconnected.callback(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _detect_silence(sock)
        try:
            sock.connect((address.host, address.port))
        except BlockingIOError:
            await _wait_writable(sock, timeout)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, "connect failed")
        unconnected.pop_all()
    return sock


def _detect_silence(sock: socket.socket) -> None:
    """Makes the kernel end connections whose peer has become unreachable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )


async def _wait_writable(sock: socket.socket, timeout: units.Seconds) -> None:
    loop = asyncio.get_running_loop()
    writable = loop.create_future()

    def on_writable() -> None:
        if not writable.done():
            writable.set_result(None)

    loop.add_writer(sock.fileno(), on_writable)
    try:
        async with asyncio.timeout(timeout):
            await writable
    finally:
        loop.remove_writer(sock.fileno())


async def open_streams(
    address: address_module.Address, timeout: units.Seconds
) -> result.Result[
    tuple[BufferedReader, asyncio.StreamWriter], errors.TransportError
]:
    """Opens a plain TCP connection within `timeout` seconds."""
    loop = asyncio.get_running_loop()
    try:
        sock = await _connect_socket(address, timeout)
        reader = BufferedReader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        return result.Ok(
            (reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        )
    except TimeoutError:
        # Unlike a refusal, silence does not show that no process listens.
        return result.Err(
            errors.TransportError(
                errors.TransportErrorKind.IDLE_TIMEOUT,
                False,
                f"{address}: no connection within {timeout:.3f} s",
            )
        )
    except OSError as error:
        return result.Err(
            errors.TransportError(
                errors.TransportErrorKind.CONNECT_FAILED,
                False,
                f"{address}: {error}",
            )
        )


async def connect(
    address: address_module.Address, timeout: units.Seconds
) -> result.Result[ClientConnection, errors.TransportError]:
    """Opens an HTTP connection within `timeout` seconds."""
    opened = await open_streams(address, timeout)
    if isinstance(opened, result.Err):
        return opened
    reader, writer = opened.ok_value
    return result.Ok(ClientConnection(reader, writer, address))
