"""Assignment of generate requests to engines."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses

import result

from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Engine and priority for one attempt; smaller priorities run first.

    Attributes:
        ticket: Number of the attempt at the dispatcher that assigned it.
        block_hashes: Chained hashes of the prompt's blocks, for the engine.
        kv_imports: KV segments on other engines that cover the first part of
            an oversized prompt.
        reservation: Hold whose memory the stream takes over.
    """

    engine: ids.BackendServerId
    priority: int
    ticket: int = 0
    block_hashes: tuple[int, ...] = ()
    kv_imports: tuple[ids.KvHandle, ...] = ()
    reservation: ids.ReservationId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """What an attempt demands of its engine.

    Attributes:
        excluded: Engines that must not run the attempt.
        exclusive: Whether no other request may run on the engine meanwhile.
        on_prompt_sent: Called before a part of the prompt is sent to an engine
            while the attempt is being assigned, as an engine group does. From
            then on the request can't be reported as not run.
    """

    excluded: frozenset[ids.BackendServerId] = frozenset()
    exclusive: bool = False
    on_prompt_sent: Callable[[], None] = lambda: None


class Dispatcher(abc.ABC):
    """Decides where and when each attempt of a request runs."""

    @abc.abstractmethod
    async def acquire(
        self,
        request: requests.GenerateRequest,
        constraints: Constraints,
    ) -> result.Result[Assignment, outcomes.RequestFailure]:
        """Waits until an engine is assigned or the request is refused."""

    @abc.abstractmethod
    def on_first_token(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Notes that the prefill of an assignment has ended."""

    @abc.abstractmethod
    def release(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Ends an assignment when its attempt has ended."""
