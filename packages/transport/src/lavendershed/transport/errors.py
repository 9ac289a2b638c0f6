"""HTTP client errors, returned as values."""

from __future__ import annotations

import dataclasses
import enum


class TransportErrorKind(enum.Enum):
    """How an HTTP exchange failed."""

    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    IDLE_TIMEOUT = "idle_timeout"
    PROTOCOL = "protocol"
    TOO_LATE = "too_late"
    # The memory for messages is used up; the peer is not at fault.
    NO_BUFFER = "no_buffer"


@dataclasses.dataclass(frozen=True, slots=True)
class TransportError:
    """A failed HTTP exchange.

    Attributes:
        kind: Category of the failure.
        sent: Whether any byte of the request may have reached the peer.
        detail: Description for logs.
    """

    kind: TransportErrorKind
    sent: bool
    detail: str
