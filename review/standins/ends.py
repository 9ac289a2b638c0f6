"""Checks whether daemons end by themselves while servers spoil answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools

import deployment
import servers

# The rule "Fault": on a tenth of the machines in use, two at least, processes
# end by themselves three times, with no disruption there.
_ENDS = 3
_MACHINES = 2
# The largest doses that the site file has for `garble`: share 0.6 of the
# servers, 0.05 of their answers, 5.89 s.
WINDOW_S = 5.5
_PAUSE_S = 5.5


async def count_ends(
    world: deployment.Deployment,
    faulty: list[servers.Server],
    trouble: servers.Behaviour,
    one_in: int,
    windows: int,
    start_traffic: Callable[[], list[asyncio.Task[None]]],
) -> bool:
    """Returns whether the rule held.

    Args:
        world: The deployment.
        faulty: Servers that spoil answers.
        trouble: Sends a spoiled answer.
        one_in: Of so many answers of a faulty server one is spoiled.
        windows: How often the trouble comes.
        start_traffic: Starts the clients.
    """
    traffic = start_traffic()
    await asyncio.sleep(3.0)
    for server in faulty:
        server.trouble = trouble
    for _ in range(windows):
        if deployment.TROUBLE:
            world.note("garble", servers=[s.id for s in faulty], one_in=one_in)
            for server in faulty:
                server.picks = _every(one_in)
        await asyncio.sleep(WINDOW_S)
        for server in faulty:
            server.picks = lambda _: False
        world.note("garble ends")
        await asyncio.sleep(_PAUSE_S)
    for task in traffic:
        task.cancel()
    own_ends = {
        daemon.name: [e.code for e in daemon.endings if e.own]
        for daemon in world.daemons
    }
    machines = sum(len(codes) >= _ENDS for codes in own_ends.values())
    spoiled = sum(a.spoiled for a in world.arrivals)
    served = sum(a.served for a in world.attempts)
    world.note(
        "sum",
        own_ends=own_ends,
        machines=machines,
        spoiled=spoiled,
        sent=len(world.attempts),
        served=served,
    )
    print(f"exit statuses of daemons that ended by themselves: {own_ends}")
    print(f"spoiled answers: {spoiled} of {len(world.arrivals)}")
    print(f"served: {served} of {len(world.attempts)}")
    return machines < _MACHINES


def _every(number: int) -> Callable[[servers.Arrival], bool]:
    count = itertools.count(1)
    return lambda _: next(count) % number == 0
