"""Ordinary callers beside a crowd; the check is that of CONFIG's time limit."""

from __future__ import annotations

import asyncio

import crowd
import deployment

# As in the configuration of a small site: the timeout of the route.
TIMEOUT_S = 1.5
LATE_S = 0.5
_REQUESTS = 20
_INTERVAL_S = 0.5
_SETTLING_S = 3.0


async def _ask(played, daemon, name, results):
    attempt, data = deployment.request("GET", f"/lookup/{name}", 3_000)
    played.record.write(f"ordinary request {attempt} is sent")
    answer = await deployment.exchange(daemon.callers, data, TIMEOUT_S + LATE_S)
    played.record.write(f"ordinary request {attempt}: {answer}")
    results.append(answer)


async def _check_readiness(played, daemon, statuses):
    while True:
        status = await daemon.readiness_status(1.0)
        statuses.append(status)
        if status != 200:
            played.record.write("the balancer's question has no 200")
        await asyncio.sleep(1.0)


async def run(played, connections, head, part, repeats, what, *, trouble):
    """Returns whether ordinary requests had no answer in time.

    Args:
        played: The deployment.
        connections: Connections of the crowd.
        head: What each of them sends first.
        part: What each of them sends after that.
        repeats: How often it sends that part.
        what: Describes this for the record.
        trouble: Whether there is a crowd at all.
    """
    await played.start()
    daemon = played.daemons[0]
    results = []
    await _ask(played, daemon, "first", results)
    if results.pop().status != 200:
        raise deployment.NotRunError("the deployment does not serve")
    await asyncio.sleep(_SETTLING_S)
    members = None
    if trouble:
        played.record.write(f"{connections} connections: {what}")
        members = crowd.Crowd(daemon.callers, connections, head, part, repeats)
    statuses = []
    readiness = asyncio.create_task(_check_readiness(played, daemon, statuses))
    try:
        await asyncio.sleep(1.0)
        tasks = []
        for number in range(_REQUESTS):
            tasks.append(
                asyncio.create_task(_ask(played, daemon, number, results))
            )
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        readiness.cancel()
        if members is not None:
            members.leave()
    late = [a for a in results if a.seconds >= TIMEOUT_S]
    unanswered = [a for a in late if a.status is None]
    refused = [a for a in results if a.status is None and a not in late]
    played.record.write(
        f"{len(results)} ordinary requests: "
        f"{sum(a.status == 200 for a in results)} with 200, "
        f"{len(refused)} that ended early without an answer, "
        f"{len(late)} unanswered at {TIMEOUT_S} s, "
        f"{len(unanswered)} of these at {TIMEOUT_S + LATE_S} s"
    )
    played.record.write(
        f"{len(statuses)} questions for readiness: "
        f"{sum(s != 200 for s in statuses)} without 200"
    )
    return len(unanswered) > len(late) / 2
