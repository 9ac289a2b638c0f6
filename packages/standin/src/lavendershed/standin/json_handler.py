"""Base of the stand-ins' HTTP handlers."""

from __future__ import annotations

import orjson

from lavendershed.transport import handlers

JSON_HEADERS = (("content-type", "application/json"),)


class JsonHandler(handlers.Handler):
    """Answers with JSON documents."""

    def rejection_body(self, status: int, detail: str) -> bytes:
        """Returns the body of an answer to a request that is not handled."""
        return orjson.dumps({"started": False, "detail": detail})

    async def respond_json(
        self,
        responder: handlers.Responder,
        content: object,
        status: int = 200,
        headers: handlers.Headers = (),
    ) -> None:
        """Sends `content` as JSON."""
        await responder.respond(
            status, orjson.dumps(content), JSON_HEADERS + headers
        )
