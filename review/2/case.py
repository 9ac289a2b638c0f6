"""A spoiled byte in the head of a server's answer ends the daemon."""

from __future__ import annotations

import asyncio
import pathlib

import deployment
import ends
import servers


async def _spoil(
    server: servers.Server,
    arrival: servers.Arrival,
    _: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Sends an answer whose head has one wrong byte."""
    body = f"{server.id} answers {arrival.id}\n".encode()
    head = server.answer_head(
        arrival, "Content-Type: text/plain", f"Content-Length: {len(body)}"
    )
    # The highest bit of the letter i has turned.
    spoiled = head.replace(b"text/plain", b"text/pla\xe9n")
    writer.write(spoiled + b"\r\n" + body)
    await writer.drain()
    return True


def _traffic(world: deployment.Deployment) -> list[asyncio.Task[None]]:
    return [
        world.background(
            100.0,
            lambda: world.request("GET", "/proof/p", deadline_ms=1_500),
        ),
        world.background(
            10.0,
            lambda: world.request(
                "POST", "/booking/b", b"book", deadline_ms=1_500
            ),
        ),
        world.background(
            10.0,
            lambda: world.request("POST", "/desk/d", b"ask", tokens="4960,900"),
        ),
    ]


async def _case(world: deployment.Deployment) -> bool:
    return await ends.count_ends(
        world,
        world.ledgers[:1],
        _spoil,
        one_in=25,
        windows=4,
        start_traffic=lambda: _traffic(world),
    )


if __name__ == "__main__":
    deployment.run(_case, pathlib.Path(__file__).parent)
