"""Compares ways to keep the requests of a fleet within a server's limit.

Plays daemons in virtual time that all have requests for one server, and prints
for each policy and fleet the most requests in a window, and the used share of
the limit. Results are in docs/incidents/engine-limit-exceeded.md.
"""

from __future__ import annotations

import abc
import collections
import random

from lavendershed.admission import permit_allocator
from lavendershed.core import ids
from lavendershed.core import units

FLEETS = (8, 60, 195, 730)
LIMIT = units.RequestsPerSecond(1.0)
SERVER = ids.ServerNumber(1)
WINDOW_S = 4.0
DURATION_S = 60.0
# Time until daemons know of a request that another one has sent.
REPORT_DELAY_S = 0.07
# Requests of all daemons for the server, as multiples of its limit.
DEMANDS = (1.0, 20.0)


class Policy(abc.ABC):
    """Decides whether a daemon may send a request."""

    def __init__(self, daemons: int) -> None:
        self._daemons = daemons

    @abc.abstractmethod
    def may_send(self, daemon: int, now: units.Instant) -> bool:
        """Returns whether a daemon may send a request now."""


class EqualShares(Policy):
    """Each daemon has a bucket with an equal share of the limit."""

    def __init__(self, daemons: int) -> None:
        super().__init__(daemons)
        self._buckets = [
            permit_allocator.PermitAllocator() for _ in range(daemons)
        ]

    def may_send(self, daemon: int, now: units.Instant) -> bool:
        """Returns whether the bucket of the daemon has a permit."""
        rate = units.RequestsPerSecond(LIMIT / self._daemons)
        return not self._buckets[daemon].request(
            SERVER, rate, now, as_standby=False
        )


class SharedCount(Policy):
    """Each daemon counts what reports of the others say that they have sent."""

    def __init__(self, daemons: int) -> None:
        super().__init__(daemons)
        self._sent: collections.deque[tuple[units.Instant, int]] = (
            collections.deque()
        )

    def may_send(self, daemon: int, now: units.Instant) -> bool:
        """Returns whether the requests that are known leave room."""
        while self._sent and now - self._sent[0][0] > WINDOW_S:
            self._sent.popleft()
        known = sum(
            sender == daemon or now - at > REPORT_DELAY_S
            for at, sender in self._sent
        )
        if known >= LIMIT * WINDOW_S:
            return False
        self._sent.append((now, daemon))
        return True


class Issuer(Policy):
    """One daemon issues the permits of the server."""

    def __init__(self, daemons: int) -> None:
        super().__init__(daemons)
        self._allocator = permit_allocator.PermitAllocator()
        self._denied_until: dict[int, float] = {}
        self.calls = 0

    def may_send(self, daemon: int, now: units.Instant) -> bool:
        """Returns whether the issuer has a permit for the daemon."""
        if now < self._denied_until.get(daemon, 0.0):
            return False
        self.calls += 1
        wait = self._allocator.request(SERVER, LIMIT, now, as_standby=False)
        self._denied_until[daemon] = now + wait
        return not wait


def most_in_window(times: list[float]) -> int:
    """Returns the most requests in a window."""
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


def main() -> None:
    """Prints the figures of each policy."""
    print("policy daemons demand most_in_4s used calls_per_s")
    for demand in DEMANDS:
        for daemons in FLEETS:
            for policy_type in (EqualShares, SharedCount, Issuer):
                generator = random.Random(1)
                policy = policy_type(daemons)
                now = units.Instant(0.0)
                sent: list[float] = []
                while now < DURATION_S:
                    now = units.Instant(
                        now + generator.expovariate(demand * LIMIT)
                    )
                    if policy.may_send(generator.randrange(daemons), now):
                        sent.append(now)
                calls = policy.calls if isinstance(policy, Issuer) else 0
                print(
                    policy_type.__name__,
                    daemons,
                    demand,
                    most_in_window(sent),
                    round(len(sent) / (LIMIT * DURATION_S), 2),
                    round(calls / DURATION_S, 1),
                )


if __name__ == "__main__":
    main()
