"""Interfaces to the transports between daemons."""

from __future__ import annotations

import abc
import dataclasses
import enum

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.membership import messages
from lavendershed.membership import records


class PeerErrorKind(enum.Enum):
    """Why a call to another daemon gave no result."""

    UNREACHABLE = "unreachable"
    ABSENT = "absent"
    REFUSED = "refused"
    PROTOCOL = "protocol"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerError:
    """A failed call to another daemon."""

    kind: PeerErrorKind
    detail: str


class DatagramSender(abc.ABC):
    """Sends datagrams; each may be lost."""

    @abc.abstractmethod
    def send(
        self, recipient: records.PeerAddress, message: messages.Message
    ) -> None:
        """Sends one message."""


class DatagramReceiver(abc.ABC):
    """Takes authenticated datagrams."""

    @abc.abstractmethod
    def on_datagram(self, message: messages.Message) -> None:
        """Takes one message of another daemon."""


class PeerClient(abc.ABC):
    """Calls to other daemons; errors are values."""

    @abc.abstractmethod
    async def fetch_manifest(
        self, peer: records.PeerAddress
    ) -> result.Result[bytes, PeerError]:
        """Fetches the encoded manifest in force at another daemon."""

    @abc.abstractmethod
    async def fetch_chunk(
        self, peer: records.PeerAddress, chunk_hash: ids.ChunkHash
    ) -> result.Result[bytes, PeerError]:
        """Fetches one encoded configuration chunk; the hash is unchecked."""

    @abc.abstractmethod
    async def fetch_snapshot(
        self, peer: records.PeerAddress
    ) -> result.Result[messages.Snapshot, PeerError]:
        """Fetches all members and records that another daemon knows."""

    @abc.abstractmethod
    async def fetch_owner_state(
        self, peer: records.PeerAddress, owner: backend_servers.Owner
    ) -> result.Result[states.MemberState, PeerError]:
        """Asks another daemon for the state of one process."""


class PeerService(abc.ABC):
    """Answers the calls of other daemons."""

    @abc.abstractmethod
    def manifest(self) -> bytes | None:
        """Returns the encoded manifest in force, if there is one."""

    @abc.abstractmethod
    def chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns an encoded chunk that has this hash, if it is held."""

    @abc.abstractmethod
    def snapshot(self) -> messages.Snapshot:
        """Returns all members and records that this daemon knows."""

    @abc.abstractmethod
    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of one process."""
