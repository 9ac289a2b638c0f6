"""Tests for failure detection among simulated daemons."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import simulation

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states

ALIVE = states.MemberState.ALIVE
SUSPECT = states.MemberState.SUSPECT
DEAD = states.MemberState.DEAD
VMS = [f"vm-{number}" for number in range(5)]


class DetectorTest(unittest.TestCase):
    """Fails if a live daemon is declared dead or a dead one stays alive."""

    def setUp(self):
        self.cluster = simulation.Cluster(5)
        self.cluster.run(5.0)
        self.first = self.cluster.daemons["vm-0"].membership

    def state_of(self, vm):
        return self.first.state_of(ids.VmId(vm))

    def incarnation_state(self, daemon):
        return self.first.incarnation_state(
            daemon.owner, self.cluster.timers.now()
        )

    def test_daemons_discover_each_other_from_two_seed_addresses(self):
        self.assertEqual(self.cluster.disagreements(), [])

    def test_single_failed_rounds_do_not_cause_suspicion(self):
        # Rounds start 0.25 s after each full second; each period of loss covers
        # one round and its indirect probes.
        self.cluster.run(0.8)
        for _ in range(3):
            self.cluster.unreachable.add("vm-4")
            self.cluster.run(1.3)
            self.cluster.unreachable.clear()
            self.cluster.run(1.7)
        changes = [c for d in self.cluster.daemons.values() for c in d.events]
        self.assertFalse([c for c in changes if c.record.state is SUSPECT])

    def test_repeated_pauses_of_a_daemon_suspect_no_member(self):
        paused = self.cluster.daemons["vm-4"]
        for _ in range(4):
            paused.paused = True
            self.cluster.run(5.0)
            paused.events.clear()
            paused.resume()
        self.assertFalse(paused.events)

    def test_killed_daemon_is_suspected_then_dead(self):
        killed = self.cluster.kill("vm-4")
        self.cluster.run(3.5)
        self.assertIs(self.state_of("vm-4"), SUSPECT)
        self.cluster.run(8.0)
        self.assertIs(self.incarnation_state(killed), DEAD)

    def test_vm_list_shortens_suspicion_but_does_not_suffice_alone(self):
        live = frozenset(map(ids.VmId, VMS[:3]))
        self.first.on_vm_list(object_store.VmList(live, frozenset()))
        killed = self.cluster.kill("vm-4")
        self.cluster.run(5.5)
        self.assertIs(self.incarnation_state(killed), DEAD)
        self.assertIs(self.state_of("vm-3"), ALIVE)

    def test_false_suspicion_is_refuted_with_a_greater_version(self):
        suspected = self.cluster.daemons["vm-4"]
        before = suspected.membership.own_record.version
        self.cluster.unreachable.add("vm-4")
        self.cluster.run(3.5)
        self.assertIs(self.state_of("vm-4"), SUSPECT)
        self.cluster.unreachable.clear()
        self.cluster.run(4.0)
        self.assertEqual(self.cluster.disagreements(), [])
        self.assertGreater(suspected.membership.own_record.version, before)

    def test_paused_daemon_recovers_and_suspects_no_member(self):
        paused = self.cluster.daemons["vm-4"]
        paused.paused = True
        self.cluster.run(30.0)
        self.assertIs(self.incarnation_state(paused), DEAD)
        paused.events.clear()
        paused.resume()
        self.cluster.run(6.0)
        self.assertEqual(self.cluster.disagreements(), [])
        self.assertFalse(paused.events)

    def test_restarted_process_replaces_the_old_one(self):
        old = self.cluster.kill("vm-4")
        self.cluster.start("vm-4")
        self.cluster.run(6.0)
        self.assertEqual(self.cluster.disagreements(), [])
        self.assertIs(self.incarnation_state(old), DEAD)

    def test_unknown_process_is_suspect_until_its_death_is_confirmed(self):
        unknown = backend_servers.Owner(ids.VmId("vm-4"), ids.Incarnation(9))
        now = self.cluster.timers.now()
        self.assertIs(self.first.incarnation_state(unknown, now), SUSPECT)
        self.cluster.run(6.0)
        now = self.cluster.timers.now()
        self.assertIs(self.first.incarnation_state(unknown, now), DEAD)
        unknown_vm = backend_servers.Owner(ids.VmId("vm-9"), ids.Incarnation(9))
        self.first.incarnation_state(unknown_vm, now)
        self.cluster.run(60.0)
        now = self.cluster.timers.now()
        self.assertIs(self.first.incarnation_state(unknown_vm, now), SUSPECT)

    def test_leaving_daemon_is_no_longer_live_at_once(self):
        leaving = self.cluster.daemons["vm-4"]
        leaving.execute(leaving.gossip.leave(self.cluster.timers.now()))
        self.cluster.run(0.2)
        self.assertIs(self.state_of("vm-4"), states.MemberState.LEAVING)
        self.assertEqual(self.first.known_count, 4)

    def test_two_processes_of_one_vm_do_not_replace_each_other_forever(self):
        old = self.cluster.daemons["vm-4"]
        new = self.cluster.start("vm-4")
        self.cluster.run(6.0)
        self.cluster.daemons["vm-4"] = old
        self.cluster.run(30.0)
        self.assertIs(self.incarnation_state(old), DEAD)
        self.assertLessEqual(new.membership.own_record.generation, 3)

    def test_random_probes_keep_a_large_deployment_consistent(self):
        large = simulation.Cluster(40)
        large.run(20.0)
        self.assertEqual(large.disagreements(), [])
        large.kill("vm-39")
        large.run(60.0)
        self.assertEqual(large.disagreements(), [])


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Applies faults in any order; member lists must converge afterwards."""

    def __init__(self):
        super().__init__()
        self.cluster = simulation.Cluster(5)
        self.cluster.run(4.0)

    def running(self, vm):
        return vm in self.cluster.daemons

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def advance(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def kill_or_restart(self, vm):
        if self.running(vm):
            self.cluster.kill(vm)
        self.cluster.run(0.5)
        self.cluster.start(vm)

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def pause_or_resume(self, vm):
        daemon = self.cluster.daemons[vm]
        if daemon.paused:
            daemon.resume()
        else:
            daemon.paused = True

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.2, 0.6]),
        delay=strategies.sampled_from([0.01, 0.5, 2.0]),
    )
    def degrade(self, loss, delay):
        self.cluster.loss, self.cluster.max_delay = loss, delay

    @stateful.rule(sides=strategies.lists(strategies.booleans(), max_size=5))
    def partition(self, sides):
        self.cluster.partition_of = dict(zip(VMS, sides, strict=False))

    @stateful.rule(vm=strategies.sampled_from(VMS))
    def publish(self, vm):
        self.cluster.daemons[vm].publish(
            cluster.BackendLeavingRecord(ids.BackendServerId(vm), None)
        )

    @stateful.invariant()
    def shares_never_exceed_twice_the_limit(self):
        now = self.cluster.timers.now()
        organisation = ids.OrganisationId("press")
        total = sum(
            daemon.shares.fraction(organisation, now)
            for daemon in self.cluster.daemons.values()
            if daemon.membership.known_count > 1
        )
        self.assertLessEqual(total, 2.0 + 1e-9)

    def assertLessEqual(self, left, right):  # noqa: N802
        """Compares, as a test case does."""
        assert left <= right, (left, right)

    def teardown(self):
        self.cluster.loss, self.cluster.max_delay = 0.0, 0.02
        self.cluster.partition_of = {}
        for daemon in self.cluster.daemons.values():
            if daemon.paused:
                daemon.resume()
        self.cluster.run(40.0)
        assert self.cluster.disagreements() == []


ClusterMachineTest = ClusterMachine.TestCase
ClusterMachineTest.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
