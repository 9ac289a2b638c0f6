"""HTTP client of a backend server of a plain service."""

from __future__ import annotations

import asyncio

import result

from lavendershed.backend import transport_errors
from lavendershed.core import backend_servers
from lavendershed.transport import client
from lavendershed.transport import pool

# Response header that states whether the service started to execute the call.
EXECUTION_STARTED_HEADER = "execution-started"
# Response header that announces that the backend server is leaving.
LEAVING_HEADER = "server-leaving"


class HttpPlainService(backend_servers.PlainService):
    """Plain service at one address."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        self._pool = connections

    async def call(
        self, call: backend_servers.PlainCall
    ) -> result.Result[
        backend_servers.PlainResponse, backend_servers.BackendError
    ]:
        """Sends the call once and returns the complete response."""
        head = client.RequestHead(
            call.method,
            "/" + call.path,
            tuple((h.name, h.value) for h in call.headers),
        )
        try:
            async with asyncio.timeout(call.timeout):
                outcome = await self._pool.exchange(
                    head,
                    call.body,
                    new_connection=call.fresh_connection,
                    timeout=call.timeout,
                    send_before=call.send_deadline,
                )
        except TimeoutError:
            return result.Err(
                backend_servers.BackendError(
                    backend_servers.BackendErrorKind.DEADLINE,
                    True,
                    f"no response within {call.timeout:.3f} s",
                )
            )
        if isinstance(outcome, result.Err):
            return result.Err(transport_errors.backend_error(outcome.err_value))
        response = outcome.ok_value
        if response.head.header(EXECUTION_STARTED_HEADER) == "false":
            return result.Err(
                backend_servers.BackendError(
                    backend_servers.BackendErrorKind.REFUSED_BEFORE_START,
                    True,
                    f"status {response.head.status}",
                    response.head.header(LEAVING_HEADER) == "true",
                )
            )
        return result.Ok(
            backend_servers.PlainResponse(
                response.head.status,
                response.head.header("content-type")
                or "application/octet-stream",
                response.body,
            )
        )
