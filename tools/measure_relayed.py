"""Measures the processor time of a request that runs at a peer.

Two daemons and the stand-ins run in this process. The same requests are sent to
a daemon that reaches the servers and to one that is cut off; the difference is
what both daemons spend on passing them on.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time

import measure_logging
import result

from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.standin import soak_deployment
from lavendershed.transport import boot_timers
from lavendershed.transport import client
from lavendershed.transport import errors

_ROUNDS = 5
_REQUESTS_PER_ROUND = 60
_KEY = "measured"
_SETTLING_S = 3.0
_EVENTS = (3, 53)


class CutConnector(connections.Connector):
    """Refuses all connections."""

    async def connect(
        self, address: addresses.Address, timeout: units.Seconds
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        """Refuses a connection."""
        return result.Err(
            errors.TransportError(
                errors.TransportErrorKind.CONNECT_FAILED, False, str(address)
            )
        )


async def measure(address: addresses.Address, kind: str) -> float:
    """Returns the median processor time of a request in microseconds."""
    times = []
    for round_number in range(_ROUNDS):
        start = round_number * _REQUESTS_PER_ROUND
        started = time.process_time()
        await measure_logging.send(
            address, kind, range(start, start + _REQUESTS_PER_ROUND)
        )
        times.append((time.process_time() - started) / _REQUESTS_PER_ROUND)
    return statistics.median(times) * 1e6


async def main() -> None:
    """Prints the times of direct and of relayed requests."""
    loop = asyncio.get_running_loop()
    timer_service = boot_timers.BootTimerService(loop)
    deployment = soak_deployment.SoakDeployment(
        soak_deployment.SoakOptions(daemons=0, engines=2, plain_servers=2),
        random.Random(1),
        timer_service,
    )
    await deployment.start(_KEY)
    log = measure_logging.NullEventLog()
    store = deployment.store.address
    peer = measure_logging.free_address()
    reaching, reaching_task = await measure_logging.start_daemon(
        log, store, timer_service, (), None, peer
    )
    cut_off, cut_off_task = await measure_logging.start_daemon(
        log, store, timer_service, (peer,), CutConnector()
    )
    await measure_logging.send(cut_off, "safe", range(2))
    await asyncio.sleep(_SETTLING_S)
    for kind, event_counts in (("safe", (0,)), ("stream", _EVENTS)):
        for event_count in event_counts:
            for engine in deployment.backend_servers:
                engine.event_interval_s = 0.0
                engine.events_per_stream = event_count
            direct = await measure(reaching, kind)
            relayed = await measure(cut_off, kind)
            print(
                f"{kind}, {event_count} events: {direct:.0f} us direct, "
                f"{relayed:.0f} us relayed, difference "
                f"{relayed - direct:.0f} us"
            )
    for task in (reaching_task, cut_off_task):
        task.cancel()
    await asyncio.gather(reaching_task, cut_off_task, return_exceptions=True)
    await deployment.close()


if __name__ == "__main__":
    asyncio.run(main())
