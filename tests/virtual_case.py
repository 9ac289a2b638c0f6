"""Daemon on a virtual clock, with servers in memory instead of sockets."""

from __future__ import annotations

import abc
import asyncio
import random
import selectors

import h11
import orjson
import platform_case
import result

from lavendershed.admission import cold_engines
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.forwarding import relay
from lavendershed.peer import peer_state
from lavendershed.platform import factory
from lavendershed.platform import settings
from lavendershed.reliability import fleet_retry_budget
from lavendershed.telemetry import log
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import event_loop_timers
from lavendershed.transport import handlers
from lavendershed.transport import headers as header_fields
from lavendershed.transport import streams

BUDGET = fleet_retry_budget.FleetBudgetLimits(0.2, 100.0, units.Seconds(10.0))
_NOWHERE = addresses.Address("127.0.0.1", 9)


class _VirtualSelector(selectors.SelectSelector):
    """Moves the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        # Turns of the loop in which something was ready.
        self.turns = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("everything waits without a time limit")
        self.now += max(0.0, timeout)
        self.turns += 1
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock moves to the next timer at once."""

    def __init__(self):
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self):
        """Returns the virtual time."""
        return self.selector.now


def run(main):
    """Runs a coroutine on a virtual clock."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class _Flow:
    """Transport that a reader pauses when its buffer is full."""

    def __init__(self):
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.closed = False
        self.on_abort = lambda: None

    def pause_reading(self):
        self.flowing.clear()

    def resume_reading(self):
        self.flowing.set()

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        """Returns 0, as the other end has all bytes at once."""
        return 0

    def abort(self):
        if not self.closed:
            self.closed = True
            self.on_abort()


class MemoryWriter:
    """Writes to the reader at the other end."""

    def __init__(self, reader, flow, own):
        self._reader = reader
        self._flow = flow
        self.transport = own

    def write(self, data):
        if self._flow.closed or self.transport.closed:
            return
        self._reader.feed_data(data)

    async def drain(self):
        if self._flow.closed or self.transport.closed:
            raise ConnectionResetError("connection is closed")
        await self._flow.flowing.wait()

    def is_closing(self):
        return self.transport.closed

    def get_extra_info(self, name):
        """Returns None, as there is no socket."""

    def close(self):
        """Ends the connection after what was written."""
        if not self.transport.closed:
            self.transport.closed = True
            self._reader.feed_eof()

    def reset(self):
        """Ends the connection at once."""
        if not self.transport.closed:
            self.transport.closed = True
            self._reader.set_exception(ConnectionResetError("reset"))


def _pipe():
    """Returns two connected pairs of a reader and a writer."""
    readers = [streams.BufferedReader() for _ in range(2)]
    # Servers of tests read whole heads and bodies.
    readers[1].expect_body()
    flows = [_Flow(), _Flow()]
    for reader, flow in zip(readers, flows, strict=True):
        reader.set_transport(flow)
    # An end that is aborted resets the other one.
    for end in range(2):
        flows[end].on_abort = lambda r=readers[1 - end], f=flows[1 - end]: (
            f.flowing.set(),
            r.set_exception(ConnectionResetError("reset")),
        )
    return [
        (
            readers[end],
            MemoryWriter(readers[1 - end], flows[1 - end], flows[end]),
        )
        for end in range(2)
    ]


class MemoryServer(abc.ABC):
    """A backend server in memory."""

    def __init__(self, name, service, number):
        self.id = name
        self.service = service
        self.incarnation = 1
        self.cold_remaining_ms = 0
        self.address = addresses.Address(f"10.0.0.{number + 1}", 8_080)
        self.zone = "a"

    @abc.abstractmethod
    async def serve(self, reader, writer):
        """Serves one connection."""

    async def accept(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def read_request(self, reader):
        """Reads one request; returns its method, target, headers and body."""
        head = await reader.readuntil(b"\r\n\r\n")
        line, *lines = head.decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (text.partition(":") for text in lines)
            if name
        }
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        method, target, _ = line.split(" ")
        return method, target, fields, body


class MemoryConnector(connections.Connector):
    """Connects to servers in memory.

    Attributes:
        delay_s: Time that it takes to connect.
    """

    def __init__(self, servers):
        self.servers = {server.address: server for server in servers}
        self.tasks = set()
        self.delay_s = 0.0

    def add(self, server):
        """Lets a server accept connections."""
        self.servers[server.address] = server

    def remove(self, server):
        """Refuses connections to a server from now on."""
        self.servers.pop(server.address, None)

    async def connect(self, address, timeout):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        server = self.servers.get(address)
        if server is None:
            kind = errors.TransportErrorKind.CONNECT_FAILED
            return result.Err(errors.TransportError(kind, False, str(address)))
        near, far = _pipe()
        task = asyncio.get_running_loop().create_task(server.accept(*far))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return result.Ok(client.ClientConnection(*near, address))


class Caller(handlers.Responder):
    """A caller in memory, which records what it gets and when."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.aborted = False
        self.event_times = []
        self._disconnected = asyncio.Event()
        self._on_disconnect = None

    @property
    def started(self):
        return self.status is not None

    @property
    def disconnected(self):
        return self._disconnected

    def on_disconnect(self, callback):
        self._on_disconnect = callback
        if callback is not None and self._disconnected.is_set():
            asyncio.get_running_loop().call_soon(callback)

    def leave(self):
        """Closes the connection."""
        self._disconnected.set()
        if self._on_disconnect is not None:
            self._on_disconnect()

    async def respond(self, status, body, headers=()):
        self.start(status, headers)
        self.body = body
        self.complete = True

    def start(self, status, headers=()):
        assert self.status is None, "a second response"
        # The server of a daemon encodes the head in the same way.
        h11.Response(status_code=status, headers=header_fields.encode(headers))
        self.status = status
        self.headers = dict(headers)

    async def write(self, data):
        assert not self.complete and not self.aborted
        self.body += data
        self.event_times.append(asyncio.get_running_loop().time())
        return not self._disconnected.is_set()

    async def finish(self):
        self.complete = True

    def abort(self):
        self.aborted = True


class _PeerResponder(Caller):
    """Sends the answer to a relayed request to the other daemon."""

    def __init__(self, writer, running):
        super().__init__()
        self._writer = writer
        self._running = running

    async def respond(self, status, body, headers=()):
        await self._running.wait()
        length = ("content-length", str(len(body)))
        self._send_head(status, (*headers, length))
        self._writer.write(body)
        self.complete = True

    def start(self, status, headers=()):
        self._send_head(status, (*headers, ("transfer-encoding", "chunked")))

    def _send_head(self, status, headers):
        super().start(status, headers)
        lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))

    async def write(self, data):
        await self._running.wait()
        self._writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        return await super().write(data)

    async def finish(self):
        await self._running.wait()
        self._writer.write(b"0\r\n\r\n")
        await super().finish()

    def abort(self):
        self._writer.reset()
        super().abort()


class RelayListener(MemoryServer):
    """Listener of a daemon for requests that others pass on.

    Attributes:
        running: Cleared while the daemon is frozen.
        received: Number of relayed requests that were read.
    """

    def __init__(self, daemon):
        super().__init__(str(daemon.address), "", 0)
        self.address = relay.relay_address(daemon.address)
        self.running = asyncio.Event()
        self.running.set()
        self.received = 0
        self._daemon = daemon
        self._writers = set()

    async def serve(self, reader, writer):
        self._writers.add(writer)
        while True:
            method, target, fields, body = await self.read_request(reader)
            self.received += 1
            await self.running.wait()
            responder = _PeerResponder(writer, self.running)
            handling = asyncio.get_running_loop().create_task(
                self._daemon.relay_handler.handle(
                    handlers.ServerRequest(
                        method, target, "", tuple(fields.items()), body, target
                    ),
                    responder,
                )
            )
            leaving = asyncio.get_running_loop().create_task(reader.read(1))
            leaving.add_done_callback(lambda _, r=responder: r.leave())
            try:
                await handling
            finally:
                leaving.cancel()
            await asyncio.wait((leaving,))

    def reset(self):
        """Ends all connections at once."""
        for writer in self._writers:
            writer.reset()


class VirtualDaemon:
    """Components of one daemon, without its listeners.

    Without routes it has no configuration and knows no servers.
    """

    def __init__(
        self,
        servers,
        *routes,
        seed=1,
        address=_NOWHERE,
        evacuation_bound=None,
    ):
        loop = asyncio.get_running_loop()
        self.timers = event_loop_timers.EventLoopTimerService(loop)
        self.log = log.MemoryEventLog()
        self.connector = MemoryConnector(servers)
        self.peer_connector = MemoryConnector(())
        self.address = address
        parts = factory.build(
            settings.PlatformSettings(
                ids.VmId("vm"),
                ids.AvailabilityZoneId("a"),
                _NOWHERE,
                _NOWHERE,
                address,
                (),
                _NOWHERE,
                units.Seconds(8.0),
                BUDGET,
                cold_bounds=cold_engines.ColdBounds(1.5, 5.0),
                evacuation_bound=evacuation_bound,
            ),
            # The one that `hear_of` takes the daemon to have.
            ids.Incarnation(address.port),
            self.timers,
            self.log,
            random.Random(seed),
            self.connector,
            peer_connector=self.peer_connector,
        )
        self.context = parts.components.context
        self.gateway = parts.components.gateway
        self.relay_handler = parts.components.relay_handler
        self.load_reporter = parts.components.load_reporter
        self._peers = parts.peers
        self._revision = 0
        if routes:
            self.configure(platform_case.configuration(1, *routes))
            self.list_servers(servers)
            self.evacuate()

    def evacuate(self, *zones):
        """Applies a listing of evacuated zones, as it comes from the store."""
        revision = self._next_revision()
        self.context.view.on_evacuation_listing(
            tuple(
                peer_state.StoredObject(zone, revision, b"{}") for zone in zones
            ),
            revision,
            self.timers.now(),
        )

    def configure(self, configuration):
        """Applies a configuration, as it comes from the store."""
        self.context.view.on_configuration(
            peer_state.StoredObject(
                "main", self._next_revision(), orjson.dumps(configuration)
            )
        )

    def list_servers(self, servers, state="ready"):
        """Applies a listing of all servers, as it comes from the store."""
        revision = self._next_revision()
        self.context.view.on_server_listing(
            tuple(
                peer_state.StoredObject(
                    server.id,
                    revision,
                    orjson.dumps(_entry(server, state, revision.number)),
                )
                for server in servers
            ),
            revision,
            self.timers.now(),
        )

    def hear_of(self, peer):
        """Handles a load report of another daemon."""
        self._peers.on_report(
            peer.address,
            ids.Incarnation(peer.address.port),
            1,
            (),
            self.context.zone,
            self.timers.now(),
        )

    def _next_revision(self):
        self._revision += 1
        return store_revisions.of(1, self._revision)

    def events(self, event):
        return [f for recorded, f in self.log.records if recorded is event]

    async def request(self, path, number, caller=None, **fields):
        """Sends one request; returns the caller with its answer."""
        caller = caller or Caller()
        headers = {
            "host": platform_case.HOST,
            "x-api-key": platform_case.KEY,
            "attempt-id": f"id-{number}",
            **{name.replace("_", "-"): v for name, v in fields.items()},
        }
        await self.gateway.handle(
            handlers.ServerRequest(
                "POST",
                path,
                "",
                tuple(headers.items()),
                f"body {number}".encode(),
                path,
            ),
            caller,
        )
        return caller


def _entry(server, state, version):
    return {
        "service": server.service,
        "address": str(server.address),
        "zone": server.zone,
        "version": "v1",
        "slots": 8,
        "state": state,
        "born": server.incarnation,
        "cold_remaining_ms": server.cold_remaining_ms,
        "seq": version,
    }
