"""Thrift encoding of load reports and of the state that daemons exchange."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import functools
import ipaddress
import itertools

import xxhash

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import peer_table
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker

_WORK_FIELDS = 11
# Looked up for each part of each report; the constructor of an enumeration
# takes several times as long.
_PHASES = tuple(forwarding_states.InferencePhase)
# Added to the number of the phase.
_NOT_URGENT = 2
# Memory and contexts are rounded to blocks, which takes a byte less each.
_TOKENS_PER_BLOCK = 64
_CREDIT_STEPS = 10
_PORT_RANGE = 65_536
# Converted addresses that are kept; each report names its sender.
_KNOWN_ADDRESSES = 2_048
# A report has to fit into one datagram of 1,400 bytes. A part takes up to 25
# bytes; a daemon of the largest deployment has about 40 open requests.
_MAX_WORKS = 40
_MAX_SUSPECTS = 8
_MAX_SLOW = 8
_PACE_STEPS = 10
_MAX_UNREACHABLE = 8

ServerLookup = Callable[[int], ids.BackendServerId | None]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a daemon tells the others.

    Attributes:
        daemon: Incarnation of the sender.
        sender: Address of the sender, unless an older version sent it; a
            relay may be between.
        zone: Availability zone of the sender.
        sequence: Number of the report; higher ones are newer.
        configuration: Version of the configuration in force there.
        servers: Revision of the list of backend servers there.
        works: Open work of the sender.
        suspects: Requests that may crash engines, with their counts.
        slow: Slow engines, with the factor that each takes longer.
        unreachable: Servers that the sender can't reach.
        peers: Addresses of daemons that the sender has heard of.
        relayed: Whether the receiver passes it on in its availability zone.
    """

    daemon: ids.Incarnation
    sender: addresses.Address | None
    zone: ids.AvailabilityZoneId
    sequence: int
    configuration: ids.Epoch
    servers: ids.ObjectVersion
    works: tuple[load_tracker.EngineTask, ...]
    suspects: tuple[tuple[ids.Fingerprint, int], ...]
    slow: tuple[engine_slowdown.Slowdown, ...]
    unreachable: tuple[server_health.UnreachableServer, ...]
    peers: tuple[addresses.Address, ...]
    relayed: bool = False


def server_number(server: ids.BackendServerId) -> int:
    """Returns the number that stands for a server in reports."""
    number = xxhash.xxh32_intdigest(server.encode())
    return number - (1 << 32) if number >= 1 << 31 else number


def encode_report(report: LoadReport, now: units.Instant) -> bytes:
    """Returns the datagram of a report; times become relative to `now`."""
    works = itertools.chain.from_iterable(
        _work_numbers(work, now) for work in report.works[:_MAX_WORKS]
    )
    suspects = itertools.chain.from_iterable(
        (_signed(fingerprint), count)
        for fingerprint, count in report.suspects[:_MAX_SUSPECTS]
    )
    slow = itertools.chain.from_iterable(
        (server_number(server), round(factor * _PACE_STEPS))
        for server, factor in report.slow[:_MAX_SLOW]
    )
    unreachable = itertools.chain.from_iterable(
        (server_number(server), round(remaining * 1_000))
        for server, remaining in report.unreachable[:_MAX_UNREACHABLE]
    )
    return wire.encode(
        ttypes.LoadReport(
            incarnation=report.daemon,
            sender=None
            if report.sender is None
            else _address_number(report.sender),
            zone=report.zone,
            relayed=report.relayed or None,
            sequence=report.sequence,
            configuration_version=report.configuration,
            server_revision=report.servers,
            works=list(works),
            suspects=list(suspects),
            slow=list(slow),
            unreachable=list(unreachable),
            peers=[
                _address_number(a)
                for a in report.peers[: peer_table.MAX_ADDRESSES_PER_REPORT]
            ],
        )
    )


def decode_report(
    datagram: bytes, lookup: ServerLookup, now: units.Instant
) -> LoadReport:
    """Returns the report of a datagram.

    Args:
        datagram: Bytes as received.
        lookup: Returns the server that a number stands for; work of unknown
            servers is left out.
        now: Current time.

    Raises:
        Exception: One of `wire.MALFORMED`.
    """
    message = wire.decode(ttypes.LoadReport, datagram)
    numbers = message.works or []
    suspects = message.suspects or []
    works = (
        _work(numbers[start : start + _WORK_FIELDS], lookup, now)
        for start in range(0, len(numbers) - _WORK_FIELDS + 1, _WORK_FIELDS)
    )
    return LoadReport(
        ids.Incarnation(message.incarnation or 0),
        _address(message.sender) if message.sender else None,
        ids.AvailabilityZoneId(message.zone or ""),
        message.sequence or 0,
        ids.Epoch(message.configuration_version or 0),
        ids.ObjectVersion(message.server_revision or 0),
        tuple(work for work in works if work is not None),
        tuple(
            (ids.Fingerprint(_unsigned(suspects[i])), suspects[i + 1])
            for i in range(0, len(suspects) - 1, 2)
        ),
        tuple(
            (server, factor / _PACE_STEPS)
            for server, factor in _by_server(message.slow, lookup)
        ),
        tuple(
            (server, units.Seconds(remaining / 1_000))
            for server, remaining in _by_server(message.unreachable, lookup)
        ),
        tuple(_address(number) for number in message.peers or []),
        bool(message.relayed),
    )


def _by_server(
    numbers: list[int] | None, lookup: ServerLookup
) -> Iterator[tuple[ids.BackendServerId, int]]:
    """Yields the known servers with the figure that follows each number."""
    listed = numbers or []
    for number, figure in zip(listed[::2], listed[1::2], strict=False):
        server = lookup(number)
        if server is not None:
            yield server, figure


def _work_numbers(
    work: load_tracker.EngineTask, now: units.Instant
) -> tuple[int, ...]:
    return (
        work.request,
        server_number(work.server),
        work.phase.value + (0 if work.urgent else _NOT_URGENT),
        round(work.prefill_ms),
        round((work.first_token_at - now) * 1_000),
        round((work.completes_at - work.first_token_at) * 1_000),
        -(-work.kv_tokens // _TOKENS_PER_BLOCK),
        -(-work.context_tokens // _TOKENS_PER_BLOCK),
        round(work.target_inter_token_latency * 1_000),
        round((work.first_token_due_at - now) * 1_000),
        round(work.utility * _CREDIT_STEPS),
    )


def _work(
    numbers: list[int], lookup: ServerLookup, now: units.Instant
) -> load_tracker.EngineTask | None:
    server = lookup(numbers[1])
    if server is None:
        return None
    (
        request,
        _,
        phase,
        read,
        ready,
        length,
        memory,
        context,
        pause,
        due,
        credit,
    ) = numbers
    ready_at = now + ready / 1_000
    return load_tracker.EngineTask(
        request,
        server,
        _PHASES[phase % _NOT_URGENT],
        float(read),
        units.Instant(ready_at),
        units.Instant(ready_at + length / 1_000),
        memory * _TOKENS_PER_BLOCK,
        context * _TOKENS_PER_BLOCK,
        units.Seconds(pause / 1_000),
        units.Instant(now + due / 1_000),
        credit / _CREDIT_STEPS,
        phase < _NOT_URGENT,
    )


def _signed(fingerprint: int) -> int:
    return fingerprint - (1 << 64) if fingerprint >= 1 << 63 else fingerprint


def _unsigned(number: int) -> int:
    return number + (1 << 64) if number < 0 else number


@functools.lru_cache(_KNOWN_ADDRESSES)
def _address_number(address: addresses.Address) -> int:
    return int(ipaddress.IPv4Address(address.host)) * _PORT_RANGE + address.port


@functools.lru_cache(_KNOWN_ADDRESSES)
def _address(number: int) -> addresses.Address:
    host, port = divmod(number, _PORT_RANGE)
    return addresses.Address(str(ipaddress.IPv4Address(host)), port)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store as its bytes.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
        spec: Encoded content.
    """

    name: str
    revision: ids.ObjectVersion
    spec: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """What a daemon knows of the store."""

    configuration_revision: ids.ObjectVersion
    configuration: tuple[StoredObject, ...]
    server_revision: ids.ObjectVersion
    servers: tuple[StoredObject, ...]


def encode_state(state: PeerState) -> bytes:
    """Returns the encoded state."""
    return wire.encode(
        ttypes.StateReply(
            configuration_revision=state.configuration_revision,
            configuration=_to_thrift(state.configuration),
            server_revision=state.server_revision,
            servers=_to_thrift(state.servers),
        )
    )


def decode_state(data: bytes) -> PeerState:
    """Returns the state that `data` encodes.

    Raises:
        Exception: One of `wire.MALFORMED`.
    """
    message = wire.decode(ttypes.StateReply, data)
    return PeerState(
        ids.ObjectVersion(message.configuration_revision or 0),
        _from_thrift(message.configuration),
        ids.ObjectVersion(message.server_revision or 0),
        _from_thrift(message.servers),
    )


def _to_thrift(objects: Iterable[StoredObject]) -> list[ttypes.StoredObject]:
    return [
        ttypes.StoredObject(name=o.name, revision=o.revision, spec=o.spec)
        for o in objects
    ]


def _from_thrift(
    objects: list[ttypes.StoredObject] | None,
) -> tuple[StoredObject, ...]:
    return tuple(
        StoredObject(
            o.name or "", ids.ObjectVersion(o.revision or 0), o.spec or b""
        )
        for o in objects or []
    )
