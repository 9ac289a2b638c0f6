"""Thrift encoding of load reports and of bundles of them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import functools
import ipaddress
import itertools
import math

import xxhash

from lavendershed.admission import engine_limits
from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.membership import peer_table
from lavendershed.peer import crash_evidence
from lavendershed.peer import permit_messages
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes
from lavendershed.reliability import engine_crashes
from lavendershed.reliability import failure_shares
from lavendershed.reliability import server_health
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker

_FIELDS_PER_TASK = 11
# Phases by number. The lookup runs for each task of each report, and the
# constructor of the enumeration would take several times as long.
_PHASES = tuple(forwarding_states.InferencePhase)
# Added to the number of the phase of a task that is not urgent.
_NOT_URGENT_OFFSET = 2
# KV memory and context are rounded up to blocks, which saves a byte each.
_TOKENS_PER_BLOCK = 64
_UTILITY_SCALE = 10
_PORT_RANGE = 65_536
# Converted addresses are cached, because every report contains its sender's.
_ADDRESS_CACHE_SIZE = 2_048
# Above the number of servers of the largest fleet.
_SERVER_CACHE_SIZE = 16_384
# A datagram of this size is not fragmented. A task takes up to 25 bytes; a
# daemon of the largest deployment has about 40 open requests.
MAX_DATAGRAM = units.Bytes(1_400)
_MAX_TASKS = 40
_BYTES_PER_TASK = 25
# Encoding of a bundle besides its reports, and of the length of a report.
_BUNDLE_OVERHEAD = units.Bytes(60)
_LENGTH_OVERHEAD = units.Bytes(3)
_ADDRESS_BYTES = units.Bytes(8)
_MAX_SLOW_ENGINES = 8
_SLOWDOWN_SCALE = 10
_MAX_UNREACHABLE_SERVERS = 8
_MAX_LIMITS = 24
_FIELDS_PER_LIMIT = 3
_BYTES_PER_LIMIT = 13
# Servers that are left out were in earlier reports.
_MAX_LEAVING = 40
_BYTES_PER_HASH = 5
_FIELDS_PER_CALL_COUNT = 3
_BYTES_PER_CALL_COUNT = 11
_CALL_COUNT_SCALE = 10
_MAX_CALL_COUNTS = 8
# No daemon makes more calls to one server in the time that they are counted.
_MAX_CALL_COUNT = 1_000_000
# Ages are encoded as 32-bit integers; an older copy confirms nothing anyway.
_MAX_AGE_MS = 3_600_000

ServerLookup = Callable[[int], ids.BackendServerId | None]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load and state that a daemon reports to the others.

    Attributes:
        incarnation: Incarnation of the sending daemon.
        sender_address: Address of the sending daemon; None if a daemon of an
            older version sent the report. The datagram may come from a relay.
        availability_zone: Availability zone of the sending daemon.
        sequence: Sequence number; a higher one is newer, the same one repeats
            the report.
        configuration_epoch: Epoch of the sender's configuration.
        server_revision: Revision of the sender's list of backend servers.
        open_tasks: Unfinished tasks of the sender.
        slow_engines: Slow engines, each with its slowdown factor.
        unreachable_servers: Servers that the sender can't reach.
        peer_addresses: Addresses of the daemons that the sender knows.
        watches_store: Whether the sender watches the store successfully.
        bandwidth_mbps: Bandwidth of the sender's VM in Mbit/s.
        configuration_age: Time since the sender's configuration was known to
            be the newest; None if it never was.
        servers_age: The same for its list of backend servers.
        servers_known: Revision up to which the sender knows all servers; its
            last change, `server_revision`, may be older.
        crash_evidence: What the sender knows of parts of prompts that crash
            engines.
        limits: What answers to the sender said about limits of servers.
        cut_off: Whether the sender is cut off from all servers.
        evacuation_revision: Revision of the last change of the evacuations that
            the sender knows; 0 if it knows none.
        evacuations_known: Revision up to which the sender knows all
            evacuations.
        evacuations_age: Time since they were known to be the newest; None if
            they never were.
        leaving: Servers whose answers to the sender say that they are leaving.
        call_counts: Recent calls of the sender at servers of plain services.
    """

    incarnation: ids.Incarnation
    sender_address: addresses.Address | None
    availability_zone: ids.AvailabilityZoneId
    sequence: int
    configuration_epoch: ids.Epoch
    server_revision: store_revisions.StoreRevision
    open_tasks: tuple[load_tracker.EngineTask, ...]
    slow_engines: tuple[engine_slowdown.Slowdown, ...]
    unreachable_servers: tuple[server_health.UnreachableServer, ...]
    peer_addresses: tuple[addresses.Address, ...]
    watches_store: bool = False
    bandwidth_mbps: int = 0
    configuration_age: units.Seconds | None = None
    servers_age: units.Seconds | None = None
    servers_known: store_revisions.StoreRevision = store_revisions.NONE
    crash_evidence: engine_crashes.Evidence = engine_crashes.Evidence()
    limits: tuple[tuple[ids.ServerNumber, engine_limits.LimitNews], ...] = ()
    cut_off: bool = False
    evacuation_revision: store_revisions.StoreRevision = store_revisions.NONE
    evacuations_known: store_revisions.StoreRevision = store_revisions.NONE
    evacuations_age: units.Seconds | None = None
    leaving: tuple[ids.ServerNumber, ...] = ()
    call_counts: tuple[failure_shares.ReportedCounts, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBundle:
    """Reports that an aggregator distributes.

    Attributes:
        aggregator: Address of the aggregator.
        availability_zone: Its availability zone.
        member_count: Number of daemons of that zone that it knows.
        reports: Encoded reports.
        live_daemons: Daemons that are alive, whose reports may be omitted
            because they have not changed.
    """

    aggregator: addresses.Address
    availability_zone: ids.AvailabilityZoneId
    member_count: int
    reports: tuple[bytes, ...]
    live_daemons: tuple[addresses.Address, ...] = ()


def hash_server_id(server: ids.BackendServerId) -> int:
    """Returns the 32-bit hash that identifies a server in reports."""
    number = xxhash.xxh32_intdigest(server.encode())
    return number - (1 << 32) if number >= 1 << 31 else number


@functools.lru_cache(_SERVER_CACHE_SIZE)
def hash_incarnation(
    server: ids.BackendServerId, incarnation: ids.Incarnation
) -> ids.ServerNumber:
    """Returns the 32-bit hash of one incarnation of a server in reports."""
    return ids.ServerNumber(
        xxhash.xxh32_intdigest(f"{server} {incarnation}".encode())
    )


def encode_report(report: LoadReport, now: units.Instant) -> bytes:
    """Returns a report as a datagram; times are encoded relative to `now`."""
    evidence = crash_evidence.encode(report.crash_evidence)
    limits = report.limits[:_MAX_LIMITS]
    leaving = report.leaving[:_MAX_LEAVING]
    # These are rare, and more urgent than the last tasks of a full report.
    size = (
        crash_evidence.encoded_size(evidence)
        + len(limits) * _BYTES_PER_LIMIT
        + len(leaving) * _BYTES_PER_HASH
        + len(report.call_counts) * _BYTES_PER_CALL_COUNT
    )
    max_tasks = max(0, _MAX_TASKS - math.ceil(size / _BYTES_PER_TASK))
    call_counts = itertools.chain.from_iterable(
        (
            server,
            round(counts.answered * _CALL_COUNT_SCALE),
            round(counts.failed * _CALL_COUNT_SCALE),
        )
        for server, counts in report.call_counts
    )
    limit_fields = itertools.chain.from_iterable(
        (
            server,
            permit_messages.encode_rate(news.rate),
            permit_messages.encode_age(units.elapsed(news.observed_at, now)),
        )
        for server, news in limits
    )
    task_fields = itertools.chain.from_iterable(
        _encode_task(task, now) for task in report.open_tasks[:max_tasks]
    )
    slow_engines = itertools.chain.from_iterable(
        (hash_server_id(server), round(factor * _SLOWDOWN_SCALE))
        for server, factor in report.slow_engines[:_MAX_SLOW_ENGINES]
    )
    unreachable_servers = itertools.chain.from_iterable(
        (hash_server_id(server), round(remaining * 1_000))
        for server, remaining in report.unreachable_servers[
            :_MAX_UNREACHABLE_SERVERS
        ]
    )
    return wire.encode(
        ttypes.LoadReport(
            incarnation=report.incarnation,
            sender=None
            if report.sender_address is None
            else _encode_address(report.sender_address),
            zone=report.availability_zone,
            watching=report.watches_store or None,
            bandwidth=report.bandwidth_mbps or None,
            configuration_age=_to_milliseconds(report.configuration_age),
            servers_age=_to_milliseconds(report.servers_age),
            servers_known=report.servers_known.number or None,
            servers_known_era=report.servers_known.era or None,
            crashes=evidence.crashes or None,
            begun=evidence.begun or None,
            quarantines=evidence.quarantines or None,
            limits=list(limit_fields) or None,
            cut_off=report.cut_off or None,
            evacuation_revision=report.evacuation_revision.number or None,
            evacuation_era=report.evacuation_revision.era or None,
            evacuations_known=report.evacuations_known.number or None,
            evacuations_known_era=report.evacuations_known.era or None,
            evacuations_age=_to_milliseconds(report.evacuations_age),
            leaving=list(leaving) or None,
            call_counts=list(call_counts) or None,
            sequence=report.sequence,
            configuration_version=report.configuration_epoch,
            server_revision=report.server_revision.number,
            server_era=report.server_revision.era or None,
            works=list(task_fields) or None,
            slow=list(slow_engines) or None,
            unreachable=list(unreachable_servers) or None,
            peers=[
                _encode_address(a)
                for a in report.peer_addresses[
                    : peer_table.MAX_ADDRESSES_PER_REPORT
                ]
            ]
            or None,
        )
    )


def encode_bundles(bundle: ReportBundle) -> list[bytes]:
    """Returns a bundle as one or more datagrams; one if it is empty."""
    items: list[tuple[int, bytes | int]] = [
        (len(report) + _LENGTH_OVERHEAD, report) for report in bundle.reports
    ]
    items += [
        (_ADDRESS_BYTES, _encode_address(address))
        for address in bundle.live_daemons
    ]
    groups: list[list[bytes | int]] = [[]]
    size = int(_BUNDLE_OVERHEAD)
    for item_size, item in items:
        if groups[-1] and size + item_size > MAX_DATAGRAM:
            groups.append([])
            size = int(_BUNDLE_OVERHEAD)
        groups[-1].append(item)
        size += item_size
    return [
        wire.encode(
            ttypes.LoadReport(
                sender=_encode_address(bundle.aggregator),
                zone=bundle.availability_zone,
                members=bundle.member_count,
                bundled=[item for item in group if isinstance(item, bytes)],
                alive=[item for item in group if isinstance(item, int)] or None,
            )
        )
        for group in groups
    ]


def decode_datagram(
    datagram: bytes, find_server: ServerLookup, now: units.Instant
) -> LoadReport | ReportBundle:
    """Returns the report or the bundle of a datagram.

    Args:
        datagram: Bytes as received.
        find_server: As for `decode_report`.
        now: Current time.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    message = wire.decode(ttypes.LoadReport, datagram)
    if message.bundled is None or message.sender is None:
        return _to_report(message, find_server, now)
    return ReportBundle(
        _decode_address(message.sender),
        ids.AvailabilityZoneId(message.zone or ""),
        message.members or 0,
        tuple(message.bundled),
        tuple(_decode_address(number) for number in message.alive or ()),
    )


def decode_report(
    encoded: bytes, find_server: ServerLookup, now: units.Instant
) -> LoadReport:
    """Returns an encoded report.

    Args:
        encoded: Bytes of a datagram, or of one report of a bundle.
        find_server: Returns the server with this hash; work at unknown servers
            is skipped.
        now: Current time.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    return _to_report(wire.decode(ttypes.LoadReport, encoded), find_server, now)


def _to_report(
    message: ttypes.LoadReport, find_server: ServerLookup, now: units.Instant
) -> LoadReport:
    task_fields = message.works or []
    open_tasks = (
        _decode_task(
            task_fields[start : start + _FIELDS_PER_TASK], find_server, now
        )
        for start in range(
            0, len(task_fields) - _FIELDS_PER_TASK + 1, _FIELDS_PER_TASK
        )
    )
    return LoadReport(
        ids.Incarnation(message.incarnation or 0),
        _decode_address(message.sender) if message.sender else None,
        ids.AvailabilityZoneId(message.zone or ""),
        message.sequence or 0,
        ids.Epoch(message.configuration_version or 0),
        store_revisions.of(message.server_era, message.server_revision),
        tuple(task for task in open_tasks if task is not None),
        tuple(
            (server, factor / _SLOWDOWN_SCALE)
            for server, factor in _known_servers(message.slow, find_server)
        ),
        tuple(
            (server, units.Seconds(remaining / 1_000))
            for server, remaining in _known_servers(
                message.unreachable, find_server
            )
        ),
        tuple(_decode_address(number) for number in message.peers or []),
        bool(message.watching),
        message.bandwidth or 0,
        _to_seconds(message.configuration_age),
        _to_seconds(message.servers_age),
        store_revisions.of(message.servers_known_era, message.servers_known),
        crash_evidence.decode(
            crash_evidence.EncodedEvidence(
                message.crashes or [],
                message.begun or [],
                message.quarantines or [],
            )
        ),
        tuple(_decode_limits(message.limits or [], now)),
        bool(message.cut_off),
        store_revisions.of(message.evacuation_era, message.evacuation_revision),
        store_revisions.of(
            message.evacuations_known_era, message.evacuations_known
        ),
        _to_seconds(message.evacuations_age),
        tuple(map(ids.ServerNumber, message.leaving or ())),
        tuple(_decode_call_counts(message.call_counts or [])),
    )


def _decode_call_counts(
    numbers: list[int],
) -> Iterator[failure_shares.ReportedCounts]:
    groups = (
        numbers[start : start + _FIELDS_PER_CALL_COUNT]
        for start in range(
            0,
            len(numbers) - _FIELDS_PER_CALL_COUNT + 1,
            _FIELDS_PER_CALL_COUNT,
        )
    )
    for server, answered, failed in itertools.islice(groups, _MAX_CALL_COUNTS):
        yield (
            ids.ServerNumber(server),
            failure_shares.CallCounts(
                _decode_call_count(answered), _decode_call_count(failed)
            ),
        )


def _decode_call_count(number: int) -> float:
    return min(max(0, number), _MAX_CALL_COUNT) / _CALL_COUNT_SCALE


def _decode_limits(
    numbers: list[int], now: units.Instant
) -> Iterator[tuple[ids.ServerNumber, engine_limits.LimitNews]]:
    starts = range(0, len(numbers) - _FIELDS_PER_LIMIT + 1, _FIELDS_PER_LIMIT)
    for start in starts:
        server, encoded_rate, age_ms = numbers[
            start : start + _FIELDS_PER_LIMIT
        ]
        age = permit_messages.decode_age(age_ms)
        yield (
            ids.ServerNumber(server),
            engine_limits.LimitNews(
                permit_messages.decode_rate(encoded_rate),
                units.Instant(now - age),
            ),
        )


def _known_servers(
    numbers: list[int] | None, find_server: ServerLookup
) -> Iterator[tuple[ids.BackendServerId, int]]:
    """Yields the known servers, each with the value that follows its hash."""
    pairs = numbers or []
    for server_hash, value in zip(pairs[::2], pairs[1::2], strict=False):
        server = find_server(server_hash)
        if server is not None:
            yield server, value


def _encode_task(
    task: load_tracker.EngineTask, now: units.Instant
) -> tuple[int, ...]:
    return (
        task.request,
        hash_server_id(task.server),
        task.phase.value + (0 if task.urgent else _NOT_URGENT_OFFSET),
        round(task.prefill_ms),
        round((task.first_token_at - now) * 1_000),
        round((task.completes_at - task.first_token_at) * 1_000),
        -(-task.kv_tokens // _TOKENS_PER_BLOCK),
        -(-task.context_tokens // _TOKENS_PER_BLOCK),
        round(task.target_inter_token_latency * 1_000),
        round((task.first_token_due_at - now) * 1_000),
        round(task.utility * _UTILITY_SCALE),
    )


def _decode_task(
    fields: list[int], find_server: ServerLookup, now: units.Instant
) -> load_tracker.EngineTask | None:
    server = find_server(fields[1])
    if server is None:
        return None
    (
        request,
        _,
        phase_number,
        prefill_ms,
        first_token_in_ms,
        decode_ms,
        kv_blocks,
        context_blocks,
        inter_token_latency_ms,
        first_token_due_in_ms,
        scaled_utility,
    ) = fields
    first_token_at = now + first_token_in_ms / 1_000
    return load_tracker.EngineTask(
        request,
        server,
        _PHASES[phase_number % _NOT_URGENT_OFFSET],
        float(prefill_ms),
        units.Instant(first_token_at),
        units.Instant(first_token_at + decode_ms / 1_000),
        kv_blocks * _TOKENS_PER_BLOCK,
        context_blocks * _TOKENS_PER_BLOCK,
        units.Seconds(inter_token_latency_ms / 1_000),
        units.Instant(now + first_token_due_in_ms / 1_000),
        scaled_utility / _UTILITY_SCALE,
        phase_number < _NOT_URGENT_OFFSET,
    )


def _to_milliseconds(age: units.Seconds | None) -> int | None:
    return None if age is None else min(round(age * 1_000), _MAX_AGE_MS)


def _to_seconds(age_ms: int | None) -> units.Seconds | None:
    return None if age_ms is None else units.Seconds(age_ms / 1_000)


@functools.lru_cache(_ADDRESS_CACHE_SIZE)
def _encode_address(address: addresses.Address) -> int:
    return int(ipaddress.IPv4Address(address.host)) * _PORT_RANGE + address.port


@functools.lru_cache(_ADDRESS_CACHE_SIZE)
def _decode_address(number: int) -> addresses.Address:
    host, port = divmod(number, _PORT_RANGE)
    return addresses.Address(str(ipaddress.IPv4Address(host)), port)
