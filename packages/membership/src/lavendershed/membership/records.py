"""Records that daemons spread among each other."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import NewType

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units

# Where the other daemons reach a daemon, `host:port` for TCP and UDP.
PeerAddress = NewType("PeerAddress", str)

_STATE_PRECEDENCE = {
    states.MemberState.ALIVE: 0,
    states.MemberState.LEAVING: 1,
    states.MemberState.SUSPECT: 2,
    states.MemberState.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is claimed about one daemon process.

    Attributes:
        generation: Orders the processes of one VM; incarnations are random
            and can't. A process raises it above that of an older process.
        version: Raised only by the daemon itself, to refute a claim.
        replaces: The process of this VM that this one has replaced.
    """

    owner: backend_servers.Owner
    generation: int
    version: int
    state: states.MemberState
    address: PeerAddress
    availability_zone: ids.AvailabilityZoneId
    replaces: ids.Incarnation | None = None

    def supersedes(self, other: MemberRecord) -> bool:
        """Returns whether this record replaces `other` of the same VM."""
        return self._precedence > other._precedence

    def supersedes_process(self, other: MemberRecord) -> bool:
        """Returns whether this record's process replaces that of `other`."""
        return self._precedence[:2] > other._precedence[:2]

    @property
    def _precedence(self) -> tuple[int, int, int, int]:
        return (
            self.generation,
            self.owner.incarnation,
            self.version,
            _STATE_PRECEDENCE[self.state],
        )


class RecordKind(enum.Enum):
    """Kinds of soft-state records."""

    QUARANTINE = "quarantine"
    CRASH_SUSPECT = "crash_suspect"
    DEMAND = "demand"
    LOAD = "load"
    BACKEND_LEAVING = "backend_leaving"


# These records stop work or refuse requests; they are sent at once and first.
URGENT_KINDS = frozenset(
    (
        RecordKind.QUARANTINE,
        RecordKind.CRASH_SUSPECT,
        RecordKind.BACKEND_LEAVING,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """What a record is about; each origin has one record of a subject."""

    kind: RecordKind
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A soft-state record on its way.

    Attributes:
        lifetime: Time left; each daemon subtracts the time that it held the
            record, so a record that is still alive is also fresh.
    """

    origin: backend_servers.Owner
    version: int
    lifetime: units.Seconds
    content: cluster.PeerRecord

    @property
    def subject(self) -> Subject:
        """What the record is about."""
        return subject_of(self.content)


class RecordSizer(abc.ABC):
    """Tells how many bytes a record takes in a message."""

    @abc.abstractmethod
    def member_size(self, record: MemberRecord) -> units.Bytes:
        """Returns the encoded size of a member record."""

    @abc.abstractmethod
    def record_size(self, record: VersionedRecord) -> units.Bytes:
        """Returns the encoded size of a soft-state record."""


def subject_of(content: cluster.PeerRecord) -> Subject:
    """Returns what a record is about."""
    if isinstance(content, cluster.QuarantineRecord):
        return Subject(RecordKind.QUARANTINE, str(content.fingerprint))
    if isinstance(content, cluster.CrashSuspectRecord):
        return Subject(RecordKind.CRASH_SUSPECT, str(content.fingerprint))
    if isinstance(content, cluster.BackendLeavingRecord):
        return Subject(RecordKind.BACKEND_LEAVING, content.server)
    if isinstance(content, cluster.DemandRecord):
        return Subject(RecordKind.DEMAND)
    return Subject(RecordKind.LOAD)
