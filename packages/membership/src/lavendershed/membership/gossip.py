"""Piggy-backing of member and soft-state records on detector messages."""

from __future__ import annotations

import dataclasses

from lavendershed.core import cluster
from lavendershed.core import units
from lavendershed.membership import detector
from lavendershed.membership import dissemination
from lavendershed.membership import messages
from lavendershed.membership import records as records_module
from lavendershed.membership import transmissions

_URGENT_KINDS = records_module.URGENT_KINDS


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOptions:
    """Message sizes and the byte budget of all messages.

    Attributes:
        bytes_per_second: Rate limit of sent bytes; probes are always sent,
            piggy-backed records only within the budget.
        message_overhead: Bytes of a message besides its records: the
            authentication tag, the deployment id (at most 64 bytes) and field
            headers.
    """

    max_message_size: units.Bytes = units.Bytes(1_200)
    message_overhead: units.Bytes = units.Bytes(110)
    bytes_per_second: float = 7_000.0
    burst: units.Bytes = units.Bytes(14_000)


class Gossip:
    """Piggy-backs records on the messages of the failure detector."""

    def __init__(
        self,
        membership: detector.Membership,
        records: dissemination.Dissemination,
        sizer: records_module.RecordSizer,
        options: GossipOptions = GossipOptions(),  # noqa: B008
    ) -> None:
        self._membership = membership
        self._records = records
        self._sizer = sizer
        self._options = options
        self._budget = transmissions.ByteBudget(
            options.bytes_per_second, options.burst
        )

    @property
    def membership(self) -> detector.Membership:
        """The member list."""
        return self._membership

    @property
    def records(self) -> dissemination.Dissemination:
        """The soft-state records."""
        return self._records

    def on_timer(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Runs due probes, timeouts and record expiry."""
        self._records.on_timer(now)
        return self._fill_messages(self._membership.on_timer(now), now)

    def on_message(
        self, message: messages.Message, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Handles a message of another daemon."""
        received = self._apply_records(message.records, now)
        commands = self._membership.on_message(message, now)
        return (
            received
            + self._fill_messages(commands, now)
            + self._forward_urgent(received, now)
        )

    def on_snapshot(
        self, snapshot: messages.Snapshot, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Merges the members and records of another daemon."""
        received = self._apply_records(snapshot.records, now)
        commands = self._membership.on_snapshot(snapshot, now)
        return received + self._fill_messages(commands, now)

    def publish(
        self, content: cluster.PeerRecord, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Publishes a record of this daemon to the other daemons."""
        accepted = self._records.publish(
            content, len(self._membership.live), now
        )
        if not accepted:
            return ()
        kind = records_module.subject_of(content).kind
        if kind in _URGENT_KINDS or (
            kind is records_module.RecordKind.LOAD
            and self._has_spare_budget(now)
        ):
            return self._push_to_peers(now)
        return ()

    def leave(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Announces that this daemon is leaving."""
        return self._fill_messages(self._membership.leave(), now)

    def snapshot(self, now: units.Instant) -> messages.Snapshot:
        """Returns all members and records that this daemon knows."""
        return messages.Snapshot(
            self._membership.epoch,
            self._membership.records,
            self._records.snapshot(now),
        )

    def _apply_records(
        self,
        records: tuple[records_module.VersionedRecord, ...],
        now: units.Instant,
    ) -> tuple[messages.Command, ...]:
        member_count = len(self._membership.live)
        return tuple(
            messages.RecordReceived(record)
            for record in records
            if self._records.on_record(record, member_count, now)
        )

    def _forward_urgent(
        self, received: tuple[messages.Command, ...], now: units.Instant
    ) -> tuple[messages.Command, ...]:
        urgent = any(
            isinstance(command, messages.RecordReceived)
            and command.record.subject.kind in _URGENT_KINDS
            for command in received
        )
        # In a small deployment the origin sends to all daemons itself.
        full_mesh = (
            len(self._membership.live) <= dissemination.FULL_MESH_MAX_MEMBERS
        )
        return self._push_to_peers(now) if urgent and not full_mesh else ()

    def _has_spare_budget(self, now: units.Instant) -> bool:
        # Engine selection improves if load records arrive before the next
        # round. They are pushed only while half a burst remains for probes and
        # urgent records.
        full_mesh = (
            len(self._membership.live) <= dissemination.FULL_MESH_MAX_MEMBERS
        )
        return (
            full_mesh and self._budget.available(now) > self._options.burst / 2
        )

    def _push_to_peers(
        self, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        pushes = tuple(
            messages.Send(member.address, self._membership.push_message(member))
            for member in self._membership.push_targets()
        )
        return self._fill_messages(pushes, now)

    def _fill_messages(
        self, commands: tuple[messages.Command, ...], now: units.Instant
    ) -> tuple[messages.Command, ...]:
        return tuple(
            messages.Send(
                command.recipient, self._fill_message(command.message, now)
            )
            if isinstance(command, messages.Send)
            else command
            for command in commands
        )

    def _fill_message(
        self, message: messages.Message, now: units.Instant
    ) -> messages.Message:
        fixed_size = self._options.message_overhead + sum(
            self._sizer.member_size(member)
            for member in (message.sender, message.target, *message.members)
            if member is not None
        )
        self._budget.spend(units.Bytes(fixed_size), now)
        record_space = units.Bytes(
            min(
                self._options.max_message_size - fixed_size,
                self._budget.available(now),
            )
        )
        # Half of the space is reserved for soft-state records; otherwise many
        # simultaneous joins would delay urgent records. Unused space goes to
        # member records again.
        members, members_size = self._membership.take_member_records(
            units.Bytes(record_space // 2)
        )
        # With full-mesh probing each round sends exactly one ping to every
        # member. A digest that also went out with acks would use up its
        # transmissions before it reached all of them.
        digests = (
            message.kind is not messages.MessageKind.ACK
            or len(self._membership.live) > dissemination.FULL_MESH_MAX_MEMBERS
        )
        records, records_size = self._records.take_records(
            units.Bytes(record_space - members_size), now, digests=digests
        )
        piggyback_size = members_size + records_size
        more_members, more_members_size = self._membership.take_member_records(
            units.Bytes(record_space - piggyback_size)
        )
        self._budget.spend(units.Bytes(piggyback_size + more_members_size), now)
        members += more_members
        return dataclasses.replace(
            message, members=message.members + members, records=records
        )
