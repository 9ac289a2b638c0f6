"""Encoding of failures as RFC 9457 problem documents."""

from __future__ import annotations

import orjson

from lavendershed.core import outcomes
from lavendershed.core import states

CONTENT_TYPE = "application/problem+json"

_STATUSES_BY_REASON = {
    states.FailureReason.BAD_REQUEST: 400,
    states.FailureReason.BODY_TOO_LARGE: 413,
    states.FailureReason.UNAUTHENTICATED: 401,
    states.FailureReason.UNKNOWN_SERVICE: 404,
    states.FailureReason.MISSING_IDEMPOTENCY_KEY: 400,
    states.FailureReason.IDEMPOTENCY_KEY_REUSED: 422,
    states.FailureReason.BOOKING_IN_PROGRESS: 409,
    states.FailureReason.ANSWER_NOT_KEPT: 410,
    states.FailureReason.RATE_LIMITED: 429,
    states.FailureReason.QUEUE_FULL: 503,
    states.FailureReason.DEADLINE_UNREACHABLE: 503,
    states.FailureReason.DEADLINE_EXCEEDED: 504,
    states.FailureReason.QUARANTINED: 422,
    states.FailureReason.CALLER_DISCONNECTED: 499,
    states.FailureReason.NO_BACKEND_SERVER: 503,
    states.FailureReason.BACKEND_SERVER_FAILED: 502,
    states.FailureReason.STORE_UNAVAILABLE: 503,
    states.FailureReason.STOPPING: 503,
    states.FailureReason.NOT_READY: 503,
    states.FailureReason.INTERNAL: 500,
}


def http_status(failure: outcomes.RequestFailure) -> int:
    """Returns the HTTP status for a failure."""
    return _STATUSES_BY_REASON[failure.reason]


def encode(failure: outcomes.RequestFailure, request_id: str) -> bytes:
    """Returns the problem document for a failure."""
    content: dict[str, object] = {
        "type": f"urn:lavendershed:{failure.reason.value}",
        "title": failure.reason.value.replace("_", " "),
        "status": http_status(failure),
        "detail": failure.detail,
        "execution": failure.execution.value,
        "request_id": request_id,
    }
    if failure.retry_after is not None:
        content["retry_after_ms"] = int(failure.retry_after * 1000)
    return orjson.dumps(content)
