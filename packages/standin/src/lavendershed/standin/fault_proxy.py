"""TCP proxy that injects faults between two processes."""

from __future__ import annotations

import asyncio
import enum

import result

from lavendershed.core import units
from lavendershed.transport import address as address_module
from lavendershed.transport import streams

_READ_BYTES = 65_536
_CONNECT_TIMEOUT = units.Seconds(1.0)


class Behaviour(enum.Enum):
    """What the proxy does with the bytes of a connection.

    FORWARD passes them on. SILENT takes them without passing them on or
    closing, as a middlebox does that has lost track of the connection.
    LOSE_ANSWERS passes requests on and drops every answer, LOSE_REQUESTS the
    other way round.
    """

    FORWARD = "forward"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"
    LOSE_REQUESTS = "lose_requests"


class _Relay:
    def __init__(
        self,
        behaviour: Behaviour,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        self.behaviour = behaviour
        self._writers = writers

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to one upstream address, with faults on demand."""

    def __init__(self, upstream: address_module.Address) -> None:
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._relays: set[_Relay] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._new_behaviour = Behaviour.FORWARD
        self._refusing = False
        self._delay = units.Seconds(0.0)
        self._connections = 0

    @property
    def address(self) -> address_module.Address:
        """The address that the proxy listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return address_module.Address(host, port)

    @property
    def connections(self) -> int:
        """Connections accepted so far."""
        return self._connections

    async def start(self) -> None:
        """Listens on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Resets all established connections."""
        for relay in tuple(self._relays):
            relay.abort()

    def silence_established(self) -> None:
        """Makes established connections silent; new ones keep working."""
        for relay in self._relays:
            relay.behaviour = Behaviour.SILENT

    def set_new_connections(self, behaviour: Behaviour) -> None:
        """Chooses what happens on connections that are opened from now on."""
        self._new_behaviour = behaviour

    def set_all_connections(self, behaviour: Behaviour) -> None:
        """Chooses what happens on present and future connections."""
        self._new_behaviour = behaviour
        for relay in self._relays:
            relay.behaviour = behaviour

    def set_refusing(self, refusing: bool) -> None:
        """Chooses whether new connections are closed at once."""
        self._refusing = refusing

    def set_delay(self, delay: units.Seconds) -> None:
        """Delays each forwarded piece by `delay` seconds."""
        self._delay = delay

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        if self._refusing:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        opened = await streams.open_streams(self._upstream, _CONNECT_TIMEOUT)
        if isinstance(opened, result.Err):
            writer.transport.abort()
            return
        upstream_reader, upstream_writer = opened.ok_value
        relay = _Relay(self._new_behaviour, (writer, upstream_writer))
        self._relays.add(relay)
        try:
            await asyncio.gather(
                self._pump(relay, reader, upstream_writer, answers=False),
                self._pump(relay, upstream_reader, writer, answers=True),
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
        answers: bool,
    ) -> None:
        one_way = Behaviour.LOSE_ANSWERS if answers else Behaviour.LOSE_REQUESTS
        try:
            while data := await reader.read(_READ_BYTES):
                if self._delay:
                    await asyncio.sleep(self._delay)
                if relay.behaviour in (Behaviour.SILENT, one_way):
                    continue
                writer.write(data)
                await writer.drain()
            if relay.behaviour is Behaviour.FORWARD:
                writer.close()
        except OSError:
            relay.abort()
