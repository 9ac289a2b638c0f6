"""Streams at a daemon that stops are cut off when engines fall silent."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time

import clients
import deployment

# A sound engine may fall silent "for a second or so".
_SILENCE_S = 1.25
# Time from the silence of one engine to that of the next.
_IN_TURN_S = 0.6
_STREAMS_PER_S = 20.0
# Planned work counts until a second after the grace period; what an engine
# still works on in the last sixth of this period is excused.
_PLANNED_S = deployment.GRACE_S + 1.0
_EXCUSED_FROM_S = deployment.GRACE_S * 5 / 6
_KINDS = {"may be resumed": "/desk/d", "may not be resumed": "/draft/d"}


def _streams(world: deployment.Deployment, path: str) -> asyncio.Task[None]:
    return world.background(
        _STREAMS_PER_S,
        lambda: world.request("POST", path, b"ask", tokens="4960,2100"),
    )


def _is_cut(
    world: deployment.Deployment, attempt: clients.Attempt, events: int
) -> bool:
    """Returns whether a stream ended early though its engines went on."""
    last = f"data: piece {events}\n\n".encode()
    runs = [a for a in world.arrivals if a.id == attempt.id and a.run]
    return bool(runs) and not (
        attempt.status >= 400 or attempt.body.endswith(last)
    )


async def _fall_silent(world: deployment.Deployment, stop: int) -> None:
    """Lets one engine fall silent at the first stop, else all in turn."""
    engines = world.engines[:1] if stop == 0 else world.engines
    for engine in engines:
        if deployment.TROUBLE:
            engine.silent_until = time.monotonic() + _SILENCE_S
            world.note("silent", server=engine.id, seconds=_SILENCE_S)
        await asyncio.sleep(_IN_TURN_S)


async def _case(world: deployment.Deployment) -> bool:
    for engine in world.engines:
        # A stream takes two and a half seconds.
        engine.events = 40
        engine.interval_s = 0.06
    traffic = [_streams(world, path) for path in _KINDS.values()]
    await asyncio.sleep(3.0)
    stopped_at: dict[str, float] = {}
    for number, daemon in enumerate(world.daemons):
        daemon.send(signal.SIGTERM)
        stop = time.monotonic()
        stopped_at[daemon.frontend] = stop
        await asyncio.sleep(0.3)
        await _fall_silent(world, number)
        await asyncio.sleep(max(0.0, stop + _PLANNED_S - time.monotonic()))
        while not daemon.in_rotation:  # noqa: ASYNC110 - asked from outside
            await asyncio.sleep(0.1)
    for task in traffic:
        task.cancel()
    await asyncio.sleep(0.1)
    events = world.engines[0].events
    lost = []
    for attempt in world.attempts:
        stop = stopped_at[attempt.daemon]
        planned = stop <= attempt.ended_at <= stop + _EXCUSED_FROM_S
        if planned and _is_cut(world, attempt, events):
            lost.append(attempt)
            world.note(
                "lost",
                id=attempt.id,
                path=attempt.path,
                daemon=attempt.daemon,
                after_stop=round(attempt.ended_at - stop, 3),
                seconds=round(attempt.seconds, 3),
                received=len(attempt.body),
                error=attempt.error,
            )
    for kind, path in _KINDS.items():
        sent = [a for a in world.attempts if a.path == path]
        cut = sum(_is_cut(world, a, events) for a in sent)
        planned_cut = sum(a.path == path for a in lost)
        world.note("sum", kind=kind, sent=len(sent), cut=cut, lost=planned_cut)
        print(f"streams that {kind}: {len(sent)}; cut off: {cut};")
        print(f"of these around the stop of their machine: {planned_cut}")
    return not lost


if __name__ == "__main__":
    deployment.run(_case, pathlib.Path(__file__).parent)
