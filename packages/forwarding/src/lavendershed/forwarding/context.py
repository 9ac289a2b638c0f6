"""Shared dependencies and helpers of request executions."""

from __future__ import annotations

import dataclasses

from lavendershed.admission import return_schedule
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import cold_observer
from lavendershed.forwarding import connections
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import engine_choosers
from lavendershed.forwarding import engine_inspection
from lavendershed.forwarding import limit_observer
from lavendershed.forwarding import loss_recording
from lavendershed.forwarding import permits
from lavendershed.forwarding import plain_services
from lavendershed.forwarding import relay
from lavendershed.forwarding import requests
from lavendershed.forwarding import reservations
from lavendershed.forwarding import waiting_room
from lavendershed.membership import server_directory
from lavendershed.reliability import crash_attribution
from lavendershed.reliability import engine_crashes
from lavendershed.reliability import engine_losses
from lavendershed.reliability import fleet_retry_budget
from lavendershed.reliability import server_health
from lavendershed.reliability import silent_servers
from lavendershed.routes import model
from lavendershed.routing import load_tracker
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.telemetry import unexpected_errors
from lavendershed.transport import buffer_budget
from lavendershed.transport import client_memory
from lavendershed.transport import handlers

Failure = outcomes.RequestFailure


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Policies, codecs and clients that request executions use."""

    view: deployment_view.DeploymentView
    caller_codec: codecs.CallerCodec
    backend_codec: codecs.BackendCodec
    connections: connections.BackendConnectionPool
    choosers: engine_choosers.EngineChoosers
    plain_services: plain_services.PlainServices
    load_tracker: load_tracker.LoadTracker
    waiting_room: waiting_room.WaitingRoom
    return_schedule: return_schedule.ReturnSchedule
    retry_budget: fleet_retry_budget.FleetRetryBudget
    crash_attribution: crash_attribution.CrashAttribution
    losses: loss_recording.LossRecorder
    silences: silent_servers.SilentServers
    relay: relay.RelayClient
    reservations: reservations.ReservationClient
    inspector: engine_inspection.EngineInspector
    limit_observer: limit_observer.LimitObserver
    cold_observer: cold_observer.ColdObserver
    permits: permits.PermitClient
    health: server_health.ServerHealth
    timers: timers.TimerService
    log: log.EventLog
    instruments: request_instruments.RequestInstruments
    errors: unexpected_errors.ErrorRecorder
    request_buffers: buffer_budget.BufferBudget
    response_buffers: buffer_budget.BufferBudget
    caller_memory: client_memory.ClientMemory
    readiness_memory: client_memory.ClientMemory
    zone: ids.AvailabilityZoneId

    @property
    def version_age_ms(self) -> int | None:
        """Time since the configuration was confirmed to be the newest."""
        return self.view.age_ms(
            codecs.ObjectKind.CONFIGURATION, self.timers.now()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that passed admission.

    Attributes:
        request: Request of the caller.
        route: Its route.
        service: Service selected for it.
        organisation: Organisation of its API key, if any.
        priority: Scheduling priority; 0 is the highest.
        fingerprint: Identifies the request across retries of the caller.
        received_at: When it was received.
        deadline: When its response has to be complete.
        relayed: Whether another daemon has passed it on.
        begun: Whether the caller has a part of the response, which this other
            daemon sent.
    """

    request: requests.CallerRequest
    route: model.Route
    service: model.Service
    organisation: ids.OrganisationId | None
    priority: int
    fingerprint: ids.Fingerprint
    received_at: units.Instant
    deadline: units.Instant
    relayed: bool = False
    begun: bool = False

    @property
    def crash_suspects(self) -> engine_crashes.Suspects:
        """The request and the shared parts of its prompt."""
        return crash_suspects(self.request, self.fingerprint)


def crash_suspects(
    request: requests.CallerRequest, fingerprint: ids.Fingerprint
) -> engine_crashes.Suspects:
    """Returns what may crash engines that run a request."""
    return frozenset(
        (engine_crashes.request_suspect(fingerprint), *request.prompt_parts)
    )


def record_loss(
    context: ForwardingContext,
    admitted_request: AdmittedRequest,
    server: server_directory.ServerEntry,
    evidence: engine_losses.LossEvidence,
    *,
    answer_begun: bool = False,
) -> None:
    """Records the loss of a server under a request.

    It is evidence against the request, and against the shared parts of its
    prompt if its answer had not begun.
    """
    current = context.view.directory.entry(server.id)
    suspects = admitted_request.crash_suspects
    if answer_begun:
        suspects -= admitted_request.request.prompt_parts
    context.losses.on_loss(
        server,
        admitted_request.request.id,
        suspects,
        evidence,
        leaving=current is None
        or current.incarnation != server.incarnation
        or not current.accepts_work
        or context.view.notices.is_leaving(server),
    )


def exclude_failed_server(
    context: ForwardingContext,
    server: server_directory.ServerEntry,
    reason: str,
    request: ids.RequestId,
    *,
    unreachable: bool = False,
) -> None:
    """Excludes a server that failed a request from new requests.

    An unreachable server is also reported to the other daemons.
    """
    context.connections.discard(server.address)
    duration = context.health.on_connection_failure(
        server.id,
        server.incarnation,
        context.timers.now(),
        unreachable=unreachable,
    )
    context.cold_observer.on_failure(server, duration)
    _log_exclusion(context, server, reason, request, duration)


def record_failed_response(
    context: ForwardingContext,
    server: server_directory.ServerEntry,
    reason: str,
    request: ids.RequestId,
) -> None:
    """Records a failed or missing response; repeated ones exclude a server."""
    duration = context.health.on_failure(
        server.id, server.incarnation, context.timers.now()
    )
    if duration is not None:
        _log_exclusion(context, server, reason, request, duration)


def _log_exclusion(
    context: ForwardingContext,
    server: server_directory.ServerEntry,
    reason: str,
    request: ids.RequestId,
    duration: units.Seconds,
) -> None:
    context.instruments.count_exclusion(server.id, reason)
    context.log.emit(
        events.Event.BACKEND_SERVER_EXCLUDED,
        server=server.id,
        reason=reason,
        request=request,
        seconds=round(duration, 3),
    )


def avoided_servers(
    context: ForwardingContext,
    candidates: tuple[server_directory.ServerEntry, ...],
    failed_servers: frozenset[ids.BackendServerId],
) -> frozenset[ids.BackendServerId]:
    """Returns the servers to choose only if there are no others.

    These are the excluded and the silent servers and those that failed the
    request.
    """
    now = context.timers.now()
    silent = context.silences.avoided(_keys(candidates), now)
    excluded = {
        server.id
        for server in candidates
        if context.health.is_excluded(server.id, server.incarnation, now)
    }
    return failed_servers | excluded | silent


def servers_beside(
    context: ForwardingContext,
    candidates: tuple[server_directory.ServerEntry, ...],
    open_servers: frozenset[ids.BackendServerId],
) -> tuple[server_directory.ServerEntry, ...]:
    """Returns the servers for an attempt beside overdue ones.

    A server that is silent, too, would not go on sooner.

    Args:
        context: Context of the request.
        candidates: Servers that accept new requests.
        open_servers: Servers that attempts of the request run on.
    """
    if not open_servers:
        return candidates
    silent = context.silences.silent(_keys(candidates), context.timers.now())
    return tuple(
        server
        for server in candidates
        if server.id not in open_servers and server.id not in silent
    )


def record_silence(
    context: ForwardingContext,
    admitted_request: AdmittedRequest,
    server: server_directory.ServerEntry,
    waited: units.Seconds,
) -> None:
    """Records that a server has sent nothing for longer than expected.

    Args:
        context: Context of the request.
        admitted_request: The request that waits.
        server: The server.
        waited: Time without progress.
    """
    now = context.timers.now()
    candidates = context.view.servers_accepting_work(
        admitted_request.service.id
    )
    key = (server.id, server.incarnation)
    context.silences.on_silent(key, now)
    if server.id in context.silences.avoided(_keys(candidates), now):
        # Idle connections to a server that only this request misses may be as
        # dead as the one that is silent; a new one shows whether it is.
        context.connections.discard(server.address)
    context.log.emit(
        events.Event.ATTEMPT_OVERDUE,
        request=admitted_request.request.id,
        server=server.id,
        waited_ms=round(waited * 1_000),
        silent=len(context.silences.silent(_keys(candidates), now)),
    )


def record_answer(
    context: ForwardingContext, server: server_directory.ServerEntry
) -> None:
    """Records that a server has sent a part of an answer."""
    context.losses.on_answer(server)
    context.silences.on_answer((server.id, server.incarnation))


def _keys(
    servers: tuple[server_directory.ServerEntry, ...],
) -> tuple[silent_servers.ServerKey, ...]:
    return tuple((server.id, server.incarnation) for server in servers)


def log_failure(
    context: ForwardingContext,
    admitted_request: AdmittedRequest,
    failure: Failure,
) -> None:
    """Logs a request that ends without a complete response."""
    seconds = units.elapsed(admitted_request.received_at, context.timers.now())
    context.instruments.record_duration(
        admitted_request.route.kind.value, failure.reason.value, seconds
    )
    context.log.emit(
        events.Event.REQUEST_FAILED,
        request=admitted_request.request.id,
        reason=failure.reason.value,
        execution=failure.execution.value,
        detail=failure.detail,
        retry_after_s=failure.retry_after,
        seconds=round(seconds, 3),
    )


async def respond_failure(
    context: ForwardingContext,
    responder: handlers.Responder,
    failure: outcomes.RequestFailure,
) -> None:
    """Sends the error response of a failed request."""
    status, headers, body = context.caller_codec.encode_failure(failure)
    await responder.respond(status, body, headers)
