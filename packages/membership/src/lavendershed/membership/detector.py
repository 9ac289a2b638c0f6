"""Failure detector and member list of one daemon."""

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

# A single lost round is often only a lost datagram or a short pause.
_ROUNDS_TO_SUSPECT = 2
_MAX_RELAYS = 256
_MAX_REPLACED = 4_096
_MAX_INQUIRIES = 1_024
_SEQUENCE_BITS = 63


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorOptions:
    """Times and bounds of the failure detector.

    Attributes:
        round_time: Time between two probes.
        direct_timeout: Wait for an ack before others are asked to probe.
        direct_members: Up to this many daemons, each probes all others in
            every round; beyond it, one other per round.
        indirect_probes: Daemons asked to probe one that did not answer.
        suspicion_rounds: Rounds in which a suspect can refute.
        confirmed_suspicion_rounds: The same if the VM list lacks the VM.
        forget_after: Time for which dead members are remembered; they count
            in limit shares and are tried again, because regions lose each
            other for up to an hour.
    """

    round_time: units.Seconds = units.Seconds(1.0)
    direct_timeout: units.Seconds = units.Seconds(0.4)
    direct_members: int = dissemination.DIRECT_MEMBERS
    indirect_probes: int = 3
    suspicion_rounds: int = 3
    confirmed_suspicion_rounds: int = 1
    forget_after: units.Seconds = units.Seconds(3_600.0)
    max_members: int = 4_096


@dataclasses.dataclass(slots=True)
class _Member:
    record: records_module.MemberRecord
    since: units.Instant
    failures: int = 0
    # An older process that the member doesn't claim to have replaced yet.
    predecessor: records_module.MemberRecord | None = None


@dataclasses.dataclass(slots=True)
class _Probe:
    # None for a contact address whose member is not known yet.
    target: records_module.MemberRecord | None
    sent: units.Instant
    asked_others: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Relay:
    requester: records_module.ContactAddress
    sequence: int
    sent: units.Instant


class Membership:
    """Which daemons are alive, from probes and claims of other daemons.

    Follows A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent
    infection-style process group membership protocol" (DSN 2002), with
    confirmation over two rounds and process generations added.
    """

    def __init__(
        self,
        record: records_module.MemberRecord,
        sizer: records_module.RecordSizer,
        generator: random.Random,
        contacts: Iterable[records_module.ContactAddress] = (),
        options: DetectorOptions = DetectorOptions(),  # noqa: B008
    ) -> None:
        self._self = record
        self._sizer = sizer
        self._random = generator
        self._options = options
        self._contacts = set(contacts) - {record.address}
        self._epoch = ids.Epoch(0)
        self._replaced_self = False
        self._members: dict[ids.VmId, _Member] = {}
        self._replaced: dict[backend_servers.Owner, None] = {}
        self._inquiries: dict[backend_servers.Owner, units.Instant] = {}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._order: list[ids.VmId] = []
        self._vms: object_store.VmList | None = None
        self._last_time: units.Instant | None = None
        self._next_round: units.Instant | None = None
        self._queue: transmissions.TransmissionQueue[
            ids.VmId, records_module.MemberRecord
        ] = transmissions.TransmissionQueue()
        self._announce(record)

    @property
    def own_record(self) -> records_module.MemberRecord:
        """What this daemon claims about itself."""
        return self._self

    @property
    def records(self) -> tuple[records_module.MemberRecord, ...]:
        """All remembered members, this daemon included."""
        others = (member.record for member in self._members.values())
        return (self._self, *others)

    @property
    def live(self) -> tuple[ids.VmId, ...]:
        """Live daemons in the order of their ids; this one always counts."""
        return tuple(sorted((self._self.owner.vm, *self._in(_ALIVE))))

    @property
    def known_count(self) -> int:
        """Daemons that may be serving, unreachable ones included."""
        gone = sum(
            member.record.state is _LEAVING
            or (
                member.record.state is _DEAD
                and self._vms is not None
                and vm not in self._vms.live
            )
            for vm, member in self._members.items()
        )
        return 1 + len(self._members) - gone

    @property
    def partition_suspected(self) -> bool:
        """Whether a daemon is unreachable that may still be serving."""
        return self.known_count > len(self.live)

    @property
    def epoch(self) -> ids.Epoch:
        """The configuration epoch that messages carry."""
        return self._epoch

    def set_epoch(self, epoch: ids.Epoch) -> None:
        """Sets the configuration epoch that messages carry."""
        self._epoch = epoch

    def state_of(self, vm: ids.VmId) -> states.MemberState | None:
        """Returns the state of a VM's current process; None if unknown."""
        if vm == self._self.owner.vm:
            return self._self.state
        member = self._members.get(vm)
        return member.record.state if member else None

    def owner_state(
        self, owner: backend_servers.Owner, now: units.Instant
    ) -> states.MemberState:
        """Returns the state of one process.

        A process that was never seen is suspect at first. It becomes dead
        when either another process of its VM has stayed alive, or neither the
        members nor the VM list knew its VM, for so long since the first
        inquiry that a living process would have been heard of.
        """
        if owner == self._self.owner:
            return self._self.state
        member = self._members.get(owner.vm)
        if member is not None and member.record.owner == owner:
            return member.record.state
        if owner in self._replaced:
            return _DEAD
        if owner.vm != self._self.owner.vm and not self._absence_counts(member):
            self._inquiries.pop(owner, None)
            return _SUSPECT
        asked = self._inquiries.setdefault(owner, now)
        while len(self._inquiries) > _MAX_INQUIRIES:
            del self._inquiries[next(iter(self._inquiries))]
        if units.elapsed(asked, now) < self._spread_time:
            return _SUSPECT
        return _DEAD

    def on_time(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Runs what is due; called several times per round."""
        commands: list[messages.Command] = []
        last, self._last_time = self._last_time, now
        if last is not None and now - last > 2 * self._options.round_time:
            self._on_own_pause(now)
        if self._next_round is None or now >= self._next_round:
            commands += self._end_round(now)
            commands += self._start_round(now)
        commands += self._ask_others(now)
        commands += self._end_suspicions(now)
        self._forget(now)
        return tuple(commands)

    def on_message(
        self, message: messages.Message, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Takes a message of another daemon."""
        if message.sender.owner == self._self.owner:
            # This daemon's own address is among the configured contacts.
            self._contacts.discard(self._self.address)
            self._probes.pop(message.sequence, None)
            return ()
        commands = self._learn_all((message.sender, *message.members), now)
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
        """Takes the member list of another daemon."""
        return tuple(self._learn_all(snapshot.members, now))

    def on_vm_list(self, vms: object_store.VmList) -> None:
        """Takes the platform's VM list, a hint that lags."""
        # An empty list is a fault of the platform, not the end of all VMs.
        if vms.live:
            self._vms = vms

    def on_contacts(
        self, contacts: Iterable[records_module.ContactAddress]
    ) -> None:
        """Takes more addresses at which other daemons may be found."""
        self._contacts |= set(contacts) - {self._self.address}

    def leave(self) -> tuple[messages.Command, ...]:
        """Announces that this daemon is leaving, to all or to some members."""
        self._announce(
            dataclasses.replace(
                self._self, version=self._self.version + 1, state=_LEAVING
            )
        )
        reached = self.push_targets()
        return tuple(
            messages.Send(member.address, self.push_message(member))
            for member in reached
        )

    def push_targets(self) -> tuple[records_module.MemberRecord, ...]:
        """Returns members that get an urgent record at once.

        Each of them passes it on, so a few are enough at any size.
        """
        alive = [self._members[vm].record for vm in self._in(_ALIVE)]
        count = self._options.direct_members
        if len(alive) <= count:
            return tuple(alive)
        return tuple(self._random.sample(alive, count // 2))

    def push_message(self, to: records_module.MemberRecord) -> messages.Message:
        """Returns a message without an answer that carries only records."""
        return self._message(
            messages.MessageKind.PUSH, self._sequence(), to.owner.vm
        )

    def take(
        self, room: units.Bytes
    ) -> tuple[tuple[records_module.MemberRecord, ...], units.Bytes]:
        """Returns member records to piggy-back, and their size."""
        members, used = self._queue.take(room)
        return tuple(members), used

    @property
    def _spread_time(self) -> units.Seconds:
        rounds = _ROUNDS_TO_SUSPECT + math.ceil(
            math.log2(len(self._members) + 2)
        )
        return units.Seconds(rounds * self._options.round_time)

    def _absence_counts(self, member: _Member | None) -> bool:
        if member is not None:
            return member.record.state is _ALIVE and not member.failures
        return self._vms is not None

    def _in(self, *wanted: states.MemberState) -> list[ids.VmId]:
        return [
            vm
            for vm, member in self._members.items()
            if member.record.state in wanted
        ]

    def _sequence(self) -> int:
        return self._random.getrandbits(_SEQUENCE_BITS)

    def _announce(self, record: records_module.MemberRecord) -> None:
        if record.owner == self._self.owner:
            self._self = record
        self._queue.put(
            record.owner.vm,
            record,
            self._sizer.member_size(record),
            transmissions.retransmissions(len(self._members) + 1),
        )

    def _message(
        self,
        kind: messages.MessageKind,
        sequence: int,
        receiver: ids.VmId | None,
        target: records_module.MemberRecord | None = None,
    ) -> messages.Message:
        # A receiver that others believe to be gone is told so first, to let
        # it refute the claim or replace its predecessor.
        belief = self._members.get(receiver) if receiver else None
        told: tuple[records_module.MemberRecord, ...] = ()
        if belief and belief.record.state in (_SUSPECT, _DEAD):
            told = (belief.record,)
        elif belief and belief.predecessor:
            told = (belief.predecessor,)
        return messages.Message(
            kind, sequence, self._self, self._epoch, target, told
        )

    def _ack(
        self, requester: records_module.MemberRecord, sequence: int
    ) -> messages.Send:
        ack = self._message(
            messages.MessageKind.ACK, sequence, requester.owner.vm
        )
        known = self._members.get(requester.owner.vm)
        if known and known.record.outranks_process(requester):
            ack = dataclasses.replace(ack, members=(known.record,))
        return messages.Send(requester.address, ack)

    def _on_own_pause(self, now: units.Instant) -> None:
        # After a pause of this process its own silence explains missing acks.
        self._probes.clear()
        self._relays.clear()
        for member in self._members.values():
            member.failures = 0
            if member.record.state is _SUSPECT:
                member.since = now

    def _end_round(self, now: units.Instant) -> list[messages.Command]:
        failed = [
            probe.target
            for probe in self._probes.values()
            if probe.target is not None
        ]
        self._probes.clear()
        commands: list[messages.Command] = []
        for target in failed:
            member = self._members.get(target.owner.vm)
            if member is None or member.record.owner != target.owner:
                continue
            member.failures += 1
            if member.failures < _ROUNDS_TO_SUSPECT:
                continue
            if member.record.state is _ALIVE:
                commands += self._claim(member, _SUSPECT, now)
            elif member.record.state is _LEAVING:
                commands += self._claim(member, _DEAD, now)
        return commands

    def _start_round(self, now: units.Instant) -> list[messages.Command]:
        previous = self._next_round if self._next_round is not None else now
        step = units.after(previous, self._options.round_time)
        # Rounds that were missed are not made up for.
        self._next_round = (
            step if step > now else units.after(now, self._options.round_time)
        )
        commands: list[messages.Command] = [
            self._probe(member.record, now) for member in self._targets()
        ]
        commands += self._probe_contacts(now)
        dead = self._in(_DEAD)
        if dead:
            chosen = self._members[self._random.choice(dead)].record
            ping = self._message(
                messages.MessageKind.PING, self._sequence(), chosen.owner.vm
            )
            commands.append(messages.Send(chosen.address, ping))
        return commands

    def _targets(self) -> list[_Member]:
        present = self._in(_ALIVE, _SUSPECT, _LEAVING)
        if len(present) <= self._options.direct_members:
            return [self._members[vm] for vm in present]
        while self._order and self.state_of(self._order[-1]) in (None, _DEAD):
            self._order.pop()
        if not self._order:
            self._order = present
            self._random.shuffle(self._order)
        # Members that failed once are probed again in the very next round.
        again = [vm for vm in present if self._members[vm].failures == 1]
        chosen = dict.fromkeys((self._order.pop(), *again))
        return [self._members[vm] for vm in chosen]

    def _probe(
        self, target: records_module.MemberRecord, now: units.Instant
    ) -> messages.Send:
        sequence = self._sequence()
        self._probes[sequence] = _Probe(target, now)
        ping = self._message(
            messages.MessageKind.PING, sequence, target.owner.vm
        )
        return messages.Send(target.address, ping)

    def _probe_contacts(self, now: units.Instant) -> list[messages.Command]:
        reached = {
            member.record.address
            for member in self._members.values()
            if member.record.state is not _DEAD
        }
        missing = sorted(self._contacts - reached)
        # One is enough once any member is known; the rest arrives with it.
        if reached and missing:
            missing = [self._random.choice(missing)]
        commands: list[messages.Command] = []
        for address in missing[: self._options.direct_members]:
            sequence = self._sequence()
            self._probes[sequence] = _Probe(None, now)
            ping = self._message(messages.MessageKind.PING, sequence, None)
            commands.append(messages.Send(address, ping))
        return commands

    def _ask_others(self, now: units.Instant) -> list[messages.Command]:
        commands: list[messages.Command] = []
        for sequence, probe in self._probes.items():
            waited = units.elapsed(probe.sent, now)
            if (
                probe.target is None
                or probe.asked_others
                or waited < self._options.direct_timeout
            ):
                continue
            probe.asked_others = True
            helpers = [
                vm
                for vm in self._in(_ALIVE)
                if vm != probe.target.owner.vm
                and not self._members[vm].failures
            ]
            count = min(len(helpers), self._options.indirect_probes)
            for vm in self._random.sample(helpers, count):
                request = self._message(
                    messages.MessageKind.INDIRECT_PING,
                    sequence,
                    vm,
                    probe.target,
                )
                to = self._members[vm].record.address
                commands.append(messages.Send(to, request))
        return commands

    def _on_ack(self, message: messages.Message) -> list[messages.Command]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            ack = dataclasses.replace(
                self._message(messages.MessageKind.ACK, relay.sequence, None),
                members=(message.sender,),
            )
            return [messages.Send(relay.requester, ack)]
        probe = self._probes.pop(message.sequence, None)
        if probe is not None and probe.target is not None:
            member = self._members.get(probe.target.owner.vm)
            if member is not None:
                member.failures = 0
        return []

    def _on_indirect_ping(
        self, message: messages.Message, now: units.Instant
    ) -> list[messages.Command]:
        target = message.target
        if target is None or len(self._relays) >= _MAX_RELAYS:
            return []
        sequence = self._sequence()
        self._relays[sequence] = _Relay(
            message.sender.address, message.sequence, now
        )
        ping = self._message(
            messages.MessageKind.PING, sequence, target.owner.vm
        )
        return [messages.Send(target.address, ping)]

    def _end_suspicions(self, now: units.Instant) -> list[messages.Command]:
        commands: list[messages.Command] = []
        for vm in self._in(_SUSPECT):
            member = self._members[vm]
            confirmed = (
                self._vms is not None
                and vm not in self._vms.live
                and vm not in self._vms.leaving
            )
            rounds = (
                self._options.confirmed_suspicion_rounds
                if confirmed
                else self._options.suspicion_rounds
                + math.ceil(math.log2(len(self._members) + 2))
                - 1
            )
            if now - member.since >= rounds * self._options.round_time:
                commands += self._claim(member, _DEAD, now)
        return commands

    def _claim(
        self, member: _Member, state: states.MemberState, now: units.Instant
    ) -> list[messages.Command]:
        return self._learn(dataclasses.replace(member.record, state=state), now)

    def _learn_all(
        self,
        records: Iterable[records_module.MemberRecord],
        now: units.Instant,
    ) -> list[messages.Command]:
        return [command for r in records for command in self._learn(r, now)]

    def _learn(
        self, record: records_module.MemberRecord, now: units.Instant
    ) -> list[messages.Command]:
        if record.owner.vm == self._self.owner.vm:
            return self._learn_about_self(record)
        vm = record.owner.vm
        member = self._members.get(vm)
        if member is None:
            if len(self._members) >= self._options.max_members:
                return []
            self._members[vm] = _Member(record, now)
            self._announce(record)
            return [messages.MemberChanged(None, None, record)]
        old = member.record
        if not record.supersedes(old):
            return []
        if record.owner != old.owner:
            self._replace(old.owner)
            member.failures = 0
            member.predecessor = old
        if member.predecessor and (
            record.generation > member.predecessor.generation
        ):
            member.predecessor = None
        member.record = record
        self._announce(record)
        if record.state is old.state and record.owner == old.owner:
            return []
        member.since = now
        return [messages.MemberChanged(old.state, old.owner, record)]

    def _learn_about_self(
        self, record: records_module.MemberRecord
    ) -> list[messages.Command]:
        if self._replaced_self:
            return []
        if record.owner == self._self.owner:
            # Only this daemon raises its version; a greater one is no claim
            # about what it has announced.
            if record.version == self._self.version and record.supersedes(
                self._self
            ):
                self._announce(
                    dataclasses.replace(self._self, version=record.version + 1)
                )
            return []
        if record.generation < self._self.generation:
            return []
        if record.replaces == self._self.owner.incarnation:
            if not record.supersedes(self._self):
                return []
            # Raising the generation again would make two processes with the
            # same VM id displace each other without end.
            self._replaced_self = True
            return [messages.ReplacedByOtherProcess(record)]
        # An explicit claim, even if the random incarnation outranks the other
        # process already: that one may be paused and must not claim later.
        self._replace(record.owner)
        self._announce(
            dataclasses.replace(
                self._self,
                generation=record.generation + 1,
                replaces=record.owner.incarnation,
            )
        )
        return []

    def _replace(self, owner: backend_servers.Owner) -> None:
        self._replaced[owner] = None
        while len(self._replaced) > _MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]

    def _forget(self, now: units.Instant) -> None:
        for vm in self._in(_DEAD):
            member = self._members[vm]
            age = units.elapsed(member.since, now)
            if age >= self._options.forget_after:
                del self._members[vm]
                self._replace(member.record.owner)
        expired = [
            sequence
            for sequence, relay in self._relays.items()
            if now - relay.sent > self._options.round_time
        ]
        for sequence in expired:
            del self._relays[sequence]
