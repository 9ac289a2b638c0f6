"""Member list and soft-state records combined into whole messages."""

from __future__ import annotations

import dataclasses

from lavendershed.core import cluster
from lavendershed.core import units
from lavendershed.membership import detector
from lavendershed.membership import dissemination
from lavendershed.membership import messages
from lavendershed.membership import records as records_module
from lavendershed.membership import transmissions

_URGENT = records_module.URGENT_KINDS


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOptions:
    """Sizes of messages and the budget of all messages together.

    Attributes:
        bytes_per_second: Budget of sent bytes; probes are always sent, and
            piggy-backed records wait for the budget.
        overhead: Bytes of a message beside its records.
    """

    message_size: units.Bytes = units.Bytes(1_200)
    overhead: units.Bytes = units.Bytes(220)
    bytes_per_second: float = 6_000.0
    burst: units.Bytes = units.Bytes(24_000)


class Gossip:
    """Fills the messages of the failure detector with records."""

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

    def on_time(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Runs what is due."""
        self._records.on_time(now)
        return self._filled(self._membership.on_time(now), now)

    def on_message(
        self, message: messages.Message, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Takes a message of another daemon."""
        news = self._take_records(message.records, now)
        commands = self._membership.on_message(message, now)
        return news + self._filled(commands, now) + self._push(news, now)

    def on_snapshot(
        self, snapshot: messages.Snapshot, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Takes all that another daemon knows."""
        news = self._take_records(snapshot.records, now)
        commands = self._membership.on_snapshot(snapshot, now)
        return news + self._filled(commands, now)

    def publish(
        self, content: cluster.PeerRecord, now: units.Instant
    ) -> tuple[messages.Command, ...]:
        """Takes a record of this daemon to spread."""
        accepted = self._records.publish(
            content, len(self._membership.live), now
        )
        if accepted and records_module.subject_of(content).kind in _URGENT:
            return self._push_now(now)
        return ()

    def leave(self, now: units.Instant) -> tuple[messages.Command, ...]:
        """Announces that this daemon is leaving."""
        return self._filled(self._membership.leave(), now)

    def snapshot(self, now: units.Instant) -> messages.Snapshot:
        """Returns all that this daemon knows."""
        return messages.Snapshot(
            self._membership.epoch,
            self._membership.records,
            self._records.snapshot(now),
        )

    def _take_records(
        self,
        records: tuple[records_module.VersionedRecord, ...],
        now: units.Instant,
    ) -> tuple[messages.Command, ...]:
        members = len(self._membership.live)
        return tuple(
            messages.RecordReceived(record)
            for record in records
            if self._records.on_record(record, members, now)
        )

    def _push(
        self, news: tuple[messages.Command, ...], now: units.Instant
    ) -> tuple[messages.Command, ...]:
        urgent = any(
            isinstance(command, messages.RecordReceived)
            and command.record.subject.kind in _URGENT
            for command in news
        )
        # In a small deployment the origin has reached everyone itself.
        small = len(self._membership.live) <= dissemination.DIRECT_MEMBERS
        return self._push_now(now) if urgent and not small else ()

    def _push_now(self, now: units.Instant) -> tuple[messages.Command, ...]:
        pushes = tuple(
            messages.Send(member.address, self._membership.push_message(member))
            for member in self._membership.push_targets()
        )
        return self._filled(pushes, now)

    def _filled(
        self, commands: tuple[messages.Command, ...], now: units.Instant
    ) -> tuple[messages.Command, ...]:
        return tuple(
            messages.Send(command.to, self._fill(command.message, now))
            if isinstance(command, messages.Send)
            else command
            for command in commands
        )

    def _fill(
        self, message: messages.Message, now: units.Instant
    ) -> messages.Message:
        fixed = self._options.overhead + sum(
            self._sizer.member_size(member)
            for member in (message.target, *message.members)
            if member is not None
        )
        self._budget.spend(units.Bytes(fixed), now)
        room = units.Bytes(
            min(self._options.message_size - fixed, self._budget.available(now))
        )
        # Half of the room is for records, or a wave of joining members would
        # delay the records that stop work; what is left goes to members again.
        members, members_size = self._membership.take(units.Bytes(room // 2))
        # With direct probes each round has exactly one ping to every member;
        # a digest that went out with acks as well would miss some of them.
        digests = (
            message.kind is not messages.MessageKind.ACK
            or len(self._membership.live) > dissemination.DIRECT_MEMBERS
        )
        records, records_size = self._records.take(
            units.Bytes(room - members_size), now, digests=digests
        )
        used = members_size + records_size
        more, more_size = self._membership.take(units.Bytes(room - used))
        self._budget.spend(units.Bytes(used + more_size), now)
        members += more
        return dataclasses.replace(
            message, members=message.members + members, records=records
        )
