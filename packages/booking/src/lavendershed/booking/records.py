"""Records of non-idempotent calls, as they are kept in the object store."""

from __future__ import annotations

import dataclasses
import hashlib

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import units

RECORD_PREFIX = "bookings/"
# The store limits objects to one megabyte and takes several hundred writes a
# second; responses to bookings are small confirmations.
MAX_STORED_RESPONSE_BYTES = units.Bytes(64_000)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response of a completed booking.

    Attributes:
        body: Response body; None if it was too large to store.
        size: Length of the complete body.
    """

    status: int
    content_type: str
    body: bytes | None
    size: units.Bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BookingRecord:
    """Record of an idempotency key; there is one per key.

    Attributes:
        attempt: The attempt that holds the claim or was the last to hold it.
        owner: The daemon process that runs the attempt.
        digest: Digest of the request, to detect reuse of a key for another
            request.
        answer: Response of the call; only present in the state `done`.
    """

    state: states.BookingState
    attempt: ids.AttemptId
    owner: backend_servers.Owner
    digest: str
    answer: StoredResponse | None = None


def to_stored_response(
    response: backend_servers.PlainResponse,
) -> StoredResponse:
    """Returns the form in which a response is stored in its record."""
    size = units.Bytes(len(response.body))
    return StoredResponse(
        response.status,
        response.content_type,
        response.body if size <= MAX_STORED_RESPONSE_BYTES else None,
        size,
    )


def record_key(request: requests.CallRequest) -> ids.ObjectKey:
    """Returns the store key of a request's idempotency key.

    Callers choose the idempotency key, so the hash must be collision
    resistant.
    """
    return ids.ObjectKey(
        RECORD_PREFIX
        + _digest(
            request.organisation.encode(),
            request.service.encode(),
            (request.idempotency_key or "").encode(),
        )
    )


def request_digest(request: requests.CallRequest) -> str:
    """Returns the digest of a call's service, path and content."""
    return _digest(
        request.service.encode(),
        request.path.encode(),
        request.content_type.encode(),
        request.body,
    )


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
