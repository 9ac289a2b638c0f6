"""Records that daemons disseminate by gossip."""

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

# Address of a daemon for its peers, `host:port` for TCP and UDP.
PeerAddress = NewType("PeerAddress", str)

_STATE_PRECEDENCE = {
    states.MemberState.ALIVE: 0,
    states.MemberState.LEAVING: 1,
    states.MemberState.SUSPECT: 2,
    states.MemberState.DEAD: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """State of one daemon process as broadcast by a member.

    Attributes:
        generation: Orders the processes of one VM, because incarnations are
            random. A new process raises it above that of the older one.
        version: Raised only by the daemon itself, to refute a suspicion (the
            incarnation number of the SWIM paper).
        replaces: Incarnation that this process has replaced on the VM.
    """

    owner: backend_servers.Owner
    generation: int
    version: int
    state: states.MemberState
    address: PeerAddress
    availability_zone: ids.AvailabilityZoneId
    replaces: ids.Incarnation | None = None

    def supersedes(self, other: MemberRecord) -> bool:
        """Returns whether this record is newer than `other` of the same VM."""
        return self._precedence > other._precedence

    def supersedes_process(self, other: MemberRecord) -> bool:
        """Returns whether this record is of a newer process than `other`."""
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


# Records that stop requests to a server or reject requests; they are sent at
# once and before all others.
URGENT_KINDS = frozenset(
    (
        RecordKind.QUARANTINE,
        RecordKind.CRASH_SUSPECT,
        RecordKind.BACKEND_LEAVING,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """Key of a record; each origin has at most one record per subject."""

    kind: RecordKind
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A soft-state record as it is sent between daemons.

    Attributes:
        lifetime: Remaining time to live; each daemon subtracts the time for
            which it stored the record, so an unexpired record is fresh.
    """

    origin: backend_servers.Owner
    version: int
    lifetime: units.Seconds
    content: cluster.PeerRecord

    @property
    def subject(self) -> Subject:
        """Key of the record."""
        return subject_of(self.content)


class RecordSizer(abc.ABC):
    """Computes the encoded size of a record in a message."""

    @abc.abstractmethod
    def member_size(self, record: MemberRecord) -> units.Bytes:
        """Returns the encoded size of a member record."""

    @abc.abstractmethod
    def record_size(self, record: VersionedRecord) -> units.Bytes:
        """Returns the encoded size of a soft-state record."""


def subject_of(content: cluster.PeerRecord) -> Subject:
    """Returns the key of a record."""
    if isinstance(content, cluster.QuarantineRecord):
        return Subject(RecordKind.QUARANTINE, str(content.fingerprint))
    if isinstance(content, cluster.CrashSuspectRecord):
        return Subject(RecordKind.CRASH_SUSPECT, str(content.fingerprint))
    if isinstance(content, cluster.BackendLeavingRecord):
        return Subject(RecordKind.BACKEND_LEAVING, content.server)
    if isinstance(content, cluster.DemandRecord):
        return Subject(RecordKind.DEMAND)
    return Subject(RecordKind.LOAD)
