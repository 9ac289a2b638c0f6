"""Messages between daemons, and commands and events of the protocol."""

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
        sequence: Random number that matches an ack to its ping.
        epoch: Epoch of the sender's active configuration.
        target: Daemon to probe for an indirect ping.
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
    """All members and records of a daemon, for one that has just started."""

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
    """Event: a member is new, or its state or process has changed."""

    old_state: states.MemberState | None
    old_owner: backend_servers.Owner | None
    record: records_module.MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RecordReceived:
    """Event: a new record or a newer version of one was received."""

    record: records_module.VersionedRecord


@dataclasses.dataclass(frozen=True, slots=True)
class EpochSeen:
    """Event: another daemon has an active configuration of a later epoch."""

    epoch: ids.Epoch
    member: records_module.MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ReplacedByOtherProcess:
    """Event: another process with the same VM id has replaced this one."""

    replacement: records_module.MemberRecord


Command = (
    Send | MemberChanged | RecordReceived | EpochSeen | ReplacedByOtherProcess
)
