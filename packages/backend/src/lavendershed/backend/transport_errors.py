"""Errors of HTTP connections as errors of backend servers."""

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
    errors.TransportErrorKind.TOO_LATE: (
        backend_servers.BackendErrorKind.DEADLINE
    ),
}


def backend_error(
    error: errors.TransportError,
) -> backend_servers.BackendError:
    """Returns the failed call that a failed HTTP exchange means."""
    return backend_servers.BackendError(
        _BACKEND_ERROR_KINDS[error.kind], error.sent, error.detail
    )
