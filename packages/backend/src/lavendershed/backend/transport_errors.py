"""Mapping of transport errors to backend errors."""

from __future__ import annotations

from lavendershed.core import backend_servers
from lavendershed.transport import errors

_BACKEND_ERROR_KINDS = {
    errors.TransportErrorKind.CONNECT_FAILED: (
        backend_servers.BackendErrorKind.CONNECTION_REFUSED
    ),
    errors.TransportErrorKind.CONNECTION_LOST: (
        backend_servers.BackendErrorKind.CONNECTION_LOST
    ),
    errors.TransportErrorKind.IDLE_TIMEOUT: (
        backend_servers.BackendErrorKind.IDLE_TIMEOUT
    ),
    errors.TransportErrorKind.PROTOCOL: (
        backend_servers.BackendErrorKind.PROTOCOL
    ),
    errors.TransportErrorKind.NO_BUFFER: (
        backend_servers.BackendErrorKind.PROTOCOL
    ),
    errors.TransportErrorKind.TOO_LATE: (
        backend_servers.BackendErrorKind.DEADLINE
    ),
}


def backend_error(
    error: errors.TransportError,
) -> backend_servers.BackendError:
    """Returns the backend error for a failed HTTP exchange."""
    return backend_servers.BackendError(
        _BACKEND_ERROR_KINDS[error.kind], error.sent, error.detail
    )
