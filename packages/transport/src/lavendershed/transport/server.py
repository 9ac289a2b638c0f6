"""HTTP/1.1 server."""

from __future__ import annotations

import dataclasses
import socket

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import acceptor
from lavendershed.transport import address as address_module
from lavendershed.transport import buffer_budget
from lavendershed.transport import client_memory
from lavendershed.transport import connection_ends
from lavendershed.transport import handlers
from lavendershed.transport import processing_order
from lavendershed.transport import processing_turns
from lavendershed.transport import server_connection

_BACKLOG = 1_024
_MAX_ACCEPTS_PER_TURN = 64
# Part of the allowed connections that is accepted in a turn at most, so that a
# new one is read before a crowd behind it has taken its place.
_ACCEPT_SHARE = 1 / 16
_READ_BYTES = 65_536
_DEFAULT_BUFFER_BYTES = units.Bytes(64_000_000)
_DEFAULT_CLIENT_LIMITS = client_memory.ClientLimits(
    units.Bytes(512_000_000), 65_536
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of an HTTP server.

    Attributes:
        max_body: Maximum request body; larger ones get status 413.
        request_timeout: Time from the first byte of a request to its last.
            A connection that never sends a request is closed after it, too.
        idle_timeout: Time without any byte of a request after which a
            connection is closed; None keeps it open.
        header_timeout: Time from the first byte of a request to the end of
            its head.
    """

    max_body: units.Bytes = units.Bytes(16_000_000)
    request_timeout: units.Seconds = units.Seconds(30.0)
    idle_timeout: units.Seconds | None = None
    header_timeout: units.Seconds = units.Seconds(30.0)


class HttpServer(acceptor.ConnectionFactory):
    """HTTP server that passes complete requests to a handler."""

    def __init__(
        self,
        handler: handlers.Handler,
        timer_service: timers.TimerService,
        limits: ServerLimits,
        buffers: buffer_budget.BufferBudget | None = None,
        observer: connection_ends.ConnectionObserver | None = None,
        memory: client_memory.ClientMemory | None = None,
        turns: processing_turns.ProcessingTurns | None = None,
    ) -> None:
        """Creates a server.

        Args:
            handler: Handles the requests.
            timer_service: Timer service for request and idle timeouts.
            limits: Limits of each connection.
            buffers: Memory for large request bodies of all connections.
            observer: Is told about requests without a complete response.
            memory: Memory and connections of all callers; large limits of its
                own by default.
            turns: Processing time of the input of all listeners; its own by
                default.
        """
        self._handler = handler
        self._observer = observer or connection_ends.IgnoringObserver()
        self._buffers = buffers or buffer_budget.BufferBudget(
            _DEFAULT_BUFFER_BYTES
        )
        self._memory = memory or client_memory.ClientMemory(
            _DEFAULT_CLIENT_LIMITS
        )
        self._turns = turns or processing_turns.ProcessingTurns(timer_service)
        self._flow_group = self._turns.create_group()
        # All reads of callers go through one buffer, which is empty between
        # two callbacks of the loop.
        self._read_buffer = memoryview(bytearray(_READ_BYTES))
        self._timers = timer_service
        self._limits = limits
        self._acceptor: acceptor.Acceptor | None = None
        self._address: address_module.Address | None = None
        self._connections: set[server_connection.ServerConnection] = set()
        self._stopping = False

    @property
    def handler(self) -> handlers.Handler:
        """The request handler."""
        return self._handler

    @property
    def buffers(self) -> buffer_budget.BufferBudget:
        """Memory for large request bodies of all connections."""
        return self._buffers

    @property
    def memory(self) -> client_memory.ClientMemory:
        """Memory and connections of all callers."""
        return self._memory

    @property
    def turns(self) -> processing_turns.ProcessingTurns:
        """Processing time of the input of all listeners."""
        return self._turns

    @property
    def flow_group(self) -> processing_order.FlowGroup:
        """The connections of this listener in the order of processing."""
        return self._flow_group

    @property
    def read_buffer(self) -> memoryview:
        """Where bytes of callers are read to."""
        return self._read_buffer

    @property
    def accepting(self) -> bool:
        """Whether there was room for the last connection."""
        return self._acceptor is None or not self._acceptor.paused

    @property
    def accept_pauses(self) -> int:
        """How often there was no room for another connection."""
        return 0 if self._acceptor is None else self._acceptor.pauses

    @property
    def delayed_inputs(self) -> int:
        """How often input of callers had to wait for its processing."""
        return self._flow_group.delayed

    @property
    def waiting_inputs(self) -> int:
        """Connections whose input waits for its processing now."""
        return len(self._flow_group.waiting)

    @property
    def has_room(self) -> bool:
        """Whether another connection may be accepted now."""
        return self._memory.has_connection(self._timers.now())

    def new_connection(self, host: str) -> server_connection.ServerConnection:
        """Returns the protocol of a connection that was accepted."""
        return server_connection.ServerConnection(self, host)

    @property
    def observer(self) -> connection_ends.ConnectionObserver:
        """Is told about requests without a complete response."""
        return self._observer

    @property
    def timers(self) -> timers.TimerService:
        """The timer service for request and idle timeouts."""
        return self._timers

    @property
    def limits(self) -> ServerLimits:
        """The current limits."""
        return self._limits

    def set_limits(self, limits: ServerLimits) -> None:
        """Replaces the limits of all connections, see `ReceiveDeadline`."""
        if limits == self._limits:
            return
        self._limits = limits
        for connection in self._connections:
            connection.set_limits(limits)

    @property
    def active_connections(self) -> int:
        """Number of connections that have to be completed before a stop.

        These have a request in progress, a response that is not written yet,
        or have been opened just now, so that their request is on the way.
        """
        return sum(connection.active for connection in self._connections)

    @property
    def stopping(self) -> bool:
        """Whether each response says that its connection closes."""
        return self._stopping

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def address(self) -> address_module.Address:
        """The bound address; valid after `start`."""
        assert self._address is not None
        return self._address

    async def start(
        self,
        address: address_module.Address,
        listener: socket.socket | None = None,
    ) -> None:
        """Binds the address and starts to accept connections.

        Args:
            address: The address to bind.
            listener: A socket that listens at this address already, if any.

        Raises:
            OSError: The address can't be bound.
        """
        if listener is None:
            # If given a host, uvloop starts resolver threads even for a numeric
            # address.
            ipv6 = ":" in address.host
            listener = socket.create_server(
                (address.host, address.port),
                family=socket.AF_INET6 if ipv6 else socket.AF_INET,
                backlog=_BACKLOG,
            )
        listener.setblocking(False)
        self._address = address_module.Address(*listener.getsockname()[:2])
        connections = self._memory.limits.connections
        self._acceptor = acceptor.Acceptor(
            listener,
            self,
            self._timers,
            max(
                1, min(_MAX_ACCEPTS_PER_TURN, int(connections * _ACCEPT_SHARE))
            ),
        )
        self._acceptor.start()

    def disable_keep_alive(self) -> None:
        """Adds `connection: close` to each response.

        Callers stop reusing connections before the idle ones are closed, so
        that they don't send a request on a connection that is closing.
        """
        self._stopping = True

    def reject_incomplete_requests(self) -> None:
        """Refuses the requests that are still being received."""
        for connection in tuple(self._connections):
            connection.reject_incomplete_request()

    def close_idle_connections(self) -> None:
        """Closes idle connections, once their sockets have been read.

        Others close after the next response that says so.
        """
        self._stopping = True
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def stop_accepting(self) -> None:
        """Refuses new connections, after those that have been established."""
        if self._acceptor is not None:
            await self._acceptor.drain()

    def close(self) -> None:
        """Stops accepting connections and aborts the open ones."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in tuple(self._connections):
            connection.shut_down()

    def register(self, connection: server_connection.ServerConnection) -> None:
        """Registers a new connection."""
        self._connections.add(connection)

    def unregister(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
