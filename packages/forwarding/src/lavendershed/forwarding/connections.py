"""Connections to backend servers, kept between requests."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.core import addresses
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import errors

# A server that is up answers a connection attempt within a round trip of at
# most 20 ms; a lost packet costs a second, in which another server is faster.
_CONNECT_TIMEOUT = units.Seconds(0.3)
# Servers close idle connections after the time that they announce. A request
# that meets the close can't be told from one that ran.
_USED_SHARE_OF_IDLE_LIMIT = 0.6
_MAX_IDLE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: client.ClientConnection
    until: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A connection for one exchange.

    Attributes:
        connection: The connection.
        reused: Whether it has carried an exchange before.
    """

    connection: client.ClientConnection
    reused: bool


class ServerConnections:
    """Idle connections by server address."""

    def __init__(self, timer_service: timers.TimerService) -> None:
        self._timers = timer_service
        self._idle: dict[addresses.Address, list[_Idle]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections that were opened so far."""
        return self._opened

    async def acquire(
        self,
        address: addresses.Address,
        *,
        fresh: bool,
        timeout: units.Seconds = _CONNECT_TIMEOUT,
    ) -> result.Result[Lease, errors.TransportError]:
        """Returns a connection that nobody else uses.

        Args:
            address: The server's address.
            fresh: Whether to open a new connection in any case.
            timeout: Longest time for opening one.
        """
        now = self._timers.now()
        kept = self._idle.get(address, [])
        while kept and not fresh:
            candidate = kept.pop()
            if candidate.until > now and candidate.connection.reusable:
                candidate.connection.start_next_exchange()
                return result.Ok(Lease(candidate.connection, True))
            candidate.connection.close()
        self._opened += 1
        opened = await client.connect(address, timeout)
        return opened.map(lambda connection: Lease(connection, False))

    def release(
        self,
        address: addresses.Address,
        connection: client.ClientConnection,
        idle_limit: units.Seconds | None,
    ) -> None:
        """Keeps a connection whose exchange has ended, if it can be reused."""
        kept = self._idle.setdefault(address, [])
        if (
            idle_limit is None
            or not connection.reusable
            or len(kept) >= _MAX_IDLE
        ):
            connection.close()
            return
        usable = units.Seconds(idle_limit * _USED_SHARE_OF_IDLE_LIMIT)
        until = units.after(self._timers.now(), usable)
        kept.append(_Idle(connection, until))

    def discard(self, address: addresses.Address) -> None:
        """Closes the idle connections to a server that failed or left."""
        for idle in self._idle.pop(address, []):
            idle.connection.close()

    def expire(self) -> None:
        """Closes connections that are not to be used any more."""
        now = self._timers.now()
        for address, kept in list(self._idle.items()):
            usable = [idle for idle in kept if idle.until > now]
            for idle in kept:
                if idle.until <= now:
                    idle.connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.discard(address)
