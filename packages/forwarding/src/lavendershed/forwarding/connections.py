"""Connection pool for backend servers."""

from __future__ import annotations

import abc
import dataclasses
import enum

import result

from lavendershed.core import addresses
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import errors

# A running server accepts a connection within a round trip of at most 20 ms. A
# lost SYN is retransmitted after a second; another server is faster by then.
_CONNECT_TIMEOUT = units.Seconds(0.3)
# Servers close idle connections after the timeout that they announce. If a
# request races with the close, it is unknown whether the request ran, so idle
# connections are reused only within this fraction of the timeout.
_KEEP_ALIVE_TIMEOUT_FRACTION = 0.6
_MAX_IDLE_PER_SERVER = 8
# A probe is not repeated by TCP before it times out.
_PROBE_TIMEOUT = units.Seconds(0.2)


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: client.ClientConnection
    expires_at: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLease:
    """A connection acquired for one exchange.

    Attributes:
        connection: The connection.
        reused: Whether it was used for an earlier exchange.
    """

    connection: client.ClientConnection
    reused: bool


class Connector(abc.ABC):
    """Opens connections to backend servers."""

    @abc.abstractmethod
    async def connect(
        self, address: addresses.Address, timeout: units.Seconds
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        """Opens a connection within `timeout` seconds."""


class ConnectionListener(abc.ABC):
    """Is told which servers accept connections."""

    @abc.abstractmethod
    def on_connected(self, address: addresses.Address) -> None:
        """A server has accepted a connection."""

    @abc.abstractmethod
    def on_connect_failed(self, address: addresses.Address) -> None:
        """A server has refused a connection or did not answer."""


class ProbeResult(enum.Enum):
    """What a server did with a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"


class TcpConnector(Connector):
    """Opens TCP connections."""

    async def connect(
        self, address: addresses.Address, timeout: units.Seconds
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        """Opens a connection within `timeout` seconds."""
        return await client.connect(address, timeout)


class BackendConnectionPool:
    """Pool of idle connections by server address."""

    def __init__(
        self, timer_service: timers.TimerService, connector: Connector
    ) -> None:
        self._timers = timer_service
        self._connector = connector
        self._idle: dict[addresses.Address, list[_IdleConnection]] = {}
        self._opened_count = 0
        self._listeners: list[ConnectionListener] = []

    @property
    def opened_count(self) -> int:
        """Number of connections opened so far."""
        return self._opened_count

    def subscribe(self, listener: ConnectionListener) -> None:
        """Tells `listener` the result of each new connection."""
        self._listeners.append(listener)

    async def probe(self, address: addresses.Address) -> ProbeResult:
        """Opens a connection to a server and closes it again."""
        opened = await self._open(address, _PROBE_TIMEOUT)
        if isinstance(opened, result.Ok):
            opened.ok_value.close()
            return ProbeResult.ACCEPTED
        if opened.err_value.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
            return ProbeResult.TIMED_OUT
        return ProbeResult.REFUSED

    async def acquire(
        self,
        address: addresses.Address,
        *,
        new_connection: bool,
        timeout: units.Seconds = _CONNECT_TIMEOUT,
    ) -> result.Result[ConnectionLease, errors.TransportError]:
        """Returns a connection for exclusive use.

        Args:
            address: The server's address.
            new_connection: Whether to open a new connection in any case.
            timeout: Limit for opening a connection.
        """
        now = self._timers.now()
        idle_connections = self._idle.get(address, [])
        while idle_connections and not new_connection:
            candidate = idle_connections.pop()
            if candidate.expires_at > now and candidate.connection.reusable:
                candidate.connection.start_next_exchange()
                return result.Ok(ConnectionLease(candidate.connection, True))
            candidate.connection.close()
        opened = await self._open(address, timeout)
        return opened.map(lambda connection: ConnectionLease(connection, False))

    async def _open(
        self, address: addresses.Address, timeout: units.Seconds
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        self._opened_count += 1
        opened = await self._connector.connect(address, timeout)
        for listener in self._listeners:
            if isinstance(opened, result.Ok):
                listener.on_connected(address)
            else:
                listener.on_connect_failed(address)
        return opened

    def release(
        self,
        address: addresses.Address,
        connection: client.ClientConnection,
        keep_alive_timeout: units.Seconds | None,
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        idle_connections = self._idle.setdefault(address, [])
        if (
            keep_alive_timeout is None
            or not connection.reusable
            or len(idle_connections) >= _MAX_IDLE_PER_SERVER
        ):
            connection.close()
            return
        reuse_period = units.Seconds(
            keep_alive_timeout * _KEEP_ALIVE_TIMEOUT_FRACTION
        )
        expires_at = units.after(self._timers.now(), reuse_period)
        idle_connections.append(_IdleConnection(connection, expires_at))

    def discard(self, address: addresses.Address) -> None:
        """Closes the idle connections to a failed or removed server."""
        for idle in self._idle.pop(address, []):
            idle.connection.close()

    def expire(self) -> None:
        """Closes idle connections that have expired."""
        now = self._timers.now()
        for address, idle_connections in list(self._idle.items()):
            usable = [
                idle for idle in idle_connections if idle.expires_at > now
            ]
            for idle in idle_connections:
                if idle.expires_at <= now:
                    idle.connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.discard(address)
