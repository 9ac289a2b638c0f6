"""Requests and answers, independent of their encoding."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routing import latency_model
from lavendershed.transport import client

Headers = tuple[tuple[str, str], ...]

# Ranks go from 0, the first, to this one.
LOWEST_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request of a caller.

    Attributes:
        id: Identity of this attempt of the caller.
        method: Method.
        target: Path and query as sent.
        path: Path as sent.
        host: Host in lower case, without a port.
        headers: Headers that a backend server gets unchanged.
        body: Whole body.
        key: Key of an organisation, if any.
        timeout: Time that the caller waits, if it says so.
        size: Size of a request to a model engine, if stated.
        last_event_id: Event after which a stream goes on, if any.
    """

    id: ids.RequestId
    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    api_key: str | None
    timeout: units.Seconds | None
    request_size: latency_model.RequestSize | None
    last_event_id: int | None


class ResponseKind(enum.Enum):
    """What the head of a server's answer says."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    OTHER_REQUEST = "other_request"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResponseHead:
    """Status and headers of a server's answer.

    Attributes:
        kind: What the answer means.
        status: Status to pass on.
        headers: Headers to pass on.
        keep_alive_timeout: Time until the server closes the idle connection.
        faulty_server: Server that the answer blames, if it isn't the sender.
    """

    kind: ResponseKind
    status: int
    headers: Headers
    keep_alive_timeout: units.Seconds | None = None
    faulty_server: addresses.Address | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResponse:
    """An answer with its whole body."""

    head: BackendResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """What a server is asked.

    Attributes:
        caller: Request of the caller.
        server: Server that has to answer; any other has to refuse.
        organisation: Organisation of the caller, if it is known.
        time_left: Time after which the answer is worthless.
        last_event_id: Event after which the stream goes on, if any.
        helpers: Engines that read parts of the prompt, with the reservation
            of memory there, if any.
        priority: Rank among the requests at the engine; 0 is the first.
    """

    caller_request: CallerRequest
    server: ids.BackendServerId
    organisation: ids.OrganisationId | None
    time_left: units.Seconds
    last_event_id: int | None = None
    prefill_helpers: tuple[tuple[addresses.Address, str | None], ...] = ()
    priority: int | None = None


class ReservationStatus(enum.Enum):
    """What an engine answers to an order about memory."""

    GRANTED = "granted"
    NO_ROOM = "no_room"
    WRONG_SERVER = "wrong_server"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedReservationCall:
    """An order as it is sent."""

    head: client.RequestHead
    body: bytes
