"""Base class of the stand-ins' HTTP handlers."""

from __future__ import annotations

import orjson

from lavendershed.transport import handlers

JSON_HEADERS = (("content-type", "application/json"),)


class JsonHandler(handlers.Handler):
    """Responds with JSON documents."""

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the response body for a request rejected by the server."""
        return orjson.dumps({"started": False, "detail": detail})

    async def respond_json(
        self,
        responder: handlers.Responder,
        content: object,
        status: int = 200,
        headers: handlers.Headers = (),
    ) -> None:
        """Sends `content` as a JSON response."""
        await responder.respond(
            status, orjson.dumps(content), JSON_HEADERS + headers
        )
