"""Model of daemons that follow the evacuations of a store that is restored."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import test_deployment_view as examples
import test_store_machine as store_model

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import store_watcher

KIND = codecs.ObjectKind.EVACUATIONS
DAEMONS = 3
ZONES = ("a", "b")


class EvacuationMachine(stateful.RuleBasedStateMachine):
    """Guards against evacuations that a daemon misses, loses or keeps.

    The store is restored, compacted and cut off; daemons restart and take state
    from each other. In the end all know the zones that the operator evacuated.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = timers.VirtualTimerService()
        self.clock.advance(units.Seconds(100.0))
        self.store = store_model.Store()
        self.copy = self.store.copy()
        self.evacuated = set()
        self.daemons = [self.new_daemon() for _ in range(DAEMONS)]

    def new_daemon(self):
        return store_model.Daemon(self.store, self.clock, (KIND,))

    def teardown(self):
        for zone in set(self.store.objects[KIND]) - self.evacuated:
            self.store.delete(KIND, zone)
        for zone in self.evacuated:
            self.store.put(KIND, zone, b"{}")
        for daemon in self.daemons:
            daemon.sources[KIND].cut = False
            for _ in range(store_model.MAX_FINAL_CALLS):
                self.call(daemon)
        self.clock.advance(units.Seconds(60.0))
        for daemon in self.daemons:
            daemon.view.expire(self.clock.now())
            assert self.zones(daemon) == self.evacuated
        self.loop.close()

    def zones(self, daemon):
        return daemon.view.evacuations.evacuations.zones

    def call(self, daemon):
        before = daemon.view.known_state.evacuations
        with mock.patch.object(store_watcher, "_BATCH_DELAY", 0.0):
            self.loop.run_until_complete(daemon.call(KIND))
        assert daemon.view.known_state.evacuations >= before

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def evacuate(self, zone):
        self.evacuated.add(zone)
        self.store.put(KIND, zone, b"{}")

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def take_back(self, zone):
        self.evacuated.discard(zone)
        self.store.delete(KIND, zone)

    @stateful.rule()
    def copy_store(self):
        self.copy = self.store.copy()

    @stateful.rule()
    def restore_store(self):
        self.store.restore(self.copy)

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def lose_evacuation(self, zone):
        """The store comes back without an evacuation that was seen."""
        self.take_back(zone)
        self.copy_store()
        self.evacuate(zone)
        self.follow_store()
        seen = [daemon for daemon in self.daemons if zone in self.zones(daemon)]
        self.restore_store()
        self.follow_store()
        for daemon in seen:
            assert zone in self.zones(daemon)

    @stateful.rule()
    def compact_history(self):
        self.store.compact()

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def cut_or_heal(self, number):
        source = self.daemons[number].sources[KIND]
        source.cut = not source.cut

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def restart(self, number):
        self.daemons[number] = self.new_daemon()

    @stateful.rule(number=strategies.integers(0, DAEMONS - 1))
    def call_once(self, number):
        self.call(self.daemons[number])

    @stateful.rule()
    def follow_store(self):
        """All daemons that reach the store see what it has."""
        for daemon in self.daemons:
            for _ in range(store_model.MAX_FINAL_CALLS):
                self.call(daemon)

    @stateful.rule(
        receiving=strategies.integers(0, DAEMONS - 1),
        sending=strategies.integers(0, DAEMONS - 1),
    )
    def exchange_state(self, receiving, sending):
        """As the fetcher does for a peer that reports newer evacuations."""
        receiver = self.daemons[receiving].view
        sender = self.daemons[sending].view
        reported = sender.evacuations.evacuations.last_change
        if reported > receiver.evacuations.known_revision:
            examples.take_state(receiver, sender, self.clock.now())
            assert receiver.evacuations.known_revision >= reported

    @stateful.rule()
    def pass_time(self):
        self.clock.advance(units.Seconds(1.0))
        for daemon in self.daemons:
            daemon.view.expire(self.clock.now())


EvacuationMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
)
EvacuationMachineTest = EvacuationMachine.TestCase

if __name__ == "__main__":
    unittest.main()
