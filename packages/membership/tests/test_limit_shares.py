"""Tests for the per-daemon shares of organisation limits."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.membership import limit_shares

PRESS = ids.OrganisationId("press")
INTERVAL = units.Seconds(1.5)


def demand(tokens):
    """Returns a demand record of one organisation."""
    return cluster.DemandRecord(
        (cluster.OrganisationDemand(PRESS, 0.0, tokens),) if tokens else ()
    )


class Shares:
    """Daemons that exchange demand records with random delays."""

    def __init__(self, size, seed):
        self.random = random.Random(seed)
        self.timers = timers.VirtualTimerService()
        self.tokens = [0.0] * size
        self.partitioned = False
        self.owners = [
            backend_servers.Owner(ids.VmId(str(i)), ids.Incarnation(i))
            for i in range(size)
        ]
        self.all = [limit_shares.LimitShares() for _ in range(size)]
        vms = frozenset(owner.vm for owner in self.owners)
        for owner, shares in zip(self.owners, self.all, strict=True):
            shares.on_members(vms - {owner.vm}, size, False)

    def publish(self):
        now = self.timers.now()
        half = len(self.all) // 2
        for i, shares in enumerate(self.all):
            record = demand(self.tokens[i])
            shares.on_local_demand(record, now)
            for j, other in enumerate(self.all):
                if i == j or (self.partitioned and (i < half) != (j < half)):
                    continue
                self.deliver(i, other, record, self.random.uniform(0.0, 2.0))

    def deliver(self, i, other, record, delay):
        # Forwarding daemons subtract the delay from the lifetime.
        lifetime = units.Seconds(limit_shares.DEMAND_WINDOW - delay)
        when = units.after(self.timers.now(), units.Seconds(delay))
        self.timers.schedule_at(
            when,
            lambda: other.on_peer_demand(
                self.owners[i], record, lifetime, self.timers.now()
            ),
        )

    def run(self, rounds):
        for _ in range(rounds):
            self.publish()
            self.timers.advance(INTERVAL)

    def fractions(self):
        now = self.timers.now()
        return [shares.fraction(PRESS, now) for shares in self.all]


class LimitSharesTest(unittest.TestCase):
    """Fails if daemons together admit more than the limit."""

    def test_share_follows_demand_and_keeps_the_guaranteed_share(self):
        shares = Shares(4, 1)
        shares.tokens = [900.0, 100.0, 0.0, 0.0]
        shares.run(10)
        fractions = shares.fractions()
        self.assertAlmostEqual(fractions[0], 0.05 + 0.8 * 0.9)
        self.assertAlmostEqual(fractions[3], 0.05)
        self.assertAlmostEqual(sum(fractions), 1.0)

    @hypothesis.given(
        strategies.integers(2, 6),
        strategies.integers(0, 1_000),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.sampled_from([0.0, 1.0, 50.0, 10_000.0]),
            ),
            min_size=5,
            max_size=30,
        ),
    )
    @hypothesis.settings(derandomize=True, database=None, max_examples=60)
    def test_sum_never_exceeds_one_while_demand_changes(
        self, size, seed, changes
    ):
        shares = Shares(size, seed)
        shares.run(5)
        for daemon, tokens in changes:
            shares.tokens[daemon % size] = tokens
            shares.run(1)
            self.assertLessEqual(sum(shares.fractions()), 1.0 + 1e-9)

    def test_stale_demand_falls_back_to_equal_shares(self):
        shares = Shares(4, 1)
        shares.tokens = [900.0, 100.0, 0.0, 0.0]
        shares.run(10)
        shares.timers.advance(limit_shares.DEMAND_WINDOW)
        self.assertEqual(shares.fractions(), [0.25] * 4)

    def test_partition_never_more_than_doubles_the_limit(self):
        shares = Shares(4, 1)
        shares.tokens = [900.0, 0.0, 0.0, 900.0]
        shares.run(10)
        shares.partitioned = True
        for _ in range(20):
            shares.run(1)
            self.assertLessEqual(sum(shares.fractions()), 2.0 + 1e-9)
        self.assertEqual(shares.fractions(), [0.25] * 4)


if __name__ == "__main__":
    unittest.main()
