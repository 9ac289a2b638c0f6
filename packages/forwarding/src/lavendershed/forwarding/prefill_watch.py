"""Detection of slow and lost engines while they prefill a long prompt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import result

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.membership import server_directory
from lavendershed.routing import placements
from lavendershed.transport import client
from lavendershed.transport import errors

# A prompt of a longer prefill is worth the queries of its engines if the first
# token is later than this multiple of the prediction plus the margin.
_MIN_INSPECTED_PREFILL_MS = 300.0
_OVERDUE_PREDICTION_FACTOR = 1.3
_OVERDUE_MARGIN = units.Seconds(0.15)
# A prefill is restarted if that takes at most this share of the remaining time.
_MAX_RESTART_SHARE = 0.7

HeadResult = result.Result[client.ResponseHead, errors.TransportError]
# Returns the predicted time to first token, in milliseconds, if another engine
# than this one got the request; None if there is none.
RestartPrediction = Callable[[ids.BackendServerId], float | None]


class PrefillWatch:
    """Decides whether a prefill also starts on other engines."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        request: ids.RequestId,
        placement: placements.Placement,
        predict_restart: RestartPrediction,
    ) -> None:
        self._context = context
        self._request = request
        self._placement = placement
        self._predict_restart = predict_restart

    async def watch(
        self,
        reading: Coroutine[Any, Any, HeadResult],
        on_slow: Callable[[], object],
    ) -> HeadResult:
        """Awaits the response head.

        If the first token of a long prompt is overdue, its engines are asked
        whether they are slow. One that is found unreachable meanwhile, by
        this daemon or another, is asked at once: the others wait for its part
        until they give the prompt up.

        Args:
            reading: Reads the response head.
            on_slow: Is called if a prefill on other engines would end well
                before this one.
        """
        if self._placement.prefill_ms < _MIN_INSPECTED_PREFILL_MS:
            return await reading
        sent_at = self._context.timers.now()
        loop = asyncio.get_running_loop()
        task = loop.create_task(reading)
        suspected: asyncio.Future[server_directory.ServerEntry] = (
            loop.create_future()
        )
        engines = {engine.id: engine for engine in self._engines}

        def on_unreachable(server: ids.BackendServerId) -> None:
            if server in engines and not suspected.done():
                suspected.set_result(engines[server])

        self._context.health.subscribe(on_unreachable)
        try:
            await asyncio.wait(
                (task, suspected),
                timeout=self._overdue_time,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if suspected.done() and await self._has_lost((suspected.result(),)):
                if not task.done():
                    on_slow()
                return await task
            time_left = self._overdue_time - units.elapsed(
                sent_at, self._context.timers.now()
            )
            await asyncio.wait((task,), timeout=max(0.0, time_left))
            if not task.done():
                lost = await self._has_lost(self._engines)
                now = self._context.timers.now()
                elapsed = units.elapsed(sent_at, now)
                if not task.done() and (
                    lost or self._is_worth_restarting(elapsed, now)
                ):
                    on_slow()
            return await task
        finally:
            self._context.health.unsubscribe(on_unreachable)
            task.cancel()

    async def _has_lost(
        self, engines: tuple[server_directory.ServerEntry, ...]
    ) -> bool:
        """Returns whether engines accept no connection, and excludes them."""
        lost = await self._context.inspector.inspect(engines, self._request)
        for engine in lost:
            context_module.exclude_failed_server(
                self._context,
                engine,
                "connect_failed",
                self._request,
                unreachable=True,
            )
        return bool(lost)

    @property
    def _engines(self) -> tuple[server_directory.ServerEntry, ...]:
        """Engines to inspect; none of an evacuated zone."""
        placement = self._placement
        engines = (placement.decode_engine, *placement.prefill_helpers)
        evacuations = self._context.view.evacuations
        return tuple(e for e in engines if not evacuations.is_evacuated(e))

    @property
    def _overdue_time(self) -> units.Seconds:
        """Time after which the first token is later than predictions err."""
        return units.Seconds(
            self._placement.ttft_ms / 1_000 * _OVERDUE_PREDICTION_FACTOR
            + _OVERDUE_MARGIN
        )

    def _is_worth_restarting(
        self, elapsed: units.Seconds, now: units.Instant
    ) -> bool:
        """Returns whether a new prefill would end well before this one."""
        slowdowns = self._context.choosers.slowdowns
        worst_slowdown = max(
            slowdowns.factor(engine.id, now) for engine in self._engines
        )
        remaining_ms = (
            self._placement.shard_prefill_ms * worst_slowdown - elapsed * 1_000
        )
        if worst_slowdown <= 1.0 or remaining_ms <= 0:
            return False
        restart_ms = self._predict_restart(self._placement.decode_engine.id)
        return (
            restart_ms is not None
            and restart_ms < remaining_ms * _MAX_RESTART_SHARE
        )
