"""Tests requests beside changes of the configuration, on a virtual clock.

Guards against a whole request that gets neither its answer nor a truthful
failure because its route, its service, its key or its servers change while it
is under way.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import itertools
import unittest

import platform_case
import test_silence
import virtual_case

from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.peer import load_reports
from lavendershed.peer import permit_messages
from lavendershed.telemetry import events

PATHS = test_silence.PATHS
STREAMS = test_silence.STREAMS
REPEATABLE = test_silence.REPEATABLE
ROUTES = (
    test_silence.DRAFT,
    test_silence.DESK,
    test_silence.LOOKUP,
    test_silence.ORDER,
)
OTHER_SERVICES = {
    platform_case.MODEL_SERVICE: "model-2",
    platform_case.PLAIN_SERVICE: "ledger-2",
}
NEW_KEY = "another-key"
DEADLINE_S = int(test_silence.TIMEOUT_MS) / 1_000
# Cancelled prefills count as load for at most this time.
SETTLING_S = 4.0
STORM_VERSIONS = 12
STORM_S = 0.1
# With this limit, the first request to a server waits for 0.125 s, and the next
# one as long again.
LIMIT = units.RequestsPerSecond(8.0)
PEER = addresses.Address("10.0.2.1", 9)
# A daemon that has just started issues no permits.
ISSUING_AFTER_S = 2.1


class Moment(enum.Enum):
    """What a request does when the configuration changes."""

    WAITING = "waits for an engine"
    CONNECTING = "is being sent"
    BEFORE_FIRST_BYTE = "waits for the first byte"
    IN_ANSWER = "receives its answer"
    BETWEEN_ATTEMPTS = "is sent to another server"


class Failure(enum.Enum):
    """What the server of the request does after the change."""

    NONE = "none"
    RESET = "reset"
    SILENCE = "silence"


class Change(enum.Enum):
    """What changes."""

    ROUTE_REMOVED = "route removed"
    ROUTE_MOVED = "route moved to another service"
    ROUTE_TIGHTENED = "route with lower limits"
    ROUTE_RESTRICTED = "route that may not be repeated"
    SERVICE_REMOVED = "service removed, and its route"
    SERVICE_REMOVED_ALONE = "service removed from below its route"
    SERVICE_PLAIN = "service without a profile of its engines"
    KEY_WITHDRAWN = "key withdrawn"
    SERVERS_GONE = "service removed, and its servers"
    SERVERS_LEFT = "servers gone, of a service that stays"
    SERVERS_REPLACED = "servers replaced, and the route moved back and forth"
    STORM = "all of them in quick succession"


# How a request that is sent after the change is refused; it is answered or ends
# by its deadline after the others.
LATER_STATUS = {
    Change.ROUTE_REMOVED: 404,
    Change.SERVICE_REMOVED: 404,
    Change.SERVICE_REMOVED_ALONE: 503,
    Change.KEY_WITHDRAWN: 401,
    Change.SERVERS_GONE: 404,
    Change.SERVERS_LEFT: 503,
    Change.STORM: 401,
}
STORM_CHANGES = (
    Change.ROUTE_REMOVED,
    Change.ROUTE_MOVED,
    Change.ROUTE_TIGHTENED,
    Change.SERVICE_REMOVED,
    Change.SERVICE_PLAIN,
    Change.SERVICE_REMOVED_ALONE,
)
WITHOUT_SERVERS = frozenset({Change.SERVERS_GONE, Change.SERVERS_LEFT})
SERVICE_KEPT = frozenset(
    {
        Change.ROUTE_REMOVED,
        Change.ROUTE_MOVED,
        Change.ROUTE_TIGHTENED,
        Change.ROUTE_RESTRICTED,
        Change.KEY_WITHDRAWN,
        Change.SERVERS_REPLACED,
    }
)
REFUSED_AT_ADMISSION = frozenset({401, 404})
_CONNECTING = frozenset({Moment.CONNECTING, Moment.BETWEEN_ATTEMPTS})
CONNECT_DELAY_S = 0.4
CHANGE_AT_S = {
    Moment.WAITING: 0.1,
    Moment.CONNECTING: 0.1,
    Moment.BEFORE_FIRST_BYTE: 0.03,
    Moment.IN_ANSWER: 0.09,
    Moment.BETWEEN_ATTEMPTS: 1.5 * CONNECT_DELAY_S,
}
# Attempts before the change, if not one.
_DISPATCHED = {Moment.WAITING: 0, Moment.BETWEEN_ATTEMPTS: 2}


class Server(test_silence.PausingServer):
    """Writes answers of calls in two parts, and can be lost."""

    def __init__(self, name, service, number):
        super().__init__(name, service, number)
        self._writers = set()

    async def serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, writer, target, fields):
        if target in STREAMS:
            await super().answer(writer, target, fields)
            return
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"attempt-id: {fields.get('attempt-id', '')}\r\n"
            f"engine-seal: {self.id}\r\nkeep-alive: timeout=5\r\n"
            "content-length: 6\r\n\r\n"
        )
        for part in (head.encode() + b"ans", b"wer"):
            await asyncio.sleep(test_silence.INTERVAL_S)
            await self.pause()
            writer.write(part)

    def reset(self):
        for writer in self._writers:
            writer.reset()


def new_server(service, number):
    """Returns a server whose name depends on its service and number only."""
    return Server(f"{service}-{number}", service, number)


class World:
    """Daemons and their servers, whose configuration a test changes.

    Attributes:
        daemon: The daemon that requests are sent to.
        peers: Other daemons.
        listeners: Their listeners for relayed requests.
        changed: The daemons that a change is applied to.
    """

    def __init__(self, *, configured=True, peers=0):
        self.servers = [
            new_server(service, number)
            for number, service in enumerate(
                itertools.chain(
                    [platform_case.MODEL_SERVICE] * 3,
                    [platform_case.PLAIN_SERVICE] * 3,
                    list(OTHER_SERVICES.values()) * 2,
                )
            )
        ]
        self.daemon, *self.peers = (
            virtual_case.VirtualDaemon(
                self.servers,
                seed=number,
                address=addresses.Address(f"10.0.3.{number}", 9),
            )
            for number in range(1, peers + 2)
        )
        self.listeners = [
            virtual_case.RelayListener(peer) for peer in self.peers
        ]
        for listener in self.listeners:
            self.daemon.peer_connector.add(listener)
        self.changed = (self.daemon, *self.peers)
        self.version = 0
        if configured:
            self.configure()
            self.list_servers(*self.servers)

    def configure(self, routes=ROUTES, services=(), removed=(), key=None):
        """Applies the next version.

        Args:
            routes: Its routes.
            services: Services with other properties.
            removed: Services that it has no more.
            key: Its only key.
        """
        self.version += 1
        configuration = platform_case.configuration(
            self.version, *routes, api_keys=(key or platform_case.KEY,)
        )
        known = [
            *configuration["services"],
            *(
                {**service, "name": OTHER_SERVICES[service["name"]]}
                for service in configuration["services"]
            ),
        ]
        changed = {service["name"]: service for service in services}
        configuration["services"] = [
            changed.get(service["name"], service)
            for service in known
            if service["name"] not in removed
        ]
        for daemon in self.changed:
            daemon.configure(configuration)

    def list_servers(self, *servers):
        """Applies a listing of all servers."""
        for daemon in self.changed:
            daemon.list_servers(servers)

    def apply(self, change, path):
        """Makes one change that concerns the route of a path."""
        route = next(r for r in ROUTES if path.startswith(r["path_prefix"]))
        others = tuple(r for r in ROUTES if r is not route)
        service = route["service"]
        moved = {**route, "service": OTHER_SERVICES[service]}
        match change:
            case Change.ROUTE_REMOVED:
                self.configure(others)
            case Change.ROUTE_MOVED:
                self.configure((*others, moved))
            case Change.ROUTE_TIGHTENED:
                tight = {
                    **route,
                    "timeout_ms": 50,
                    "target_latency_ms": 1,
                    "max_attempts": 1,
                }
                self.configure((*others, tight))
            case Change.ROUTE_RESTRICTED:
                kind = "unsafe" if route["kind"] == "safe" else route["kind"]
                restricted = {**route, "kind": kind, "resumable": False}
                self.configure((*others, restricted))
            case Change.SERVICE_REMOVED:
                self.configure(others, removed=(service,))
            case Change.SERVICE_REMOVED_ALONE:
                self.configure(removed=(service,))
            case Change.SERVICE_PLAIN:
                plain = {"name": service, "max_connections": 1}
                self.configure(services=(plain,))
            case Change.KEY_WITHDRAWN:
                self.configure(key=NEW_KEY)
            case Change.SERVERS_GONE:
                self.configure(others, removed=(service,))
                self.remove_servers(service)
            case Change.SERVERS_LEFT:
                self.remove_servers(service)
            case Change.SERVERS_REPLACED:
                self.configure((*others, moved))
                self.replace_servers(service)
                self.configure()

    def remove_servers(self, service):
        """Applies a listing without the servers of a service."""
        self.list_servers(*(s for s in self.servers if s.service != service))

    def replace_servers(self, service):
        """Has new servers with the names of the old ones take over."""
        replaced = [
            new_server(service, number)
            for number, server in enumerate(self.servers)
            if server.service == service
        ]
        for number, server in enumerate(replaced):
            server.incarnation = 2
            server.address = dataclasses.replace(
                server.address, host=f"10.0.1.{number + 1}"
            )
            for daemon in (self.daemon, *self.peers):
                daemon.connector.add(server)
        self.servers += replaced
        self.list_servers(
            *(
                server
                for server in self.servers
                if server.service != service or server in replaced
            )
        )

    async def storm(self, path):
        """Makes all changes one after the other, and withdraws the key."""
        for change in itertools.islice(
            itertools.cycle(STORM_CHANGES), STORM_VERSIONS
        ):
            self.apply(change, path)
            await asyncio.sleep(STORM_S / STORM_VERSIONS)
        self.apply(Change.KEY_WITHDRAWN, path)

    async def limit_servers(self):
        """Limits the requests of all servers, which have no permit now."""
        await asyncio.sleep(ISSUING_AFTER_S)
        context = self.daemon.context
        for server in self.servers:
            call = permit_messages.PermitCall(
                1,
                load_reports.hash_incarnation(server.id, server.incarnation),
                LIMIT,
                units.Seconds(0.0),
                as_standby=False,
            )
            context.permits.on_datagram(
                permit_messages.encode_call(call), PEER, context.timers.now()
            )

    async def send(self, path, number):
        """Sends one request; returns the caller and the time it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller = await test_silence.send(self.daemon, path, number)
        return caller, loop.time() - started_at

    @property
    def last_server(self):
        """Server of the last attempt."""
        *_, dispatched = (
            fields
            for daemon in (self.daemon, *self.peers)
            for fields in daemon.events(events.Event.REQUEST_DISPATCHED)
        )
        return next(s for s in self.servers if s.id == dispatched["server"])

    def arrivals(self, number):
        return [
            server
            for server in self.servers
            for _, request in server.arrivals
            if request == f"id-{number}"
        ]


class UnderWayCase(unittest.TestCase):
    """What holds for every request, whatever happens."""

    def assert_truthful(self, path, caller, seconds, arrivals):
        """Checks that a request ended in time, and as was said."""
        self.assertLessEqual(seconds, DEADLINE_S + 0.1)
        self.assertNotEqual(caller.complete, caller.aborted)
        if path not in REPEATABLE:
            self.assertLessEqual(len(arrivals), 1, "ran twice")
        if caller.aborted:
            self.assertTrue(test_silence.WHOLE.startswith(caller.body))
            self.assertNotEqual(caller.body, test_silence.WHOLE)
        elif caller.status == 200:
            self.assertTrue(test_silence.is_whole(path, caller), caller.body)
        elif caller.status == 503:
            self.assertEqual(arrivals, [], "ran, but was said not to have run")
        else:
            self.assertIn(caller.status, (502, 504))

    async def assert_nothing_left(self, world):
        await asyncio.sleep(SETTLING_S)
        self.assertEqual({server.open for server in world.servers}, {0})
        for daemon in (world.daemon, *world.peers):
            context = daemon.context
            context.load_tracker.expire(context.timers.now())
            self.assertEqual(context.load_tracker.local_tasks, ())
            self.assertEqual(context.response_buffers.used, 0)
            self.assertEqual(context.request_buffers.used, 0)
            self.assertEqual(daemon.gateway._open_requests, {})
            self.assertEqual(daemon.relay_handler._open_requests, 0)
            for service in (*OTHER_SERVICES, *OTHER_SERVICES.values()):
                self.assertEqual(context.waiting_room.backlog(service), 0.0)
            self.assertEqual(daemon.events(events.Event.UNEXPECTED_ERROR), [])

    async def assert_in_force(self, world, change, path):
        """Checks that a later request is handled by the newest version."""
        caller, _ = await world.send(path, 9)
        self.assert_handled_by_newest(change, path, caller, world.arrivals(9))

    def assert_handled_by_newest(self, change, path, caller, arrivals):
        expected = LATER_STATUS.get(change)
        if change is Change.SERVICE_PLAIN and path in STREAMS:
            expected = 503
        if expected is not None:
            self.assertEqual(caller.status, expected)
            self.assertEqual(arrivals, [])
            return
        if change is Change.ROUTE_TIGHTENED:
            self.assertFalse(test_silence.is_whole(path, caller))
            return
        self.assertTrue(test_silence.is_whole(path, caller), caller.body)
        if change is Change.ROUTE_MOVED:
            self.assertIn(arrivals[0].service, OTHER_SERVICES.values())
        if change is Change.SERVERS_REPLACED:
            self.assertEqual({s.incarnation for s in arrivals}, {2})


class ConfigurationUnderWayTest(UnderWayCase):
    """Fails if a change takes the answer of a request that is under way."""

    def play(self, path, moment, change, failure):
        async def play():
            world = World()
            connector = world.daemon.connector
            if moment in _CONNECTING:
                connector.delay_s = CONNECT_DELAY_S
            others = []
            if moment is Moment.WAITING:
                await world.limit_servers()
                others = [
                    asyncio.create_task(world.send(path, number))
                    for number in range(2, 5)
                ]
            sending = asyncio.create_task(world.send(path, 1))
            if moment is Moment.BETWEEN_ATTEMPTS:
                await asyncio.sleep(0.01)
                connector.remove(world.last_server)
            await asyncio.sleep(CHANGE_AT_S[moment])
            self.assertFalse(sending.done())
            self.assertEqual(
                len(world.daemon.events(events.Event.REQUEST_DISPATCHED)),
                _DISPATCHED.get(moment, 1),
            )
            self.assertEqual(
                bool(world.arrivals(1)),
                moment in {Moment.BEFORE_FIRST_BYTE, Moment.IN_ANSWER},
            )
            if change is Change.STORM:
                await world.storm(path)
            else:
                world.apply(change, path)
            if failure is not Failure.NONE:
                self.fail_server(world, moment, failure)
            answers = await asyncio.gather(sending, *others)
            for number, (caller, seconds) in enumerate(answers, 1):
                arrivals = world.arrivals(number)
                self.assert_truthful(path, caller, seconds, arrivals)
                if change is Change.SERVERS_REPLACED:
                    self.assertLessEqual(
                        sum(server.incarnation == 1 for server in arrivals),
                        _DISPATCHED.get(moment, 1),
                    )
                if self.must_be_whole(path, moment, change, failure):
                    self.assertTrue(
                        test_silence.is_whole(path, caller),
                        (caller.status, caller.body),
                    )
            connector.delay_s = 0.0
            for server in world.servers:
                server.dead_from = None
                connector.add(server)
            await self.assert_in_force(world, change, path)
            await self.assert_nothing_left(world)

        virtual_case.run(play())

    def fail_server(self, world, moment, failure):
        """Has the server of the last attempt fail."""
        server = world.last_server
        if failure is Failure.SILENCE:
            server.dead_from = 0.0
            return
        if moment in _CONNECTING:
            world.daemon.connector.remove(server)
        server.reset()

    def must_be_whole(self, path, moment, change, failure):
        if moment is Moment.WAITING:
            return change not in WITHOUT_SERVERS
        if failure is Failure.NONE:
            return True
        if change in WITHOUT_SERVERS:
            return False
        not_sent = moment in _CONNECTING and failure is Failure.RESET
        return path in REPEATABLE or not_sent

    def test_no_change_takes_an_answer(self):
        for path, moment, change, failure in itertools.product(
            PATHS, Moment, Change, Failure
        ):
            if moment is Moment.WAITING and failure is not Failure.NONE:
                continue
            with self.subTest(
                path=path,
                moment=moment.value,
                change=change.value,
                failure=failure.value,
            ):
                self.play(path, moment, change, failure)

    def test_the_first_configuration_changes_at_once(self):
        """A request that waits for it is handled by the newest version."""
        for path, change, gap_s in itertools.product(
            PATHS, Change, (0.0, 0.01)
        ):
            with self.subTest(path=path, change=change.value, gap_s=gap_s):

                async def play(path=path, change=change, gap_s=gap_s):
                    world = World(configured=False)
                    sending = asyncio.create_task(world.send(path, 1))
                    await asyncio.sleep(0.05)
                    self.assertFalse(sending.done())
                    world.list_servers(*world.servers)
                    world.configure()
                    if gap_s:
                        await asyncio.sleep(gap_s)
                    first = change
                    if change is Change.STORM:
                        first = STORM_CHANGES[0]
                        await world.storm(path)
                    else:
                        world.apply(change, path)
                    caller, _ = await sending
                    arrivals = world.arrivals(1)
                    if gap_s:
                        self.assertTrue(test_silence.is_whole(path, caller))
                    else:
                        self.assert_handled_by_newest(
                            first, path, caller, arrivals
                        )
                    await self.assert_in_force(world, change, path)
                    await self.assert_nothing_left(world)

                virtual_case.run(play())


class Spread(enum.Enum):
    """Which daemons apply a change before the request is sent, or after."""

    PEERS_FIRST = "peers before the request, the sender after"
    SENDER_FIRST = "sender before the request, the peers after"
    PEERS_MEANWHILE = "peers in the meantime"
    SENDER_MEANWHILE = "sender in the meantime"


class PeerFailure(enum.Enum):
    """What happens to the peer or the server under the request."""

    NONE = "none"
    SERVER_RESET = "server reset"
    SERVER_SILENT = "server silent"
    PEER_FROZEN = "peer frozen"
    PEER_LOST = "peer lost"
    ALL_FROZEN = "all peers frozen from before the request until after its end"


class RelayedUnderWayTest(UnderWayCase):
    """Fails if a change at one of two daemons takes an answer."""

    async def start(self):
        """Returns a world in which a daemon is cut off from the servers."""
        world = World(peers=2)
        asyncio.get_running_loop().create_task(self.report(world))
        await asyncio.sleep(0.0)
        for server in world.servers:
            world.daemon.connector.remove(server)
        for server in world.servers:
            await world.daemon.context.connections.probe(server.address)
        self.assertTrue(world.daemon.context.relay.is_cut_off)
        return world

    async def report(self, world):
        while True:
            for peer in world.peers:
                world.daemon.hear_of(peer)
            await asyncio.sleep(1.0)

    def play(self, path, moment, spread, change, failure):
        async def play():
            world = await self.start()
            peers, sender = tuple(world.peers), (world.daemon,)
            first, then = {
                Spread.PEERS_FIRST: (peers, sender),
                Spread.SENDER_FIRST: (sender, peers),
                Spread.PEERS_MEANWHILE: ((), peers),
                Spread.SENDER_MEANWHILE: ((), sender),
            }[spread]
            if first:
                world.changed = first
                world.apply(change, path)
            if failure is PeerFailure.ALL_FROZEN:
                for listener in world.listeners:
                    listener.running.clear()
            sending = asyncio.create_task(world.send(path, 1))
            await asyncio.sleep(CHANGE_AT_S[moment])
            world.changed = then
            world.version -= bool(first)
            world.apply(change, path)
            running = bool(world.arrivals(1))
            if running:
                self.fail_path(world, failure)
            caller, seconds = await sending
            whole = test_silence.is_whole(path, caller)
            if failure is PeerFailure.NONE and running:
                self.assertEqual(
                    whole,
                    (spread, change)
                    != (Spread.SENDER_FIRST, Change.ROUTE_TIGHTENED),
                    (caller.status, caller.body),
                )
            if running and self.is_repeated(path, spread, change, failure):
                self.assertTrue(whole, (caller.status, caller.body))
            for listener in world.listeners:
                listener.running.set()
            for server in world.servers:
                server.dead_from = None
            await self.assert_nothing_left(world)
            if caller.status in REFUSED_AT_ADMISSION:
                self.assertIs(spread, Spread.SENDER_FIRST)
                return
            # Also what a peer does once it goes on.
            arrivals = world.arrivals(1)
            self.assert_truthful(path, caller, seconds, arrivals)

        virtual_case.run(play())

    def is_repeated(self, path, spread, change, failure):
        """Returns whether a request that was running is sent once more."""
        if path not in REPEATABLE or spread is Spread.SENDER_FIRST:
            return False
        if failure in {PeerFailure.SERVER_RESET, PeerFailure.SERVER_SILENT}:
            return change not in WITHOUT_SERVERS
        return (
            failure in {PeerFailure.PEER_FROZEN, PeerFailure.PEER_LOST}
            and change in SERVICE_KEPT
        )

    def fail_path(self, world, failure):
        """Has the peer of the request fail, or its server."""
        (listener,) = [x for x in world.listeners if x.received]
        match failure:
            case PeerFailure.SERVER_RESET:
                world.last_server.reset()
            case PeerFailure.SERVER_SILENT:
                world.last_server.dead_from = 0.0
            case PeerFailure.PEER_FROZEN:
                listener.running.clear()
            case PeerFailure.PEER_LOST:
                listener.reset()

    def test_an_unknown_service_takes_no_peer_from_other_requests(self):
        """A peer may learn of a service later, or of its end earlier."""
        first = {
            Spread.PEERS_FIRST: Change.SERVICE_REMOVED_ALONE,
            Spread.SENDER_FIRST: Change.ROUTE_MOVED,
        }
        for path, other, spread in itertools.product(PATHS, PATHS, first):
            if (path in STREAMS) == (other in STREAMS):
                continue

            async def play(path=path, other=other, spread=spread):
                world = await self.start()
                world.changed = world.peers
                if spread is Spread.PEERS_FIRST:
                    world.apply(first[spread], path)
                else:
                    world.configure(removed=OTHER_SERVICES.values())
                    world.changed = (world.daemon,)
                    world.apply(first[spread], path)
                caller, _ = await world.send(path, 1)
                self.assertEqual(caller.status, 503)
                self.assertEqual(world.arrivals(1), [])
                caller, _ = await world.send(other, 2)
                self.assertTrue(
                    test_silence.is_whole(other, caller),
                    (caller.status, caller.body),
                )
                await self.assert_nothing_left(world)

            with self.subTest(path=path, other=other, spread=spread.value):
                virtual_case.run(play())

    def test_no_change_takes_an_answer_of_a_peer(self):
        for path, moment, spread, change, failure in itertools.product(
            PATHS,
            (Moment.BEFORE_FIRST_BYTE, Moment.IN_ANSWER),
            Spread,
            [change for change in Change if change is not Change.STORM],
            PeerFailure,
        ):
            with self.subTest(
                path=path,
                moment=moment.value,
                spread=spread.value,
                change=change.value,
                failure=failure.value,
            ):
                self.play(path, moment, spread, change, failure)


if __name__ == "__main__":
    unittest.main()
