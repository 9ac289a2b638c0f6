"""Protocol-independent requests of callers."""

from __future__ import annotations

import abc
import dataclasses

from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A prompt for the model engines of one service."""

    request_id: ids.RequestId
    organisation: ids.OrganisationId
    service: ids.ServiceId
    prompt: str
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    deadline: deadlines.Deadline
    adapter: ids.AdapterId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A call to one route of a plain service."""

    request_id: ids.RequestId
    organisation: ids.OrganisationId
    service: ids.ServiceId
    path: str
    body: bytes
    content_type: str
    idempotency_key: ids.IdempotencyKey | None
    deadline: deadlines.Deadline


class ResponseSink(abc.ABC):
    """Receives the response to a generate request."""

    @abc.abstractmethod
    async def deliver(self, events: tuple[bytes, ...]) -> bool:
        """Sends encoded token events; returns False after a disconnect."""

    @abc.abstractmethod
    async def wait_for_disconnect(self) -> None:
        """Waits until the caller disconnects, also while nothing is sent."""

    @abc.abstractmethod
    async def end(
        self, token_count: units.Tokens, reason: states.FinishReason
    ) -> None:
        """Completes the response."""
