"""The router daemon: start, request entry points and graceful stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import hashlib
import itertools
import traceback
from typing import Any

import result

from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.daemon import calls
from lavendershed.daemon import generation
from lavendershed.daemon import options as options_module
from lavendershed.httpd import application
from lavendershed.httpd import front_end
from lavendershed.telemetry import events
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log
from lavendershed.telemetry import unanswered_requests
from lavendershed.transport import event_loop_timers
from lavendershed.transport import server

ArrivalListener = Callable[[ids.OrganisationId, int], None]

# Allows for the delivery of responses after the deadline of a request.
_DEADLINE_MARGIN = units.Seconds(2.0)
# Above the time-outs of the tasks' own release steps, which log what they could
# not release.
_RELEASE_TIMEOUT = units.Seconds(40.0)
# Time for callers to read the rest of their responses.
_FLUSH_TIMEOUT = units.Seconds(10.0)
_FLUSH_POLL_INTERVAL = units.Seconds(0.05)


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """Components that the factory builds for a router."""

    owner: backend_servers.Owner
    state: state.ConfigurationState
    generation: generation.GenerationExecutor
    calls: calls.CallExecutor
    background: tuple[background.BackgroundTask, ...]


class Router(application.Application):
    """The application of one daemon process."""

    def __init__(
        self,
        options: options_module.RouterOptions,
        components: Components,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
    ) -> None:
        self._options = options
        self._components = components
        self._state = components.state
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._organisations: Mapping[str, ids.OrganisationId] = {}
        self._stopping = False
        self._refusing_requests = False
        self._requests_in_flight = 0
        self._latest_deadline = timer_service.now()
        self._arrival_listeners: list[ArrivalListener] = []
        self._all_finished = asyncio.Event()
        self._server = server.HttpServer(
            front_end.FrontEnd(self, timer_service),
            timer_service,
            server.ServerLimits(),
            observer=unanswered_requests.UnansweredRequestRecorder(
                "callers",
                event_log,
                instruments.count_unanswered_request,
                front_end.REQUEST_ID_HEADER,
                logs_callers_that_left=True,
            ),
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self._state.ready and not self._stopping

    @property
    def refusal(self) -> outcomes.RequestFailure | None:
        """The failure with which all requests are refused, or None."""
        if self._refusing_requests:
            return outcomes.not_run(
                states.FailureReason.STOPPING,
                "this router is stopping; send the request again",
            )
        if not self._state.ready:
            return outcomes.not_run(
                states.FailureReason.NOT_READY,
                "this router has no configuration yet; send the request again",
            )
        return None

    async def run(self, stop: asyncio.Event) -> result.Result[None, Exception]:
        """Serves until `stop` is set, then stops gracefully.

        Returns:
            The exception of a broken invariant, if any. The stop is graceful
            in this case too, so that requests in flight can finish.
        """
        await self._server.start(self._options.listen)
        self._log.emit(
            events.Event.DAEMON_STARTED,
            vm=self._options.vm,
            incarnation=str(self._components.owner.incarnation),
            listen=str(self._server.address),
        )
        tasks = [
            asyncio.create_task(task.run())
            for task in self._components.background
        ]
        stop_conditions: list[asyncio.Future[Any]] = [
            *tasks,
            asyncio.create_task(stop.wait()),
        ]
        await asyncio.wait(stop_conditions, return_when=asyncio.FIRST_COMPLETED)
        failure = self._first_invariant_error(tasks)
        await self._stop_gracefully()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server.close()
        self._log.emit(events.Event.DAEMON_STOPPED, vm=self._options.vm)
        return result.Ok(None) if failure is None else result.Err(failure)

    def authenticate(
        self, bearer_token: str
    ) -> result.Result[ids.OrganisationId, outcomes.RequestFailure]:
        """Returns the organisation to which a bearer token belongs."""
        digest = hashlib.sha256(bearer_token.encode()).hexdigest()
        organisation = self._organisations.get(digest)
        if organisation is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNAUTHENTICATED,
                    "header Authorization: the token belongs to no "
                    "organisation",
                )
            )
        return result.Ok(organisation)

    def request_limits(
        self, service: ids.ServiceId
    ) -> result.Result[application.RequestLimits, outcomes.RequestFailure]:
        """Returns the time limits of a service."""
        service_configuration = self._state.current.services.get(service)
        if service_configuration is None:
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.UNKNOWN_SERVICE,
                    f"there is no service '{service}'",
                )
            )
        return result.Ok(
            application.RequestLimits(
                service_configuration.default_timeout,
                service_configuration.max_timeout,
            )
        )

    async def generate(
        self, request: requests.GenerateRequest, sink: requests.ResponseSink
    ) -> result.Result[None, outcomes.RequestFailure]:
        """Runs a generate request and delivers the response to `sink`."""
        kind = self._state.current.services[request.service].kind
        if kind is not states.ServiceKind.MODEL_ENGINE:
            return _wrong_service_kind(
                request.service, "a plain service: use /call/"
            )
        self._on_arrival(
            request.organisation, request.prompt_tokens + request.max_tokens
        )
        with self._in_flight(request.service, request.deadline):
            return await self._components.generation.run(request, sink)

    async def call(
        self, request: requests.CallRequest
    ) -> result.Result[backend_servers.PlainResponse, outcomes.RequestFailure]:
        """Runs a call to a plain service."""
        kind = self._state.current.services[request.service].kind
        if kind is not states.ServiceKind.PLAIN:
            return _wrong_service_kind(
                request.service, "not plain: use /generate"
            )
        self._on_arrival(request.organisation, 0)
        with self._in_flight(request.service, request.deadline):
            return await self._components.calls.run(request)

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._instruments.exposition()

    def status(self) -> Mapping[str, object]:
        """Returns the daemon's state for operators."""
        task_statuses = [task.status() for task in self._components.background]
        return {
            "vm": self._options.vm,
            "incarnation": str(self._components.owner.incarnation),
            "availability_zone": self._options.availability_zone,
            "epoch": self._state.current.epoch,
            "preset": self._state.current.active_preset,
            "ready": self.ready,
            "in_flight": self._requests_in_flight,
            **dict(
                itertools.chain(
                    *(task_status.items() for task_status in task_statuses)
                )
            ),
        }

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Applies the tokens and the epoch of a new configuration."""
        self._organisations = {
            token_hash: organisation.name
            for organisation in new.organisations.values()
            for token_hash in organisation.token_hashes
        }
        self._instruments.set_epoch(new.epoch)
        if not old.epoch:
            self._log.emit(events.Event.DAEMON_READY, vm=self._options.vm)

    def add_arrival_listener(self, listener: ArrivalListener) -> None:
        """Calls `listener` with each request before admission."""
        self._arrival_listeners.append(listener)

    def _on_arrival(
        self, organisation: ids.OrganisationId, tokens: int
    ) -> None:
        for listener in self._arrival_listeners:
            listener(organisation, tokens)

    @contextlib.contextmanager
    def _in_flight(
        self, service: ids.ServiceId, deadline: deadlines.Deadline
    ) -> Iterator[None]:
        self._requests_in_flight += 1
        self._latest_deadline = max(self._latest_deadline, deadline.at)
        self._all_finished.clear()
        self._instruments.add_in_flight(service, 1)
        try:
            yield
        finally:
            self._instruments.add_in_flight(service, -1)
            self._requests_in_flight -= 1
            if not self._requests_in_flight:
                self._all_finished.set()

    def _first_invariant_error(
        self, tasks: list[asyncio.Task[None]]
    ) -> Exception | None:
        failures = [
            error
            for task in tasks
            if task.done() and isinstance(error := task.exception(), Exception)
        ]
        if not failures:
            return None
        self._log.emit(
            events.Event.INVARIANT_BROKEN,
            detail="".join(traceback.format_exception(failures[0])),
        )
        return failures[0]

    async def _stop_gracefully(self) -> None:
        self._stopping = True
        self._server.disable_keep_alive()
        self._log.emit(
            events.Event.DAEMON_STOPPING, in_flight=self._requests_in_flight
        )
        await event_loop_timers.sleep(self._timers, self._options.settle_time)
        self._refusing_requests = True
        self._server.close_idle_connections()
        await self._drain_requests()
        # Released in order: the allocations before leaving is announced.
        for task in self._components.background:
            await self._release_task(task)
        await self._flush_responses()

    async def _drain_requests(self) -> None:
        if not self._requests_in_flight:
            return
        time_to_last_deadline = units.elapsed(
            self._timers.now(), self._latest_deadline
        )
        try:
            async with asyncio.timeout(
                max(0.0, time_to_last_deadline) + _DEADLINE_MARGIN
            ):
                await self._all_finished.wait()
        except TimeoutError:
            self._log.emit(
                events.Event.STOP_STEP_TIMED_OUT,
                step="requests",
                in_flight=self._requests_in_flight,
            )

    async def _release_task(self, task: background.BackgroundTask) -> None:
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT):
                await task.release()
        except TimeoutError:
            self._log.emit(events.Event.STOP_STEP_TIMED_OUT, step=task.log_name)

    async def _flush_responses(self) -> None:
        # Callers that connect from now on are refused, and not cut off.
        await self._server.stop_accepting()
        # Each connection closes after its caller has read the response.
        flush_until = units.after(self._timers.now(), _FLUSH_TIMEOUT)
        while (
            self._server.connection_count and self._timers.now() < flush_until
        ):
            self._server.close_idle_connections()
            await event_loop_timers.sleep(self._timers, _FLUSH_POLL_INTERVAL)


def _wrong_service_kind(
    service: ids.ServiceId, detail: str
) -> result.Err[outcomes.RequestFailure]:
    return result.Err(
        outcomes.not_run(
            states.FailureReason.BAD_REQUEST,
            f"service '{service}' is {detail}",
        )
    )
