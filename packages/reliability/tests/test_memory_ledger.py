"""Tests for the memory ledger and the detection of orphans."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import reclamation

ENGINES = [ids.BackendServerId(f"engine-{i}") for i in range(2)]
LIMITS = memory_ledger.LedgerLimits(max_entries=6)
STREAM = backend_servers.AllocationKind.STREAM
LOCAL_OWNER = backend_servers.Owner(ids.VmId("vm-1"), ids.Incarnation(1))


def key(engine, name):
    """Returns the key of a stream's allocation."""
    return memory_ledger.AllocationKey(engine, STREAM, name)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Model of crashing engines and release calls that are often lost.

    Every allocation that an engine holds must be in the ledger, and must be
    released once release calls succeed again.
    """

    def __init__(self):
        super().__init__()
        self.clock = timers.VirtualTimerService()
        self.ledger = memory_ledger.MemoryLedger(LIMITS)
        self.held = {engine: set() for engine in ENGINES}
        self.incarnations = dict.fromkeys(ENGINES, ids.Incarnation(1))
        self.names = 0
        self.last_release = {}

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES), answered=strategies.booleans()
    )
    def request(self, engine, answered):
        self.names += 1
        name = key(engine, str(self.names))
        entered = self.ledger.on_requested(name, None)
        if isinstance(entered, result.Err):
            assert len(self.ledger) == LIMITS.max_entries
            return
        self.held[engine].add(name)
        if answered:
            self.ledger.on_confirmed(name, self.incarnations[engine])

    @stateful.precondition(lambda self: any(self.held.values()))
    @stateful.rule(data=strategies.data(), arrives=strategies.booleans())
    def release(self, data, arrives):
        names = sorted(set().union(*self.held.values()), key=str)
        name = data.draw(strategies.sampled_from(names))
        now = self.clock.now()
        commands = self.ledger.start_release(name, now)
        self.execute(commands, arrives)

    @stateful.rule(
        duration=strategies.floats(0.01, 20.0), arrives=strategies.booleans()
    )
    def time_passes(self, duration, arrives):
        self.clock.advance(units.Seconds(duration))
        self.execute(self.ledger.on_timer(self.clock.now()), arrives)

    @stateful.rule(engine=strategies.sampled_from(ENGINES))
    def crash(self, engine):
        self.held[engine].clear()
        self.incarnations[engine] = ids.Incarnation(
            self.incarnations[engine] + 1
        )
        self.ledger.on_incarnation_seen(engine, self.incarnations[engine])

    def execute(self, commands, arrives):
        now = self.clock.now()
        for command in commands:
            before = self.last_release.get(command.key)
            # Differences of instants are rounded: 4.1 - 4.0 is below 0.1.
            assert before is None or now >= units.after(
                before, LIMITS.base_retry_delay
            )
            self.last_release[command.key] = now
            if arrives:
                self.held[command.key.engine].discard(command.key)
                self.ledger.on_released(command.key)

    @stateful.invariant()
    def held_memory_is_in_the_ledger(self):
        for names in self.held.values():
            assert all(name in self.ledger for name in names)
        assert len(self.ledger) <= LIMITS.max_entries

    def teardown(self):
        for name in set().union(*self.held.values()):
            self.ledger.start_release(name, self.clock.now())
        self.clock.advance(LIMITS.max_retry_delay)
        self.execute(self.ledger.on_timer(self.clock.now()), True)
        assert not any(self.held.values())
        assert not self.ledger.pending_releases


class LedgerMachineTest(LedgerMachine.TestCase):
    """Fails if engine memory leaks or a release is retried forever."""

    settings = hypothesis.settings(
        max_examples=100,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
    )


class MemoryLedgerTest(unittest.TestCase):
    """Fails if release commands are lost or retried too fast."""

    def test_releases_are_retried_with_exponential_backoff(self):
        clock = timers.VirtualTimerService()
        ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerLimits())
        name = key(ENGINES[0], "s")
        ledger.on_requested(name, None)
        times = [clock.now() for _ in ledger.start_release(name, 0.0)]
        while len(times) < 6:
            clock.advance(units.Seconds(ledger.next_release_at - clock.now()))
            times += [clock.now() for _ in ledger.on_timer(clock.now())]
        delays = [
            round(b - a, 6) for a, b in zip(times, times[1:], strict=False)
        ]
        self.assertEqual(delays, [0.1, 0.2, 0.4, 0.8, 1.6])

    def test_unconfirmed_entry_survives_a_new_incarnation(self):
        ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerLimits())
        name = key(ENGINES[0], "s")
        ledger.on_requested(name, None)
        ledger.on_incarnation_seen(ENGINES[0], ids.Incarnation(9))
        self.assertIn(name, ledger)


class OrphanDetectorTest(unittest.TestCase):
    """Fails if a live owner's memory is released, or a dead one's is not."""

    def setUp(self):
        self.ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerLimits())
        self.detector = reclamation.OrphanDetector(LOCAL_OWNER, self.ledger)
        self.states = {}

    def round(self, *owners):
        allocations = [
            backend_servers.EngineAllocation(
                STREAM, str(i), owner, units.Bytes(1)
            )
            for i, owner in enumerate(owners)
        ]
        commands = self.detector.on_allocation_list(
            ENGINES[0], allocations, lambda o: self.states[o.vm]
        )
        return [command.key.allocation_id for command in commands]

    def test_owner_must_be_dead_in_two_consecutive_rounds(self):
        other = backend_servers.Owner(ids.VmId("vm-2"), ids.Incarnation(5))
        rounds = []
        for state in ["alive", "dead", "suspect", "dead", "dead"]:
            self.states[other.vm] = states.MemberState(state)
            rounds.append(self.round(other))
        self.assertEqual(rounds, [[], [], [], [], ["0"]])

    def test_skipped_round_breaks_the_sequence(self):
        other = backend_servers.Owner(ids.VmId("vm-2"), ids.Incarnation(5))
        self.states[other.vm] = states.MemberState.DEAD
        self.round(other)
        self.detector.on_engine_skipped(ENGINES[0])
        self.assertEqual(self.round(other), [])

    def test_local_allocations_are_released_only_without_an_entry(self):
        self.ledger.on_requested(key(ENGINES[0], "0"), None)
        self.assertEqual(self.round(LOCAL_OWNER, LOCAL_OWNER), [])
        self.assertEqual(self.round(LOCAL_OWNER, LOCAL_OWNER), ["1"])


if __name__ == "__main__":
    unittest.main()
