"""Assignment of generate requests to engines."""

from __future__ import annotations

import abc
import collections
import dataclasses

import result

from lavendershed.configuration import state
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.daemon import backend_health
from lavendershed.routing import chooser
from lavendershed.telemetry import events
from lavendershed.telemetry import log


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Engine and priority for one attempt; smaller priorities run first."""

    engine: ids.BackendServerId
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Constraints:
    """What an attempt demands of its engine.

    Attributes:
        excluded: Engines that must not run the attempt.
        alone: Whether no other request may run on the engine meanwhile.
    """

    excluded: frozenset[ids.BackendServerId] = frozenset()
    alone: bool = False


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


class ImmediateDispatcher(Dispatcher):
    """Assigns an engine at once, without a queue."""

    def __init__(
        self,
        configuration: state.ConfigurationState,
        engine_chooser: chooser.EngineChooser,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        health: backend_health.BackendHealth,
    ) -> None:
        self._health = health
        self._configuration = configuration
        self._chooser = engine_chooser
        self._timers = timer_service
        self._log = event_log
        self._outstanding: collections.Counter[ids.BackendServerId] = (
            collections.Counter()
        )

    async def acquire(
        self,
        request: requests.GenerateRequest,
        constraints: Constraints,
    ) -> result.Result[Assignment, outcomes.RequestFailure]:
        """Assigns an engine that is not excluded."""
        service = self._configuration.current.services[request.service]
        candidates = [
            chooser.Candidate(server.name, self._outstanding[server.name])
            for server in service.backend_servers
            if server.name not in constraints.excluded
            and self._health.accepts_work(server.name)
        ]
        choice = self._chooser.choose(request, candidates, self._timers.now())
        if isinstance(choice, result.Err):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.NO_BACKEND_SERVER,
                    choice.err_value.reason,
                )
            )
        engine = choice.ok_value.engine
        self._outstanding[engine] += 1
        self._log.emit(
            events.Event.REQUEST_DISPATCHED,
            request_id=request.request_id,
            engine=engine,
            reason=choice.ok_value.reason,
        )
        return result.Ok(Assignment(engine, 0))

    def on_first_token(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Ignored: only outstanding requests are counted."""

    def release(
        self, request: requests.GenerateRequest, assignment: Assignment
    ) -> None:
        """Ends an assignment when its attempt has ended."""
        self._outstanding[assignment.engine] -= 1
