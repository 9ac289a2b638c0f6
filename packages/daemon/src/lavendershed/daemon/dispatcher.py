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
    """Engine and priority of one attempt; lower values run first.

    Attributes:
        ticket: Identifies the attempt at the dispatcher that assigned it.
        block_hashes: Chained hashes of the prompt's prefix cache blocks.
        kv_imports: KV segments on other engines that hold the first part of
            an oversized prompt.
        reservation: Memory reservation on the engine that the stream uses.
    """

    engine: ids.BackendServerId
    priority: int
    ticket: int = 0
    block_hashes: tuple[int, ...] = ()
    kv_imports: tuple[ids.KvHandle, ...] = ()
    reservation: ids.ReservationId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """Constraints on the engine of an attempt.

    Attributes:
        excluded: Engines that must not run the attempt.
        exclusive: Whether no other request may run on the engine during the
            attempt.
        on_prompt_sent: Called before part of the prompt is sent to an engine
            during the assignment, as in an engine group. After that, the
            request can't be reported as not run.
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
        """Waits until an engine is assigned or the attempt is refused."""

    @abc.abstractmethod
    def on_first_token(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Records that the prefill of an assignment has ended."""

    @abc.abstractmethod
    def release(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Releases an assignment after its attempt has ended."""
