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
# Objects are limited to one megabyte and the store to several hundred writes
# a second; answers of bookings are small confirmations.
MAX_STORED_ANSWER_BYTES = units.Bytes(64_000)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of a finished booking.

    Attributes:
        body: The answer's body, or None if it was too large to keep.
        size: Length of the whole body.
    """

    status: int
    content_type: str
    body: bytes | None
    size: units.Bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BookingRecord:
    """The one record of an idempotency key.

    Attributes:
        attempt: The attempt that holds the claim, or held it last.
        owner: The daemon process that runs the attempt.
        digest: Digest of the request, to detect a key used twice.
        answer: Present in the state `done` only.
    """

    state: states.BookingState
    attempt: ids.AttemptId
    owner: backend_servers.Owner
    digest: str
    answer: StoredAnswer | None = None


def to_stored_answer(answer: backend_servers.PlainResponse) -> StoredAnswer:
    """Returns what a record keeps of an answer."""
    size = units.Bytes(len(answer.body))
    return StoredAnswer(
        answer.status,
        answer.content_type,
        answer.body if size <= MAX_STORED_ANSWER_BYTES else None,
        size,
    )


def record_key(request: requests.CallRequest) -> ids.ObjectKey:
    """Returns the store key of a request's idempotency key.

    Callers choose the idempotency key, so the hash has to be collision
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
    """Returns a digest of what a call asks for."""
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
