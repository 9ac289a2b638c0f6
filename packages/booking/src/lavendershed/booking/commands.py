"""Commands of the booking state machine and outcomes of a send."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.booking import records
from lavendershed.core import backend_servers
from lavendershed.core import object_store
from lavendershed.core import outcomes
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Command: write the record after `delay` seconds."""

    record: records.BookingRecord
    condition: object_store.Condition
    delay: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Command: read the record after `delay` seconds."""

    delay: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class SendCall:
    """Command: send the call once on a new connection.

    Attributes:
        send_before: The first byte may only be sent before this instant;
            otherwise the call counts as not run.
    """

    send_before: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Command: reply to the caller; issued exactly once per attempt."""

    outcome: result.Result[
        backend_servers.PlainResponse, outcomes.RequestFailure
    ]


Command = WriteRecord | ReadRecord | SendCall | Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Outcome of a send: the complete response arrived."""

    response: backend_servers.PlainResponse


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a send: it is certain that the call was not run.

    Attributes:
        retryable: Whether another backend server may be tried.
    """

    failure: outcomes.RequestFailure
    retryable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionUnknown:
    """Outcome of a send: the call may have been run."""

    failure: outcomes.RequestFailure


SendOutcome = Completed | NotRun | ExecutionUnknown
