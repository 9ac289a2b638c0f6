"""Interfaces between the execution of requests and their encoding."""

from __future__ import annotations

import abc
import enum

import result

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import units
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.routes import model
from lavendershed.transport import client
from lavendershed.transport import handlers


class CallerCodec(abc.ABC):
    """Encoding between callers and this system."""

    @abc.abstractmethod
    def decode(
        self, request: handlers.ServerRequest
    ) -> result.Result[requests.CallerRequest, outcomes.RequestFailure]:
        """Returns the request, or why it is not proper."""

    @abc.abstractmethod
    def encode_failure(
        self, failure: outcomes.RequestFailure
    ) -> tuple[int, requests.Headers, bytes]:
        """Returns status, headers and body for a failure."""


class BackendCodec(abc.ABC):
    """Encoding between this system and backend servers."""

    @abc.abstractmethod
    def encode(self, request: requests.BackendRequest) -> client.RequestHead:
        """Returns the request line and headers."""

    @abc.abstractmethod
    def decode(
        self, head: client.ResponseHead, caller: requests.CallerRequest
    ) -> requests.BackendResponseHead:
        """Returns what the head of an answer to `caller` means."""

    @abc.abstractmethod
    def encode_reservation(
        self,
        server: ids.BackendServerId,
        reservation_id: str,
        tokens: int,
        lease: units.Seconds,
    ) -> requests.EncodedReservationCall:
        """Returns an order that sets memory aside or renews its lease."""

    @abc.abstractmethod
    def encode_release(
        self, server: ids.BackendServerId, reservation_id: str
    ) -> requests.EncodedReservationCall:
        """Returns an order that gives memory back."""

    @abc.abstractmethod
    def decode_reservation_status(
        self, head: client.ResponseHead
    ) -> tuple[requests.ReservationStatus, units.Seconds | None]:
        """Returns the answer to an order and the connection's idle limit."""


class ObjectKind(enum.Enum):
    """Objects of the store that a daemon follows."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"


class ObjectDecoder(abc.ABC):
    """Encoding of the objects of the store."""

    @abc.abstractmethod
    def decode_configuration(
        self, stored: load_reports.StoredObject
    ) -> result.Result[model.RoutingConfiguration, str]:
        """Returns a configuration, or which field can't be read."""

    @abc.abstractmethod
    def decode_server(
        self, stored: load_reports.StoredObject
    ) -> result.Result[server_directory.ServerEntry, str]:
        """Returns a server's entry, or which field can't be read."""


class SourceError(enum.Enum):
    """Why the store gave no objects."""

    HISTORY_GONE = "history_gone"
    UNAVAILABLE = "unavailable"
    REFUSED = "refused"
    MALFORMED = "malformed"


class ObjectSource(abc.ABC):
    """Objects of one kind in the store."""

    @abc.abstractmethod
    async def list(
        self,
    ) -> result.Result[
        tuple[tuple[load_reports.StoredObject, ...], ids.ObjectVersion],
        SourceError,
    ]:
        """Returns all objects and the revision that they are of."""

    @abc.abstractmethod
    async def watch(
        self, revision: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[
        tuple[
            tuple[load_reports.StoredObject, ...],
            tuple[str, ...],
            ids.ObjectVersion,
        ],
        SourceError,
    ]:
        """Waits for changes after `revision`.

        Returns:
            Changed objects, names of removed ones, and the revision to go on
            from; no objects if there was no change within `wait`.
        """
