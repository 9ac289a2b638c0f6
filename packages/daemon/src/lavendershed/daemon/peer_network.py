"""Peer network: runs membership, records and peer calls on sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import random

import result

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import peer_configuration
from lavendershed.membership import gossip as gossip_module
from lavendershed.membership import messages
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.peer import datagrams
from lavendershed.peer import envelope as envelope_module
from lavendershed.peer import server
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import address as address_module
from lavendershed.transport import event_loop_timers

VersionedListener = Callable[[records.VersionedRecord], None]

_TICK_INTERVAL = units.Seconds(0.2)
# Snapshots deliver updates that were missed through lost datagrams or network
# partitions. A snapshot has about 150 bytes per member, so the interval grows
# with the number of members.
_SNAPSHOT_INTERVAL = units.Seconds(30.0)
_SNAPSHOT_INTERVAL_PER_MEMBER = units.Seconds(0.25)
_LEAVE_REPEATS = 2
_LEAVE_INTERVAL = units.Seconds(0.1)
# Unchanged loads are published again before the record expires.
_LOAD_REFRESH_INTERVAL = units.Seconds(1.0)


class PeerNetwork(
    background.BackgroundTask,
    cluster.RecordExchange,
    cluster.MembershipView,
    peers.DatagramReceiver,
    peers.PeerService,
):
    """Executes the membership and gossip commands of this daemon."""

    def __init__(
        self,
        listen: address_module.Address,
        gossip: gossip_module.Gossip,
        envelope: envelope_module.EnvelopeCodec,
        client: peers.PeerClient,
        configuration: peer_configuration.PeerConfiguration,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
    ) -> None:
        self._listen = listen
        self._gossip = gossip
        self._client = client
        self._configuration = configuration
        self._timers = timer_service
        self._log = event_log
        self._random = generator
        self._udp = datagrams.UdpTransport(envelope, self)
        self._server = server.PeerServer(envelope, self)
        self._listeners: list[cluster.RecordListener] = []
        self._versioned_listeners: list[VersionedListener] = []
        self._live_member_found = asyncio.Event()
        self._next_load_refresh = timer_service.now()
        self._last_load_record: cluster.LoadRecord | None = None

    @property
    def live(self) -> tuple[ids.VmId, ...]:
        """Live daemons including this one, sorted by id."""
        return self._gossip.membership.live

    def live_in_zone(
        self, availability_zone: ids.AvailabilityZoneId
    ) -> tuple[ids.VmId, ...]:
        """Returns the live daemons of an availability zone, sorted by id."""
        live = frozenset(self.live)
        return tuple(
            sorted(
                record.owner.vm
                for record in self._gossip.membership.records
                if record.availability_zone == availability_zone
                and record.owner.vm in live
            )
        )

    @property
    def known_count(self) -> int:
        """Number of daemons that may be serving, including unreachable ones."""
        return self._gossip.membership.known_count

    @property
    def partition_suspected(self) -> bool:
        """Whether an unreachable daemon may still be serving."""
        return self._gossip.membership.partition_suspected

    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of one incarnation of a daemon."""
        return self._gossip.membership.incarnation_state(
            owner, self._timers.now()
        )

    def publish(self, record: cluster.PeerRecord) -> None:
        """Publishes a record to the other daemons with the next messages."""
        now = self._timers.now()
        record = self._truncate_to_message_size(record)
        if isinstance(record, cluster.LoadRecord):
            if (
                record == self._last_load_record
                and now < self._next_load_refresh
            ):
                return
            self._last_load_record = record
            self._next_load_refresh = units.after(now, _LOAD_REFRESH_INTERVAL)
        self._execute(self._gossip.publish(record, now))

    def subscribe(self, listener: cluster.RecordListener) -> None:
        """Calls `listener` with each new record of another daemon."""
        self._listeners.append(listener)

    def subscribe_versioned(self, listener: VersionedListener) -> None:
        """Calls `listener` with new records and their remaining lifetime."""
        self._versioned_listeners.append(listener)

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Announces the new epoch with every message from now on."""
        self._gossip.membership.set_epoch(new.epoch)

    def on_vm_list(self, vms: object_store.VmList) -> None:
        """Processes the platform's VM list, which lags behind."""
        self._gossip.membership.on_vm_list(vms)

    def on_datagram(self, message: messages.Message) -> None:
        """Processes a message from another daemon."""
        self._execute(self._gossip.on_message(message, self._timers.now()))

    def manifest(self) -> bytes | None:
        """Returns the encoded manifest in force, if there is one."""
        return self._configuration.manifest()

    def chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns an encoded configuration chunk, if this daemon has it."""
        return self._configuration.chunk(chunk_hash)

    def snapshot(self) -> messages.Snapshot:
        """Returns all known members and records."""
        return self._gossip.snapshot(self._timers.now())

    async def run(self) -> None:
        """Runs the peer network until cancelled.

        Raises:
            OSError: The peer address can't be bound.
        """
        await self._server.start(self._listen)
        await self._udp.start(self._listen)
        tick_timer = self._timers.schedule_every(_TICK_INTERVAL, self._tick)
        self._tick()
        try:
            await self._live_member_found.wait()
            while True:
                await self._fetch_snapshot()
                interval = max(
                    _SNAPSHOT_INTERVAL,
                    len(self.live) * _SNAPSHOT_INTERVAL_PER_MEMBER,
                )
                await event_loop_timers.sleep(
                    self._timers,
                    units.Seconds(interval * self._random.uniform(0.5, 1.5)),
                )
        finally:
            tick_timer.cancel()
            self._server.close()
            self._udp.close()

    async def release(self) -> None:
        """Announces that this daemon is leaving."""
        for _ in range(_LEAVE_REPEATS):
            # Repeated, because a datagram may be lost.
            self._execute(self._gossip.leave(self._timers.now()))
            await event_loop_timers.sleep(self._timers, _LEAVE_INTERVAL)

    def status(self) -> dict[str, object]:
        """Returns the member list and the bytes sent to peers."""
        return {
            "members": {
                record.owner.vm: record.state.value
                for record in self._gossip.membership.records
            },
            "peer_bytes_sent": self._udp.sent_bytes,
        }

    def _tick(self) -> None:
        self._execute(self._gossip.on_timer(self._timers.now()))

    def _execute(self, commands: tuple[messages.Command, ...]) -> None:
        for command in commands:
            if isinstance(command, messages.Send):
                self._udp.send(command.recipient, command.message)
            elif isinstance(command, messages.MemberChanged):
                self._on_member_changed(command)
            elif isinstance(command, messages.RecordReceived):
                self._on_record(command.record)
            elif isinstance(command, messages.EpochSeen):
                self._configuration.on_epoch(
                    command.epoch, command.member.address
                )
            else:
                self._log.emit(
                    events.Event.PROCESS_REPLACED,
                    incarnation=str(command.replacement.owner.incarnation),
                    peer=command.replacement.address,
                )

    def _on_member_changed(self, change: messages.MemberChanged) -> None:
        record = change.record
        if record.state is states.MemberState.ALIVE:
            self._live_member_found.set()
        self._log.emit(
            events.Event.MEMBER_CHANGED,
            member=record.owner.vm,
            incarnation=str(record.owner.incarnation),
            peer=record.address,
            old_state=change.old_state.value if change.old_state else None,
            state=record.state.value,
        )

    def _on_record(self, record: records.VersionedRecord) -> None:
        for listener in self._listeners:
            listener(record.origin, record.content)
        for versioned_listener in self._versioned_listeners:
            versioned_listener(record)

    async def _fetch_snapshot(self) -> None:
        peer_addresses = [
            record.address
            for record in self._gossip.membership.records
            if record.state is states.MemberState.ALIVE
            and record.address != str(self._listen)
        ]
        if not peer_addresses:
            return
        fetched = await self._client.fetch_snapshot(
            self._random.choice(peer_addresses)
        )
        if isinstance(fetched, result.Ok):
            now = self._timers.now()
            self._execute(self._gossip.on_snapshot(fetched.ok_value, now))

    def _truncate_to_message_size(
        self, record: cluster.PeerRecord
    ) -> cluster.PeerRecord:
        """Returns the record, truncated to fit into one message."""
        while not self._gossip.records.fits(record):
            if isinstance(record, cluster.DemandRecord) and record.demands:
                record = dataclasses.replace(
                    record, demands=record.demands[: len(record.demands) // 2]
                )
            elif isinstance(record, cluster.LoadRecord) and record.loads:
                record = dataclasses.replace(
                    record, loads=record.loads[: len(record.loads) // 2]
                )
            else:
                break
        return record
