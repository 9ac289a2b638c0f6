"""States of forwarded requests and of the servers that run them."""

from __future__ import annotations

import enum


class InferencePhase(enum.Enum):
    """Inference phase of a request; the values are sent to peers."""

    PREFILL = 0
    DECODE = 1


class ServerState(enum.Enum):
    """State that a backend server publishes in its entry."""

    READY = "ready"
    DRAINING = "draining"


class AttemptOutcome(enum.Enum):
    """How an attempt on one backend server ended."""

    COMPLETE = "complete"
    SERVER_FAILURE = "server_failure"
    REFUSED = "refused"
    WRONG_SERVER = "wrong_server"
    NOT_SENT = "not_sent"
    NO_MEMORY = "no_memory"
    # It stopped accepting new work before the request was sent.
    WITHDRAWN = "withdrawn"
    LOST = "lost"
    STALLED = "stalled"
    INVALID_RESPONSE = "invalid_answer"
