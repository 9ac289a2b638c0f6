"""Messages between daemons and commands of the decision objects."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.membership import records as records_module


class MessageKind(enum.Enum):
    """Kinds of datagrams."""

    PING = "ping"
    ACK = "ack"
    INDIRECT_PING = "indirect_ping"
    PUSH = "push"


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One datagram.

    Attributes:
        sequence: Random number that ties an ack to its ping.
        epoch: Configuration epoch in force at the sender.
        target: Daemon that an indirect ping asks to probe.
        members: Piggy-backed member records.
        records: Piggy-backed soft-state records.
    """

    kind: MessageKind
    sequence: int
    sender: records_module.MemberRecord
    epoch: ids.Epoch
    target: records_module.MemberRecord | None = None
    members: tuple[records_module.MemberRecord, ...] = ()
    records: tuple[records_module.VersionedRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All that a daemon knows, for one that has just started."""

    epoch: ids.Epoch
    members: tuple[records_module.MemberRecord, ...]
    records: tuple[records_module.VersionedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Command: send a message."""

    recipient: records_module.PeerAddress
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new, has another state, or is another process now."""

    old_state: states.MemberState | None
    old_owner: backend_servers.Owner | None
    record: records_module.MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RecordReceived:
    """A record that this daemon didn't have in this version."""

    record: records_module.VersionedRecord


@dataclasses.dataclass(frozen=True, slots=True)
class EpochSeen:
    """Another daemon has a greater configuration epoch in force."""

    epoch: ids.Epoch
    member: records_module.MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReplacedByOtherProcess:
    """Another process with the VM id of this one has taken its place."""

    replacement: records_module.MemberRecord


Command = (
    Send | MemberChanged | RecordReceived | EpochSeen | ReplacedByOtherProcess
)
