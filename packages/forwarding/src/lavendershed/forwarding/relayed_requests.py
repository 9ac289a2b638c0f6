"""Conversion between admitted requests and messages to peers."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import requests
from lavendershed.peer import relay_messages
from lavendershed.peer import wire
from lavendershed.routes import table


def encode(
    admitted_request: context_module.AdmittedRequest,
    last_event_id: int | None,
    max_servers: int,
    now: units.Instant,
    *,
    begun: bool,
) -> bytes:
    """Returns the body of a call to a peer.

    Args:
        admitted_request: The request.
        last_event_id: Event id after which to resume a stream, if any.
        max_servers: Servers that may receive the request.
        now: Current time.
        begun: Whether the caller has a part of the response.
    """
    request = admitted_request.request
    return relay_messages.encode(
        relay_messages.RelayedRequest(
            request.id,
            request.method,
            request.target,
            request.host,
            request.headers,
            request.body,
            request.request_size,
            last_event_id,
            request.prompt_parts,
            dataclasses.replace(
                admitted_request.route, max_attempts=max_servers
            ),
            admitted_request.service.id,
            admitted_request.organisation,
            admitted_request.priority,
            admitted_request.fingerprint,
            units.elapsed(admitted_request.received_at, now),
            units.elapsed(now, admitted_request.deadline),
            begun,
        )
    )


def decode(
    body: bytes, routes: table.RouteTable | None, now: units.Instant
) -> result.Result[context_module.AdmittedRequest, str]:
    """Returns the request in a call of a peer, or why it can't run here."""
    try:
        message = relay_messages.decode(body)
    except wire.DECODE_ERRORS as error:
        return result.Err(f"unreadable request: {error!r}")
    service = None if routes is None else routes.service(message.service)
    if service is None:
        return result.Err(f"service {message.service} is unknown")
    return result.Ok(
        context_module.AdmittedRequest(
            requests.CallerRequest(
                message.id,
                message.method,
                message.target,
                message.target.partition("?")[0],
                message.host,
                message.headers,
                message.body,
                None,
                message.left,
                message.size,
                message.last_event_id,
                message.prompt_parts,
            ),
            message.route,
            service,
            message.organisation,
            message.priority,
            message.fingerprint,
            units.Instant(now - message.elapsed),
            units.after(now, message.left),
            relayed=True,
            begun=message.begun,
        )
    )
