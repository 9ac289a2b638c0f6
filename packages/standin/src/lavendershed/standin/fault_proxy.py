"""TCP proxy that injects network faults between two processes."""

from __future__ import annotations

import asyncio
import enum

import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import streams

_READ_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"
_CONNECT_TIMEOUT = units.Seconds(1.0)


class RelayBehaviour(enum.Enum):
    """What the proxy does with the bytes of a connection.

    FORWARD forwards them. BLACKHOLE drops them and keeps the connection open,
    as a middlebox does that has lost the connection's state. DROP_RESPONSES
    forwards the client's bytes and drops the server's; DROP_REQUESTS does the
    opposite. FORWARD_HEADS forwards the head of the next response and then
    drops all bytes.
    """

    FORWARD = "forward"
    BLACKHOLE = "silent"
    DROP_RESPONSES = "lose_answers"
    DROP_REQUESTS = "lose_requests"
    FORWARD_HEADS = "heads_only"


class _Relay:
    def __init__(
        self,
        behaviour: RelayBehaviour,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        self.behaviour = behaviour
        self._writers = writers

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to one upstream address and injects faults."""

    def __init__(self, upstream: address_module.Address) -> None:
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._relays: set[_Relay] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._new_connection_behaviour = RelayBehaviour.FORWARD
        self._refuses_connections = False
        self._delay = units.Seconds(0.0)
        self._accepted_connections = 0
        self._truncated_responses = 0

    @property
    def address(self) -> address_module.Address:
        """Listen address."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return address_module.Address(host, port)

    @property
    def accepted_connections(self) -> int:
        """Number of accepted connections."""
        return self._accepted_connections

    @property
    def truncated_responses(self) -> int:
        """Number of responses that stopped after their head."""
        return self._truncated_responses

    async def start(self) -> None:
        """Starts listening on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_connections(self) -> None:
        """Resets all established connections."""
        for relay in tuple(self._relays):
            relay.abort()

    def blackhole_established(self) -> None:
        """Drops all bytes of established connections; new ones work."""
        for relay in self._relays:
            relay.behaviour = RelayBehaviour.BLACKHOLE

    def set_new_connection_behaviour(self, behaviour: RelayBehaviour) -> None:
        """Sets the behaviour of connections accepted from now on."""
        self._new_connection_behaviour = behaviour

    def set_connection_behaviour(self, behaviour: RelayBehaviour) -> None:
        """Sets the behaviour of established and future connections."""
        self._new_connection_behaviour = behaviour
        for relay in self._relays:
            relay.behaviour = behaviour

    def set_refuse_connections(self, refuse: bool) -> None:
        """Sets whether new connections are aborted on acceptance."""
        self._refuses_connections = refuse

    def set_delay(self, delay: units.Seconds) -> None:
        """Delays each forwarded chunk by `delay` seconds."""
        self._delay = delay

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_connections += 1
        if self._refuses_connections:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        upstream_streams = await streams.open_streams(
            self._upstream, _CONNECT_TIMEOUT
        )
        if isinstance(upstream_streams, result.Err):
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = upstream_streams.ok_value
        upstream_reader.expect_body()
        relay = _Relay(
            self._new_connection_behaviour, (writer, upstream_writer)
        )
        self._relays.add(relay)
        try:
            await asyncio.gather(
                self._pump(relay, reader, upstream_writer, is_response=False),
                self._pump(relay, upstream_reader, writer, is_response=True),
            )
        finally:
            relay.abort()
            self._relays.discard(relay)

    async def _pump(
        self,
        relay: _Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        drop_behaviour = (
            RelayBehaviour.DROP_RESPONSES
            if is_response
            else RelayBehaviour.DROP_REQUESTS
        )
        try:
            while data := await reader.read(_READ_BYTES):
                if self._delay:
                    await asyncio.sleep(self._delay)
                if relay.behaviour in (
                    RelayBehaviour.BLACKHOLE,
                    drop_behaviour,
                ):
                    continue
                if (
                    is_response
                    and relay.behaviour is RelayBehaviour.FORWARD_HEADS
                ):
                    relay.behaviour = RelayBehaviour.BLACKHOLE
                    self._truncated_responses += 1
                    head, separator, _ = data.partition(_END_OF_HEAD)
                    data = head + separator
                writer.write(data)
                await writer.drain()
            if relay.behaviour is RelayBehaviour.FORWARD:
                writer.close()
        except OSError:
            relay.abort()
