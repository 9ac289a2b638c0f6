"""Daemon lifecycle: start, readiness, reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from typing import Any

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import components
from lavendershed.forwarding import health_endpoint
from lavendershed.forwarding import relay
from lavendershed.telemetry import client_crowds
from lavendershed.telemetry import events
from lavendershed.telemetry import unanswered_requests
from lavendershed.transport import processing_turns
from lavendershed.transport import server

# The platform stops sending new connections after two failed health checks,
# one per second; half a second covers a check in flight.
_DEREGISTRATION_DELAY = units.Seconds(3.0)
_DRAIN_POLL_INTERVAL = units.Seconds(0.05)
# Requests without an answer get one this long before the end.
_ANSWER_MARGIN = units.Seconds(0.2)
# Connections still open this long before the end are aborted.
_SHUTDOWN_MARGIN = units.Seconds(0.3)
# Part of the shutdown margin.
_LAST_READ_TIME = units.Seconds(0.05)
_MAINTENANCE_INTERVAL = units.Seconds(0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoints:
    """Addresses that a daemon listens on.

    Attributes:
        callers: For requests of callers.
        ready: For the platform's health check and for metrics.
        peers: For other daemons, TCP and UDP.
    """

    callers: addresses.Address
    health: addresses.Address
    peers: addresses.Address


class ForwardingDaemon(health_endpoint.Readiness):
    """Runs the components of a daemon until it is asked to stop."""

    def __init__(
        self,
        daemon_components: components.Components,
        endpoints: Endpoints,
        grace_period: units.Seconds,
        caller_listener: socket.socket | None = None,
    ) -> None:
        self._components = daemon_components
        self._endpoints = endpoints
        self._grace_period = grace_period
        self._caller_listener = caller_listener
        self._stopping = False
        self._ready_logged = False
        daemon_components.context.view.subscribe(self._apply_limits)
        # One processor serves all listeners.
        turns = processing_turns.ProcessingTurns(
            daemon_components.context.timers
        )
        self._caller_server = server.HttpServer(
            daemon_components.gateway,
            daemon_components.context.timers,
            server.ServerLimits(),
            daemon_components.context.request_buffers,
            self._unanswered_recorder("callers"),
            daemon_components.context.caller_memory,
            turns,
        )
        self._relay_server = server.HttpServer(
            daemon_components.relay_handler,
            daemon_components.context.timers,
            server.ServerLimits(idle_timeout=relay.IDLE_TIMEOUT),
            daemon_components.context.request_buffers,
            self._unanswered_recorder("peers"),
            daemon_components.context.caller_memory,
            turns,
        )
        self._health_server = server.HttpServer(
            health_endpoint.HealthEndpoint(
                self, daemon_components.context.instruments
            ),
            daemon_components.context.timers,
            server.ServerLimits(),
            observer=self._unanswered_recorder("health"),
            memory=daemon_components.context.readiness_memory,
            turns=turns,
        )
        # Callers and peers have one memory.
        self._crowd_recorders = tuple(
            client_crowds.ClientCrowdRecorder(
                listener,
                http_server,
                daemon_components.context.log,
                daemon_components.context.instruments,
            )
            for listener, http_server in (
                ("callers", self._caller_server),
                ("health", self._health_server),
            )
        )

    @property
    def ready(self) -> bool:
        """Whether the daemon accepts new connections.

        It stays ready during an outage of the store, since the known
        configuration and servers remain valid.
        """
        return not self._stopping and self._components.context.view.complete

    async def run(self, stop: asyncio.Event) -> Exception | None:
        """Serves until `stop` is set; returns an unexpected exception, if any.

        Raises:
            OSError: An address can't be bound.
        """
        log = self._components.context.log
        await self._components.load_reporter.start()
        self._components.load_reporter.start_reports()
        await self._components.state_server.start(self._endpoints.peers)
        await self._relay_server.start(
            relay.relay_address(self._endpoints.peers)
        )
        await self._caller_server.start(
            self._endpoints.callers, self._caller_listener
        )
        await self._health_server.start(self._endpoints.health)
        log.emit(
            events.Event.DAEMON_STARTED,
            callers=str(self._endpoints.callers),
            zone=self._components.context.zone,
        )
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(coroutine)
            for coroutine in (
                *(watcher.run() for watcher in self._components.watchers),
                self._components.state_fetcher.run(),
                self._maintain(),
            )
        ]
        stop_task = loop.create_task(stop.wait())
        awaited: set[asyncio.Future[Any]] = {*tasks, stop_task}
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        await self._drain()
        error = self._first_error(tasks)
        for task in (*tasks, stop_task):
            task.cancel()
        await asyncio.gather(*tasks, stop_task, return_exceptions=True)
        self._close()
        return error

    def _unanswered_recorder(
        self, listener: str
    ) -> unanswered_requests.UnansweredRequestRecorder:
        context = self._components.context
        return unanswered_requests.UnansweredRequestRecorder(
            listener,
            context.log,
            context.instruments.count_unanswered_request,
            context.caller_codec.id_header,
            logs_callers_that_left=False,
        )

    def _first_error(self, tasks: list[asyncio.Task[None]]) -> Exception | None:
        errors = (task.exception() for task in tasks if task.done())
        return next((e for e in errors if isinstance(e, Exception)), None)

    async def _maintain(self) -> None:
        context = self._components.context
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL)
            context.connections.expire()
            context.relay.expire()
            self._update_metrics()
            for recorder in self._crowd_recorders:
                recorder.report()
            if self.ready and not self._ready_logged:
                self._ready_logged = True
                context.log.emit(
                    events.Event.DAEMON_READY,
                    version=context.view.version,
                    servers=len(context.view.directory.entries),
                )

    def _apply_limits(self) -> None:
        table = self._components.context.view.table
        if table is None:
            return
        limits = table.configuration.limits
        self._caller_server.set_limits(
            server.ServerLimits(
                max_body=limits.max_body,
                idle_timeout=limits.idle_timeout,
                header_timeout=limits.header_timeout,
            )
        )

    def _update_metrics(self) -> None:
        context = self._components.context
        now = context.timers.now()
        context.instruments.set_configuration_version(context.view.version)
        context.view.notices.update_metrics()
        context.instruments.set_quarantines(
            context.crash_attribution.quarantine_count(now)
        )
        evacuations = context.view.evacuations
        if evacuations.expected:
            zones = evacuations.evacuations.zones
            context.instruments.set_evacuations(
                len(zones), self._count_tasks_in(zones)
            )
        for kind in codecs.ObjectKind:
            age = context.view.freshness_of(kind).age(now)
            if age is not None:
                context.instruments.set_object_age(kind.value, age)
            revision = self._components.availability.last_read(kind)
            if revision is not None:
                context.instruments.set_store_revision(kind.value, revision)

    def _count_tasks_in(self, zones: frozenset[ids.AvailabilityZoneId]) -> int:
        """Returns the number of open tasks of this daemon in some zones."""
        context = self._components.context
        entries = (
            context.view.directory.entry(task.server)
            for task in (context.load_tracker.local_tasks if zones else ())
        )
        return sum(
            entry is not None and entry.availability_zone in zones
            for entry in entries
        )

    async def _drain(self) -> None:
        """Completes open and new requests until the grace period ends."""
        context = self._components.context
        started = context.timers.now()
        self._stopping = True
        request_servers = (self._caller_server, self._relay_server)
        for request_server in request_servers:
            request_server.disable_keep_alive()
        context.log.emit(
            events.Event.DAEMON_STOPPING,
            open_requests=self._caller_server.active_connections,
            grace_s=self._grace_period,
        )
        drain_deadline = units.after(
            started, units.Seconds(self._grace_period - _SHUTDOWN_MARGIN)
        )
        deregistered_at = units.after(started, _DEREGISTRATION_DELAY)
        self._components.gateway.set_stop_deadline(drain_deadline)
        answer_by = units.Instant(drain_deadline - _ANSWER_MARGIN)
        idle_closed = False
        accepting = True
        while (now := context.timers.now()) < drain_deadline:
            done = idle_closed and not any(
                s.active_connections for s in request_servers
            )
            if accepting and (done or now >= answer_by):
                # A caller that is refused asks another daemon. One whose
                # connection was reset can't know whether its request ran.
                accepting = False
                for request_server in request_servers:
                    await request_server.stop_accepting()
                continue
            if done:
                break
            if now >= answer_by:
                self._components.gateway.end_unanswered_requests()
                for request_server in request_servers:
                    request_server.reject_incomplete_requests()
            if now >= deregistered_at:
                # Requests that lie in the sockets are read first. One that
                # crosses the close is not read, hence not run.
                for request_server in request_servers:
                    request_server.close_idle_connections()
                idle_closed = True
            await asyncio.sleep(_DRAIN_POLL_INTERVAL)
        else:
            # A process that was paused across the deadline has not read what
            # came meanwhile.
            for request_server in request_servers:
                await request_server.stop_accepting()
            await asyncio.sleep(_LAST_READ_TIME)
            for request_server in request_servers:
                request_server.reject_incomplete_requests()
        open_requests = self._caller_server.active_connections
        relayed_requests = self._relay_server.active_connections
        await self._components.gateway.end_all_requests()
        context.log.emit(
            events.Event.DAEMON_STOPPED,
            open_requests=open_requests,
            relayed_requests=relayed_requests,
            seconds=round(context.timers.now() - started, 3),
        )

    def _close(self) -> None:
        self._caller_server.close()
        self._relay_server.close()
        self._health_server.close()
        self._components.load_reporter.close()
        self._components.state_server.close()
        self._components.context.connections.close()
        self._components.context.relay.close()
