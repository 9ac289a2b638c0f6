"""Runs requests of daemons that are cut off from the servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import result

from lavendershed.core import ids
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import gateway
from lavendershed.forwarding import relay
from lavendershed.forwarding import relayed_requests
from lavendershed.telemetry import events
from lavendershed.transport import handlers

# Bounds what a daemon holds for others; its own callers come first.
_MAX_OPEN_REQUESTS = 256
_REFUSED_STATUS = 503


class RelayHandler(handlers.Handler):
    """Runs relayed requests, or refuses them before anything has run."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        request_gateway: gateway.Gateway,
    ) -> None:
        self._context = context
        self._gateway = request_gateway
        self._open_requests = 0

    async def handle(
        self, request: handlers.ServerRequest, responder: handlers.Responder
    ) -> None:
        """Runs one request of a peer."""
        context = self._context
        decoded = relayed_requests.decode(
            request.body, context.view.table, context.timers.now()
        )
        if isinstance(decoded, result.Err):
            await self._refuse(
                ids.RequestId(""),
                decoded.err_value,
                relay.RefusalScope.REQUEST,
                responder,
            )
            return
        admitted_request = decoded.ok_value
        refusal = self._refusal() or self._gateway.check_relayed(
            admitted_request
        )
        if refusal is not None:
            await self._refuse(
                admitted_request.request.id,
                refusal,
                relay.RefusalScope.ALL,
                responder,
            )
            return
        self._open_requests += 1
        try:
            await self._gateway.execute_relayed(
                admitted_request, RelayResponder(responder)
            )
        finally:
            self._open_requests -= 1

    async def _refuse(
        self,
        request: ids.RequestId,
        reason: str,
        scope: relay.RefusalScope,
        responder: handlers.Responder,
    ) -> None:
        self._context.log.emit(
            events.Event.RELAY_REFUSED, request=request, reason=reason
        )
        await responder.respond(
            _REFUSED_STATUS,
            reason.encode(),
            (
                (relay.RESULT_HEADER, relay.RelayResult.REFUSED.value),
                (relay.REFUSAL_HEADER, scope.value),
            ),
        )

    def _refusal(self) -> str | None:
        if self._context.relay.is_cut_off:
            return "daemon is cut off from the servers itself"
        if self._open_requests >= _MAX_OPEN_REQUESTS:
            return f"daemon runs {_MAX_OPEN_REQUESTS} requests of others"
        return None

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request that is not handled."""
        return detail.encode()


class RelayResponder(handlers.Responder):
    """Responds to a peer and names the kind of the response."""

    def __init__(self, inner: handlers.Responder) -> None:
        self._inner = inner

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._inner.started

    @property
    def disconnected(self) -> asyncio.Event:
        """Set once the peer has closed the connection."""
        return self._inner.disconnected

    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        """Calls `callback` when the peer closes; None removes the callback."""
        self._inner.on_disconnect(callback)

    async def respond(
        self, status: int, body: bytes, headers: handlers.Headers = ()
    ) -> None:
        """Sends a complete response."""
        await self._inner.respond(
            status, body, _with_result(headers, relay.RelayResult.WHOLE)
        )

    def start(self, status: int, headers: handlers.Headers = ()) -> None:
        """Sends the status line and headers of a streamed response."""
        self._inner.start(
            status, _with_result(headers, relay.RelayResult.STREAM)
        )

    async def write(self, data: bytes) -> bool:
        """Sends body bytes; returns False once the peer has disconnected."""
        return await self._inner.write(data)

    async def finish(self) -> None:
        """Ends a streamed response."""
        await self._inner.finish()

    def abort(self) -> None:
        """Aborts the connection without completing the response."""
        self._inner.abort()


def _with_result(
    headers: handlers.Headers, relay_result: relay.RelayResult
) -> handlers.Headers:
    return (*headers, (relay.RESULT_HEADER, relay_result.value))
