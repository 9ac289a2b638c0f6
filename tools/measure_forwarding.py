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
from lavendershed.core import ids
from lavendershed.peer import load_reports
from lavendershed.routing import engine_choice
from lavendershed.routing import engine_slowdown
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.standin import engine_samples

_ROUNDS = 5
_NOW = engine_samples.NOW
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


def measure_choice(count: int) -> None:
    """Prints the time of a choice among `count` engines."""
    engines = [engine_samples.engine(f"i-{n}") for n in range(count)]
    board = load_tracker.LoadTracker()
    generator = random.Random(1)
    for number in range(count * _WORKS_PER_ENGINE):
        board.add(engine_samples.writing(generator.choice(engines).id, number))
    chooser = engine_choice.PredictedLossChooser(
        latency_model.LatencyModel(engine_samples.PROFILE),
        board,
        engine_slowdown.EngineSlowdowns(),
        generator,
    )
    repeat = max(1, 2_000 // count)
    for prompt in (2_000, 154_000):
        wanted = engine_samples.demand(prompt, due=3.0, limit=15.0, pause=1.0)
        spent = microseconds(
            lambda: chooser.choose(wanted, engines, frozenset(), _NOW),  # noqa: B023
            repeat,
        )
        print(f"choice, {count} engines, prompt {prompt}: {spent:.0f} us")


def measure_report(parts: int) -> None:
    """Prints size and time of a load report with `parts` parts."""
    works = tuple(engine_samples.writing(f"i-{n}", n) for n in range(parts))
    servers = {
        load_reports.hash_server_id(work.server): work.server for work in works
    }
    report = load_reports.LoadReport(
        ids.Incarnation(1 << 60),
        addresses.Address("10.0.0.1", 7_340),
        engine_samples.ZONE,
        1_000,
        ids.Epoch(1_000),
        ids.ObjectVersion(100_000),
        works,
        (),
        (),
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
