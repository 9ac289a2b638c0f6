"""Line ends without end, in place of a stream's events, stop a daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib

import deployment
import servers
import timeouts

_WINDOW_S = 5.5
_BYTES = b"\n" * 65_536


async def _flood(
    server: servers.Server,
    arrival: servers.Arrival,
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Sends a sound head, and line ends until the caller closes."""
    head = server.answer_head(arrival, "Content-Type: text/event-stream")
    writer.write(head + b"\r\n")
    while True:
        writer.write(_BYTES)
        await writer.drain()
        await asyncio.sleep(0)


def _first_digest() -> Callable[[servers.Arrival], bool]:
    """Picks one answer: 0.05 of the twenty of an engine in the window."""
    left = [1]

    def pick(arrival: servers.Arrival) -> bool:
        picked = left[0] > 0 and arrival.target.startswith("/digest/")
        left[0] -= picked
        return picked

    return pick


async def _case(world: deployment.Deployment) -> bool:
    traffic = [
        *timeouts.start_calls(world, 20.0),
        world.background(
            22.0,
            lambda: world.request("POST", "/desk/d", b"ask", tokens="4960,900"),
        ),
        world.background(
            2.0,
            lambda: world.request(
                "POST",
                "/digest/d",
                b"x" * 38_000,
                tokens="45000,500",
                deadline_ms=15_000,
            ),
        ),
    ]
    await asyncio.sleep(3.0)
    faulty = world.engines[:2]
    if deployment.TROUBLE:
        world.note("garble", servers=[s.id for s in faulty])
        for server in faulty:
            server.trouble = _flood
            server.picks = _first_digest()
    await asyncio.sleep(_WINDOW_S)
    for server in faulty:
        server.picks = lambda _: False
    world.note("garble ends")
    await asyncio.sleep(18.0)
    for task in traffic:
        task.cancel()
    spoiled = sum(a.spoiled for a in world.arrivals)
    print(f"streams of line ends: {spoiled} of {len(world.arrivals)}")
    return timeouts.held(world)


if __name__ == "__main__":
    deployment.run(_case, pathlib.Path(__file__).parent)
