"""Pool of HTTP client connections to one address."""

from __future__ import annotations

import contextlib
import dataclasses

import result

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import client
from lavendershed.transport import errors

DEFAULT_MAX_BODY_BYTES = units.Bytes(4_000_000)


# A large body arrives in many reads, each of which may be slow.
_BODY_TIMEOUT_FACTOR = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of one pool.

    Attributes:
        connect_timeout: Time limit for opening a connection.
        idle_timeout: Time without received bytes after which an exchange
            fails, and idle time after which a pooled connection is closed. A
            dead connection looks like an idle one, so that no connection is
            reused after this time.
        max_idle: Maximum number of idle connections.
    """

    connect_timeout: units.Seconds = units.Seconds(1.0)
    idle_timeout: units.Seconds = units.Seconds(2.0)
    max_idle: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: client.ClientConnection
    idle_since: units.Instant


class ConnectionPool:
    """Pool of connections to one address."""

    def __init__(
        self,
        address: address_module.Address,
        timer_service: timers.TimerService,
        limits: PoolLimits,
    ) -> None:
        self._address = address
        self._timers = timer_service
        self._limits = limits
        self._idle: list[_IdleConnection] = []

    @property
    def address(self) -> address_module.Address:
        """The address that the pool connects to."""
        return self._address

    @property
    def limits(self) -> PoolLimits:
        """The limits of this pool."""
        return self._limits

    async def acquire(
        self, *, new_connection: bool = False
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        """Returns an idle connection, or a new one if there is none.

        Args:
            new_connection: Whether to open a new connection in any case.
        """
        self._close_stale()
        while self._idle and not new_connection:
            candidate = self._idle.pop().connection
            if candidate.reusable:
                candidate.start_next_exchange()
                return result.Ok(candidate)
            candidate.close()
        return await client.connect(self._address, self._limits.connect_timeout)

    def release(self, connection: client.ClientConnection) -> None:
        """Returns a connection to the pool after its exchange."""
        if connection.reusable and len(self._idle) < self._limits.max_idle:
            self._idle.append(_IdleConnection(connection, self._timers.now()))
            return
        connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()

    async def exchange(
        self,
        head: client.RequestHead,
        body: bytes = b"",
        *,
        new_connection: bool = False,
        timeout: units.Seconds | None = None,
        send_before: units.Instant | None = None,
        max_body: units.Bytes = DEFAULT_MAX_BODY_BYTES,
    ) -> result.Result[client.Response, errors.TransportError]:
        """Sends one request and reads the complete response.

        Args:
            head: Request line and headers.
            body: Complete request body.
            new_connection: Whether to use a new connection, which is closed
                after this exchange.
            timeout: Limit for sending the request and for the response head;
                the idle timeout of the pool if None. The response body may
                take a multiple of it.
            send_before: Time from which the request is no longer sent.
            max_body: Maximum size of the response body.
        """
        acquired = await self.acquire(new_connection=new_connection)
        if isinstance(acquired, result.Err):
            return acquired
        connection = acquired.ok_value
        # Checked after connecting, immediately before the request is sent.
        if send_before is not None and self._timers.now() >= send_before:
            connection.close()
            return result.Err(
                errors.TransportError(
                    errors.TransportErrorKind.TOO_LATE,
                    False,
                    f"{self._address}: connected after the send deadline",
                )
            )
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(connection.close)
            response = await self._exchange_on(
                connection,
                head,
                body,
                self._limits.idle_timeout if timeout is None else timeout,
                max_body,
            )
            if isinstance(response, result.Ok) and not new_connection:
                cleanup.pop_all()
                self.release(connection)
        return response

    async def _exchange_on(
        self,
        connection: client.ClientConnection,
        head: client.RequestHead,
        body: bytes,
        timeout: units.Seconds,
        max_body: units.Bytes,
    ) -> result.Result[client.Response, errors.TransportError]:
        sent = await connection.send(head, body, timeout)
        if isinstance(sent, result.Err):
            return sent
        response_head = await connection.read_head(timeout)
        if isinstance(response_head, result.Err):
            return response_head
        response_body = await connection.read_body(
            units.Seconds(timeout * _BODY_TIMEOUT_FACTOR), max_body
        )
        if isinstance(response_body, result.Err):
            return response_body
        return result.Ok(
            client.Response(response_head.ok_value, response_body.ok_value)
        )

    def _close_stale(self) -> None:
        now = self._timers.now()
        stale = [
            idle
            for idle in self._idle
            if units.elapsed(idle.idle_since, now) > self._limits.idle_timeout
        ]
        for idle in stale:
            idle.connection.close()
            self._idle.remove(idle)
