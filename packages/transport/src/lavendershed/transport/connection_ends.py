"""Requests whose connection ends before their response is complete."""

from __future__ import annotations

import abc
import dataclasses
import enum

from lavendershed.core import units
from lavendershed.transport import handlers


class ConnectionEnd(enum.Enum):
    """What ended a connection with a request that has no complete response."""

    # The caller closed the connection while it sent its request.
    CALLER_LEFT_SENDING = "caller_left_sending"
    # The caller closed the connection while its request was handled.
    CALLER_LEFT = "caller_left"
    # The caller took no byte of its response for too long.
    CALLER_STALLED = "caller_stalled"
    # The head or the whole request did not arrive in time.
    HEAD_TIMEOUT = "head_timeout"
    REQUEST_TIMEOUT = "request_timeout"
    # The request is malformed or exceeds a limit; its caller is told.
    REJECTED = "rejected"
    # There was no memory for the request; its caller is told.
    NO_MEMORY = "no_memory"
    # Closed without progress, to make room for other callers.
    GIVEN_UP = "given_up"
    # The handler raised.
    HANDLER_ERROR = "handler_error"
    # The handler returned before its response was complete.
    NO_RESPONSE = "no_response"
    # The handler could not complete a response that had begun.
    RESPONSE_ABORTED = "response_aborted"
    # The response announced the end of the connection, and more was sent.
    NOT_READ = "not_read"
    # The server closed while the request was sent or handled.
    SHUTDOWN = "shutdown"


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request whose connection ended before its response was complete.

    Attributes:
        end: What ended the connection.
        peer: Address of the caller.
        target: Request target as sent; None if its head was not complete.
        headers: Headers of the request; empty if its head was not complete.
        status: Status of the response that was sent; None without any.
        received_bytes: Bytes of the request that were read.
        seconds: Time since its first byte.
    """

    end: ConnectionEnd
    peer: str
    target: str | None
    headers: handlers.Headers
    status: int | None
    received_bytes: units.Bytes
    seconds: units.Seconds


class ConnectionObserver(abc.ABC):
    """Is told about requests that end without a complete response."""

    @abc.abstractmethod
    def on_unanswered(self, request: UnansweredRequest) -> None:
        """A connection ended before the response to a request was complete."""


class IgnoringObserver(ConnectionObserver):
    """Ignores all reports."""

    def on_unanswered(self, request: UnansweredRequest) -> None:
        """Does nothing."""
