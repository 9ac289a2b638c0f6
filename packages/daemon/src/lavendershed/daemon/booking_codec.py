"""Encoding of booking records in the object store."""

from __future__ import annotations

import base64
import binascii
import dataclasses

import result

from lavendershed.booking import records
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.objects import codec


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredAnswer:
    status: int
    content_type: str
    body_base64: str | None
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredRecord:
    state: states.BookingState
    attempt: str
    owner: backend_servers.Owner
    digest: str
    answer: _StoredAnswer | None = None


_CODEC = codec.Codec(_StoredRecord)


def encode(record: records.BookingRecord) -> bytes:
    """Returns the encoded record."""
    answer = record.answer
    stored = None
    if answer is not None:
        body = answer.body
        stored = _StoredAnswer(
            answer.status,
            answer.content_type,
            None if body is None else base64.b64encode(body).decode(),
            answer.size,
        )
    return _CODEC.encode(
        _StoredRecord(
            record.state, record.attempt, record.owner, record.digest, stored
        )
    )


def decode(data: bytes) -> result.Result[records.BookingRecord, str]:
    """Returns the decoded record, or a description of the error."""
    decoded = _CODEC.decode(data)
    if isinstance(decoded, result.Err):
        return decoded
    stored = decoded.ok_value
    answer = None
    if stored.answer is not None:
        text = stored.answer.body_base64
        try:
            body = None if text is None else base64.b64decode(text)
        except binascii.Error as error:
            return result.Err(f"field 'answer.body_base64': {error}")
        answer = records.StoredResponse(
            stored.answer.status,
            stored.answer.content_type,
            body,
            units.Bytes(stored.answer.size),
        )
    return result.Ok(
        records.BookingRecord(
            stored.state,
            ids.AttemptId(stored.attempt),
            stored.owner,
            stored.digest,
            answer,
        )
    )
