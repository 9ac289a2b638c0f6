"""Queries of engines that delay a prefill."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses

import result

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import connections
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import limit_observer
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.routing import engine_slowdown
from lavendershed.telemetry import events
from lavendershed.telemetry import log

_QUERY_TIMEOUT = units.Seconds(0.2)
_MAX_STATUS_BODY = units.Bytes(100_000)
# Queries are billed, and an engine that was not slow just before is not likely
# to be the cause of the next delay.
_QUERY_INTERVAL = units.Seconds(1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class _QueryFailure:
    """Why a query has no result.

    Attributes:
        detail: Cause, for logs.
        unreachable: Whether the engine accepted no connection.
    """

    detail: str
    unreachable: bool = False


_QueryResult = result.Result[requests.EngineStatus, _QueryFailure]


class EngineInspector:
    """Asks engines whether they are slow, or gone.

    A slow engine that decodes no request is not noticed otherwise, and the
    first token of a prompt comes after its slowest part. It does not come at
    all if one of the engines is gone.
    """

    def __init__(
        self,
        view: deployment_view.DeploymentView,
        server_connections: connections.BackendConnectionPool,
        codec: codecs.BackendCodec,
        slowdowns: engine_slowdown.EngineSlowdowns,
        observer: limit_observer.LimitObserver,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._view = view
        self._connections = server_connections
        self._codec = codec
        self._slowdowns = slowdowns
        self._limit_observer = observer
        self._timers = timer_service
        self._log = event_log
        self._queried_at: dict[ids.BackendServerId, units.Instant] = {}

    async def inspect(
        self,
        engines: Iterable[server_directory.ServerEntry],
        request: ids.RequestId,
    ) -> tuple[server_directory.ServerEntry, ...]:
        """Queries engines and records those that are slow.

        Args:
            engines: Engines that work on a prompt.
            request: The delayed request.

        Returns:
            Engines that accept no connection. They were asked twice, because
            the first packet of a connection may be lost.
        """
        now = self._timers.now()
        self._queried_at = {
            server: at
            for server, at in self._queried_at.items()
            if now - at < _QUERY_INTERVAL
        }
        due = [
            e
            for e in engines
            if e.id not in self._queried_at
            and self._view.notices.allows_new_work(e)
        ]
        self._queried_at.update((engine.id, now) for engine in due)
        statuses = await asyncio.gather(*(self._query_twice(e) for e in due))
        slow = []
        for engine, status in zip(due, statuses, strict=True):
            if isinstance(status, result.Ok):
                slowdown = status.ok_value.slowdown
                self._slowdowns.on_stated_slowdown(
                    engine.id, slowdown, self._timers.now()
                )
                if self._slowdowns.factor(engine.id, self._timers.now()) > 1.0:
                    slow.append(f"{engine.id}: {slowdown:.1f}")
        unreachable = tuple(
            engine
            for engine, status in zip(due, statuses, strict=True)
            if isinstance(status, result.Err) and status.err_value.unreachable
        )
        self._log.emit(
            events.Event.ENGINES_INSPECTED,
            request=request,
            engines=[engine.id for engine in due],
            failed=[
                f"{engine.id}: {status.err_value.detail}"
                for engine, status in zip(due, statuses, strict=True)
                if isinstance(status, result.Err)
            ],
            slow=slow,
        )
        return unreachable

    async def _query_twice(
        self, engine: server_directory.ServerEntry
    ) -> _QueryResult:
        status = await self._query(engine)
        if isinstance(status, result.Err) and status.err_value.unreachable:
            return await self._query(engine)
        return status

    async def _query(
        self, engine: server_directory.ServerEntry
    ) -> _QueryResult:
        acquired = await self._connections.acquire(
            engine.address, new_connection=False
        )
        if isinstance(acquired, result.Err):
            return result.Err(
                _QueryFailure(acquired.err_value.detail, unreachable=True)
            )
        connection = acquired.ok_value.connection
        try:
            query = self._codec.encode_status_query(engine.id)
            sent_at = self._timers.now()
            sent = await connection.send(query, b"", _QUERY_TIMEOUT)
            if isinstance(sent, result.Err):
                return result.Err(_QueryFailure(sent.err_value.detail))
            head = await connection.read_head(_QUERY_TIMEOUT)
            if isinstance(head, result.Err):
                return result.Err(_QueryFailure(head.err_value.detail))
            body = await connection.read_body(_QUERY_TIMEOUT, _MAX_STATUS_BODY)
            if isinstance(body, result.Err):
                return result.Err(_QueryFailure(body.err_value.detail))
            self._view.notices.on_answer(
                engine, self._codec.decode_call_notices(head.ok_value)
            )
            status = self._codec.decode_status(head.ok_value, body.ok_value)
            if isinstance(status, result.Err):
                return result.Err(_QueryFailure(status.err_value))
            self._limit_observer.on_answer(
                engine, head.ok_value, sent_at, to_call=True
            )
            return status
        finally:
            # Answers to queries have no id, so that a late copy of this one
            # would be taken for the answer to the next query.
            connection.close()
