"""Accepts connections as long as there is room for them."""

from __future__ import annotations

import abc
import asyncio
import errno
import socket

from lavendershed.core import timers
from lavendershed.core import units

# Time until the listener is looked at again after there was no room.
_RETRY_INTERVAL = units.Seconds(0.05)
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionFactory(abc.ABC):
    """Decides about new connections and creates their protocols."""

    @property
    @abc.abstractmethod
    def has_room(self) -> bool:
        """Whether another connection may be accepted now."""

    @abc.abstractmethod
    def new_connection(self, host: str) -> asyncio.BaseProtocol:
        """Returns the protocol of a connection that was accepted."""


class Acceptor:
    """Accepts the connections of one listener.

    Without room it stops to accept, and callers wait in the queue of the
    kernel. It goes on by itself once there is room.
    """

    def __init__(
        self,
        listener: socket.socket,
        factory: ConnectionFactory,
        timer_service: timers.TimerService,
        per_turn: int,
    ) -> None:
        """Creates an acceptor that is not started.

        Args:
            listener: A socket that listens and does not block.
            factory: Creates the connections.
            timer_service: Timers.
            per_turn: Connections that are accepted in a turn of the loop.
        """
        self._listener = listener
        self._factory = factory
        self._timers = timer_service
        self._per_turn = per_turn
        self._loop = asyncio.get_running_loop()
        self._retry: timers.Timer | None = None
        self._setups: set[asyncio.Task[None]] = set()
        self._pauses = 0

    @property
    def paused(self) -> bool:
        """Whether there was no room for another connection."""
        return self._retry is not None

    @property
    def pauses(self) -> int:
        """How often there was no room, since the start."""
        return self._pauses

    def start(self) -> None:
        """Begins to accept."""
        self._loop.add_reader(self._listener.fileno(), self._accept_some)

    async def drain(self) -> None:
        """Accepts what the kernel has established, and closes the listener.

        The kernel establishes connections on its own, and resets them when
        their listening socket closes, although requests may lie in them.
        """
        if self._listener.fileno() < 0:
            return
        self._stop()
        while self._factory.has_room and self._accept():
            pass
        self._listener.close()
        if self._setups:
            await asyncio.wait(tuple(self._setups))

    def close(self) -> None:
        """Closes the listener and drops connections that are not set up."""
        if self._listener.fileno() >= 0:
            self._stop()
            self._listener.close()
        for setup in self._setups:
            setup.cancel()

    def _stop(self) -> None:
        self._loop.remove_reader(self._listener.fileno())
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _accept_some(self) -> None:
        for _ in range(self._per_turn):
            if not self._factory.has_room:
                self._pause()
                return
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accepts one connection; returns False if there is none."""
        try:
            connection, address = self._listener.accept()
        except ConnectionAbortedError:
            return True
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR:
                raise
            self._pause()
            return False
        connection.setblocking(False)
        protocol = self._factory.new_connection(address[0])
        setup = self._loop.create_task(self._set_up(connection, protocol))
        self._setups.add(setup)
        setup.add_done_callback(self._setups.discard)
        return True

    async def _set_up(
        self, connection: socket.socket, protocol: asyncio.BaseProtocol
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, connection
            )
        except (OSError, asyncio.CancelledError) as error:
            connection.close()
            protocol.connection_lost(
                error if isinstance(error, OSError) else None
            )

    def _pause(self) -> None:
        if self._retry is not None or self._listener.fileno() < 0:
            return
        self._pauses += 1
        self._loop.remove_reader(self._listener.fileno())
        self._retry = self._timers.schedule_at(
            units.after(self._timers.now(), _RETRY_INTERVAL), self._resume
        )

    def _resume(self) -> None:
        self._retry = None
        self.start()
