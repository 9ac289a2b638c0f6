"""The life of a daemon: start, readiness, reload and graceful stop."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.forwarding import components
from lavendershed.forwarding import health_endpoint
from lavendershed.telemetry import events
from lavendershed.transport import server

# The platform takes two misses of its check, one a second, to send new
# connections elsewhere; half a second covers a check on its way.
_LEAVE_TIME = units.Seconds(3.0)
_STOP_CHECK = units.Seconds(0.05)
# What is still open this long before the end is broken off.
_STOP_MARGIN = units.Seconds(0.3)
_MAINTENANCE_INTERVAL = units.Seconds(0.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoints:
    """Where a daemon listens.

    Attributes:
        callers: For requests.
        ready: For the platform's check and for metrics.
        peers: For other daemons, TCP and UDP.
    """

    callers: addresses.Address
    ready: addresses.Address
    peers: addresses.Address


class ForwardingDaemon(health_endpoint.Readiness):
    """Runs the parts of a daemon until it is asked to stop."""

    def __init__(
        self,
        parts: components.Components,
        endpoints: Endpoints,
        grace: units.Seconds,
    ) -> None:
        self._parts = parts
        self._endpoints = endpoints
        self._grace = grace
        self._stopping = False
        self._was_ready = False
        self._callers = server.HttpServer(
            parts.gateway, parts.context.timers, server.ServerLimits()
        )
        self._health = server.HttpServer(
            health_endpoint.HealthEndpoint(self, parts.context.instruments),
            parts.context.timers,
            server.ServerLimits(),
        )

    @property
    def ready(self) -> bool:
        """Whether new connections are welcome.

        An outage of the store is no reason to leave: what is known holds.
        """
        return not self._stopping and self._parts.context.view.complete

    async def run(self, stop: asyncio.Event) -> Exception | None:
        """Serves until `stop` is set; returns a broken invariant, if any.

        Raises:
            OSError: An address can't be bound.
        """
        log = self._parts.context.log
        await self._parts.load_sharing.start()
        await self._parts.state_server.start(self._endpoints.peers)
        await self._callers.start(self._endpoints.callers)
        await self._health.start(self._endpoints.ready)
        log.emit(
            events.Event.DAEMON_STARTED,
            callers=str(self._endpoints.callers),
            zone=self._parts.context.zone,
        )
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(coroutine)
            for coroutine in (
                *(follower.run() for follower in self._parts.followers),
                self._parts.load_sharing.run(),
                self._parts.state_fetcher.run(),
                self._maintain(),
            )
        ]
        stopped = loop.create_task(stop.wait())
        awaited: set[asyncio.Future[Any]] = {
            *tasks,
            stopped,
            self._callers.broken_invariant,
        }
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        await self._drain()
        broken = self._broken(tasks)
        for task in (*tasks, stopped):
            task.cancel()
        await asyncio.gather(*tasks, stopped, return_exceptions=True)
        self._close()
        return broken

    def _broken(self, tasks: list[asyncio.Task[None]]) -> Exception | None:
        candidates: list[asyncio.Future[None] | asyncio.Future[Exception]]
        candidates = [task for task in tasks if task.done()]
        for done in candidates:
            error = done.exception()
            if isinstance(error, Exception):
                return error
        if self._callers.broken_invariant.done():
            return self._callers.broken_invariant.result()
        return None

    async def _maintain(self) -> None:
        context = self._parts.context
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL)
            context.connections.expire()
            if self.ready and not self._was_ready:
                self._was_ready = True
                context.log.emit(
                    events.Event.DAEMON_READY,
                    version=context.view.version,
                    servers=len(context.view.directory.entries),
                )
            table = context.view.table
            if table is None:
                continue
            limits = table.configuration.limits
            self._callers.set_limits(
                server.ServerLimits(
                    max_body=limits.max_body,
                    request_timeout=limits.idle_timeout,
                    idle_timeout=limits.idle_timeout,
                )
            )

    async def _drain(self) -> None:
        """Answers what is open and what still comes, as long as it may."""
        context = self._parts.context
        started = context.timers.now()
        self._stopping = True
        self._callers.retire_connections()
        context.log.emit(
            events.Event.DAEMON_STOPPING,
            open_requests=self._callers.active,
            grace_s=self._grace,
        )
        latest = units.after(started, units.Seconds(self._grace - _STOP_MARGIN))
        leave = units.after(started, _LEAVE_TIME)
        self._parts.gateway.stop_at(latest)
        while (now := context.timers.now()) < latest:
            if now >= leave:
                # A request that crosses the close has not been read.
                self._callers.stop_keep_alive()
                if not self._callers.active:
                    break
            await asyncio.sleep(_STOP_CHECK)
        context.log.emit(
            events.Event.DAEMON_STOPPED,
            open_requests=self._callers.active,
            seconds=round(context.timers.now() - started, 3),
        )

    def _close(self) -> None:
        self._callers.close()
        self._health.close()
        self._parts.load_sharing.close()
        self._parts.state_server.close()
        self._parts.context.connections.close()
