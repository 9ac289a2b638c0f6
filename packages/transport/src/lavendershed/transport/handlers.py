"""Interfaces between an HTTP server and its request handlers."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
import dataclasses
import urllib.parse

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """A complete request; header names are in lower case.

    Header values are decoded as Latin-1, see `headers.encode`.

    Attributes:
        method: Method as sent.
        path: Percent-decoded path.
        query: Query string without the question mark.
        headers: All headers in the order received.
        body: Complete body.
        target: Request target as sent.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    target: str = ""

    def header(self, name: str) -> str | None:
        """Returns the first header with this lower-case name."""
        return next((v for n, v in self.headers if n == name), None)

    def parameter(self, name: str) -> str | None:
        """Returns the first query parameter with this name."""
        values = urllib.parse.parse_qs(self.query).get(name)
        return values[0] if values else None


class Responder(abc.ABC):
    """Sends the response to one request."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the status line has been sent."""

    @property
    @abc.abstractmethod
    def disconnected(self) -> asyncio.Event:
        """Set once the peer has closed the connection."""

    @abc.abstractmethod
    def on_disconnect(self, callback: Callable[[], object] | None) -> None:
        """Calls `callback` when the peer closes; None removes the callback.

        If the peer has already closed, the callback runs in the next iteration
        of the event loop.
        """

    @abc.abstractmethod
    async def respond(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Sends a complete response."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers = ()) -> None:
        """Sends the status line and headers of a streamed response."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> bool:
        """Sends body bytes; returns False once the peer has disconnected."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Ends a streamed response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Aborts the connection without completing the response."""


class Handler(abc.ABC):
    """Handles the requests of an HTTP server."""

    @abc.abstractmethod
    async def handle(
        self, request: ServerRequest, responder: Responder
    ) -> None:
        """Handles one request; each request has its own task."""

    @abc.abstractmethod
    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request that is not handled.

        The server rejects malformed, oversized and incomplete requests.
        """

    @property
    def rejection_content_type(self) -> str:
        """Content type of `rejection_body`."""
        return "application/problem+json"
