"""Figures of benchmark runs."""

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
    """Percentiles of a sample; nan when it is empty."""

    p50: float
    p95: float
    p99: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Figures of one policy in one deployment, over all seeds.

    Attributes:
        ttft: Time to first token by class, in seconds.
        ttft_slowdown: TTFT of short prompts, each divided by its TTFT in the
            run without the other prompts.
        slowdown: The same for the time to the last token.
        goodput: Whole answers within the deadline, as a part of all requests
            but oversized ones.
        refusals: Refused requests by reason.
        expired: Dispatched requests that reached their deadline.
    """

    ttft: dict[states.PromptClass, Percentiles]
    ttft_slowdown: Percentiles
    slowdown: Percentiles
    goodput: float
    refusals: dict[str, int]
    expired: int
    busy: float
    cached_share: float
    requests: int


def percentiles(values: Iterable[float]) -> Percentiles:
    """Returns the percentiles of a sample."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(*[float("nan")] * 3)
    last = len(ordered) - 1
    return Percentiles(*(ordered[round(last * p)] for p in (0.5, 0.95, 0.99)))


def summary(
    mixed: Sequence[simulation.Outcome], alone: Sequence[simulation.Outcome]
) -> Summary:
    """Returns the figures of pairs of runs that have the same seeds."""
    records = [record for outcome in mixed for record in outcome.records]
    ttft_ratios: list[float] = []
    ratios: list[float] = []
    for with_others, without in zip(mixed, alone, strict=True):
        reference = {record.number: record for record in without.records}
        for record in with_others.records:
            base = reference.get(record.number)
            if base is None:
                continue
            if record.first_token is not None and base.first_token is not None:
                ttft_ratios.append(record.first_token / base.first_token)
            if record.end is not None and base.end is not None:
                ratios.append(record.end / base.end)
    served = [
        r for r in records if r.prompt_class is not states.PromptClass.OVERSIZED
    ]
    refusals = collections.Counter(
        record.refusal.value for record in records if record.refusal
    )
    return Summary(
        {
            prompt_class: percentiles(
                r.first_token
                for r in records
                if r.prompt_class is prompt_class and r.first_token is not None
            )
            for prompt_class in CLASSES
        },
        percentiles(ttft_ratios),
        percentiles(ratios),
        sum(r.end is not None for r in served) / max(1, len(served)),
        dict(refusals),
        sum(r.end is None and r.refusal is None for r in records),
        sum(o.busy for o in mixed) / len(mixed),
        sum(o.cached_share for o in mixed) / len(mixed),
        len(records),
    )


def table(
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
    for name, s in summaries.items():
        cells = [
            name,
            *(_cell(s.ttft[prompt_class]) for prompt_class in CLASSES),
            _cell(s.ttft_slowdown),
            _cell(s.slowdown),
            f"{s.goodput:.2%}",
            ", ".join(f"{r} {n}" for r, n in sorted(s.refusals.items())) or "0",
            str(s.expired),
            f"{s.busy:.0%}",
            f"{s.cached_share:.0%}",
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _cell(values: Percentiles) -> str:
    return f"{values.p50:.2f} / {values.p95:.2f} / {values.p99:.2f}"
