"""SWIM failure detector and member list of one daemon."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math
import random

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.membership import dissemination
from lavendershed.membership import messages
from lavendershed.membership import records as records_module
from lavendershed.membership import transmissions

_ALIVE = states.MemberState.ALIVE
_SUSPECT = states.MemberState.SUSPECT
_LEAVING = states.MemberState.LEAVING
_DEAD = states.MemberState.DEAD

# A single failed round is often a lost datagram or a short pause.
_FAILED_ROUNDS_TO_SUSPECT = 2
_MAX_RELAYED_PROBES = 256
_MAX_REPLACED_PROCESSES = 4_096
_MAX_UNKNOWN_OWNERS = 1_024
_SEQUENCE_BITS = 63


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorOptions:
    """Timeouts and bounds of the failure detector.

    Attributes:
        protocol_period: Time between two probe rounds.
        direct_probe_timeout: Wait for an ack before indirect probes are sent.
        full_mesh_max_members: Up to this many daemons, each one probes all
            others in every round; above it, one other per round.
        indirect_probes: Daemons asked to probe a member that did not ack.
        suspicion_rounds: Rounds in which a suspect can refute the suspicion.
        confirmed_suspicion_rounds: The same if the VM list lacks the VM.
        dead_member_retention: Time for which dead members are kept; they count
            in limit shares and are probed again, because regions can lose
            contact for up to an hour.
    """

    protocol_period: units.Seconds = units.Seconds(1.0)
    direct_probe_timeout: units.Seconds = units.Seconds(0.4)
    full_mesh_max_members: int = dissemination.FULL_MESH_MAX_MEMBERS
    indirect_probes: int = 3
    suspicion_rounds: int = 3
    confirmed_suspicion_rounds: int = 1
    dead_member_retention: units.Seconds = units.Seconds(3_600.0)
    max_members: int = 4_096


@dataclasses.dataclass(slots=True)
class _Member:
    record: records_module.MemberRecord
    state_since: units.Instant
    failed_rounds: int = 0
    # Record of an older process on the same VM that the member has not yet
    # claimed to replace.
    predecessor: records_module.MemberRecord | None = None


@dataclasses.dataclass(slots=True)
class _Probe:
    # None for a seed address whose member is not known yet.
    target: records_module.MemberRecord | None
    sent_at: units.Instant
    indirect_probes_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayedProbe:
    requester: records_module.PeerAddress
    sequence: int
    sent_at: units.Instant


class Membership:
    """Member list, maintained by probes and by records of other daemons.

    Follows A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
    infection-style process group membership protocol" (DSN 2002). In
    addition, a member is suspected only after two failed rounds, and process
    generations order the processes of one VM.
    """

    def __init__(
        self,
        record: records_module.MemberRecord,
        sizer: records_module.RecordSizer,
        generator: random.Random,
        seed_addresses: Iterable[records_module.PeerAddress] = (),
        options: DetectorOptions = DetectorOptions(),  # noqa: B008
    ) -> None:
        self._own_record = record
        self._sizer = sizer
        self._random = generator
        self._options = options
        self._seed_addresses = set(seed_addresses) - {record.address}
        self._epoch = ids.Epoch(0)
        self._own_process_replaced = False
        self._members: dict[ids.VmId, _Member] = {}
        self._replaced_processes: dict[backend_servers.Owner, None] = {}
        self._unknown_since: dict[backend_servers.Owner, units.Instant] = {}
        self._probes: dict[int, _Probe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._probe_order: list[ids.VmId] = []
        self._vm_list: object_store.VmList | None = None
        self._last_timer_at: units.Instant | None = None
        self._next_round_at: units.Instant | None = None
        self._broadcast_queue: transmissions.TransmissionQueue[
            ids.VmId, records_module.MemberRecord
        ] = transmissions.TransmissionQueue()
        self._broadcast(record)

    @property
    def own_record(self) -> records_module.MemberRecord:
        """Member record that this daemon broadcasts about itself."""
        return self._own_record

    @property
    def records(self) -> tuple[records_module.MemberRecord, ...]:
        """Records of all members, dead ones and this daemon included."""
        others = (member.record for member in self._members.values())
        return (self._own_record, *others)

    @property
    def live(self) -> tuple[ids.VmId, ...]:
        """Live daemons in the order of their ids, this one included."""
        return tuple(
            sorted((self._own_record.owner.vm, *self._vms_in_state(_ALIVE)))
        )

    @property
    def known_count(self) -> int:
        """Number of daemons that may be serving, unreachable ones included."""
        departed = sum(
            member.record.state is _LEAVING
            or (
                member.record.state is _DEAD
                and self._vm_list is not None
                and vm not in self._vm_list.live
            )
            for vm, member in self._members.items()
        )
        return 1 + len(self._members) - departed

    @property
    def partition_suspected(self) -> bool:
        """Whether a daemon that may still be serving is unreachable."""
        return self.known_count > len(self.live)

    @property
    def epoch(self) -> ids.Epoch:
        """The configuration epoch that messages carry."""
        return self._epoch

    def set_epoch(self, epoch: ids.Epoch) -> None:
        """Sets the configuration epoch that messages carry."""
        self._epoch = epoch

    def state_of(self, vm: ids.VmId) -> states.MemberState | None:
        """Returns the state of a VM's current process, or None if unknown."""
        if vm == self._own_record.owner.vm:
            return self._own_record.state
        member = self._members.get(vm)
        return member.record.state if member else None

    def incarnation_state(
        self, owner: backend_servers.Owner, now: units.Instant
    ) -> states.MemberState:
        """Returns the state of one process.

        A process that was never seen is suspect at first. It counts as dead
        once the dissemination time has passed since the first query, in which
        the record of a live process would have arrived. During that time
        another process of its VM must have stayed alive, or its VM must have
        been absent from the members while a VM list was known.
        """
        if owner == self._own_record.owner:
            return self._own_record.state
        member = self._members.get(owner.vm)
        if member is not None and member.record.owner == owner:
            return member.record.state
        if owner in self._replaced_processes:
            return _DEAD
        if (
            owner.vm != self._own_record.owner.vm
            and not self._absence_is_evidence(member)
        ):
            self._unknown_since.pop(owner, None)
            return _SUSPECT
        unknown_since = self._unknown_since.setdefault(owner, now)
        while len(self._unknown_since) > _MAX_UNKNOWN_OWNERS:
            del self._unknown_since[next(iter(self._unknown_since))]
        if units.elapsed(unknown_since, now) < self._dissemination_time:
            return _SUSPECT
        return _DEAD

    def on_timer(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Runs due probes and timeouts; called several times per round."""
        commands: list[messages.Command] = []
        last_timer_at, self._last_timer_at = self._last_timer_at, now
        if (
            last_timer_at is not None
            and now - last_timer_at > 2 * self._options.protocol_period
        ):
            self._on_process_pause(now)
        if self._next_round_at is None or now >= self._next_round_at:
            commands += self._end_round(now)
            commands += self._start_round(now)
        commands += self._send_indirect_probes(now)
        commands += self._expire_suspicions(now)
        self._purge_expired(now)
        return tuple(commands)

    def on_message(
        self, message: messages.Message, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Handles a message of another daemon."""
        if message.sender.owner == self._own_record.owner:
            # One of the configured seed addresses is this daemon's own.
            self._seed_addresses.discard(self._own_record.address)
            self._probes.pop(message.sequence, None)
            return ()
        commands = self._apply_records((message.sender, *message.members), now)
        if message.epoch > self._epoch:
            commands.append(messages.EpochSeen(message.epoch, message.sender))
        if message.kind is messages.MessageKind.PING:
            commands.append(self._ack(message.sender, message.sequence))
        elif message.kind is messages.MessageKind.ACK:
            commands += self._on_ack(message)
        elif message.kind is messages.MessageKind.INDIRECT_PING:
            commands += self._on_indirect_ping(message, now)
        return tuple(commands)

    def on_snapshot(
        self, snapshot: messages.Snapshot, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Merges the member list of another daemon."""
        return tuple(self._apply_records(snapshot.members, now))

    def on_vm_list(self, vm_list: object_store.VmList) -> None:
        """Stores the platform's VM list, which lags behind and is a hint."""
        # An empty list is a platform fault; it doesn't mean that no VM runs.
        if vm_list.live:
            self._vm_list = vm_list

    def add_seed_addresses(
        self, seed_addresses: Iterable[records_module.PeerAddress]
    ) -> None:
        """Adds addresses at which other daemons may be found."""
        self._seed_addresses |= set(seed_addresses) - {self._own_record.address}

    def leave(self) -> tuple[messages.Command, ...]:
        """Announces to all or some members that this daemon is leaving."""
        self._broadcast(
            dataclasses.replace(
                self._own_record,
                version=self._own_record.version + 1,
                state=_LEAVING,
            )
        )
        recipients = self.push_targets()
        return tuple(
            messages.Send(member.address, self.push_message(member))
            for member in recipients
        )

    def push_targets(self) -> tuple[records_module.MemberRecord, ...]:
        """Returns the members to which an urgent record is pushed at once.

        Each recipient forwards it, so a few recipients suffice for a
        deployment of any size.
        """
        alive_members = [
            self._members[vm].record for vm in self._vms_in_state(_ALIVE)
        ]
        max_targets = self._options.full_mesh_max_members
        if len(alive_members) <= max_targets:
            return tuple(alive_members)
        return tuple(self._random.sample(alive_members, max_targets // 2))

    def push_message(
        self, recipient: records_module.MemberRecord
    ) -> messages.Message:
        """Returns a push, which carries only records and gets no ack."""
        return self._build_message(
            messages.MessageKind.PUSH, self._new_sequence(), recipient.owner.vm
        )

    def take_member_records(
        self, max_size: units.Bytes
    ) -> tuple[tuple[records_module.MemberRecord, ...], units.Bytes]:
        """Returns member records to piggy-back, and their size."""
        members, total_size = self._broadcast_queue.take(max_size)
        return tuple(members), total_size

    @property
    def _dissemination_time(self) -> units.Seconds:
        rounds = _FAILED_ROUNDS_TO_SUSPECT + math.ceil(
            math.log2(len(self._members) + 2)
        )
        return units.Seconds(rounds * self._options.protocol_period)

    def _absence_is_evidence(self, member: _Member | None) -> bool:
        if member is not None:
            return member.record.state is _ALIVE and not member.failed_rounds
        return self._vm_list is not None

    def _vms_in_state(
        self, *member_states: states.MemberState
    ) -> list[ids.VmId]:
        return [
            vm
            for vm, member in self._members.items()
            if member.record.state in member_states
        ]

    def _new_sequence(self) -> int:
        return self._random.getrandbits(_SEQUENCE_BITS)

    def _broadcast(self, record: records_module.MemberRecord) -> None:
        if record.owner == self._own_record.owner:
            self._own_record = record
        self._broadcast_queue.put(
            record.owner.vm,
            record,
            self._sizer.member_size(record),
            transmissions.transmission_limit(len(self._members) + 1),
        )

    def _build_message(
        self,
        kind: messages.MessageKind,
        sequence: int,
        receiver: ids.VmId | None,
        target: records_module.MemberRecord | None = None,
    ) -> messages.Message:
        # A receiver that is suspected or recorded as dead gets that record
        # first, so that it can refute it or replace its predecessor.
        receiver_member = self._members.get(receiver) if receiver else None
        disputed_records: tuple[records_module.MemberRecord, ...] = ()
        if receiver_member and receiver_member.record.state in (
            _SUSPECT,
            _DEAD,
        ):
            disputed_records = (receiver_member.record,)
        elif receiver_member and receiver_member.predecessor:
            disputed_records = (receiver_member.predecessor,)
        return messages.Message(
            kind,
            sequence,
            self._own_record,
            self._epoch,
            target,
            disputed_records,
        )

    def _ack(
        self, requester: records_module.MemberRecord, sequence: int
    ) -> messages.Send:
        ack = self._build_message(
            messages.MessageKind.ACK, sequence, requester.owner.vm
        )
        known = self._members.get(requester.owner.vm)
        if known and known.record.supersedes_process(requester):
            ack = dataclasses.replace(ack, members=(known.record,))
        return messages.Send(requester.address, ack)

    def _on_process_pause(self, now: units.Instant) -> None:
        # Acks missing after a pause of this process say nothing about others.
        self._probes.clear()
        self._relayed_probes.clear()
        for member in self._members.values():
            member.failed_rounds = 0
            if member.record.state is _SUSPECT:
                member.state_since = now

    def _end_round(self, now: units.Instant) -> list[messages.Command]:
        failed_targets = [
            probe.target
            for probe in self._probes.values()
            if probe.target is not None
        ]
        self._probes.clear()
        commands: list[messages.Command] = []
        for target in failed_targets:
            member = self._members.get(target.owner.vm)
            if member is None or member.record.owner != target.owner:
                continue
            member.failed_rounds += 1
            if member.failed_rounds < _FAILED_ROUNDS_TO_SUSPECT:
                continue
            if member.record.state is _ALIVE:
                commands += self._set_state(member, _SUSPECT, now)
            elif member.record.state is _LEAVING:
                commands += self._set_state(member, _DEAD, now)
        return commands

    def _start_round(self, now: units.Instant) -> list[messages.Command]:
        scheduled_at = (
            self._next_round_at if self._next_round_at is not None else now
        )
        next_round_at = units.after(scheduled_at, self._options.protocol_period)
        # Missed rounds are skipped.
        self._next_round_at = (
            next_round_at
            if next_round_at > now
            else units.after(now, self._options.protocol_period)
        )
        commands: list[messages.Command] = [
            self._probe(member.record, now) for member in self._probe_targets()
        ]
        commands += self._probe_seeds(now)
        dead_vms = self._vms_in_state(_DEAD)
        if dead_vms:
            dead_record = self._members[self._random.choice(dead_vms)].record
            ping = self._build_message(
                messages.MessageKind.PING,
                self._new_sequence(),
                dead_record.owner.vm,
            )
            commands.append(messages.Send(dead_record.address, ping))
        return commands

    def _probe_targets(self) -> list[_Member]:
        present_vms = self._vms_in_state(_ALIVE, _SUSPECT, _LEAVING)
        if len(present_vms) <= self._options.full_mesh_max_members:
            return [self._members[vm] for vm in present_vms]
        while self._probe_order and self.state_of(self._probe_order[-1]) in (
            None,
            _DEAD,
        ):
            self._probe_order.pop()
        if not self._probe_order:
            self._probe_order = present_vms
            self._random.shuffle(self._probe_order)
        # Members that failed one round are probed again in the next one.
        retried_vms = [
            vm for vm in present_vms if self._members[vm].failed_rounds == 1
        ]
        target_vms = dict.fromkeys((self._probe_order.pop(), *retried_vms))
        return [self._members[vm] for vm in target_vms]

    def _probe(
        self, target: records_module.MemberRecord, now: units.Instant
    ) -> messages.Send:
        sequence = self._new_sequence()
        self._probes[sequence] = _Probe(target, now)
        ping = self._build_message(
            messages.MessageKind.PING, sequence, target.owner.vm
        )
        return messages.Send(target.address, ping)

    def _probe_seeds(self, now: units.Instant) -> list[messages.Command]:
        reached_addresses = {
            member.record.address
            for member in self._members.values()
            if member.record.state is not _DEAD
        }
        unreached_seeds = sorted(self._seed_addresses - reached_addresses)
        # One seed suffices once a member is known, because the member list
        # arrives with its records.
        if reached_addresses and unreached_seeds:
            unreached_seeds = [self._random.choice(unreached_seeds)]
        commands: list[messages.Command] = []
        for address in unreached_seeds[: self._options.full_mesh_max_members]:
            sequence = self._new_sequence()
            self._probes[sequence] = _Probe(None, now)
            ping = self._build_message(
                messages.MessageKind.PING, sequence, None
            )
            commands.append(messages.Send(address, ping))
        return commands

    def _send_indirect_probes(
        self, now: units.Instant
    ) -> list[messages.Command]:
        commands: list[messages.Command] = []
        for sequence, probe in self._probes.items():
            elapsed = units.elapsed(probe.sent_at, now)
            if (
                probe.target is None
                or probe.indirect_probes_sent
                or elapsed < self._options.direct_probe_timeout
            ):
                continue
            probe.indirect_probes_sent = True
            relay_vms = [
                vm
                for vm in self._vms_in_state(_ALIVE)
                if vm != probe.target.owner.vm
                and not self._members[vm].failed_rounds
            ]
            count = min(len(relay_vms), self._options.indirect_probes)
            for vm in self._random.sample(relay_vms, count):
                request = self._build_message(
                    messages.MessageKind.INDIRECT_PING,
                    sequence,
                    vm,
                    probe.target,
                )
                recipient = self._members[vm].record.address
                commands.append(messages.Send(recipient, request))
        return commands

    def _on_ack(self, message: messages.Message) -> list[messages.Command]:
        relayed_probe = self._relayed_probes.pop(message.sequence, None)
        if relayed_probe is not None:
            ack = dataclasses.replace(
                self._build_message(
                    messages.MessageKind.ACK, relayed_probe.sequence, None
                ),
                members=(message.sender,),
            )
            return [messages.Send(relayed_probe.requester, ack)]
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and probe.target is not None:
            member = self._members.get(probe.target.owner.vm)
            if member is not None:
                member.failed_rounds = 0
        return []

    def _on_indirect_ping(
        self, message: messages.Message, now: units.Instant
    ) -> list[messages.Command]:
        target = message.target
        if target is None or len(self._relayed_probes) >= _MAX_RELAYED_PROBES:
            return []
        sequence = self._new_sequence()
        self._relayed_probes[sequence] = _RelayedProbe(
            message.sender.address, message.sequence, now
        )
        ping = self._build_message(
            messages.MessageKind.PING, sequence, target.owner.vm
        )
        return [messages.Send(target.address, ping)]

    def _expire_suspicions(self, now: units.Instant) -> list[messages.Command]:
        commands: list[messages.Command] = []
        for vm in self._vms_in_state(_SUSPECT):
            member = self._members[vm]
            confirmed_by_vm_list = (
                self._vm_list is not None
                and vm not in self._vm_list.live
                and vm not in self._vm_list.leaving
            )
            rounds = (
                self._options.confirmed_suspicion_rounds
                if confirmed_by_vm_list
                else self._options.suspicion_rounds
                + math.ceil(math.log2(len(self._members) + 2))
                - 1
            )
            if (
                now - member.state_since
                >= rounds * self._options.protocol_period
            ):
                commands += self._set_state(member, _DEAD, now)
        return commands

    def _set_state(
        self, member: _Member, state: states.MemberState, now: units.Instant
    ) -> list[messages.Command]:
        return self._apply_record(
            dataclasses.replace(member.record, state=state), now
        )

    def _apply_records(
        self,
        records: Iterable[records_module.MemberRecord],
        now: units.Instant,
    ) -> list[messages.Command]:
        return [
            command for r in records for command in self._apply_record(r, now)
        ]

    def _apply_record(
        self, record: records_module.MemberRecord, now: units.Instant
    ) -> list[messages.Command]:
        if record.owner.vm == self._own_record.owner.vm:
            return self._apply_own_record(record)
        vm = record.owner.vm
        member = self._members.get(vm)
        if member is None:
            if len(self._members) >= self._options.max_members:
                return []
            self._members[vm] = _Member(record, now)
            self._broadcast(record)
            return [messages.MemberChanged(None, None, record)]
        old_record = member.record
        if not record.supersedes(old_record):
            return []
        if record.owner != old_record.owner:
            self._mark_replaced(old_record.owner)
            member.failed_rounds = 0
            member.predecessor = old_record
        if member.predecessor and (
            record.generation > member.predecessor.generation
        ):
            member.predecessor = None
        member.record = record
        self._broadcast(record)
        if (
            record.state is old_record.state
            and record.owner == old_record.owner
        ):
            return []
        member.state_since = now
        return [
            messages.MemberChanged(old_record.state, old_record.owner, record)
        ]

    def _apply_own_record(
        self, record: records_module.MemberRecord
    ) -> list[messages.Command]:
        if self._own_process_replaced:
            return []
        if record.owner == self._own_record.owner:
            # Only this daemon raises its version, so a record with a greater
            # one does not refer to anything that it broadcast.
            if record.version == self._own_record.version and record.supersedes(
                self._own_record
            ):
                self._broadcast(
                    dataclasses.replace(
                        self._own_record, version=record.version + 1
                    )
                )
            return []
        if record.generation < self._own_record.generation:
            return []
        if record.replaces == self._own_record.owner.incarnation:
            if not record.supersedes(self._own_record):
                return []
            # Two processes with the same VM id would replace each other
            # forever if this one raised its generation again.
            self._own_process_replaced = True
            return [messages.ReplacedByOtherProcess(record)]
        # Claim the VM explicitly even if this random incarnation is already
        # the greater one: the other process may be paused and must not claim
        # the VM when it resumes.
        self._mark_replaced(record.owner)
        self._broadcast(
            dataclasses.replace(
                self._own_record,
                generation=record.generation + 1,
                replaces=record.owner.incarnation,
            )
        )
        return []

    def _mark_replaced(self, owner: backend_servers.Owner) -> None:
        self._replaced_processes[owner] = None
        while len(self._replaced_processes) > _MAX_REPLACED_PROCESSES:
            del self._replaced_processes[next(iter(self._replaced_processes))]

    def _purge_expired(self, now: units.Instant) -> None:
        for vm in self._vms_in_state(_DEAD):
            member = self._members[vm]
            dead_for = units.elapsed(member.state_since, now)
            if dead_for >= self._options.dead_member_retention:
                del self._members[vm]
                self._mark_replaced(member.record.owner)
        expired_probes = [
            sequence
            for sequence, relay in self._relayed_probes.items()
            if now - relay.sent_at > self._options.protocol_period
        ]
        for sequence in expired_probes:
            del self._relayed_probes[sequence]
