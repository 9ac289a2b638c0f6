"""Interfaces of the transports between daemons."""

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
    """Cause of a failed call to another daemon."""

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
    """Sends datagrams without a guarantee of delivery."""

    @abc.abstractmethod
    def send(
        self, recipient: records.PeerAddress, message: messages.Message
    ) -> None:
        """Sends one message."""


class DatagramReceiver(abc.ABC):
    """Receives authenticated datagrams."""

    @abc.abstractmethod
    def on_datagram(self, message: messages.Message) -> None:
        """Handles one message of another daemon."""


class PeerClient(abc.ABC):
    """Calls other daemons; errors are returned as values."""

    @abc.abstractmethod
    async def fetch_manifest(
        self, peer: records.PeerAddress
    ) -> result.Result[bytes, PeerError]:
        """Fetches the encoded active manifest of another daemon."""

    @abc.abstractmethod
    async def fetch_chunk(
        self, peer: records.PeerAddress, chunk_hash: ids.ChunkHash
    ) -> result.Result[bytes, PeerError]:
        """Fetches one encoded configuration chunk without checking its hash."""

    @abc.abstractmethod
    async def fetch_snapshot(
        self, peer: records.PeerAddress
    ) -> result.Result[messages.Snapshot, PeerError]:
        """Fetches all members and records that another daemon knows."""

    @abc.abstractmethod
    async def fetch_incarnation_state(
        self, peer: records.PeerAddress, owner: backend_servers.Owner
    ) -> result.Result[states.MemberState, PeerError]:
        """Fetches the state of one process as another daemon sees it."""


class PeerService(abc.ABC):
    """Serves the calls of other daemons."""

    @abc.abstractmethod
    def manifest(self) -> bytes | None:
        """Returns the encoded active manifest, if there is one."""

    @abc.abstractmethod
    def chunk(self, chunk_hash: ids.ChunkHash) -> bytes | None:
        """Returns the encoded chunk with this hash, if it is stored."""

    @abc.abstractmethod
    def snapshot(self) -> messages.Snapshot:
        """Returns all members and records that this daemon knows."""

    @abc.abstractmethod
    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of one process."""
