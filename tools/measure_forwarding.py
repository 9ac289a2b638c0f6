"""Measures the processor time of the decisions on the platform.

Prints microseconds for each operation at growing sizes; docs/CAPACITY.md works
with these slopes.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import statistics
import time

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.peer import load_reports
from lavendershed.routes import engine_profile
from lavendershed.routing import engine_choice
from lavendershed.routing import engine_pace
from lavendershed.routing import load_board
from lavendershed.routing import pass_model
from lavendershed.routing import placements

_ROUNDS = 5
_NOW = units.Instant(100.0)
_ZONE = ids.AvailabilityZoneId("a")
_PROFILE = engine_profile.EngineProfile(
    slots=8,
    memory=units.Tokens(315_000),
    steps_per_pass=51,
    step_ms=0.85,
    writer_step_ms=0.0085,
    context_step_ms=0.00285,
    read_tokens_per_ms=177.0,
    pairs_ms=0.184,
    read_tokens_per_step=2_048,
    usual_answer=units.Tokens(1_600),
    helper_hop_ms=0.05,
)
# Answers being written for each engine.
_WORKS_PER_ENGINE = 3


def microseconds(operation: Callable[[], object], repeat: int) -> float:
    """Returns the median time of one operation."""
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        for _ in range(repeat):
            operation()
        times.append((time.process_time() - started) / repeat * 1e6)
    return statistics.median(times)


def engine(number: int) -> server_directory.ServerEntry:
    """Returns the entry of an engine."""
    return server_directory.ServerEntry(
        ids.BackendServerId(f"i-{number}"),
        ids.Incarnation(1),
        ids.ServiceId("model"),
        addresses.Address("10.0.0.1", 80),
        _ZONE,
        forwarding_states.ServerState.READY,
    )


def work(number: int, server: ids.BackendServerId) -> load_board.Work:
    """Returns a short answer that is being written."""
    return load_board.Work(
        number,
        server,
        forwarding_states.WorkPhase.WRITING,
        30.0,
        _NOW,
        units.Instant(_NOW + 1.0),
        7_000,
        5_000,
        units.Seconds(0.25),
        units.Instant(_NOW + 0.3),
        2.0,
    )


def demand(prompt: int) -> placements.Demand:
    """Returns the demand of a prompt."""
    return placements.Demand(
        pass_model.PromptSize(units.Tokens(prompt), units.Tokens(1_600)),
        units.Instant(_NOW + 3.0),
        units.Instant(_NOW + 15.0),
        units.Seconds(1.0),
        _ZONE,
        units.Bytes(1_000),
    )


def measure_choice(count: int) -> None:
    """Prints the time of a choice among `count` engines."""
    engines = [engine(number) for number in range(count)]
    board = load_board.LoadBoard()
    generator = random.Random(1)
    for number in range(count * _WORKS_PER_ENGINE):
        board.add(work(number, generator.choice(engines).id))
    chooser = engine_choice.PredictedLossChooser(
        pass_model.PassModel(_PROFILE), board, engine_pace.EnginePaces()
    )
    repeat = max(1, 2_000 // count)
    for prompt in (2_000, 154_000):
        wanted = demand(prompt)
        spent = microseconds(
            lambda: chooser.choose(wanted, engines, frozenset(), _NOW),  # noqa: B023
            repeat,
        )
        print(f"choice, {count} engines, prompt {prompt}: {spent:.0f} us")


def measure_report(parts: int) -> None:
    """Prints size and time of a load report with `parts` parts."""
    servers = {
        load_reports.server_number(entry.id): entry.id
        for entry in map(engine, range(100))
    }
    report = load_reports.LoadReport(
        ids.Incarnation(1 << 60),
        1_000,
        ids.Epoch(1_000),
        ids.ObjectVersion(100_000),
        tuple(work(n, ids.BackendServerId(f"i-{n}")) for n in range(parts)),
        (),
        (),
    )
    datagram = load_reports.encode_report(report, _NOW)
    encoding = microseconds(
        lambda: load_reports.encode_report(report, _NOW), 500
    )
    decoding = microseconds(
        lambda: load_reports.decode_report(datagram, servers.get, _NOW), 500
    )
    print(
        f"report, {parts} parts: {len(datagram)} bytes, "
        f"encode {encoding:.0f} us, decode {decoding:.0f} us"
    )


def main() -> None:
    """Prints all measurements."""
    for count in (20, 70, 1_000, 10_000):
        measure_choice(count)
    for parts in (0, 5, 20, 40):
        measure_report(parts)


if __name__ == "__main__":
    main()
