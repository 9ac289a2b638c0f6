"""Tests calls to plain services at their limit, on a virtual clock."""

from __future__ import annotations

import asyncio
import random
import unittest

import platform_case
import virtual_case

from lavendershed.core import addresses
from lavendershed.telemetry import events

SERVERS = 3
SLOTS = 6
QUEUE = 3
CALL_S = 0.05
TARGET_S = 0.25
DEADLINE_MS = 1_600
LOOKUP = platform_case.route(
    "/lookup/",
    "safe",
    platform_case.PLAIN_SERVICE,
    target_latency_ms=TARGET_S * 1_000,
    timeout_ms=DEADLINE_MS,
)
ORDER = {**LOOKUP, "name": "order", "path_prefix": "/order/", "kind": "unsafe"}
URGENT = {
    **ORDER,
    "name": "urgent",
    "path_prefix": "/urgent/",
    "priority": 0,
    "public": True,
}


class CallServer(virtual_case.MemoryServer):
    """A server with some slots and a short queue, which sheds what is more.

    Attributes:
        call_s: Time that each call takes.
        failed_share: Share of the calls that it runs and fails.
        arrivals: Ids of the calls that it got.
        refused: Number of calls that it refused.
        run: Ids of the calls that it ran.
    """

    def __init__(self, number):
        super().__init__(
            f"l-{number}", platform_case.PLAIN_SERVICE, 100 + number
        )
        self.call_s = CALL_S
        self.failed_share = 0.0
        self.arrivals = []
        self.refused = 0
        self.run = []
        self._random = random.Random(number)
        self._slots = asyncio.Semaphore(SLOTS)
        self._open = 0

    async def serve(self, reader, writer):
        while True:
            _, _, fields, _ = await self.read_request(reader)
            request = fields["attempt-id"]
            self.arrivals.append(request)
            if self._open >= SLOTS + QUEUE:
                self.refused += 1
                self.answer(
                    writer, request, "503 Full", "not-executed: full\r\n"
                )
                continue
            self._open += 1
            try:
                async with self._slots:
                    self.run.append(request)
                    await asyncio.sleep(self.call_s)
            finally:
                self._open -= 1
            failed = self._random.random() < self.failed_share
            self.answer(writer, request, "500 Oops" if failed else "200 OK")

    def answer(self, writer, request, status, extra=""):
        writer.write(
            f"HTTP/1.1 {status}\r\nattempt-id: {request}\r\n"
            f"engine-seal: {self.id}\r\nkeep-alive: timeout=5\r\n{extra}"
            "content-length: 6\r\n\r\nanswer".encode()
        )


class Answer:
    """An answer and when it came."""

    def __init__(self, path, caller, sent_at, ended_at):
        self.path = path
        self.status = caller.status
        self.headers = caller.headers
        self.seconds = ended_at - sent_at

    @property
    def on_time(self):
        return self.status == 200 and self.seconds <= TARGET_S


def play(sent, change=lambda servers: None):
    """Sends calls, each a time and a path; returns answers and servers."""

    async def main():
        servers = [CallServer(number) for number in range(SERVERS)]
        change(servers)
        daemon = virtual_case.VirtualDaemon(servers, LOOKUP, ORDER, URGENT)
        loop = asyncio.get_running_loop()

        async def send(number, at, path):
            await asyncio.sleep(at)
            sent_at = loop.time()
            # Public routes take the priority of the route.
            keys = {"x_api_key": ""} if path.startswith("/urgent") else {}
            caller = await daemon.request(
                path, number, deadline_ms=str(DEADLINE_MS), **keys
            )
            return Answer(path, caller, sent_at, loop.time())

        answers = await asyncio.gather(
            *(send(n, at, path) for n, (at, path) in enumerate(sent))
        )
        return answers, servers, daemon

    return virtual_case.run(main())


class FailingServerTest(unittest.TestCase):
    """Guards against calls that go on to a server that fails some of them.

    Its health check is good and no two failures come in a row.
    """

    def failed(self, path, failed_shares):
        def change(servers):
            for server, share in zip(servers, failed_shares, strict=True):
                server.failed_share = share

        answers, servers, _ = play(
            [(0.05 * n, path) for n in range(400)], change
        )
        arrivals = [request for server in servers for request in server.run]
        repeats = len(arrivals) - len(set(arrivals))
        return sum(a.status != 200 for a in answers), repeats

    def test_calls_that_run_once_avoid_a_server_that_fails_some(self):
        failed, repeats = self.failed("/order/x", (0.3, 0.0, 0.0))
        self.assertLess(failed, 12)
        self.assertEqual(repeats, 0)

    def test_calls_that_may_be_repeated_avoid_it_at_their_first_attempt(self):
        failed, repeats = self.failed("/lookup/x", (0.3, 0.0, 0.0))
        self.assertEqual(failed, 0)
        self.assertLess(repeats, 12)

    def test_the_second_attempt_goes_to_the_server_with_the_least_share(self):
        failed, _ = self.failed("/lookup/x", (0.5, 0.5, 0.0))
        self.assertLess(failed, 3)

    def test_a_failure_is_passed_on_if_all_servers_fail(self):
        answers, _, _ = play(
            [(0.05 * n, "/lookup/x") for n in range(20)],
            lambda servers: [
                setattr(server, "failed_share", 1.0) for server in servers
            ],
        )
        self.assertEqual({a.status for a in answers}, {500})
        self.assertTrue(all("engine-seal" in a.headers for a in answers))

    def test_a_server_that_hangs_loses_few_calls(self):
        """Its health check is good, and it answers no call for 8 s."""

        def change(servers):
            servers[0].call_s = 8.0

        answers, servers, _ = play(
            [(0.05 * n, "/order/x") for n in range(160)], change
        )
        self.assertLess(len(servers[0].arrivals), 8)
        self.assertGreater(sum(a.on_time for a in answers), 150)

    def test_a_slow_server_gets_few_calls(self):
        def change(servers):
            servers[0].call_s = 0.8

        answers, servers, _ = play(
            [(0.01 * n, "/order/x") for n in range(400)], change
        )
        self.assertLess(len(servers[0].arrivals), 40)
        self.assertGreater(sum(a.on_time for a in answers), 360)


class _Network:
    """Delivers the load reports of daemons, as their UDP sockets would."""

    def __init__(self):
        self.daemons = {}

    def add(self, daemon):
        self.daemons[daemon.address] = daemon
        daemon.load_reporter.connection_made(_Socket(self, daemon.address))

    def start(self):
        for daemon in self.daemons.values():
            for other in self.daemons.values():
                if other is not daemon:
                    daemon.hear_of(other)
            daemon.load_reporter.start_reports()

    def deliver(self, source, datagram, target):
        daemon = self.daemons.get(addresses.Address(*target))
        if daemon is not None:
            asyncio.get_running_loop().call_later(
                0.001,
                daemon.load_reporter.datagram_received,
                datagram,
                (source.host, source.port),
            )


class _Socket:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def sendto(self, datagram, target):
        self._network.deliver(self._address, datagram, target)

    def close(self):
        """Does nothing."""


class FleetTest(unittest.TestCase):
    """Guards against servers that each daemon has to find out by itself.

    Each of many daemons makes a call in some seconds only.
    """

    DAEMONS = 30
    CALLS = 160

    def lost_calls(self, change):
        async def main():
            servers = [CallServer(number) for number in range(SERVERS)]
            change(servers[0])
            network = _Network()
            for number in range(self.DAEMONS):
                address = addresses.Address("10.9.0.1", 7_000 + number)
                network.add(
                    virtual_case.VirtualDaemon(
                        servers, ORDER, seed=number, address=address
                    )
                )
            network.start()
            await asyncio.sleep(2.0)
            daemons = list(network.daemons.values())
            generator = random.Random(4)

            async def send(number):
                await asyncio.sleep(0.05 * number)
                daemon = generator.choice(daemons)
                return await daemon.request(
                    "/order/x", number, deadline_ms=str(DEADLINE_MS)
                )

            callers = await asyncio.gather(*map(send, range(self.CALLS)))
            return sum(caller.status != 200 for caller in callers)

        return virtual_case.run(main())

    def test_all_daemons_avoid_a_server_that_fails_some_calls(self):
        lost = self.lost_calls(lambda s: setattr(s, "failed_share", 0.45))
        self.assertLess(lost, 6)

    def test_all_daemons_avoid_a_server_that_hangs(self):
        lost = self.lost_calls(lambda s: setattr(s, "call_s", 60.0))
        self.assertLess(lost, 6)


class BurstTest(unittest.TestCase):
    """Guards against a burst that servers refuse and callers repeat."""

    # Three times what the servers can do, for 2 s.
    CAPACITY = SERVERS * SLOTS / CALL_S
    RATE = 3 * CAPACITY
    SECONDS = 2.0

    def burst(self, paths):
        count = int(self.RATE * self.SECONDS)
        return play(
            [(n / self.RATE, paths[n % len(paths)]) for n in range(count)]
        )

    def test_servers_refuse_few_calls_and_stay_busy(self):
        answers, servers, _ = self.burst(["/order/x"])
        refused = sum(server.refused for server in servers)
        served = sum(a.status == 200 for a in answers)
        self.assertLess(refused, served / 2)
        self.assertGreater(served, 0.8 * self.CAPACITY * self.SECONDS)

    def test_calls_that_are_answered_are_on_time(self):
        answers, _, _ = self.burst(["/order/x"])
        served = [a for a in answers if a.status == 200]
        late = [a for a in served if not a.on_time]
        self.assertLess(len(late), len(served) / 10)

    def test_refusals_are_true_early_and_name_a_time_of_return(self):
        answers, servers, _ = self.burst(["/order/x"])
        refused = [n for n, a in enumerate(answers) if a.status == 503]
        run = {request for server in servers for request in server.run}
        self.assertGreater(len(refused), 0)
        self.assertEqual({a.status for a in answers}, {200, 503})
        self.assertFalse(run & {f"id-{number}" for number in refused})
        held = sorted(answers[n].seconds for n in refused)
        self.assertLess(held[len(held) // 2], TARGET_S / 8)
        self.assertLess(held[-1], TARGET_S + 0.1)
        returns = {answers[n].headers.get("retry-after") for n in refused}
        self.assertGreater(len(returns), 10)

    def test_urgent_calls_are_served_first(self):
        # A quarter of the calls is urgent, which is less than the capacity.
        answers, _, _ = self.burst(["/urgent/x", *["/order/x"] * 3])
        served = {"/urgent/x": [], "/order/x": []}
        for answer in answers:
            served[answer.path].append(answer.on_time)
        shares = {p: sum(v) / len(v) for p, v in served.items()}
        self.assertGreater(shares["/urgent/x"], 0.9)
        self.assertGreater(shares["/order/x"], 0.05)

    def test_calls_are_served_at_once_after_the_burst(self):
        count = int(self.RATE * self.SECONDS)
        sent = [(n / self.RATE, "/order/x") for n in range(count)]
        sent += [(self.SECONDS + 1.5 + 0.05 * n, "/order/x") for n in range(20)]
        answers, _, daemon = play(sent)
        self.assertTrue(all(a.on_time for a in answers[count:]))
        self.assertTrue(daemon.events(events.Event.REQUEST_QUEUED))


if __name__ == "__main__":
    unittest.main()
