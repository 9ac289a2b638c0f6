"""TCP connections with read timeouts."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import errors

# Dead connections are detected after about two seconds, the time in which a
# configuration change has to take effect.
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2_000
# Read at once of a stream. A server whose bytes are not read on, because the
# caller does not take them, makes a process hold this and twice the limit of
# the reader.
READ_BYTES = 16_384
_READER_LIMIT_BYTES = 4_096
# Read at once of a body that is kept as a whole, where fewer reads matter more.
# With a low limit, each read would wait until the previous one is consumed.
_BODY_READ_BYTES = 262_144
_BODY_READER_LIMIT_BYTES = 65_536


class ReadTimeout:
    """Timeout of reads that shares one timer between many reads.

    A stream makes thousands of short reads. Arming and cancelling a timer for
    each of them would cost more than the reads, so the timer stays armed and
    checks on expiry whether the current read has timed out. After a timeout the
    connection can't be read any more.
    """

    def __init__(self, reader: BufferedReader) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, timeout: units.Seconds) -> None:
        """Starts the timeout of a read."""
        self._deadline = self._loop.time() + timeout
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._on_timer)

    def stop(self) -> None:
        """Stops the timeout after the read; the timer stays armed."""
        self._deadline = None

    def cancel(self) -> None:
        """Cancels the timer when the connection closes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        self._timer = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._on_timer)
            return
        # A process that was held up finds its timers and the bytes that came in
        # the meantime. The next turn polls the socket, the one after it knows.
        self._loop.call_soon(self._loop.call_soon, self._expire, self._deadline)

    def _expire(self, deadline: float) -> None:
        """Ends the read of this deadline, unless it has something to return."""
        if (
            self._deadline == deadline
            and not self._reader.has_buffered_bytes
            and not self._reader.at_eof()
        ):
            self._reader.set_exception(TimeoutError())


class BufferedReader(asyncio.StreamReader):
    """Stream reader that exposes whether bytes are buffered."""

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        super().__init__(_READER_LIMIT_BYTES, loop)
        self._read_size = READ_BYTES

    @property
    def read_size(self) -> int:
        """Bytes that are read at once."""
        return self._read_size

    def expect_stream(self) -> None:
        """Reads little ahead from now on."""
        self._read_size = READ_BYTES
        self._limit = _READER_LIMIT_BYTES

    def expect_body(self) -> None:
        """Reads the rest of a body that is kept as a whole."""
        self._read_size = _BODY_READ_BYTES
        self._limit = _BODY_READER_LIMIT_BYTES

    @property
    def has_buffered_bytes(self) -> bool:
        """Whether received bytes have not been read yet."""
        # The base class has no public non-blocking check.
        return bool(self._buffer)  # type: ignore[attr-defined]


# All reads go through one buffer, which is empty between two callbacks of the
# loop. The usual protocol allocates 256 KB for each read.
_read_buffer = memoryview(bytearray(_BODY_READ_BYTES))


class _BufferedReaderProtocol(
    asyncio.StreamReaderProtocol, asyncio.BufferedProtocol
):
    """Feeds a reader from the shared buffer."""

    def __init__(
        self, reader: BufferedReader, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(reader, loop=loop)
        self._fed_reader = reader

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are read to."""
        return _read_buffer[: self._fed_reader.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the bytes on to the reader, which copies them."""
        self._fed_reader.feed_data(_read_buffer[:nbytes])


async def _connect_socket(
    address: address_module.Address, timeout: units.Seconds
) -> socket.socket:
    """Returns a connected socket.

    `loop.sock_connect` is not used, since it starts a resolver thread.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as cleanup:
        cleanup.callback(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _enable_keep_alive(sock)
        try:
            sock.connect((address.host, address.port))
        except BlockingIOError:
            await _wait_writable(sock, timeout)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, "connection failed")
        cleanup.pop_all()
    return sock


def _enable_keep_alive(sock: socket.socket) -> None:
    """Enables TCP keep-alive to detect an unreachable peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
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
    """Opens a TCP connection within `timeout` seconds."""
    loop = asyncio.get_running_loop()
    try:
        sock = await _connect_socket(address, timeout)
        reader = BufferedReader(loop)
        protocol = _BufferedReaderProtocol(reader, loop)
        transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
        return result.Ok(
            (reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        )
    except TimeoutError:
        # Unlike a refusal, a timeout does not show that no process listens.
        return result.Err(
            errors.TransportError(
                errors.TransportErrorKind.IDLE_TIMEOUT,
                False,
                f"{address}: not connected within {timeout:.3f} s",
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
