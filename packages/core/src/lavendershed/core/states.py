"""States, kinds and reasons."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """Whether a request was executed, as far as known."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    FAILED_AFTER_START = "failed_after_start"
    UNKNOWN = "unknown"


class RequestState(enum.Enum):
    """Progress of a request in the daemon that accepted it."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    RESUMING = "resuming"
    DONE = "done"
    FAILED = "failed"


class PromptClass(enum.Enum):
    """Prompt length classes."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    OVERSIZED = "oversized"


class BackendServerHealth(enum.Enum):
    """Health of a backend server as one daemon sees it."""

    UP = "up"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


class EngineRole(enum.Enum):
    """Kind of work that a model engine is assigned to."""

    GENERAL = "general"
    PREFILL = "prefill"
    DECODE = "decode"
    RESERVE = "reserve"


class BookingState(enum.Enum):
    """State of the stored record of a non-idempotent call."""

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


class LeaseState(enum.Enum):
    """A lease as one process sees it."""

    ABSENT = "absent"
    HELD = "held"
    HELD_BY_OTHER = "held_by_other"
    EXPIRING = "expiring"
    LOST = "lost"


class MemberState(enum.Enum):
    """State of a daemon in the membership list."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class AllocationState(enum.Enum):
    """State of one allocation of engine memory."""

    REQUESTED = "requested"
    HELD = "held"
    RELEASING = "releasing"
    RELEASED = "released"
    GONE = "gone"


class ServiceKind(enum.Enum):
    """Kind of the backend servers behind a service."""

    MODEL_ENGINE = "model_engine"
    PLAIN = "plain"


class FinishReason(enum.Enum):
    """Why a model engine ended a stream."""

    STOP = "stop"
    LENGTH = "length"


class FailureReason(enum.Enum):
    """Why a request failed, as reported to its caller."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    BOOKING_IN_PROGRESS = "booking_in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUARANTINED = "quarantined"
    CALLER_DISCONNECTED = "caller_disconnected"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    STORE_UNAVAILABLE = "store_unavailable"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    INTERNAL = "internal"
