"""Digits without end, in place of an event's id, end the daemon."""

from __future__ import annotations

import asyncio
import pathlib

import deployment
import ends
import servers

# Bytes that are no answer: digits, with a blank line now and then.
_BYTES = b"1" * 8_192 + b"\n\n"


async def _flood(
    server: servers.Server,
    arrival: servers.Arrival,
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Sends a sound head, and digits until the caller closes."""
    head = server.answer_head(arrival, "Content-Type: text/event-stream")
    writer.write(head + b"\r\nid: ")
    while True:
        writer.write(_BYTES)
        await writer.drain()
        await asyncio.sleep(0.01)


def _traffic(world: deployment.Deployment) -> list[asyncio.Task[None]]:
    return [
        world.background(
            10.0,
            lambda: world.request("GET", "/proof/p", deadline_ms=1_500),
        ),
        world.background(
            60.0,
            lambda: world.request("POST", "/desk/d", b"ask", tokens="4960,900"),
        ),
    ]


async def _case(world: deployment.Deployment) -> bool:
    return await ends.count_ends(
        world,
        world.engines[:3],
        _flood,
        one_in=20,
        windows=5,
        start_traffic=lambda: _traffic(world),
    )


if __name__ == "__main__":
    deployment.run(_case, pathlib.Path(__file__).parent)
