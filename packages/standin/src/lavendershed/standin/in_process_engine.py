"""Stand-in model engine in the process of a test."""

from __future__ import annotations

import asyncio
import random

from lavendershed.backend import http_engine
from lavendershed.core import timers as timers_module
from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin import history as history_module
from lavendershed.standin import model_engine
from lavendershed.transport import address as address_module
from lavendershed.transport import event_loop_timers
from lavendershed.transport import pool
from lavendershed.transport import server

DEFAULT_SETTINGS = engine_timing_model.EngineSettings(
    prefill_rate=1_000_000.0, decode_base=units.Seconds(0.002)
)


class InProcessEngine:
    """A model engine on a loopback port that can crash and be restarted.

    With a `timer_service`, time limits and delays use its clock. Tokens are
    always produced in real time.
    """

    def __init__(
        self,
        settings: engine_timing_model.EngineSettings = DEFAULT_SETTINGS,
        options: model_engine.EngineOptions | None = None,
        idle_timeout: units.Seconds = units.Seconds(1.0),  # noqa: B008
        timer_service: timers_module.TimerService | None = None,
    ) -> None:
        self._timers = timer_service
        self._settings = settings
        self._options = options or model_engine.EngineOptions()
        self._idle_timeout = idle_timeout
        self._address = address_module.Address("127.0.0.1", 0)
        self._crashes = 0
        self._running = False

    @property
    def address(self) -> address_module.Address:
        """Listen address; unchanged by a restart."""
        return self._address

    @property
    def crashes(self) -> int:
        """Number of crashes."""
        return self._crashes

    @property
    def incarnation(self) -> int:
        """Incarnation number of the latest start."""
        return self._handler.incarnation

    async def start(self) -> None:
        """Starts the engine with a new incarnation number."""
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        self._handler = model_engine.ModelEngineHandler(
            self._settings,
            self._options,
            history_module.History(None),
            self._timers or timers,
            random.Random(1),
            self._crash,
        )
        self._server = server.HttpServer(
            self._handler, timers, server.ServerLimits()
        )
        await self._server.start(self._address)
        self._address = self._server.address
        self._step_task = asyncio.create_task(self._handler.run())
        self._running = True

    async def stop(self) -> None:
        """Stops the engine and closes its connections."""
        self._running = False
        self._server.close()
        self._step_task.cancel()
        await asyncio.gather(self._step_task, return_exceptions=True)

    def client(self) -> http_engine.HttpModelEngine:
        """Returns a client of the engine."""
        timers = event_loop_timers.EventLoopTimerService(
            asyncio.get_running_loop()
        )
        limits = pool.PoolLimits(idle_timeout=self._idle_timeout)
        return http_engine.HttpModelEngine(
            pool.ConnectionPool(self._address, timers, limits)
        )

    def _crash(self, status: int) -> None:
        if self._running:
            self._running = False
            self._crashes += 1
            self._server.close()
            self._step_task.cancel()
        # Stops the calling task, since no code runs after a process has exited.
        raise asyncio.CancelledError
