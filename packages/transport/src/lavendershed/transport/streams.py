"""TCP connections with limits of their reads."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import errors

# Silent connections are noticed after about two seconds, the time in which a
# change of configuration has to be in force.
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2_000


class ReadTimeout:
    """Time limit of reads, with one timer for many reads.

    A stream makes thousands of short reads. Arming and cancelling a timer for
    each of them would cost more than the reads, so that the timer stays armed
    and looks at its expiry whether a read is overdue. After it has ended a
    read, the connection can't be read any more.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._deadline: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, timeout: units.Seconds) -> None:
        """Limits the read that begins now."""
        self._deadline = self._loop.time() + timeout
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._on_timer)

    def stop(self) -> None:
        """Ends the limit of the current read."""
        self._deadline = None

    def cancel(self) -> None:
        """Ends the timer when the connection closes."""
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
        self._reader.set_exception(TimeoutError())


class BufferedReader(asyncio.StreamReader):
    """A stream reader that tells whether bytes wait to be read."""

    @property
    def has_buffered_bytes(self) -> bool:
        """Whether received bytes have not been read."""
        # The base class offers no public way to ask without waiting.
        return bool(self._buffer)  # type: ignore[attr-defined]


async def _connect_socket(
    address: address_module.Address, timeout: units.Seconds
) -> socket.socket:
    """Connects without the loop's own connect, which uses a resolver thread."""
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
            raise OSError(error_number, "connect failed")
        cleanup.pop_all()
    return sock


def _enable_keep_alive(sock: socket.socket) -> None:
    """Makes the kernel end connections whose peer has become unreachable."""
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
