"""Encoding of requests that one daemon passes to another."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.routes import model
from lavendershed.routing import latency_model

_MS_PER_SECOND = 1_000
_INT64_RANGE = 1 << 64
_INT64_LIMIT = 1 << 63


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request that passed admission at the sending daemon.

    Attributes:
        id: Id of the caller's attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host in lower case, without a port.
        headers: Headers forwarded unchanged to the backend server.
        body: Complete body.
        size: Prompt and output tokens, if stated.
        last_event_id: Event id after which to resume a stream, if any.
        prompt_parts: Parts of the prompt that other prompts may share.
        route: The route as the sender knows it, without its services.
        service: Service selected for the request.
        organisation: Organisation of its API key, if any.
        priority: Scheduling priority; 0 is the highest.
        fingerprint: Identifies the request across retries of the caller.
        elapsed: Time since it was received.
        left: Time until its deadline.
        begun: Whether the caller has a part of the response.
    """

    id: ids.RequestId
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    size: latency_model.RequestSize | None
    last_event_id: int | None
    prompt_parts: frozenset[ids.PromptPartId]
    route: model.Route
    service: ids.ServiceId
    organisation: ids.OrganisationId | None
    priority: int
    fingerprint: ids.Fingerprint
    elapsed: units.Seconds
    left: units.Seconds
    begun: bool = False


def encode(request: RelayedRequest) -> bytes:
    """Returns a request as the body of a call."""
    size = request.size
    route = request.route
    inter_token_latency = route.target_inter_token_latency
    return wire.encode(
        ttypes.RelayedRequest(
            id=request.id,
            method=request.method,
            target=request.target,
            host=request.host,
            headers=[text for header in request.headers for text in header],
            body=request.body,
            prompt_tokens=None if size is None else size.prompt_tokens,
            max_output_tokens=None if size is None else size.max_output_tokens,
            expected_output_tokens=(
                None if size is None else size.expected_output_tokens
            ),
            last_event_id=request.last_event_id,
            prompt_parts=sorted(request.prompt_parts) or None,
            route=route.name,
            kind=route.kind.value,
            resumable=route.resumable,
            timeout_ms=_to_ms(route.timeout),
            target_latency_ms=_to_ms(route.target_latency),
            target_inter_token_latency_ms=(
                None
                if inter_token_latency is None
                else _to_ms(inter_token_latency)
            ),
            max_attempts=route.max_attempts,
            service_id=request.service,
            organisation=request.organisation,
            priority=request.priority,
            fingerprint=(
                request.fingerprint - _INT64_RANGE
                if request.fingerprint >= _INT64_LIMIT
                else request.fingerprint
            ),
            elapsed_ms=_to_ms(request.elapsed),
            left_ms=_to_ms(request.left),
            begun=request.begun or None,
        )
    )


def decode(data: bytes) -> RelayedRequest:
    """Returns the request in the body of a call.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    message = wire.decode(ttypes.RelayedRequest, data)
    for name in _REQUIRED:
        if getattr(message, name) is None:
            raise ValueError(f"{name} is missing")
    headers = message.headers or []
    size = None
    if message.prompt_tokens is not None:
        size = latency_model.RequestSize(
            units.Tokens(message.prompt_tokens),
            units.Tokens(message.max_output_tokens or 0),
            _optional_tokens(message.expected_output_tokens),
        )
    inter_token_latency_ms = message.target_inter_token_latency_ms
    return RelayedRequest(
        ids.RequestId(message.id),
        message.method,
        message.target,
        message.host,
        tuple(zip(headers[::2], headers[1::2], strict=True)),
        message.body,
        size,
        message.last_event_id,
        frozenset(
            ids.PromptPartId(ids.CrashSuspectId(part))
            for part in message.prompt_parts or ()
        ),
        model.Route(
            message.route,
            message.host,
            "",
            _KINDS[message.kind],
            bool(message.resumable),
            False,
            _to_seconds(message.timeout_ms),
            _to_seconds(message.target_latency_ms),
            None
            if inter_token_latency_ms is None
            else _to_seconds(inter_token_latency_ms),
            message.priority,
            (),
            message.max_attempts,
        ),
        ids.ServiceId(message.service_id),
        None
        if message.organisation is None
        else ids.OrganisationId(message.organisation),
        message.priority,
        ids.Fingerprint(message.fingerprint % _INT64_RANGE),
        _to_seconds(message.elapsed_ms),
        _to_seconds(message.left_ms),
        bool(message.begun),
    )


_REQUIRED = (
    "id",
    "method",
    "target",
    "host",
    "body",
    "route",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "max_attempts",
    "service_id",
    "priority",
    "fingerprint",
    "elapsed_ms",
    "left_ms",
)
_KINDS: Mapping[str, model.RequestKind] = {
    kind.value: kind for kind in model.RequestKind
}


def _optional_tokens(tokens: int | None) -> units.Tokens | None:
    return None if tokens is None else units.Tokens(tokens)


def _to_ms(seconds: units.Seconds) -> int:
    return round(seconds * _MS_PER_SECOND)


def _to_seconds(milliseconds: int) -> units.Seconds:
    return units.Seconds(milliseconds / _MS_PER_SECOND)
