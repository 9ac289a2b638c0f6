"""Requests and responses, independent of their encoding."""

from __future__ import annotations

import dataclasses
import enum

import result

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.transport import client

Headers = tuple[tuple[str, str], ...]

# Priorities range from 0, the highest, to this value.
LOWEST_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes:
        id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path and query as sent.
        path: Path as sent.
        host: Host in lower case, without a port.
        headers: Headers forwarded unchanged to the backend server.
        body: Complete body.
        api_key: API key of an organisation, if any.
        timeout: Time that the caller waits for the response, if stated.
        request_size: Prompt and output tokens, if stated.
        last_event_id: Event id after which to resume a stream, if any.
        prompt_parts: Parts of the prompt that other prompts may share.
        prompt_prefix: All parts of the prompt in order; empty if a peer sent
            the request.
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
    prompt_parts: frozenset[ids.PromptPartId] = frozenset()
    prompt_prefix: held_prompts.PromptPrefix = held_prompts.NO_PREFIX


class ResponseKind(enum.Enum):
    """Classification of a response by its status and headers."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    OTHER_REQUEST = "other_request"
    INVALID = "invalid"


# After these responses it is unknown which request the next bytes belong to.
_KINDS_THAT_END_A_CONNECTION = frozenset(
    {ResponseKind.OTHER_REQUEST, ResponseKind.INVALID}
)


# Responses of the server that the request was addressed to.
_KINDS_FROM_SERVER = frozenset(
    {ResponseKind.SUCCESS, ResponseKind.FAILURE, ResponseKind.NOT_RUN}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotices:
    """What an answer says about the server itself.

    Attributes:
        leaving: Whether the server is leaving.
        pause: Seconds for which it asks this daemon to send nothing, None if it
            does not ask, or why the time can't be read.
    """

    leaving: bool = False
    pause: result.Result[float | None, str] = result.Ok(None)


NO_NOTICES = ServerNotices()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResponseHead:
    """Status and headers of a backend server's response.

    Attributes:
        kind: Classification of the response.
        status: Status to forward.
        headers: Headers to forward.
        keep_alive_timeout: Time until the server closes the idle connection.
        faulty_server: Failed server that the response reports, if any.
        notices: What the response says about the server, if it is believed.
    """

    kind: ResponseKind
    status: int
    headers: Headers
    keep_alive_timeout: units.Seconds | None = None
    faulty_server: addresses.Address | None = None
    notices: ServerNotices = NO_NOTICES

    @property
    def is_from_server(self) -> bool:
        """Whether the server answers this request, and no other one does."""
        return self.kind in _KINDS_FROM_SERVER

    @property
    def reuse_period(self) -> units.Seconds | None:
        """Time for which the connection may be reused; None if it may not.

        The response that was due may follow one to another request.
        """
        if self.kind in _KINDS_THAT_END_A_CONNECTION:
            return None
        return self.keep_alive_timeout


@dataclasses.dataclass(frozen=True, slots=True)
class BackendResponse:
    """A response with its complete body."""

    head: BackendResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request to a backend server.

    Attributes:
        caller_request: Request of the caller.
        server: Intended server; any other has to refuse the request.
        organisation: Organisation of the caller, if known.
        time_left: Time until the deadline of the request.
        last_event_id: Event id after which to resume the stream, if any.
        prefill_helpers: Engines that prefill parts of the prompt, each with
            the id of its memory reservation, if any.
        priority: Scheduling priority at the engine; 0 is the highest.
    """

    caller_request: CallerRequest
    server: ids.BackendServerId
    organisation: ids.OrganisationId | None
    time_left: units.Seconds
    last_event_id: int | None = None
    prefill_helpers: tuple[tuple[addresses.Address, str | None], ...] = ()
    priority: int | None = None


class ReservationStatus(enum.Enum):
    """Result of a call that reserves or releases memory."""

    GRANTED = "granted"
    NO_ROOM = "no_room"
    WRONG_SERVER = "wrong_server"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedReservationCall:
    """An encoded reservation or release call."""

    head: client.RequestHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """State that an engine reports on request.

    Attributes:
        slowdown: Ratio of its actual to its nominal latency; 1 if it is not
            slow.
    """

    slowdown: float
