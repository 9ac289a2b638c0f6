"""Measures the processor time that a router needs for relaying.

A router and stand-in engines run as separate processes on this machine. The
processor time of the router's process is read before and after each phase and
its idle share is subtracted:

- refused requests give the cost of a request,
- answers of one token give the cost of a stream on top of it,
- long answers give the cost of each further token event.

`paced` sends a token every 33 ms on each stream, so that every event arrives
alone. `burst` sends tokens as fast as the engines can, so that several arrive
together. The tool prints one JSON line per event loop and pace.

`make relay` runs it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import statistics
import tempfile

import click
import orjson

from lavendershed.core import units
from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import load_client

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_STREAM_COUNT = 40
_ANSWER_TOKENS = {"paced": 150, "burst": 1_500}
_DECODE_MS = {"paced": 33.0, "burst": 0.2}
_REQUEST_COUNT = 400
_BATCH_SIZE = 20
_IDLE_PERIOD_S = 5.0
_MICROSECONDS_PER_S = 1e6


class Process:
    """Counters of a running process, from /proc."""

    def __init__(self, pid: int) -> None:
        self._root = pathlib.Path(f"/proc/{pid}")

    def processor_seconds(self) -> float:
        """Returns the user and system time so far."""
        fields = (self._root / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S

    def threads(self) -> int:
        """Returns the number of threads."""
        return len(list((self._root / "task").iterdir()))

    def io_urings(self) -> int:
        """Returns the number of open io_uring instances."""
        count = 0
        for descriptor in (self._root / "fd").iterdir():
            # A connection may close while the folder is read.
            with contextlib.suppress(FileNotFoundError):
                count += "io_uring" in str(descriptor.readlink())
        return count


class Measurement:
    """One router with one event loop and pace."""

    def __init__(
        self, deployment: deployment_module.Deployment, pace: str
    ) -> None:
        self._deployment = deployment
        self._pace = pace
        member = deployment.fleet.member("vm-1")
        self._process = Process(member.process.pid)
        self._address = member.address
        self._idle_share = 0.0

    async def run(self) -> dict[str, float]:
        """Returns the costs in microseconds of processor time."""
        await self._generate_answers(10, 2)
        self._idle_share = await self._measure_idle_share()
        request_s = (
            await self._measure_processor_time(
                self._send_refused_requests(_REQUEST_COUNT)
            )
            / _REQUEST_COUNT
        )
        stream_s = (
            await self._measure_processor_time(
                self._generate_answers(_REQUEST_COUNT, 1)
            )
            / _REQUEST_COUNT
        )
        tokens = _ANSWER_TOKENS[self._pace]
        full_stream_s = (
            await self._measure_processor_time(
                self._generate_answers(_STREAM_COUNT, tokens)
            )
            / _STREAM_COUNT
        )
        return {
            "request_us": request_s * _MICROSECONDS_PER_S,
            "stream_us": (stream_s - request_s) * _MICROSECONDS_PER_S,
            "token_event_us": (full_stream_s - stream_s)
            / (tokens - 1)
            * _MICROSECONDS_PER_S,
            "idle_share_of_core": self._idle_share,
            "threads": self._process.threads(),
            "io_urings": self._process.io_urings(),
        }

    async def _measure_idle_share(self) -> float:
        before = self._process.processor_seconds()
        await asyncio.sleep(_IDLE_PERIOD_S)
        return (self._process.processor_seconds() - before) / _IDLE_PERIOD_S

    async def _measure_processor_time(self, phase: Awaitable[None]) -> float:
        loop = asyncio.get_running_loop()
        before, started = self._process.processor_seconds(), loop.time()
        await phase
        idle_s = (loop.time() - started) * self._idle_share
        return self._process.processor_seconds() - before - idle_s

    async def _send_refused_requests(self, count: int) -> None:
        client = load_client.LoadClient(self._address, "unknown token")
        await self._run_in_batches(
            count,
            lambda n: client.generate(
                "drafting", "rain", 100, 1, units.Seconds(30.0)
            ),
        )

    async def _generate_answers(self, count: int, tokens: int) -> None:
        client = self._deployment.client("vm-1")
        answers = await self._run_in_batches(
            count,
            lambda n: client.generate(
                deployment_module.GENERATE_SERVICE,
                f"prompt {n}",
                100,
                tokens,
                units.Seconds(120.0),
            ),
        )
        endings = {answer.ending for answer in answers}
        if endings != {load_client.OutcomeKind.COMPLETE}:
            raise RuntimeError(f"incomplete answer: {answers[0]}")

    async def _run_in_batches(
        self,
        count: int,
        call: Callable[[int], Awaitable[load_client.RequestOutcome]],
    ) -> list[load_client.RequestOutcome]:
        batch = _STREAM_COUNT if count == _STREAM_COUNT else _BATCH_SIZE
        answers: list[load_client.RequestOutcome] = []
        for start in range(0, count, batch):
            numbers = range(start, min(start + batch, count))
            answers += await asyncio.gather(*(call(n) for n in numbers))
        return answers


async def _measure(loop_name: str, pace: str) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = deployment_module.Deployment(
            pathlib.Path(directory),
            deployment_module.DeploymentOptions(
                routers=1,
                engines=4,
                plain_servers=1,
                router_arguments=("--event-loop", loop_name),
                engine_arguments=("--decode-ms", str(_DECODE_MS[pace])),
            ),
        )
        try:
            await deployment.start()
            return await Measurement(deployment, pace).run()
        finally:
            await deployment.fleet.stop()


@click.command()
@click.option("--rounds", type=int, default=3)
@click.option("--loop", "loops", multiple=True, default=("asyncio", "uvloop"))
@click.option("--pace", "paces", multiple=True, default=("paced", "burst"))
def main(rounds: int, loops: tuple[str, ...], paces: tuple[str, ...]) -> None:
    """Prints the medians over all rounds."""
    for pace in paces:
        results: dict[str, list[dict[str, float]]] = {
            name: [] for name in loops
        }
        # Rounds alternate between the loops, so that other work on the
        # machine affects both equally.
        for _ in range(rounds):
            for name in loops:
                results[name].append(asyncio.run(_measure(name, pace)))
        for name in loops:
            medians = {
                key: round(
                    statistics.median(
                        outcome[key] for outcome in results[name]
                    ),
                    3,
                )
                for key in results[name][0]
            }
            token_event_costs = [
                round(outcome["token_event_us"], 1) for outcome in results[name]
            ]
            line = {
                "loop": name,
                "pace": pace,
                "token_events": token_event_costs,
            }
            click.echo(orjson.dumps(line | medians).decode())


if __name__ == "__main__":
    main()
