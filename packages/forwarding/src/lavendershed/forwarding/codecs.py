"""Interfaces that keep request execution independent of encodings."""

from __future__ import annotations

import abc
import enum

import result

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.peer import peer_state
from lavendershed.routes import model
from lavendershed.transport import client
from lavendershed.transport import handlers


class CallerCodec(abc.ABC):
    """Decodes requests of callers and encodes failures for them."""

    @property
    @abc.abstractmethod
    def id_header(self) -> str:
        """Name of the header with the id of a request, in lower case."""

    @abc.abstractmethod
    def decode(
        self, request: handlers.ServerRequest
    ) -> result.Result[requests.CallerRequest, outcomes.RequestFailure]:
        """Returns the request, or why it is invalid."""

    @abc.abstractmethod
    def encode_failure(
        self, failure: outcomes.RequestFailure
    ) -> tuple[int, requests.Headers, bytes]:
        """Returns status, headers and body for a failure."""

    @abc.abstractmethod
    def says_not_run(self, status: int) -> bool:
        """Returns whether a status tells callers that nothing has run."""


class BackendCodec(abc.ABC):
    """Encodes requests to backend servers and decodes responses."""

    @abc.abstractmethod
    def encode(self, request: requests.BackendRequest) -> client.RequestHead:
        """Returns the request line and headers."""

    @abc.abstractmethod
    def decode(
        self, head: client.ResponseHead, caller_request: requests.CallerRequest
    ) -> requests.BackendResponseHead:
        """Returns the classified head of a response to a request."""

    @abc.abstractmethod
    def decode_request_limit(
        self, head: client.ResponseHead
    ) -> result.Result[float | None, str]:
        """Returns the requests per second that a server names as its limit.

        Returns:
            The limit, None if the answer names none, or why it is invalid.
        """

    @abc.abstractmethod
    def decode_call_notices(
        self, head: client.ResponseHead
    ) -> requests.ServerNotices:
        """Returns what the answer to a reservation or query says besides."""

    @abc.abstractmethod
    def encode_reservation(
        self,
        server: ids.BackendServerId,
        reservation_id: str,
        tokens: int,
        lease: units.Seconds,
    ) -> requests.EncodedReservationCall:
        """Returns a call that reserves memory or renews its lease."""

    @abc.abstractmethod
    def encode_release(
        self, server: ids.BackendServerId, reservation_id: str
    ) -> requests.EncodedReservationCall:
        """Returns a call that releases a memory reservation."""

    @abc.abstractmethod
    def decode_reservation_status(
        self, head: client.ResponseHead
    ) -> requests.ReservationStatus:
        """Returns the reservation status."""

    @abc.abstractmethod
    def encode_status_query(
        self, server: ids.BackendServerId
    ) -> client.RequestHead:
        """Returns a query for the state of an engine."""

    @abc.abstractmethod
    def decode_status(
        self, head: client.ResponseHead, body: bytes
    ) -> result.Result[requests.EngineStatus, str]:
        """Returns the state of an engine, or why it is invalid."""


class ObjectKind(enum.Enum):
    """Object collections of the store that a daemon watches."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    # One object for each evacuated availability zone, which is its name.
    EVACUATIONS = "evacuations"


class ObjectDecoder(abc.ABC):
    """Decodes objects of the store."""

    @abc.abstractmethod
    def decode_configuration(
        self, stored: peer_state.StoredObject
    ) -> result.Result[model.RoutingConfiguration, str]:
        """Returns a configuration, or which field is invalid."""

    @abc.abstractmethod
    def decode_server(
        self, stored: peer_state.StoredObject
    ) -> result.Result[server_directory.ServerEntry, str]:
        """Returns a server entry, or which field is invalid."""


class SourceError(enum.Enum):
    """Why a call to the store failed."""

    HISTORY_GONE = "history_gone"
    UNAVAILABLE = "unavailable"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    MALFORMED = "malformed"


# Changed objects, names of removed ones, and the revision to resume from.
Changes = tuple[
    tuple[peer_state.StoredObject, ...],
    tuple[str, ...],
    store_revisions.StoreRevision,
]


class ObjectSource(abc.ABC):
    """One object collection of the store."""

    @abc.abstractmethod
    async def list(
        self,
    ) -> result.Result[
        tuple[
            tuple[peer_state.StoredObject, ...], store_revisions.StoreRevision
        ],
        SourceError,
    ]:
        """Returns all objects and the revision of the listing."""

    @abc.abstractmethod
    async def watch(
        self, revision: store_revisions.StoreRevision, timeout: units.Seconds
    ) -> result.Result[Changes, SourceError]:
        """Waits for changes after `revision`.

        Returns:
            Changed objects, names of removed objects, and the revision to
            resume from; no objects if nothing changed within `timeout`.
        """

    @abc.abstractmethod
    async def changes_since(
        self, revision: store_revisions.StoreRevision
    ) -> result.Result[Changes, SourceError]:
        """Returns the changes after `revision` at once, like `watch`.

        Uses a new connection, because an open one may have gone silent.
        """
