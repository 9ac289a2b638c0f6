"""HTTP/1.1 client connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
import dataclasses
import fcntl
import select
import socket
import struct
import termios
from typing import TypeVar

import h11
import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import buffer_budget
from lavendershed.transport import errors
from lavendershed.transport import headers as header_fields
from lavendershed.transport import streams

# A server that sends more interim responses (1xx) never answers.
_MAX_INTERIM_RESPONSES = 16
# Parts of messages that are processed without a turn of the event loop. A peer
# may send one byte in each of them.
_MAX_EVENTS_PER_TURN = 128
# Methods whose requests have no body unless they state its length.
_METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "DELETE"})
# Other numbers are no statuses of final responses (RFC 9110, section 15), and
# messages of other versions may have another syntax.
_FINAL_STATUSES = range(200, 600)
_HTTP_VERSIONS = frozenset({b"1.0", b"1.1"})
_INT = struct.Struct("i")

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

    @property
    def delimits_body(self) -> bool:
        """Whether the end of the body differs from that of the connection."""
        return (
            self.header("content-length") is not None
            or self.header("transfer-encoding") is not None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    head: ResponseHead
    body: bytes


class ClientConnection:
    """A connection that carries one exchange at a time."""

    def __init__(
        self,
        reader: streams.BufferedReader,
        writer: asyncio.StreamWriter,
        address: address_module.Address,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._address = address
        self._protocol = h11.Connection(h11.CLIENT)
        self._request_sent = False
        # Whether h11 has processed all received bytes.
        self._needs_data = False
        self._events_in_turn = 0
        self._read_timeout = streams.ReadTimeout(reader)

    @property
    def reusable(self) -> bool:
        """Whether another exchange can start on this connection.

        Bytes after a complete response belong to no request, so that the
        connection can't be reused.
        """
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._protocol.trailing_data[0]
            and not self._reader.has_buffered_bytes
            and not self._reader.at_eof()
            and not self._writer.is_closing()
            and not self._has_unread_input
        )

    @property
    def _has_unread_input(self) -> bool:
        """Whether bytes or the end of the connection lie in the socket.

        The event loop has not read them yet if the process was held up.
        """
        own_socket = self._writer.get_extra_info("socket")
        if own_socket is None:
            return False
        poll = select.poll()
        poll.register(own_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def _has_undelivered_request(self) -> bool:
        """Whether a part of the request has not reached the server's host.

        If the server closes its end nevertheless, it has answered without the
        request, or has crashed; both look the same. The kernel acknowledges
        what it has received together with the end of the connection, and
        resets the connection if it then receives more.
        """
        if self._reader.exception() is not None:
            return True
        if self._writer.transport.get_write_buffer_size():
            return True
        own_socket = self._writer.get_extra_info("socket")
        if own_socket is None:
            return False
        if own_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        try:
            unacknowledged = fcntl.ioctl(
                own_socket.fileno(), termios.TIOCOUTQ, _INT.pack(0)
            )
        except OSError:
            # Not every network stack counts them.
            return False
        count: int = _INT.unpack(unacknowledged)[0]
        return count > 0

    def start_next_exchange(self) -> None:
        """Prepares a reusable connection for the next request."""
        self._protocol.start_next_cycle()
        self._reader.expect_stream()
        self._request_sent = False

    def close(self) -> None:
        """Aborts the connection."""
        self._read_timeout.cancel()
        self._writer.transport.abort()

    async def send(
        self, head: RequestHead, body: bytes, timeout: units.Seconds
    ) -> result.Result[None, errors.TransportError]:
        """Sends a complete request."""
        explicit_names = {name for name, _ in head.headers}
        headers = [
            (name, value)
            for name, value in (
                ("host", str(self._address)),
                ("content-length", str(len(body))),
            )
            if name not in explicit_names
            and (
                name != "content-length"
                or body
                or head.method not in _METHODS_WITHOUT_BODY
            )
        ]
        headers += head.headers
        try:
            data = self._protocol.send(
                h11.Request(
                    method=head.method,
                    target=head.target,
                    headers=header_fields.encode(headers),
                )
            )
            data += self._protocol.send(h11.Data(data=body)) if body else b""
            data += self._protocol.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return self._transport_error(
                errors.TransportErrorKind.PROTOCOL, str(error)
            )
        self._request_sent = True
        self._writer.write(data)
        return await self._with_timeout(self._writer.drain(), timeout)

    async def read_head(
        self, timeout: units.Seconds
    ) -> result.Result[ResponseHead, errors.TransportError]:
        """Reads the status line and headers within `timeout` seconds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        for _ in range(_MAX_INTERIM_RESPONSES):
            event = await self._next_event(
                units.Seconds(deadline - loop.time())
            )
            if isinstance(event, result.Err):
                return event
            if isinstance(event.ok_value, h11.Response):
                response = event.ok_value
                if (
                    response.status_code not in _FINAL_STATUSES
                    or response.http_version not in _HTTP_VERSIONS
                ):
                    return self._transport_error(
                        errors.TransportErrorKind.PROTOCOL,
                        f"status {response.status_code:03} of HTTP version "
                        f"{response.http_version.decode()} is none",
                    )
                return result.Ok(
                    ResponseHead(
                        response.status_code,
                        header_fields.decode(response.headers),
                    )
                )
            if not isinstance(event.ok_value, h11.InformationalResponse):
                return self._transport_error(
                    errors.TransportErrorKind.CONNECTION_LOST,
                    "connection closed before the response head",
                )
        return self._transport_error(
            errors.TransportErrorKind.PROTOCOL,
            f"{_MAX_INTERIM_RESPONSES} interim responses without a final one",
        )

    async def read_chunk(
        self, timeout: units.Seconds
    ) -> result.Result[bytes, errors.TransportError]:
        """Returns body bytes within `timeout` seconds; empty at the end."""
        if self._protocol.their_state is not h11.SEND_BODY:
            # The end of the body arrived with the previous chunk.
            return result.Ok(b"")
        event = await self._next_event(timeout)
        if isinstance(event, result.Err):
            return event
        if not isinstance(event.ok_value, h11.Data):
            return result.Ok(b"")
        chunks = [bytes(event.ok_value.data)]
        # Also returns chunks that are already buffered.
        while (
            self._protocol.their_state is h11.SEND_BODY
            and len(chunks) < _MAX_EVENTS_PER_TURN
        ):
            try:
                buffered = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return self._transport_error(
                    errors.TransportErrorKind.PROTOCOL, str(error)
                )
            if not isinstance(buffered, h11.Data):
                self._needs_data = buffered is h11.NEED_DATA
                break
            chunks.append(bytes(buffered.data))
        self._events_in_turn += len(chunks)
        return result.Ok(b"".join(chunks))

    async def read_body(
        self,
        timeout: units.Seconds,
        limit: units.Bytes,
        share: buffer_budget.BufferShare | None = None,
    ) -> result.Result[bytes, errors.TransportError]:
        """Reads the rest of the body, at most `limit` bytes.

        Args:
            timeout: Limit for the whole body, however it arrives.
            limit: Maximum size of the body.
            share: Budget that the body is charged to, if any.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        # Not a list of chunks, since each may hold a single byte.
        body = bytearray()
        self._reader.expect_body()
        while self._protocol.their_state is h11.SEND_BODY:
            chunk = await self.read_chunk(units.Seconds(deadline - loop.time()))
            if isinstance(chunk, result.Err):
                return chunk
            body += chunk.ok_value
            if len(body) > limit:
                return self._transport_error(
                    errors.TransportErrorKind.PROTOCOL,
                    f"response body exceeds {limit} bytes",
                )
            if share is not None and not share.resize(len(body)):
                return self._transport_error(
                    errors.TransportErrorKind.NO_BUFFER,
                    "memory for response bodies is used up",
                )
        return result.Ok(bytes(body))

    async def _next_event(
        self, timeout: units.Seconds
    ) -> result.Result[h11.Event, errors.TransportError]:
        """Returns the next event within `timeout` seconds.

        The limit holds for the event and not for each read, because a server
        may send single bytes of it without end.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        ended = False
        self._events_in_turn += 1
        if self._events_in_turn >= _MAX_EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            if self._needs_data:
                remaining = deadline - loop.time()
                if remaining <= 0:
                    return self._idle_timeout_error(timeout)
                self._needs_data = False
                received = await self._receive(units.Seconds(remaining))
                if isinstance(received, result.Err):
                    return received
                ended = not received.ok_value
                self._protocol.receive_data(received.ok_value)
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    errors.TransportErrorKind.CONNECTION_LOST
                    if self._reader.at_eof()
                    else errors.TransportErrorKind.PROTOCOL
                )
                return self._transport_error(kind, str(error))
            if event is h11.PAUSED:
                return self._transport_error(
                    errors.TransportErrorKind.PROTOCOL,
                    "unexpected data after the response",
                )
            if (
                ended
                and isinstance(event, h11.EndOfMessage)
                and self._has_undelivered_request
            ):
                return self._transport_error(
                    errors.TransportErrorKind.CONNECTION_LOST,
                    "response without a length ended before the server had "
                    "received the whole request",
                )
            if event is not h11.NEED_DATA:
                return result.Ok(event)
            self._needs_data = True

    async def _receive(
        self, timeout: units.Seconds
    ) -> result.Result[bytes, errors.TransportError]:
        if self._reader.has_buffered_bytes:
            # The read would not suspend, and a peer may send without end.
            await asyncio.sleep(0)
        self._read_timeout.start(timeout)
        try:
            return result.Ok(await self._reader.read(self._reader.read_size))
        except TimeoutError:
            return self._idle_timeout_error(timeout)
        except OSError as error:
            return self._transport_error(
                errors.TransportErrorKind.CONNECTION_LOST, str(error)
            )
        finally:
            self._read_timeout.stop()

    async def _with_timeout(
        self, operation: Awaitable[T], timeout: units.Seconds
    ) -> result.Result[T, errors.TransportError]:
        try:
            async with asyncio.timeout(timeout):
                return result.Ok(await operation)
        except TimeoutError:
            return self._idle_timeout_error(timeout)
        except OSError as error:
            return self._transport_error(
                errors.TransportErrorKind.CONNECTION_LOST, str(error)
            )

    def _idle_timeout_error(
        self, timeout: units.Seconds
    ) -> result.Err[errors.TransportError]:
        return self._transport_error(
            errors.TransportErrorKind.IDLE_TIMEOUT,
            f"no complete message part within {timeout:.3f} s",
        )

    def _transport_error(
        self, kind: errors.TransportErrorKind, detail: str
    ) -> result.Err[errors.TransportError]:
        return result.Err(
            errors.TransportError(
                kind, self._request_sent, f"{self._address}: {detail}"
            )
        )


async def connect(
    address: address_module.Address, timeout: units.Seconds
) -> result.Result[ClientConnection, errors.TransportError]:
    """Opens an HTTP connection within `timeout` seconds."""
    opened = await streams.open_streams(address, timeout)
    if isinstance(opened, result.Err):
        return opened
    reader, writer = opened.ok_value
    return result.Ok(ClientConnection(reader, writer, address))
