"""HTTP/1.1 server connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import socket
import typing
import urllib.parse

import h11

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import buffer_budget
from lavendershed.transport import connection_ends
from lavendershed.transport import handlers
from lavendershed.transport import headers as header_fields

_BACKLOG = 1_024
# Parts of a request that are processed without a turn of the event loop. A
# caller may send one byte in each of them.
_MAX_EVENTS_PER_TURN = 128
# Bytes that a caller may send while its request is handled; more are not read
# until the response is complete.
_MAX_PIPELINED_BYTES = 65_536
_DEFAULT_BUFFER_BYTES = units.Bytes(64_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of an HTTP server.

    Attributes:
        max_body: Maximum request body; larger ones get status 413.
        request_timeout: Time from the first byte of a request to its last; for
            the first request, from the opening of the connection.
        idle_timeout: Time after which an idle connection is closed; None
            keeps it open.
    """

    max_body: units.Bytes = units.Bytes(16_000_000)
    request_timeout: units.Seconds = units.Seconds(30.0)
    idle_timeout: units.Seconds | None = None


class _ServerConnection(asyncio.Protocol, handlers.Responder):
    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._protocol = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._disconnected = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._request_timer: timers.Timer | None = None
        self._idle_timer: timers.Timer | None = None
        self._disconnect_callback: Callable[[], object] | None = None
        self._started = False
        self._share = server.buffers.share()
        self._pipelined_bytes = 0
        self._reading_paused = False
        self._end: connection_ends.ConnectionEnd | None = None
        self._status: int | None = None
        # Of the request that is received or handled.
        self._received_bytes = 0
        self._received_since = units.Instant(0.0)

    @property
    def started(self) -> bool:
        return self._started

    @property
    def disconnected(self) -> asyncio.Event:
        return self._disconnected

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        return self._task is None and self._request is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop do not derive from asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.register(self)
        self._start_request_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._report_unanswered()
        self._disconnected.set()
        self._writable.set()
        self._cancel_request_timer()
        self._cancel_idle_timer()
        self._server.unregister(self)
        if self._task is None:
            self._share.release()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        self._disconnect_callback = callback
        if callback is not None and self._disconnected.is_set():
            asyncio.get_running_loop().call_soon(callback)

    def data_received(self, data: bytes) -> None:
        self._cancel_idle_timer()
        if not self._received_bytes:
            self._received_since = self._server.timers.now()
        self._received_bytes += len(data)
        if self._task is None and self._request_timer is None:
            self._start_request_timer()
        try:
            self._protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject(400, str(error))
            return
        if self._task is None:
            self._process_events()
            return
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > _MAX_PIPELINED_BYTES:
            self._pause_reading()

    def eof_received(self) -> bool:
        return False

    async def respond(
        self, status: int, body: bytes, headers: handlers.Headers = ()
    ) -> None:
        if body or not self._is_head_request:
            headers += (("content-length", str(len(body))),)
        self.start(status, headers)
        await self.write(body)
        await self.finish()

    def start(self, status: int, headers: handlers.Headers = ()) -> None:
        self._started = True
        self._status = status
        if self._server.stopping:
            headers += (("connection", "close"),)
        self._send(
            h11.Response(
                status_code=status, headers=header_fields.encode(headers)
            )
        )

    async def write(self, data: bytes) -> bool:
        if self._disconnected.is_set():
            return False
        if data and not self._is_head_request:
            self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
        return not self._disconnected.is_set()

    async def finish(self) -> None:
        if not self._disconnected.is_set():
            self._send(h11.EndOfMessage())
            await self._writable.wait()

    def abort(self) -> None:
        self._end = connection_ends.ConnectionEnd.RESPONSE_ABORTED
        if self._transport is not None:
            self._transport.abort()

    def shut_down(self) -> None:
        """Aborts the connection, because the server closes."""
        self._end = self._end or connection_ends.ConnectionEnd.SHUTDOWN
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress."""
        if self.idle and self._transport is not None:
            self._transport.close()

    def _report_unanswered(self) -> None:
        """Reports a request that has been read in part, or not answered."""
        if not self._received_bytes:
            return
        end = self._end
        if end is None:
            end = (
                connection_ends.ConnectionEnd.CALLER_LEFT_SENDING
                if self._task is None
                else connection_ends.ConnectionEnd.CALLER_LEFT
            )
        transport = self._transport
        peername = (
            transport.get_extra_info("peername")
            if transport is not None
            else None
        )
        self._server.observer.on_unanswered(
            connection_ends.UnansweredRequest(
                end,
                ":".join(map(str, peername[:2])) if peername else "",
                self._request.target.decode("latin-1")
                if self._request is not None
                else None,
                self._status,
                units.Bytes(self._received_bytes),
                units.elapsed(self._received_since, self._server.timers.now()),
            )
        )

    @property
    def _is_head_request(self) -> bool:
        """Whether the response must not have a body."""
        return self._request is not None and self._request.method == b"HEAD"

    def _send(self, event: h11.Event) -> None:
        if self._disconnected.is_set() or self._transport is None:
            return
        data = self._protocol.send(event)
        if data:
            self._transport.write(data)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._pipelined_bytes = 0
        if self._transport is not None and self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    def _continue_processing(self) -> None:
        # A request that was rejected in the meantime must not be handled.
        if self._transport is not None and not self._transport.is_closing():
            self._resume_reading()
            self._process_events()

    def _process_events(self) -> None:
        for _ in range(_MAX_EVENTS_PER_TURN):
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                if self._transport is not None:
                    self._transport.abort()
                return
            if isinstance(event, h11.Request):
                self._request = event
                if self._protocol.they_are_waiting_for_100_continue:
                    self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._server.limits.max_body:
                    self._reject(
                        413,
                        "request body exceeds "
                        f"{self._server.limits.max_body} bytes",
                    )
                    return
                if not self._share.resize(len(self._body)):
                    self._reject(503, "memory for requests is used up")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
        self._pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_processing)

    def _dispatch(self) -> None:
        assert self._request is not None
        self._cancel_request_timer()
        target = self._request.target.decode("latin-1")
        path, _, query = target.partition("?")
        request = handlers.ServerRequest(
            self._request.method.decode("latin-1"),
            urllib.parse.unquote(path),
            query,
            header_fields.decode(self._request.headers),
            bytes(self._body),
            target,
        )
        self._body = bytearray()
        self._task = asyncio.get_running_loop().create_task(
            self._handle(request)
        )

    async def _handle(self, request: handlers.ServerRequest) -> None:
        try:
            await self._server.handler.handle(request, self)
        except Exception as error:  # noqa: BLE001
            # Handlers return failures as values, so that an exception is a bug.
            # The caller gets an aborted connection and no wrong response; other
            # requests are not affected.
            self.abort()
            self._end = connection_ends.ConnectionEnd.HANDLER_ERROR
            asyncio.get_running_loop().call_exception_handler(
                {
                    "message": "request handler failed",
                    "exception": error,
                    "place": "handler",
                }
            )
            return
        finally:
            # The handler has kept the body until now.
            self._share.release()
        self._task = None
        self._request = None
        self._started = False
        if self._disconnected.is_set() or self._transport is None:
            return
        # What came with the request belongs to the next one.
        self._received_bytes = len(self._protocol.trailing_data[0])
        self._received_since = self._server.timers.now()
        self._status = None
        reusable = (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )
        if not reusable or self._server.stopping:
            self._end = connection_ends.ConnectionEnd.NOT_READ
            self._transport.close()
            return
        self._protocol.start_next_cycle()
        self._resume_reading()
        self._process_events()
        if self.idle:
            self._start_idle_timer()

    def _reject(
        self,
        status: int,
        detail: str,
        end: connection_ends.ConnectionEnd = (
            connection_ends.ConnectionEnd.REJECTED
        ),
    ) -> None:
        if self._transport is None:
            return
        self._end = end
        if self._task is None and self._protocol.our_state in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            handler = self._server.handler
            body = handler.rejection_body(status, detail)
            headers = [
                ("content-type", handler.rejection_content_type),
                ("content-length", str(len(body))),
                ("connection", "close"),
            ]
            self._status = status
            self._send(h11.Response(status_code=status, headers=headers))
            if not self._is_head_request:
                self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._transport.close()

    def _start_request_timer(self) -> None:
        timer_service = self._server.timers
        when = units.after(
            timer_service.now(), self._server.limits.request_timeout
        )
        self._request_timer = timer_service.schedule_at(
            when, self._on_request_timeout
        )

    def _cancel_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _start_idle_timer(self) -> None:
        timeout = self._server.limits.idle_timeout
        if timeout is not None:
            timer_service = self._server.timers
            self._idle_timer = timer_service.schedule_at(
                units.after(timer_service.now(), timeout), self.close_if_idle
            )

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _on_request_timeout(self) -> None:
        self._request_timer = None
        if self._request is None:
            self._end = connection_ends.ConnectionEnd.HEAD_TIMEOUT
            self.close_if_idle()
            return
        self._reject(
            408,
            "request not received within the time limit",
            connection_ends.ConnectionEnd.REQUEST_TIMEOUT,
        )


class HttpServer:
    """HTTP server that passes complete requests to a handler."""

    def __init__(
        self,
        handler: handlers.Handler,
        timer_service: timers.TimerService,
        limits: ServerLimits,
        buffers: buffer_budget.BufferBudget | None = None,
        observer: connection_ends.ConnectionObserver | None = None,
    ) -> None:
        """Creates a server.

        Args:
            handler: Handles the requests.
            timer_service: Timer service for request and idle timeouts.
            limits: Limits of each connection.
            buffers: Memory for the request bodies of all connections.
            observer: Is told about requests without a complete response.
        """
        self._handler = handler
        self._observer = observer or connection_ends.IgnoringObserver()
        self._buffers = buffers or buffer_budget.BufferBudget(
            _DEFAULT_BUFFER_BYTES
        )
        self._timers = timer_service
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections: set[_ServerConnection] = set()
        self._stopping = False

    @property
    def handler(self) -> handlers.Handler:
        """The request handler."""
        return self._handler

    @property
    def buffers(self) -> buffer_budget.BufferBudget:
        """Memory for the request bodies of all connections."""
        return self._buffers

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
        """Replaces the limits; timers that run keep the previous ones."""
        self._limits = limits

    @property
    def active_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not connection.idle for connection in self._connections)

    @property
    def stopping(self) -> bool:
        """Whether connections close after their current request."""
        return self._stopping

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def address(self) -> address_module.Address:
        """The bound address; valid after `start`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return address_module.Address(host, port)

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
        loop = asyncio.get_running_loop()
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
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), sock=listener, backlog=_BACKLOG
        )

    def disable_keep_alive(self) -> None:
        """Adds `connection: close` to each response.

        Callers stop reusing connections before the idle ones are closed, so
        that they don't send a request on a connection that is closing.
        """
        self._stopping = True

    def close_idle_connections(self) -> None:
        """Closes idle connections now and others after their request."""
        self._stopping = True
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stops accepting connections and aborts the open ones."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.shut_down()

    def register(self, connection: _ServerConnection) -> None:
        """Registers a new connection."""
        self._connections.add(connection)

    def unregister(self, connection: _ServerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
