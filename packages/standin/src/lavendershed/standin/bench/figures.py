"""Statistics of benchmark runs."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from lavendershed.core import states
from lavendershed.core import units
from lavendershed.standin.bench import simulation
from lavendershed.standin.bench import workload

CLASSES = (
    states.PromptClass.SHORT,
    states.PromptClass.MEDIUM,
    states.PromptClass.LONG,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a sample; nan if it is empty."""

    p50: float
    p95: float
    p99: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of one policy in one deployment, over all seeds.

    Attributes:
        ttft: Time to first token by prompt class, in seconds.
        ttft_slowdown: TTFT of each short prompt divided by its TTFT in the run
            with short prompts only.
        slowdown: The same ratio for the time to the last token.
        goodput: Share of requests with a complete response within the
            deadline; oversized requests are excluded.
        refusals: Number of refused requests by reason.
        expired: Number of dispatched requests that reached their deadline.
        busy_share: Mean busy share of the engines.
        cached_share: Mean share of prompt tokens served from prefix caches.
    """

    ttft: dict[states.PromptClass, Percentiles]
    ttft_slowdown: Percentiles
    slowdown: Percentiles
    goodput: float
    refusals: dict[str, int]
    expired: int
    busy_share: float
    cached_share: float
    requests: int


def percentiles(values: Iterable[float]) -> Percentiles:
    """Returns the percentiles of a sample."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(*[float("nan")] * 3)
    last = len(ordered) - 1
    return Percentiles(*(ordered[round(last * p)] for p in (0.5, 0.95, 0.99)))


def summarise(
    mixed_runs: Sequence[simulation.RunResult],
    isolated_runs: Sequence[simulation.RunResult],
) -> Summary:
    """Returns statistics over pairs of runs with equal seeds."""
    records = [record for mixed in mixed_runs for record in mixed.records]
    ttft_slowdowns: list[float] = []
    slowdowns: list[float] = []
    for mixed_run, isolated_run in zip(mixed_runs, isolated_runs, strict=True):
        baselines = {record.number: record for record in isolated_run.records}
        for record in mixed_run.records:
            baseline = baselines.get(record.number)
            if baseline is None:
                continue
            if (
                record.first_token_s is not None
                and baseline.first_token_s is not None
            ):
                ttft_slowdowns.append(
                    record.first_token_s / baseline.first_token_s
                )
            if record.total_s is not None and baseline.total_s is not None:
                slowdowns.append(record.total_s / baseline.total_s)
    servable = [
        request
        for request in records
        if request.prompt_class is not states.PromptClass.OVERSIZED
    ]
    refusals = collections.Counter(
        record.refusal.value for record in records if record.refusal
    )
    return Summary(
        {
            prompt_class: percentiles(
                request.first_token_s
                for request in records
                if request.prompt_class is prompt_class
                and request.first_token_s is not None
            )
            for prompt_class in CLASSES
        },
        percentiles(ttft_slowdowns),
        percentiles(slowdowns),
        sum(request.total_s is not None for request in servable)
        / max(1, len(servable)),
        dict(refusals),
        sum(
            request.total_s is None and request.refusal is None
            for request in records
        ),
        sum(run.busy_share for run in mixed_runs) / len(mixed_runs),
        sum(run.cached_share for run in mixed_runs) / len(mixed_runs),
        len(records),
    )


def markdown_table(
    deployment: workload.Deployment,
    load: float,
    duration: units.Seconds,
    summaries: dict[str, Summary],
) -> str:
    """Returns a Markdown table with one row per policy."""
    lines = [
        f"### {deployment.name}: {deployment.engines} engines, "
        f"{deployment.routers} routers, load {load:.0%}, {duration:.0f} s",
        "",
        "| policy | short TTFT p50/p95/p99 s | medium | long "
        "| short TTFT slowdown p50/p95/p99 | short total slowdown "
        "| goodput | refusals | expired | busy | cached |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for name, summary in summaries.items():
        cells = [
            name,
            *(
                _format_percentiles(summary.ttft[prompt_class])
                for prompt_class in CLASSES
            ),
            _format_percentiles(summary.ttft_slowdown),
            _format_percentiles(summary.slowdown),
            f"{summary.goodput:.2%}",
            ", ".join(
                f"{reason} {count}"
                for reason, count in sorted(summary.refusals.items())
            )
            or "0",
            str(summary.expired),
            f"{summary.busy_share:.0%}",
            f"{summary.cached_share:.0%}",
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _format_percentiles(values: Percentiles) -> str:
    return f"{values.p50:.2f} / {values.p95:.2f} / {values.p99:.2f}"
