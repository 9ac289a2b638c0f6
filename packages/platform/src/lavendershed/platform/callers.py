"""Decoding of caller requests and encoding of failure responses."""

from __future__ import annotations

import functools

import result
import xxhash

from lavendershed.core import decimals
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import requests
from lavendershed.platform import header_names
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.transport import handlers

# Regenerated for each connection, not forwarded.
_FRAMING_HEADERS = frozenset({"content-length", "expect"})

_STATUS_BY_REASON = {
    states.FailureReason.BAD_REQUEST: 400,
    states.FailureReason.BODY_TOO_LARGE: 413,
    states.FailureReason.UNAUTHENTICATED: 401,
    states.FailureReason.UNKNOWN_SERVICE: 404,
}
# Guarantees that the request has not run and will not run.
_NOT_RUN_STATUS = 503
_TIMEOUT_STATUS = 504
_FAILURE_STATUS = 502
# Parts that are not the last are few and come again and again.
_PART_CACHE_SIZE = 4_096
# Bounds the time to decode a request; later parts belong to few prompts.
_MAX_PREFIX_PARTS = 16


class PlatformCallerCodec(codecs.CallerCodec):
    """Decodes requests of platform clients and encodes failures."""

    @property
    def id_header(self) -> str:
        """Name of the header with the id of a request, in lower case."""
        return header_names.REQUEST_ID

    def decode(
        self, request: handlers.ServerRequest
    ) -> result.Result[requests.CallerRequest, outcomes.RequestFailure]:
        """Returns the request, or a failure that names the invalid header."""
        fields = dict(reversed(request.headers))
        path = request.target.partition("?")[0]
        timeout_ms = _parse_number(fields, header_names.TIMEOUT_MS)
        if isinstance(timeout_ms, result.Err):
            return timeout_ms
        size = _parse_token_count(
            fields.get(header_names.TOKEN_COUNT),
            fields.get(header_names.EXPECTED_OUTPUT_TOKENS),
        )
        if isinstance(size, result.Err):
            return size
        last_event_id = _parse_number(fields, header_names.LAST_EVENT_ID)
        if isinstance(last_event_id, result.Err):
            return last_event_id
        return result.Ok(
            requests.CallerRequest(
                ids.RequestId(fields.get(header_names.REQUEST_ID, "")),
                request.method,
                request.target,
                path,
                fields.get("host", "").partition(":")[0].lower(),
                _end_to_end_headers(request.headers),
                request.body,
                fields.get(header_names.API_KEY),
                None
                if timeout_ms.ok_value is None
                else units.Seconds(timeout_ms.ok_value / 1_000),
                size.ok_value,
                last_event_id.ok_value,
                _parse_shared_parts(fields.get(header_names.PROMPT_PARTS, "")),
                _parse_prefix(fields.get(header_names.PROMPT_PARTS, "")),
            )
        )

    def encode_failure(
        self, failure: outcomes.RequestFailure
    ) -> tuple[int, requests.Headers, bytes]:
        """Returns status, headers and body for a failure."""
        status = _STATUS_BY_REASON.get(failure.reason)
        if status is None:
            if failure.execution is states.Execution.NOT_RUN:
                status = _NOT_RUN_STATUS
            elif failure.reason is states.FailureReason.DEADLINE_EXCEEDED:
                status = _TIMEOUT_STATUS
            else:
                status = _FAILURE_STATUS
        headers: requests.Headers = (("content-type", "text/plain"),)
        if status == _NOT_RUN_STATUS and failure.retry_after is not None:
            headers += (("retry-after", f"{failure.retry_after:g}"),)
        body = f"{failure.reason.value}: {failure.detail}\n".encode()
        return status, headers, body

    def says_not_run(self, status: int) -> bool:
        """Returns whether a status tells callers that nothing has run."""
        return status == _NOT_RUN_STATUS


def _end_to_end_headers(headers: requests.Headers) -> requests.Headers:
    """Returns the end-to-end headers, which are forwarded unchanged."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    excluded = (
        connection_options
        | header_names.HOP_BY_HOP
        | header_names.SET_BY_ROUTER
        | _FRAMING_HEADERS
    )
    return tuple((n, v) for n, v in headers if n not in excluded)


def _parse_number(
    fields: dict[str, str], header: str
) -> result.Result[int | None, outcomes.RequestFailure]:
    """Returns the number in a header; None if the header is absent."""
    text = fields.get(header)
    if text is None:
        return result.Ok(None)
    number = decimals.parse(text)
    return _invalid_header(header) if number is None else result.Ok(number)


def _parse_token_count(
    text: str | None, expected: str | None
) -> result.Result[latency_model.RequestSize | None, outcomes.RequestFailure]:
    if text is None:
        return result.Ok(None)
    prompt_text, _, max_output_text = text.partition(",")
    prompt = decimals.parse(prompt_text.strip())
    max_output = decimals.parse(max_output_text.strip())
    if prompt is None or max_output is None:
        return _invalid_header(header_names.TOKEN_COUNT)
    expected_output = decimals.parse(expected or "")
    return result.Ok(
        latency_model.RequestSize(
            units.Tokens(prompt),
            units.Tokens(max_output),
            None if expected_output is None else units.Tokens(expected_output),
        )
    )


def _parse_shared_parts(text: str) -> frozenset[ids.PromptPartId]:
    """Returns the hashes of all parts of a prompt but the last."""
    return frozenset(
        _hash_part(part.partition(":")[0].strip())
        for part in text.split(",")[:-1]
    )


def _parse_prefix(text: str) -> held_prompts.PromptPrefix:
    """Returns the parts of a prompt up to the first that is not valid."""
    chain = 0
    end = 0
    hashes: list[int] = []
    ends: list[int] = []
    for part in text.split(",", _MAX_PREFIX_PARTS)[:_MAX_PREFIX_PARTS]:
        name, _, count = part.partition(":")
        tokens = decimals.parse(count.strip())
        if tokens is None:
            break
        chain = xxhash.xxh3_64_intdigest(name.strip().encode(), seed=chain)
        end += tokens
        hashes.append(chain)
        ends.append(end)
    return held_prompts.PromptPrefix(tuple(hashes), tuple(ends))


@functools.lru_cache(_PART_CACHE_SIZE)
def _hash_part(part: str) -> ids.PromptPartId:
    digest = xxhash.xxh3_64_intdigest(part.encode())
    return ids.PromptPartId(ids.CrashSuspectId(digest >> 1))


def _invalid_header(header: str) -> result.Err[outcomes.RequestFailure]:
    return result.Err(
        outcomes.not_run(
            states.FailureReason.BAD_REQUEST,
            f"header {header} has an invalid value",
        )
    )
