"""HTTP endpoint for readiness checks and metrics."""

from __future__ import annotations

import abc

from lavendershed.telemetry import request_instruments
from lavendershed.transport import handlers

_METRICS_PATH = "/metrics"


class Readiness(abc.ABC):
    """Source of the readiness state."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether the daemon accepts new connections."""


class HealthEndpoint(handlers.Handler):
    """Serves the platform's health check and the metrics."""

    def __init__(
        self,
        readiness: Readiness,
        instruments: request_instruments.RequestInstruments,
    ) -> None:
        self._readiness = readiness
        self._instruments = instruments

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Responds with the metrics, or with the readiness as 200 or 503."""
        if request.path == _METRICS_PATH:
            await responder.respond(
                200,
                self._instruments.exposition(),
                (("content-type", "text/plain; version=0.0.4"),),
            )
            return
        await responder.respond(200 if self._readiness.ready else 503, b"")

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request that is not handled."""
        return detail.encode()

    @property
    def rejection_content_type(self) -> str:
        """Content type of `rejection_body`."""
        return "text/plain"
