"""Thrift encoding of calls for permits and of their replies."""

from __future__ import annotations

import dataclasses
import math

from lavendershed.admission import cold_engines
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes

# No encoded load report starts with this byte.
_PREFIX = b"permit"
_RATE_SCALE = 1_000
# An older answer is as good as this one.
_MAX_AGE_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class PermitCall:
    """Asks for a permit for one request.

    Attributes:
        call: Number of the call, which the reply repeats.
        server: The limited server.
        rate: Its limit as the caller knows it; None if it has named none.
        limit_age: Time since the server named the limit.
        as_standby: Whether the issuer of the server does not reply.
        cold: What the caller knows of its cold state; None if it is warm.
    """

    call: int
    server: ids.ServerNumber
    rate: units.RequestsPerSecond | None
    limit_age: units.Seconds
    as_standby: bool
    cold: cold_engines.ColdNews | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a call.

    Attributes:
        call: Number of the call.
        wait: Time until the caller may ask again; 0 if the permit is issued,
            None if the daemon issues none.
    """

    call: int
    wait: units.Seconds | None


def encode_call(call: PermitCall) -> bytes:
    """Returns a call as a datagram."""
    cold = call.cold
    return _PREFIX + wire.encode(
        ttypes.PermitMessage(
            call=call.call,
            server=call.server,
            limit=None if call.rate is None else encode_rate(call.rate),
            limit_age=None if call.rate is None else encode_age(call.limit_age),
            standby=call.as_standby or None,
            cold_rate=None if cold is None else encode_rate(cold.rate),
            cold_time=None if cold is None else encode_age(cold.remaining),
        )
    )


def encode_reply(reply: PermitReply) -> bytes:
    """Returns a reply as a datagram; the time to wait is rounded up."""
    return _PREFIX + wire.encode(
        ttypes.PermitMessage(
            call=reply.call,
            wait=None if reply.wait is None else math.ceil(reply.wait * 1_000),
        )
    )


def is_permit_message(datagram: bytes) -> bool:
    """Returns whether a datagram is a call or a reply."""
    return datagram.startswith(_PREFIX)


def decode(datagram: bytes) -> PermitCall | PermitReply:
    """Returns the call or the reply of a datagram.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    message = wire.decode(ttypes.PermitMessage, datagram[len(_PREFIX) :])
    if message.server is None:
        wait_ms = message.wait
        return PermitReply(
            message.call or 0,
            None if wait_ms is None else units.Seconds(max(0, wait_ms) / 1_000),
        )
    rate = decode_rate(message.limit or 0)
    cold_rate = decode_rate(message.cold_rate or 0)
    if rate is None and cold_rate is None:
        raise ValueError("call for a permit without a limit")
    return PermitCall(
        message.call or 0,
        ids.ServerNumber(message.server),
        rate,
        decode_age(message.limit_age or 0),
        bool(message.standby),
        None
        if cold_rate is None
        else cold_engines.ColdNews(
            cold_rate, decode_age(message.cold_time or 0)
        ),
    )


def encode_rate(rate: units.RequestsPerSecond | None) -> int:
    """Returns a limit as an integer; 0 is none."""
    return 0 if rate is None else max(1, round(rate * _RATE_SCALE))


def decode_rate(encoded: int) -> units.RequestsPerSecond | None:
    """Returns an encoded limit; None if there is none."""
    if encoded <= 0:
        return None
    return units.RequestsPerSecond(encoded / _RATE_SCALE)


def encode_age(age: units.Seconds) -> int:
    """Returns an age in milliseconds."""
    return min(max(0, round(age * 1_000)), _MAX_AGE_MS)


def decode_age(age_ms: int) -> units.Seconds:
    """Returns an encoded age."""
    return units.Seconds(max(0, age_ms) / 1_000)
