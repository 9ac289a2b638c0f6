"""Measures the processor time of routing decisions on the platform.

Prints microseconds for each operation at growing sizes; docs/CAPACITY.md uses
these slopes.
"""

from __future__ import annotations

from collections.abc import Callable
import itertools
import random
import statistics
import time

from lavendershed.admission import permit_allocator
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.membership import peer_table
from lavendershed.membership import permit_issuers
from lavendershed.membership import relay_peers
from lavendershed.peer import load_reports
from lavendershed.peer import permit_messages
from lavendershed.peer import relay_messages
from lavendershed.routes import model
from lavendershed.routing import engine_choice
from lavendershed.routing import engine_slowdown
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.standin import engine_samples

_ROUNDS = 5
_NOW = engine_samples.NOW
# Streams in the decode phase on each engine.
_STREAMS_PER_ENGINE = 3
# A prompt of 5,000 tokens as text.
_RELAYED_BODY = 20_000


def microseconds(operation: Callable[[], object], repeat: int) -> float:
    """Returns the median time of one operation."""
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(repeat):
            operation()
        times.append((time.process_time() - started) / repeat * 1e6)
    return statistics.median(times)


def measure_choice(count: int) -> None:
    """Prints the time of a choice among `count` engines."""
    engines = [engine_samples.engine(f"i-{n}") for n in range(count)]
    tracker = load_tracker.LoadTracker()
    generator = random.Random(1)
    for number in range(count * _STREAMS_PER_ENGINE):
        tracker.add(
            engine_samples.decoding_task(generator.choice(engines).id, number)
        )
    chooser = engine_choice.PredictedLossChooser(
        latency_model.LatencyModel(engine_samples.PROFILE),
        tracker,
        engine_slowdown.EngineSlowdowns(),
        generator,
    )
    repeat = max(1, 2_000 // count)
    for prompt_tokens in (2_000, 154_000):
        demand = engine_samples.demand(
            prompt_tokens,
            first_token_after=3.0,
            time_limit=15.0,
            inter_token_latency=1.0,
        )
        choice_us = microseconds(
            lambda: chooser.choose(demand, engines, frozenset(), _NOW),  # noqa: B023
            repeat,
        )
        print(
            f"choice, {count} engines, prompt {prompt_tokens}: "
            f"{choice_us:.0f} us"
        )


def measure_report(task_count: int) -> None:
    """Prints size and time of a load report with `task_count` tasks."""
    tasks = tuple(
        engine_samples.decoding_task(f"i-{n}", n) for n in range(task_count)
    )
    servers = {
        load_reports.hash_server_id(task.server): task.server for task in tasks
    }
    report = load_reports.LoadReport(
        ids.Incarnation(1 << 60),
        addresses.Address("10.0.0.1", 7_340),
        engine_samples.ZONE,
        1_000,
        ids.Epoch(1_000),
        store_revisions.of(1, 100_000),
        tasks,
        (),
        (),
        (),
    )
    datagram = load_reports.encode_report(report, _NOW)
    encode_us = microseconds(
        lambda: load_reports.encode_report(report, _NOW), 500
    )
    decode_us = microseconds(
        lambda: load_reports.decode_report(datagram, servers.get, _NOW), 500
    )
    print(
        f"report, {task_count} tasks: {len(datagram)} bytes, "
        f"encode {encode_us:.0f} us, decode {decode_us:.0f} us"
    )


def measure_relay(peer_count: int) -> None:
    """Prints size and times of a request that is passed to a peer."""
    request = relay_messages.RelayedRequest(
        ids.RequestId("0123456789abcdef"),
        "POST",
        "/route/2f",
        "users.example",
        (("model", "m"), ("token-count", "5000,1600")) * 3,
        bytes(_RELAYED_BODY),
        latency_model.RequestSize(units.Tokens(5_000), units.Tokens(1_600)),
        None,
        frozenset({ids.PromptPartId(ids.CrashSuspectId(1 << 62))}),
        model.Route(
            "route",
            "users.example",
            "/route/",
            model.RequestKind.STREAMING,
            resumable=True,
            public=False,
            timeout=units.Seconds(10.0),
            target_latency=units.Seconds(0.3),
            target_inter_token_latency=units.Seconds(0.25),
            priority=1,
            services=(),
            max_attempts=2,
        ),
        ids.ServiceId("model"),
        ids.OrganisationId("organisation"),
        1,
        ids.Fingerprint(1 << 62),
        units.Seconds(0.01),
        units.Seconds(9.9),
    )
    encoded = relay_messages.encode(request)
    encode_us = microseconds(lambda: relay_messages.encode(request), 500)
    decode_us = microseconds(lambda: relay_messages.decode(encoded), 500)
    peers = [
        relay_peers.RelayPeer(
            addresses.Address(f"10.0.{number // 250}.{number % 250}", 7_340),
            ids.AvailabilityZoneId(f"zone-{number % 18}"),
            ids.Incarnation(number),
        )
        for number in range(peer_count)
    ]
    choice = relay_peers.RelayPeers(
        ids.AvailabilityZoneId("zone-18"), random.Random(1)
    )
    choice_us = microseconds(
        lambda: choice.choose(
            peers, peer_count // 18, lambda daemon: daemon % 7, _NOW
        ),
        100,
    )
    print(
        f"relay, {peer_count} peers: {len(encoded) - _RELAYED_BODY} bytes "
        f"beside the body, encode {encode_us:.0f} us, "
        f"decode {decode_us:.0f} us, choice {choice_us:.0f} us"
    )


def measure_permits(daemon_count: int) -> None:
    """Prints size and time of the messages for one permit."""
    call = permit_messages.PermitCall(
        1_000_000,
        ids.ServerNumber(4_000_000_000),
        units.RequestsPerSecond(1.25),
        units.Seconds(0.5),
        as_standby=False,
    )
    reply = permit_messages.PermitReply(1_000_000, units.Seconds(0.25))
    encoded_call = permit_messages.encode_call(call)
    encoded_reply = permit_messages.encode_reply(reply)
    caller_us = microseconds(
        lambda: (
            permit_messages.encode_call(call),
            permit_messages.decode(encoded_reply),
        ),
        500,
    )
    allocator = permit_allocator.PermitAllocator()
    issuer_us = microseconds(
        lambda: (
            permit_messages.decode(encoded_call),
            allocator.request(call.server, call.rate, _NOW, as_standby=False),
            permit_messages.encode_reply(reply),
        ),
        500,
    )
    peers = peer_table.PeerTable(addresses.Address("10.0.0.1", 7_340))
    for number in range(daemon_count - 1):
        peers.on_report(
            addresses.Address(f"10.{number // 250}.1.{number % 250}", 7_340),
            ids.Incarnation(number),
            1,
            (),
            engine_samples.ZONE,
            _NOW,
        )
    issuers = permit_issuers.PermitIssuers(
        addresses.Address("10.0.0.1", 7_340), peers
    )
    numbers = itertools.count()
    first_us = microseconds(
        lambda: issuers.issuers(ids.ServerNumber(next(numbers))), 50
    )
    known_us = microseconds(lambda: issuers.issuers(ids.ServerNumber(0)), 500)
    print(
        f"permit: call {len(encoded_call)} bytes, reply {len(encoded_reply)} "
        f"bytes, caller {caller_us:.0f} us, issuer {issuer_us:.0f} us; "
        f"issuer among {daemon_count} daemons: first {first_us:.0f} us, "
        f"known {known_us:.0f} us"
    )


def main() -> None:
    """Prints all measurements."""
    for count in (20, 70, 1_000, 10_000):
        measure_choice(count)
    for task_count in (0, 5, 20, 40):
        measure_report(task_count)
    for daemon_count in (8, 60, 195, 730):
        measure_permits(daemon_count)
    for peer_count in (8, 60, 195, 730):
        measure_relay(peer_count)


if __name__ == "__main__":
    main()
