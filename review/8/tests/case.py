"""Repeatable requests of a machine that is partitioned from all engines.

Their peers run them while sound engines fall silent for a second or so. Counts
the engines that one client attempt runs on.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(HERE.parent / "harness-2" / "tests"))

import deployment  # noqa: E402

DAEMONS = 5
# The engines of the service fall silent in each round, and go on.
SILENCE_S = 1.4
WORK_S = 0.06
# Each partition is shorter than the 12 s of the users' example.
PARTITIONS = 3
ROUNDS = 3
REST_S = 4.0
REQUESTS = 3
SPACING_S = 0.03
BEAT_S = 1.2
BEATS = 10
ROUND_S = 3.4
MAX_ATTEMPTS = 2
ALLOWED_REQUESTS = 3


class Engine:
    """A sound engine that has an address of its own for each daemon.

    So the path of one daemon to it can be closed alone.
    """

    def __init__(self, name, record, runs):
        self.id = name
        self._record = record
        self._runs = runs
        # Daemons whose requests have come, by the addresses that they used.
        self.callers = set()
        self._listeners = []
        self._open = collections.defaultdict(set)
        self.silent_until = 0.0

    async def start(self):
        for number in range(DAEMONS):
            self._listeners.append(await self._listen(number, 0))
        self._ports = [
            listener.sockets[0].getsockname()[1] for listener in self._listeners
        ]

    async def _listen(self, number, port):
        return await asyncio.start_server(
            lambda r, w: self._serve(number, r, w), "127.0.0.1", port
        )

    def address(self, number):
        host, port = self._listeners[number].sockets[0].getsockname()
        return f"{host}:{port}"

    async def heal(self, number):
        """Accepts connections of one daemon again."""
        port = self._ports[number]
        self._listeners[number] = await self._listen(number, port)

    def cut(self, number):
        """Refuses and resets the connections of one daemon."""
        self._listeners[number].close()
        for writer in tuple(self._open[number]):
            writer.transport.abort()

    def close(self):
        for number in range(DAEMONS):
            self.cut(number)

    async def _serve(self, number, reader, writer):
        self._open[number].add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {
                    n.strip().lower(): v.strip()
                    for n, _, v in (
                        line.partition(":") for line in head.split("\r\n")[1:]
                    )
                }
                length = int(fields.get("content-length", "0"))
                await reader.readexactly(length)
                attempt = fields.get("attempt-id", "")
                if fields.get("expect-instance") != self.id:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\n"
                        b"Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                        % attempt.encode()
                    )
                    continue
                self._runs[attempt].append(self.id)
                self.callers.add(number)
                self._record.write(
                    f"{self.id} runs {attempt}, from edge-{number}"
                )
                await asyncio.sleep(WORK_S)
                silence = self.silent_until - time.monotonic()
                await asyncio.sleep(max(0.0, silence))
                body = self.id.encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                    b"Engine-Seal: seal-%s\r\nKeep-Alive: timeout=5\r\n"
                    b"Content-Length: %d\r\n\r\n%s"
                    % (attempt.encode(), body, len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open[number].discard(writer)
            writer.transport.abort()


class SplitDeployment(deployment.Deployment):
    """Each daemon sees the same store with its own addresses of engines."""

    async def start_split(self, engines):
        from lavendershed.standin import platform_store

        self.stores = [
            platform_store.StandinPlatformStore(self.timers)
            for _ in range(DAEMONS)
        ]
        for store in self.stores:
            await store.start()
            store.put("config", "main", deployment.configuration(1))
        for engine in engines:
            await engine.start()
        self.beat(engines, 1)
        seeds = [self.network.host(n) for n in range(3)]
        self.daemons = [
            deployment.Daemon(
                self.network,
                number,
                self.stores[number].address,
                self.directory,
                self.record,
                seeds,
            )
            for number in range(DAEMONS)
        ]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def beat(self, engines, seq):
        """Writes the entries of all engines, as these do at each beat."""
        for engine in engines:
            service = re.sub(r"^i-|-\d+$", "", engine.id)
            for number, store in enumerate(self.stores):
                store.put(
                    "servers",
                    engine.id,
                    {
                        "service": service,
                        "address": engine.address(number),
                        "zone": "varna-a",
                        "version": "v1",
                        "slots": 8,
                        "state": "ready",
                        "cold_remaining_ms": 0,
                        "born": 1_700_000_000_000,
                        "seq": seq,
                    },
                )

    async def close(self):
        for store in getattr(self, "stores", ()):
            store.close()
        await super().close()


async def ask(played, name, results):
    """Sends one repeatable request to the first daemon."""
    attempt, data = deployment.request("GET", f"/lookup/{name}", 3_000)
    played.record.write(f"request {attempt} is sent to edge-0")
    answer = await deployment.exchange(played.daemons[0].callers, data, 4.0)
    played.record.write(f"request {attempt}: {answer}")
    results[attempt] = answer


async def play_round(played, engines, name, results):
    """Sends some requests while all engines of their service are silent."""
    started = time.monotonic()
    for engine in engines:
        engine.silent_until = started + SILENCE_S
        played.record.write(f"{engine.id} is silent for {SILENCE_S} s")
    tasks = []
    for number in range(REQUESTS):
        tasks.append(
            asyncio.create_task(ask(played, f"{name}-{number}", results))
        )
        await asyncio.sleep(SPACING_S)
    await asyncio.gather(*tasks)
    rest = started + ROUND_S - time.monotonic()
    await asyncio.sleep(max(0.0, rest))


async def run(played):
    """Returns whether requests ran on too many engines."""
    runs = collections.defaultdict(list)
    engines = [
        Engine(f"i-{service}-{n}", played.record, runs)
        for service in (deployment.PLAIN, deployment.MODEL)
        for n in range(3)
    ]
    results = {}
    try:
        await played.start_split(engines)
        await ask(played, "first", results)
        if [a.status for a in results.values()] != [200]:
            raise deployment.NotRunError("the deployment does not serve")
        # Daemons take their first list from each other. The beats of engines
        # bring the addresses that each of them has to use.
        for beat in range(2, 2 + BEATS):
            played.beat(engines, beat)
            await asyncio.sleep(BEAT_S)
            for engine in engines:
                engine.callers.clear()
            for number in range(9):
                await ask(played, f"beat-{beat}-{number}", results)
            if all(engine.callers == {0} for engine in engines[:3]):
                break
        else:
            raise deployment.NotRunError("edge-0 uses other paths")
        # New processes have their share of the retry budget after a window.
        await asyncio.sleep(8.0)
        for partition in range(PARTITIONS):
            if deployment.TROUBLE:
                played.record.write("edge-0 is partitioned from all engines")
                for engine in engines:
                    engine.cut(0)
            for number in range(3):
                await ask(played, f"settling-{partition}-{number}", results)
                await asyncio.sleep(0.3)
            for number in range(ROUNDS):
                await play_round(
                    played, engines[:3], f"{partition}-{number}", results
                )
            if deployment.TROUBLE:
                for engine in engines:
                    await engine.heal(0)
                played.record.write("edge-0 reaches the engines again")
            await asyncio.sleep(REST_S)
    finally:
        for engine in engines:
            engine.close()
    beyond = {a: e for a, e in runs.items() if len(set(e)) > MAX_ATTEMPTS}
    for attempt, names in beyond.items():
        played.record.write(f"{attempt} has run on {', '.join(names)}")
    played.record.write(
        f"{len(results)} requests, "
        f"{sum(a.status == 200 for a in results.values())} with 200; "
        f"{len(beyond)} of them ran on more than {MAX_ATTEMPTS} engines"
    )
    return len(beyond) > ALLOWED_REQUESTS


if __name__ == "__main__":
    deployment.main(HERE, run, DAEMONS, SplitDeployment)
