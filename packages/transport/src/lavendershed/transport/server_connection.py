"""Connections of callers to an HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import typing
import urllib.parse

import h11

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.transport import client_memory
from lavendershed.transport import connection_ends
from lavendershed.transport import handlers
from lavendershed.transport import headers as header_fields
from lavendershed.transport import processing_order
from lavendershed.transport import processing_turns
from lavendershed.transport import receive_deadline
from lavendershed.transport import request_body
from lavendershed.transport import streams

if typing.TYPE_CHECKING:
    from lavendershed.transport import server as server_module

# Parts of a request that are processed in a turn of the event loop at most, as
# the clock may stand still. A caller may send one byte in each of them.
_MAX_EVENTS_PER_TURN = 128
# Maximum size of a request line with its headers.
MAX_HEAD = units.Bytes(16_384)
# Bytes that a caller may send while its request is handled; more are not read
# until the response is complete. They are a part of what a request that is
# handled is charged.
_MAX_PIPELINED_BYTES = 8_192
# Read at once where a body is not awaited: the largest head, and what may come
# beside a request that is handled.
_HEAD_READ_BYTES = 16_384
_PIPELINED_READ_BYTES = 8_192
# Small chunks in a read of this size take about a millisecond to merge.
_CHUNKED_READ_BYTES = 8_192
# The head of a request that is not larger is not measured by itself.
_SMALL_REQUEST_BYTES = 4_096
# Objects of one decoded header.
_HEADER_BYTES = 400
# A body that is handled is also held by the connection to its server.
_HANDLED_BODY_COPIES = 2
# Bytes of a response that are a part of what a handled request is charged.
_FREE_UNSENT_BYTES = 16_384
# What a handler that waits for its caller has read from its server and not
# passed on, beside its own charge: the last read in three forms, and a part of
# an event.
_SOURCE_BYTES = 3 * streams.READ_BYTES + 65_536
# After the last response, bytes of the caller are read and dropped for this
# time. A socket that is closed with unread bytes is reset, and the caller can
# lose the response.
_MAX_LINGER_TIME = units.Seconds(2.0)
# A caller that takes no byte of its response for this time has stopped reading.
# Its memory, and the server that the response comes from, are needed by others.
_MAX_WRITE_STALL = units.Seconds(30.0)
# Callers count the announced time from when they receive a response.
_KEEP_ALIVE_MARGIN = units.Seconds(0.5)
# The first request on a new connection is expected within this time.
_FIRST_REQUEST_TIME = units.Seconds(0.25)
_INTERNAL_ERROR_STATUS = 500

# States of our side of the connection once a response is complete.
_COMPLETE_STATES = (h11.DONE, h11.MUST_CLOSE)

_Phase = receive_deadline.ReceivePhase
_End = connection_ends.ConnectionEnd
_Standing = client_memory.Standing
_NO_MEMORY = "memory for requests is used up, the request has not run"


def _head_bytes(request: h11.Request, received_bytes: int) -> int:
    """Returns what a decoded head holds.

    Args:
        request: The head.
        received_bytes: Bytes of the request so far, its body included.
    """
    size = (
        received_bytes
        if received_bytes <= _SMALL_REQUEST_BYTES
        else len(request.target)
        + sum(len(name) + len(value) for name, value in request.headers)
    )
    return size + _HEADER_BYTES * len(request.headers)


class ServerConnection(
    asyncio.BufferedProtocol,
    handlers.Responder,
    client_memory.Holder,
    processing_order.Processor,
):
    """Reads the requests of one connection and sends the responses."""

    def __init__(
        self, server: server_module.HttpServer, host: str = ""
    ) -> None:
        """Creates a connection that is not established yet.

        Args:
            server: The server, whose memory has room for a connection.
            host: Host of the caller.

        Raises:
            RuntimeError: There is no room for another connection.
        """
        now = server.timers.now()
        account = server.memory.open(self, host, now)
        if account is None:
            raise RuntimeError("a connection was accepted without room for it")
        self._account = account
        self._server = server
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD
        )
        self._transport: asyncio.Transport | None = None
        self._disconnected = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._request: h11.Request | None = None
        self._body = request_body.RequestBody(server.buffers)
        self._task: asyncio.Task[None] | None = None
        self._deadline = receive_deadline.ReceiveDeadline(
            server.timers, server.limits, self._on_deadline
        )
        self._opened_at = now
        # Whether a byte has come since the connection was opened.
        self._has_received = False
        # How long the last response has said that the connection stays open.
        self._announced_timeout: units.Seconds | None = None
        self._linger_timer: timers.Timer | None = None
        self._stall_timer: timers.Timer | None = None
        # Bytes of responses that were passed to the transport, and those of
        # them that had left it when the timer was set.
        self._written_bytes = 0
        self._taken_bytes = 0
        # Bytes that had left it when the memory was last told.
        self._reported_bytes = 0
        # Whether a request that ends without a complete response was reported.
        self._reported = False
        # Whether the connection was aborted with bytes of a response unsent.
        self._truncated = False
        self._disconnect_callback: Callable[[], object] | None = None
        self._started = False
        # Charged for the request that is received or handled.
        self._message_bytes = 0
        self._pipelined_bytes = 0
        self._flow = processing_order.Flow(server.flow_group, self)
        # Whether the deadline has passed while input waited for its turn.
        self._is_overdue = False
        self._reading_paused = False
        self._end_reason: connection_ends.ConnectionEnd | None = None
        self._status: int | None = None
        # Of the request that is received or handled.
        self._received_bytes = 0

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    @property
    def disconnected(self) -> asyncio.Event:
        """Set once the caller has closed the connection."""
        return self._disconnected

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        return self._deadline.phase is _Phase.IDLE

    @property
    def active(self) -> bool:
        """Whether closing now would cut off a request or a response."""
        if self._unsent_bytes:
            return True
        if self._deadline.phase is _Phase.CLOSING:
            return False
        return not self.idle or self._expects_first_request

    @property
    def backlog(self) -> units.Bytes:
        """Bytes that have come and are not processed."""
        unparsed, _ = self._protocol.trailing_data
        return units.Bytes(self._body.unmerged_bytes + len(unparsed))

    @property
    def _unsent_bytes(self) -> int:
        """Bytes of responses that the caller has not taken yet."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def _expects_first_request(self) -> bool:
        return (
            not self._has_received
            and units.elapsed(self._opened_at, self._server.timers.now())
            < _FIRST_REQUEST_TIME
        )

    def set_limits(self, limits: server_module.ServerLimits) -> None:
        """Applies changed limits."""
        self._deadline.set_limits(limits)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to wait for a request."""
        # The transports of uvloop do not derive from asyncio.Transport.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in progress."""
        if exc is not None and not self._writable.is_set():
            self._truncated = True
        self._report_unanswered()
        self._disconnected.set()
        self._writable.set()
        self._deadline.close()
        for timer in (self._linger_timer, self._stall_timer):
            if timer is not None:
                timer.cancel()
        self._server.unregister(self)
        self._server.turns.withdraw(self._flow)
        self._account.close()
        if self._task is None:
            self._body.release()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def pause_writing(self) -> None:
        """Delays further writes of the handler."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Allows writes again."""
        self._writable.set()
        self.refresh()

    def refresh(self) -> None:
        """Reports what the caller has taken of its response meanwhile."""
        if self._account.standing is not _Standing.UNREAD:
            return
        taken_bytes = self._written_bytes - self._unsent_bytes
        if taken_bytes != self._reported_bytes:
            self._account.progress(
                self._server.timers.now(), taken_bytes - self._reported_bytes
            )
            self._reported_bytes = taken_bytes
        standing, size = self._response_charge()
        self._account.reduce(standing, size)

    def give_up(self, standing: client_memory.Standing) -> None:
        """Closes the connection; a request in part is refused before."""
        if self._transport is None:
            return
        if standing is _Standing.RECEIVING:
            self._reject(503, _NO_MEMORY, _End.GIVEN_UP)
        if standing in (_Standing.CLOSING, _Standing.UNREAD) or (
            self._unsent_bytes
        ):
            self._abort(_End.GIVEN_UP)
            return
        self._transport.close()

    def process_turn(self) -> bool:
        """Processes input; returns whether a request has begun."""
        # A request that was rejected in the meantime must not be handled.
        if (
            self._transport is None
            or self._transport.is_closing()
            or self._deadline.phase is _Phase.CLOSING
        ):
            return False
        self._resume_reading()
        self._process_events()
        if (
            self._is_overdue
            and not self._reading_paused
            and self._deadline.phase in (_Phase.HEAD, _Phase.BODY)
        ):
            # All that waited was processed, and it was not enough.
            self._on_deadline()
        return self._deadline.phase is _Phase.HANDLING

    def wait_for_turn(self) -> None:
        """Keeps what has come until there is time to process it."""
        if self._charge_received():
            self._pause_reading()
            self._server.turns.enqueue(self._flow)

    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        """Calls `callback` when the caller closes; None removes it."""
        self._disconnect_callback = callback
        if callback is not None and self._disconnected.is_set():
            asyncio.get_running_loop().call_soon(callback)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes of the caller are read to."""
        phase = self._deadline.phase
        if phase is _Phase.BODY and self._body.is_chunked:
            return self._server.read_buffer[:_CHUNKED_READ_BYTES]
        if phase in (_Phase.BODY, _Phase.CLOSING):
            return self._server.read_buffer
        if phase is _Phase.HANDLING or self._flow.waiting:
            return self._server.read_buffer[:_PIPELINED_READ_BYTES]
        return self._server.read_buffer[:_HEAD_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Processes bytes of the caller."""
        self.data_received(self._server.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Processes bytes of the caller; does not keep `data`."""
        self._has_received = True
        self._received_bytes += len(data)
        if self._deadline.phase is _Phase.CLOSING:
            return
        self._account.progress(self._server.timers.now(), len(data))
        if self.idle:
            self._deadline.enter(_Phase.HEAD)
        if self._body.is_chunked:
            self._body.receive_chunks(data)
        else:
            self._protocol.receive_data(data)
        if self._task is None and not self._flow.waiting:
            self._server.turns.process(self._flow)
            return
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes >= _MAX_PIPELINED_BYTES:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Closes the connection, as the caller has."""
        return False

    async def respond(
        self, status: int, body: bytes, headers: handlers.Headers = ()
    ) -> None:
        """Sends a complete response."""
        if body or not self._is_head_request:
            headers += (("content-length", str(len(body))),)
        self.start(status, headers)
        # Passed on as a whole, so that a cancellation can't cut it.
        if body and not self._is_head_request:
            self._send(h11.Data(data=body))
        await self.finish()

    def start(self, status: int, headers: handlers.Headers = ()) -> None:
        """Sends the status line and headers of a streamed response."""
        # Raises before anything is sent if a header can't be encoded.
        response = h11.Response(
            status_code=status,
            headers=header_fields.encode(headers + self._connection_headers()),
        )
        self._started = True
        self._status = status
        self._send(response)

    async def write(self, data: bytes) -> bool:
        """Sends body bytes; returns False once the caller has disconnected."""
        if self._disconnected.is_set():
            return False
        if data and not self._is_head_request:
            self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
        return not self._disconnected.is_set()

    async def finish(self) -> None:
        """Ends a streamed response."""
        if not self._disconnected.is_set():
            self._send(h11.EndOfMessage())
            await self._writable.wait()

    def abort(self) -> None:
        """Aborts the connection without completing the response."""
        self._abort(_End.RESPONSE_ABORTED)

    def shut_down(self) -> None:
        """Aborts the connection, because the server closes."""
        self._abort(_End.SHUTDOWN)

    def reject_incomplete_request(self) -> None:
        """Refuses a request that is still being received."""
        if self._deadline.phase in (_Phase.HEAD, _Phase.BODY):
            self._reject(
                503, "server shuts down, the request has not run", _End.SHUTDOWN
            )

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress.

        A request that lies in the socket is read before.
        """
        if self.idle and not self._expects_first_request:
            self._call_after_poll(self._close_idle)

    @property
    def _is_head_request(self) -> bool:
        """Whether the response must not have a body."""
        return self._request is not None and self._request.method == b"HEAD"

    @property
    def _is_response_complete(self) -> bool:
        """Whether the request that is handled has its whole response."""
        return (
            self._task is not None
            and self._protocol.our_state in _COMPLETE_STATES
        )

    def _connection_headers(self) -> handlers.Headers:
        """Returns how long the connection stays open after the response."""
        self._announced_timeout = None
        if self._server.stopping:
            return (("connection", "close"),)
        timeout = self._server.limits.idle_timeout
        if (
            timeout is None
            or timeout < 1
            or self._protocol.their_state is not h11.DONE
        ):
            return ()
        announced = int(timeout)
        self._announced_timeout = max(
            timeout, units.Seconds(announced + _KEEP_ALIVE_MARGIN)
        )
        return (("keep-alive", f"timeout={announced}"),)

    def _report_unanswered(self) -> None:
        """Reports a request that has been read in part, or not answered."""
        if self._reported or (
            not self._truncated
            and (not self._received_bytes or self._is_response_complete)
        ):
            return
        self._reported = True
        end = self._end_reason
        if end is None:
            end = (
                _End.CALLER_LEFT_SENDING
                if self._task is None and not self._truncated
                else _End.CALLER_LEFT
            )
        peername = (
            self._transport.get_extra_info("peername")
            if self._transport is not None
            else None
        )
        self._server.observer.on_unanswered(
            connection_ends.UnansweredRequest(
                end,
                ":".join(map(str, peername[:2])) if peername else "",
                self._request.target.decode("latin-1")
                if self._request is not None
                else None,
                header_fields.decode(self._request.headers)
                if self._request is not None
                else (),
                self._status,
                units.Bytes(self._received_bytes),
                units.elapsed(
                    self._deadline.request_started_at, self._server.timers.now()
                ),
            )
        )

    def _send(self, event: h11.Event) -> None:
        if self._disconnected.is_set() or self._transport is None:
            return
        data = self._protocol.send(event)
        if data:
            self._transport.write(data)
            self._written_bytes += len(data)
            self._watch_caller()
            if self._unsent_bytes and not self._charge_response():
                # All others are being served, and this caller takes its
                # response more slowly than it is made.
                self._abort(_End.NO_MEMORY)

    def _watch_caller(self) -> None:
        """Checks later whether the caller has taken a part of the response."""
        if self._stall_timer is not None or not self._unsent_bytes:
            return
        timer_service = self._server.timers
        self._taken_bytes = self._written_bytes - self._unsent_bytes
        self._stall_timer = timer_service.schedule_at(
            units.after(timer_service.now(), _MAX_WRITE_STALL),
            self._on_stall_timer,
        )

    def _on_stall_timer(self) -> None:
        self._stall_timer = None
        taken_bytes = self._written_bytes - self._unsent_bytes
        if self._unsent_bytes and taken_bytes == self._taken_bytes:
            self._abort(_End.CALLER_STALLED)
            return
        self._watch_caller()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._pipelined_bytes = 0
        if self._transport is not None and self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()

    def _process_events(self) -> None:
        if chunks := self._body.take_chunks():
            self._protocol.receive_data(chunks)
        now = self._server.timers.now
        slice_end = units.after(now(), processing_turns.SLICE_TIME)
        for _ in range(_MAX_EVENTS_PER_TURN):
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA:
                self._charge_received()
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._abort(None)
                return
            if isinstance(event, h11.Request):
                self._begin_body(event)
            elif isinstance(event, h11.Data):
                fault = self._body.append(event.data)
                if fault is not None:
                    self._reject_body(fault)
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            if now() >= slice_end:
                break
        self.wait_for_turn()

    def _begin_body(self, request: h11.Request) -> None:
        self._request = request
        self._message_bytes = _head_bytes(request, self._received_bytes)
        self._deadline.enter(_Phase.BODY)
        self._body.begin(
            request,
            self._server.limits.max_body,
            self._protocol.trailing_data[0],
        )
        if self._protocol.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _reject_body(self, fault: request_body.BodyFault) -> None:
        if fault is request_body.BodyFault.TOO_LARGE:
            self._reject(413, f"request body exceeds {self._body.limit} bytes")
        else:
            self._reject(503, _NO_MEMORY, _End.NO_MEMORY)

    def _charge_received(self) -> bool:
        """Charges a request in part; refuses it if there is no room."""
        size = (
            self._received_bytes
            if self._request is None
            else self._message_bytes + self._body.held_bytes + self.backlog
        )
        if self._account.update(
            _Standing.RECEIVING, size, self._server.timers.now()
        ):
            return True
        self._reject(503, _NO_MEMORY, _End.NO_MEMORY)
        return False

    def _charge_response(self) -> bool:
        """Charges a request that is handled, and its unsent response."""
        now = self._server.timers.now()
        standing, size = self._response_charge()
        if (
            standing is _Standing.UNREAD
            and self._account.standing is not standing
        ):
            # So far the caller has taken everything.
            self._account.progress(now)
            self._reported_bytes = self._written_bytes - self._unsent_bytes
        return self._account.update(standing, size, now)

    def _response_charge(self) -> tuple[client_memory.Standing, int]:
        """Returns what the connection does and holds after its request."""
        unsent_bytes = self._unsent_bytes
        standing = _Standing.SERVED
        if unsent_bytes:
            standing = _Standing.UNREAD
        elif self._deadline.phase is _Phase.CLOSING:
            standing = _Standing.CLOSING
        size = max(0, unsent_bytes - _FREE_UNSENT_BYTES)
        if self._is_response_complete:
            size += (
                self._message_bytes + _HEAD_READ_BYTES + _PIPELINED_READ_BYTES
            )
        elif self._task is not None:
            size += self._message_bytes + client_memory.SERVED_BYTES
            if not self._writable.is_set():
                size += _SOURCE_BYTES
        return standing, size

    def _dispatch(self) -> None:
        assert self._request is not None
        self._message_bytes += _HANDLED_BODY_COPIES * len(self._body)
        if not self._account.update(
            _Standing.SERVED,
            self._message_bytes + client_memory.SERVED_BYTES,
            self._server.timers.now(),
        ):
            self._reject(503, _NO_MEMORY, _End.NO_MEMORY)
            return
        self._pipelined_bytes = len(self._protocol.trailing_data[0])
        if self._pipelined_bytes >= _MAX_PIPELINED_BYTES:
            self._pause_reading()
        self._deadline.enter(_Phase.HANDLING)
        self._is_overdue = False
        target = self._request.target.decode("latin-1")
        path, _, query = target.partition("?")
        request = handlers.ServerRequest(
            self._request.method.decode("latin-1"),
            urllib.parse.unquote(path),
            query,
            header_fields.decode(self._request.headers),
            self._body.complete(),
            target,
        )
        self._task = asyncio.get_running_loop().create_task(
            self._handle(request)
        )

    async def _handle(self, request: handlers.ServerRequest) -> None:
        try:
            await self._server.handler.handle(request, self)
            # The body is not needed while the response is being taken.
            del request
            await self._wait_until_taken()
        except Exception as error:  # noqa: BLE001
            # Handlers return failures as values, so that an exception is a bug.
            # It ends its own request only.
            self._on_handler_error(error)
            return
        finally:
            # A handler that failed has kept the body until now.
            self._body.release()
            self._task = None
        self._begin_next_request()

    async def _wait_until_taken(self) -> None:
        """Waits until a complete response has left for its caller.

        Otherwise a caller that sends on and reads nothing would have the
        responses to all of its requests made and kept.
        """
        self._body.release()
        self._message_bytes = 0
        if (
            not self._unsent_bytes
            or self._transport is None
            or self._transport.is_closing()
            or self._protocol.our_state is not h11.DONE
        ):
            return
        self._charge_response()
        # Writing is paused until nothing is left.
        self._transport.set_write_buffer_limits(0)
        await self._writable.wait()
        self._transport.set_write_buffer_limits()

    def _on_handler_error(self, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": "request handler failed",
                "exception": error,
                "place": "handler",
            }
        )
        self._end_incomplete_response(_End.HANDLER_ERROR)

    def _end_incomplete_response(
        self, end: connection_ends.ConnectionEnd = _End.NO_RESPONSE
    ) -> None:
        """Ends a request whose handler does not complete the response."""
        if self._started:
            # Without its end the caller detects the truncation.
            self._abort(end)
            return
        self._reject(
            _INTERNAL_ERROR_STATUS, "unexpected error in this process", end
        )

    def _begin_next_request(self) -> None:
        if self._disconnected.is_set() or self._transport is None:
            return
        if self._transport.is_closing():
            if self._protocol.our_state in _COMPLETE_STATES:
                self._received_bytes = 0
            # Otherwise `connection_lost` reports the request.
            return
        if self._protocol.our_state not in _COMPLETE_STATES:
            self._end_incomplete_response()
            return
        self._request = None
        self._started = False
        self._status = None
        # What came after the request belongs to the next one.
        self._received_bytes = len(self._protocol.trailing_data[0])
        if (
            self._protocol.our_state is h11.MUST_CLOSE
            or self._protocol.their_state is not h11.DONE
        ):
            self._close_after_response(_End.NOT_READ)
            return
        self._protocol.start_next_cycle()
        self._deadline.enter(_Phase.IDLE, self._announced_timeout)
        now = self._server.timers.now()
        # The caller was not waited for meanwhile.
        self._account.progress(now)
        if not self._received_bytes:
            self._account.update(_Standing.KEPT, 0, now)
            self._resume_reading()
            return
        self._deadline.enter(_Phase.HEAD)
        # Less than was charged while the request was handled.
        self._account.update(_Standing.RECEIVING, self._received_bytes, now)
        self._server.turns.enqueue(self._flow)

    def _reject(
        self,
        status: int,
        detail: str,
        end: connection_ends.ConnectionEnd = _End.REJECTED,
    ) -> None:
        """Refuses a request that is not handled, and closes."""
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
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
        self._close_after_response(end)

    def _close_after_response(self, end: connection_ends.ConnectionEnd) -> None:
        """Ends the own side; closes with the caller, or after a time limit."""
        self._end_reason = end
        self._deadline.close()
        self._server.turns.withdraw(self._flow)
        self._body.drop()
        if self._transport is None or self._transport.is_closing():
            return
        if self._received_bytes:
            # What has come is not read, and would be held until the close.
            self._protocol = h11.Connection(h11.SERVER)
        if self._task is None:
            # The head may hold far more than its bytes until the close.
            self._report_unanswered()
            self._request = None
            self._message_bytes = 0
            self._charge_response()
        self._resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which was not read since.
            self._transport.abort()
            return
        self._start_linger_timer()

    def _start_linger_timer(self) -> None:
        timer_service = self._server.timers
        self._linger_timer = timer_service.schedule_at(
            units.after(timer_service.now(), _MAX_LINGER_TIME),
            self._on_linger_timeout,
        )

    def _on_linger_timeout(self) -> None:
        if self._transport is None:
            return
        if self._unsent_bytes:
            # The caller reads slowly.
            self._start_linger_timer()
            return
        self._transport.close()

    def _abort(self, end: connection_ends.ConnectionEnd | None) -> None:
        if self._unsent_bytes:
            self._truncated = True
            self._end_reason = end
        self._end_reason = self._end_reason or end
        if self._transport is not None:
            self._transport.abort()

    def _call_after_poll(self, callback: Callable[[], object]) -> None:
        """Calls `callback` once the loop has polled the socket."""
        loop = asyncio.get_running_loop()
        # The read that the next turn finds comes after what that turn begins
        # with, so that the callback waits for one more turn.
        loop.call_soon(loop.call_soon, callback)

    def _close_idle(self) -> None:
        if self.idle and self._transport is not None:
            self._transport.close()

    def _on_deadline(self) -> None:
        # The rest of the request may lie in the socket.
        self._call_after_poll(self._apply_deadline)

    def _apply_deadline(self) -> None:
        """Ends what has taken too long."""
        phase = self._deadline.phase
        if not self._deadline.has_expired:
            self._is_overdue = False
            self._deadline.rearm()
        elif self._flow.waiting and (
            phase is _Phase.HEAD or not self._is_overdue
        ):
            # What has come may complete the request. A head is bounded by its
            # size; a body that still comes is not waited for twice.
            self._is_overdue = True
        elif phase is _Phase.IDLE:
            self._close_idle()
        elif phase is _Phase.HEAD:
            self._reject(
                408,
                "request head not received within the time limit",
                _End.HEAD_TIMEOUT,
            )
        else:
            self._reject(
                408,
                "request not received within the time limit",
                _End.REQUEST_TIMEOUT,
            )
