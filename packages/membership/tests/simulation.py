"""Simulation of daemons with a virtual clock and an unreliable network."""

from __future__ import annotations

import random

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.membership import detector
from lavendershed.membership import dissemination
from lavendershed.membership import gossip
from lavendershed.membership import limit_shares
from lavendershed.membership import messages
from lavendershed.membership import records

TICK = units.Seconds(0.25)


class FixedSizer(records.RecordSizer):
    """Reports fixed record sizes."""

    def member_size(self, record):
        return units.Bytes(80)

    def record_size(self, record):
        return units.Bytes(100)


class Daemon:
    """The protocol objects of one daemon process, driven by the cluster."""

    def __init__(self, cluster, vm, incarnation, seed_addresses):
        self.cluster = cluster
        self.owner = backend_servers.Owner(
            ids.VmId(vm), ids.Incarnation(incarnation)
        )
        sizer = FixedSizer()
        membership = detector.Membership(
            records.MemberRecord(
                self.owner,
                1,
                1,
                states.MemberState.ALIVE,
                records.PeerAddress(vm),
                ids.AvailabilityZoneId("zone"),
            ),
            sizer,
            random.Random(incarnation),
            seed_addresses,
        )
        self.gossip = gossip.Gossip(
            membership,
            dissemination.Dissemination(self.owner, sizer),
            sizer,
        )
        self.shares = limit_shares.LimitShares()
        self.paused = False
        self.inbox = []
        self.events = []
        self.sent_bytes = 0
        self.timer = cluster.timers.schedule_every(TICK, self.tick)

    @property
    def membership(self):
        return self.gossip.membership

    def tick(self):
        if self.paused:
            return
        now = self.cluster.timers.now()
        self.execute(self.gossip.on_timer(now))
        membership = self.membership
        self.shares.on_members(
            frozenset(membership.live) - {self.owner.vm},
            membership.known_count,
            membership.partition_suspected,
        )

    def receive(self, message):
        if self.paused:
            self.inbox.append(message)
            return
        now = self.cluster.timers.now()
        self.execute(self.gossip.on_message(message, now))

    def resume(self):
        self.paused = False
        self.tick()
        waiting, self.inbox = self.inbox, []
        for message in waiting:
            self.receive(message)

    def publish(self, content):
        now = self.cluster.timers.now()
        self.execute(self.gossip.publish(content, now))

    def execute(self, commands):
        for command in commands:
            if isinstance(command, messages.Send):
                self.cluster.send(self.owner.vm, command)
            else:
                self.events.append(command)


class Cluster:
    """Simulated daemons and the network between them."""

    def __init__(self, size, seed=1):
        self.random = random.Random(seed)
        self.timers = timers.VirtualTimerService()
        self.loss = 0.0
        self.max_delay = 0.05
        self.partition_of = {}
        self.unreachable = set()
        self.daemons = {}
        for number in range(size):
            self.start(f"vm-{number}")

    def start(self, vm):
        """Starts a process with two other daemons as seed addresses."""
        incarnation = self.random.getrandbits(63)
        seed_addresses = sorted(set(self.daemons) - {vm})[:2]
        self.daemons[vm] = Daemon(self, vm, incarnation, seed_addresses)
        return self.daemons[vm]

    def kill(self, vm):
        daemon = self.daemons.pop(vm)
        daemon.timer.cancel()
        return daemon

    def run(self, seconds):
        self.timers.advance(units.Seconds(seconds))

    def send(self, sender, command):
        receiver = str(command.recipient)
        if (
            self.random.random() < self.loss
            or receiver in self.unreachable
            or self.partition_of.get(sender) != self.partition_of.get(receiver)
        ):
            return
        delay = self.random.uniform(0.0, self.max_delay)

        def deliver():
            daemon = self.daemons.get(receiver)
            if daemon is not None:
                daemon.receive(command.message)

        self.timers.schedule_at(
            units.after(self.timers.now(), units.Seconds(delay)), deliver
        )

    def disagreements(self):
        """Returns the daemons whose live members differ from the processes."""
        owners = {vm: d.owner for vm, d in self.daemons.items()}
        return [
            (vm, daemon.membership.live)
            for vm, daemon in self.daemons.items()
            if set(daemon.membership.live) != set(owners)
            or any(
                daemon.membership.incarnation_state(owner, self.timers.now())
                is not states.MemberState.ALIVE
                for owner in owners.values()
            )
        ]
