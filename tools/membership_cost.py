"""Measures the cost of group membership per daemon, by number of daemons.

Runs the decision objects of all daemons in one process on a virtual clock.
Every message is encoded, authenticated, decoded and checked as on a socket;
the cost of system calls is not part of the figures. Members are known from the
start, as after the snapshot that a daemon fetches when it joins.

Usage: python tools/membership_cost.py [number of daemons]..., with the sources
of all libraries on PYTHONPATH.
"""

from __future__ import annotations

import random
import resource
import sys
import time

from lavendershed.core import backend_servers
from lavendershed.core import cluster
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
from lavendershed.peer import authentication
from lavendershed.peer import codec
from lavendershed.peer import envelope
from lavendershed.peer import wire

DEFAULT_SIZES = (8, 16, 32, 64, 128, 256)
# Long enough for the first burst of the byte budget to be used up.
WARM_UP_TIME = units.Seconds(30.0)
MEASUREMENT_TIME = units.Seconds(20.0)
TICK_INTERVAL = units.Seconds(0.2)
DEMAND_INTERVAL = units.Seconds(1.5)
LOAD_INTERVAL = units.Seconds(1.0)
PROPAGATION_STEP = units.Seconds(0.1)
PROPAGATION_LIMIT = units.Seconds(20.0)
ORGANISATIONS = 10
ENGINES = 10
KEY = b"key of the measurement"


class Daemon:
    """The decision objects of one daemon."""

    def __init__(
        self, network: Network, number: int, encoded_snapshot: bytes
    ) -> None:
        self.network = network
        self.random = random.Random(number)
        record = member_record(number)
        sizer = codec.ThriftRecordSizer()
        self.membership = detector.Membership(record, sizer, self.random)
        self.records = dissemination.Dissemination(record.owner, sizer)
        self.gossip = gossip.Gossip(self.membership, self.records, sizer)
        self.limit_share_calculator = limit_shares.LimitShares()
        self.vm = record.owner.vm
        snapshot = codec.snapshot_from_thrift(
            wire.decode(codec.ttypes.Snapshot, encoded_snapshot)
        )
        now = network.timers.now()
        self.membership.on_snapshot(snapshot, now)
        # Records queued on joining aren't part of the steady state.
        while self.membership.take_member_records(units.Bytes(10**6))[0]:
            pass
        for interval, action in (
            (TICK_INTERVAL, self.tick),
            (DEMAND_INTERVAL, self.publish_demand),
            (LOAD_INTERVAL, self.publish_load),
        ):
            # The timers of the daemons are not synchronised.
            start = units.Instant(now + self.random.uniform(0.0, interval))
            network.timers.schedule_at(
                start,
                lambda i=interval, a=action: network.timers.schedule_every(
                    i, a
                ),
            )

    def tick(self) -> None:
        """Runs the gossip timer."""
        self.execute(self.gossip.on_timer(self.network.timers.now()))

    def publish_demand(self) -> None:
        """Publishes the demand of ten organisations."""
        now = self.network.timers.now()
        record = cluster.DemandRecord(
            tuple(
                cluster.OrganisationDemand(
                    ids.OrganisationId(f"organisation-{n}"),
                    self.random.random(),
                    self.random.random() * 1e5,
                )
                for n in range(ORGANISATIONS)
            )
        )
        self.limit_share_calculator.on_members(
            frozenset(self.membership.live) - {self.vm},
            self.membership.known_count,
            self.membership.partition_suspected,
        )
        self.limit_share_calculator.on_local_demand(record, now)
        self.execute(self.gossip.publish(record, now))

    def publish_load(self) -> None:
        """Publishes the load of ten engines."""
        record = cluster.LoadRecord(
            tuple(
                cluster.EngineLoad(
                    ids.BackendServerId(f"engine-{n}"),
                    self.random.randrange(9),
                    units.Tokens(self.random.randrange(10**6)),
                )
                for n in range(ENGINES)
            )
        )
        now = self.network.timers.now()
        self.execute(self.gossip.publish(record, now))

    def receive(self, datagram: bytes) -> None:
        """Handles one datagram."""
        message = self.network.envelope.decode_datagram(datagram)
        assert message is not None
        now = self.network.timers.now()
        self.execute(self.gossip.on_message(message, now))

    def execute(self, commands: tuple[messages.Command, ...]) -> None:
        """Executes commands."""
        now = self.network.timers.now()
        for command in commands:
            if isinstance(command, messages.Send):
                self.network.send(command)
            elif isinstance(command, messages.RecordReceived):
                record = command.record
                if isinstance(record.content, cluster.DemandRecord):
                    self.limit_share_calculator.on_peer_demand(
                        record.origin, record.content, record.lifetime, now
                    )


class Network:
    """Delivers datagrams between daemons and counts them."""

    def __init__(self, size: int) -> None:
        self.timers = timers.VirtualTimerService()
        self.random = random.Random(size)
        self.envelope = envelope.EnvelopeCodec(
            "measured", authentication.Authenticator((KEY,)), print
        )
        self.bytes = 0
        self.datagrams = 0
        initial_snapshot = messages.Snapshot(
            ids.Epoch(0), tuple(member_record(n) for n in range(size)), ()
        )
        encoded_snapshot = wire.encode(
            codec.snapshot_to_thrift(initial_snapshot)
        )
        self.daemons = [Daemon(self, n, encoded_snapshot) for n in range(size)]
        self.by_address = {
            daemon.membership.own_record.address: daemon
            for daemon in self.daemons
        }

    def send(self, command: messages.Send) -> None:
        """Delivers a datagram after a delay of some milliseconds."""
        datagram = self.envelope.encode_datagram(command.message)
        self.bytes += len(datagram)
        self.datagrams += 1
        receiver = self.by_address[command.recipient]
        delay = self.random.uniform(0.0005, 0.003)
        self.timers.schedule_at(
            units.after(self.timers.now(), units.Seconds(delay)),
            lambda: receiver.receive(datagram),
        )


def member_record(number: int) -> records.MemberRecord:
    """Returns the member record of a daemon."""
    owner = backend_servers.Owner(
        ids.VmId(f"entry-vm-{number:04}"),
        ids.Incarnation(random.Random(number).getrandbits(63)),
    )
    return records.MemberRecord(
        owner,
        1,
        1,
        states.MemberState.ALIVE,
        records.PeerAddress(f"10.0.{number // 250}.{number % 250 + 1}:7000"),
        ids.AvailabilityZoneId(f"zone-{number % 18}"),
    )


def resident_kilobytes() -> int:
    """Returns the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def measure(size: int) -> str:
    """Returns one line of the table."""
    kilobytes_before = resident_kilobytes()
    network = Network(size)
    network.timers.advance(WARM_UP_TIME)
    network.bytes = network.datagrams = 0
    started = time.process_time()
    network.timers.advance(MEASUREMENT_TIME)
    processor_s = time.process_time() - started
    kilobytes_per_daemon = (resident_kilobytes() - kilobytes_before) / size
    now = network.timers.now()
    daemon_seconds = size * MEASUREMENT_TIME
    demand_counts = [
        sum(
            isinstance(record.content, cluster.DemandRecord)
            for record in daemon.records.snapshot(now)
        )
        for daemon in network.daemons
    ]
    fresh_shares = sum(
        daemon.limit_share_calculator.is_fresh(now)
        for daemon in network.daemons
    )
    wrong_member_lists = sum(
        len(daemon.membership.live) != size for daemon in network.daemons
    )
    bytes_sent, datagrams = network.bytes, network.datagrams
    propagation_s = urgent_propagation_time(network)
    return (
        f"| {size} | {processor_s / daemon_seconds * 100:.2f} "
        f"| {bytes_sent / daemon_seconds:.0f} "
        f"| {datagrams / daemon_seconds:.1f} | {kilobytes_per_daemon:.0f} "
        f"| {sum(demand_counts) / size / size * 100:.0f} "
        f"| {fresh_shares / size * 100:.0f} | {wrong_member_lists} "
        f"| {propagation_s:.1f} |"
    )


def urgent_propagation_time(network: Network) -> float:
    """Returns the seconds until all daemons have a new urgent record."""
    record = cluster.BackendLeavingRecord(ids.BackendServerId("e"), None)
    started = network.timers.now()
    origin = network.daemons[0]
    origin.execute(origin.gossip.publish(record, started))
    pending = network.daemons
    while pending and network.timers.now() < started + PROPAGATION_LIMIT:
        network.timers.advance(PROPAGATION_STEP)
        now = network.timers.now()
        pending = [
            daemon
            for daemon in pending
            if all(
                known_record.content != record
                for known_record in daemon.records.snapshot(now)
            )
        ]
    return network.timers.now() - started


def main() -> None:
    """Prints the table."""
    sizes = tuple(map(int, sys.argv[1:])) or DEFAULT_SIZES
    print(
        "| daemons | processor, % of a core | sent, bytes/s | datagrams/s "
        "| memory, KB | demand records held, % | fresh shares, % "
        "| wrong member lists | urgent record at all after, s |"
    )
    print("|" + "---|" * 9)
    for size in sizes:
        print(measure(size), flush=True)


if __name__ == "__main__":
    main()
