"""Decoding of HTTP requests into typed requests."""

from __future__ import annotations

import re
from typing import Any

import orjson
import result

from lavendershed.core import deadlines
from lavendershed.core import decimals
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.httpd import application
from lavendershed.transport import handlers

MAX_TOKENS_LIMIT = 1_000_000
_MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
# Longer values are shortened in error messages.
_MAX_SHOWN = 40
_PRINTABLE_ASCII = re.compile(r"[\x21-\x7e]+")
# Estimate for a request without a token count.
_CHARACTERS_PER_TOKEN = 4

Decoded = result.Result[Any, outcomes.RequestFailure]


def bad_request(detail: str) -> result.Err[outcomes.RequestFailure]:
    """Returns a failure for a malformed request."""
    return result.Err(
        outcomes.not_run(states.FailureReason.BAD_REQUEST, detail)
    )


def deadline(
    request: handlers.ServerRequest,
    limits: application.RequestLimits,
    now: units.Instant,
) -> result.Result[deadlines.Deadline, outcomes.RequestFailure]:
    """Returns the deadline from the `Request-Timeout-Ms` header."""
    header = request.header("request-timeout-ms")
    if header is None:
        return result.Ok(
            deadlines.Deadline.from_timeout(now, limits.default_timeout)
        )
    max_timeout_ms = int(limits.max_timeout * 1000)
    timeout_ms = decimals.parse(header)
    if timeout_ms is None or not 1 <= timeout_ms <= max_timeout_ms:
        return bad_request(
            f"header Request-Timeout-Ms: '{header[:_MAX_SHOWN]}' is not a "
            f"whole number from 1 to {max_timeout_ms}"
        )
    timeout = units.Seconds(timeout_ms / 1000)
    return result.Ok(deadlines.Deadline.from_timeout(now, timeout))


def idempotency_key(
    request: handlers.ServerRequest,
) -> result.Result[ids.IdempotencyKey | None, outcomes.RequestFailure]:
    """Returns the `Idempotency-Key` header; None if absent."""
    header = request.header("idempotency-key")
    if header is None:
        return result.Ok(None)
    if len(
        header
    ) > _MAX_IDEMPOTENCY_KEY_CHARACTERS or not _PRINTABLE_ASCII.fullmatch(
        header
    ):
        return bad_request(
            "header Idempotency-Key: send 1 to "
            f"{_MAX_IDEMPOTENCY_KEY_CHARACTERS} printable ASCII characters"
        )
    return result.Ok(ids.IdempotencyKey(header))


def generate_request(
    request: handlers.ServerRequest,
    request_id: ids.RequestId,
    organisation: ids.OrganisationId,
    service: ids.ServiceId,
    request_deadline: deadlines.Deadline,
) -> result.Result[requests.GenerateRequest, outcomes.RequestFailure]:
    """Decodes the JSON body of a generate request."""
    try:
        content = orjson.loads(request.body)
    except ValueError as error:
        return bad_request(f"body: not valid JSON: {error}")
    if not isinstance(content, dict):
        return bad_request("body: send a JSON object")
    prompt = content.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return bad_request("field 'prompt': send a non-empty string")
    estimate = max(1, len(prompt) // _CHARACTERS_PER_TOKEN)
    counts: dict[str, int] = {}
    for name, default in (("prompt_tokens", estimate), ("max_tokens", 256)):
        value = content.get(name, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int)
            or not 1 <= value <= 2 * MAX_TOKENS_LIMIT
        ):
            return bad_request(
                f"field '{name}': send a whole number from 1 to "
                f"{2 * MAX_TOKENS_LIMIT}"
            )
        counts[name] = value
    adapter = content.get("adapter")
    if adapter is not None and not isinstance(adapter, str):
        return bad_request("field 'adapter': send a string or leave it out")
    return result.Ok(
        requests.GenerateRequest(
            request_id,
            organisation,
            service,
            prompt,
            units.Tokens(counts["prompt_tokens"]),
            units.Tokens(counts["max_tokens"]),
            request_deadline,
            None if adapter is None else ids.AdapterId(adapter),
        )
    )
