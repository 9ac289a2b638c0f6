"""Benchmarks the routing policies in virtual time (`make bench`)."""

from __future__ import annotations

import concurrent.futures
import itertools
import random
import time

import click

from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import attempts
from lavendershed.routing import chooser
from lavendershed.routing import engine_fleet
from lavendershed.standin.bench import figures
from lavendershed.standin.bench import policies
from lavendershed.standin.bench import simulation
from lavendershed.standin.bench import workload

_DECISION_COUNT = 2_000
# On some machines, reading the CPU clock takes as long as a decision.
_DECISIONS_PER_SAMPLE = 20


@click.command()
@click.option("--load", type=float, default=0.7, show_default=True)
@click.option("--seconds", type=float, default=150.0, show_default=True)
@click.option("--seeds", type=int, default=2, show_default=True)
@click.option("--processes", type=int, default=6, show_default=True)
@click.option(
    "--deployment",
    "deployment_names",
    multiple=True,
    type=click.Choice(sorted(workload.DEPLOYMENTS)),
)
@click.option(
    "--policy",
    "policy_names",
    multiple=True,
    type=click.Choice([policy.value for policy in policies.Policy]),
)
@click.option(
    "--digest-delay",
    type=float,
    default=simulation.IMMEDIATE_DIGEST_DELAY,
    show_default=True,
    help="Seconds until a daemon sends a change of load to its peers.",
)
@click.option(
    "--slowest", type=int, default=0, help="Number of short prompts to trace."
)
def main(
    load: float,
    seconds: float,
    seeds: int,
    processes: int,
    deployment_names: tuple[str, ...],
    policy_names: tuple[str, ...],
    digest_delay: float,
    slowest: int,
) -> None:
    """Compares routing policies and times one routing decision."""
    deployments = deployment_names or tuple(workload.DEPLOYMENTS)
    selected_policies = [
        policies.Policy(name) for name in policy_names
    ] or list(policies.Policy)
    runs = list(
        itertools.product(
            deployments, selected_policies, range(seeds), (False, True)
        )
    )
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = {
            run: pool.submit(
                simulation.run,
                workload.DEPLOYMENTS[run[0]],
                run[1],
                load,
                units.Seconds(seconds),
                run[2],
                run[3],
                units.Seconds(digest_delay),
            )
            for run in runs
        }
        outcomes = {run: future.result() for run, future in futures.items()}
    for name in deployments:
        summaries = {}
        for policy in selected_policies:
            mixed_runs, isolated_runs = (
                [outcomes[name, policy, seed, flag] for seed in range(seeds)]
                for flag in (False, True)
            )
            summaries[policy.value] = figures.summarise(
                mixed_runs, isolated_runs
            )
            if slowest:
                trace_slowest(mixed_runs[0], isolated_runs[0], slowest)
        click.echo(
            figures.markdown_table(
                workload.DEPLOYMENTS[name],
                load,
                units.Seconds(seconds),
                summaries,
            )
        )
        click.echo()
    for engines in (20, 10_000):
        click.echo(decision_time(engines))


def trace_slowest(
    mixed_run: simulation.RunResult,
    isolated_run: simulation.RunResult,
    count: int,
) -> None:
    """Prints the short prompts with the greatest slowdown by others."""
    isolated_records = {
        record.number: record for record in isolated_run.records
    }
    record_pairs = [
        (record, isolated_records[record.number])
        for record in mixed_run.records
        if record.number in isolated_records
        and record.first_token_s
        and isolated_records[record.number].first_token_s
    ]
    record_pairs.sort(
        key=lambda pair: -(pair[0].first_token_s / pair[1].first_token_s)
    )
    for record, isolated in record_pairs[:count]:
        click.echo(
            f"{record.arrived_at:8.3f} #{record.number} "
            f"{record.prompt_tokens} tokens on {record.engine}: "
            f"ttft {record.first_token_s:.3f} s, "
            f"alone {isolated.first_token_s:.3f} s; {record.reason}"
        )
        concurrent_records = [
            other
            for other in mixed_run.records
            if other is not record
            and other.engine == record.engine
            and other.queue_time_s is not None
            and other.arrived_at + other.queue_time_s
            < record.arrived_at + record.first_token_s
            and (
                other.first_token_s is None
                or other.arrived_at + other.first_token_s > record.arrived_at
            )
        ]
        for other in concurrent_records:
            click.echo(
                f"    with #{other.number} {other.prompt_tokens} tokens sent "
                f"at {other.arrived_at + (other.queue_time_s or 0):.3f}, ttft "
                f"{other.first_token_s}; {other.reason}"
            )


def decision_time(engines: int) -> str:
    """Returns the processor time of one decision of PredictedCost."""
    deployment = workload.Deployment(
        "timing",
        engines,
        1,
        units.Seconds(0.0),
        units.Seconds(0.0),
        1,
        workload.ALMANAC.preset,
    )
    fleet = engine_fleet.EngineFleet(
        ids.VmId("vm-1"),
        engine_fleet.AlwaysAvailable(),
        random.Random(1),
    )
    started = time.process_time()
    fleet.on_service(workload.service(deployment))
    setup_s = time.process_time() - started
    predicted_cost = chooser.PredictedCost(workload.ENGINE.prefill_rate)
    arrivals = workload.generate_trace(
        workload.ALMANAC, 0.7, units.Seconds(_DECISION_COUNT / 10), 1
    )[:_DECISION_COUNT]
    requests = [
        attempts.Attempt(
            attempts.Ticket(arrival.number),
            arrival.organisation,
            states.PromptClass.LONG
            if arrival.prompt_tokens > 100_000
            else states.PromptClass.SHORT,
            arrival.prompt_tokens,
            arrival.max_tokens,
            deadlines.Deadline(units.Instant(1e9)),
            arrival.block_hashes,
        )
        for arrival in arrivals
    ]
    # Open requests and a load report on each engine make estimates complete.
    report = backend_servers.LoadReport(
        0.0,
        ids.Incarnation(1),
        4,
        1,
        units.Tokens(5_000),
        units.Bytes(100),
        units.Bytes(400),
        states.EngineRole.GENERAL,
        (),
        False,
    )
    for view in fleet.views:
        view.on_report(report, units.Instant(0.9))
    for index, attempt in enumerate(requests[: 4 * len(fleet.views)]):
        view = fleet.views[index % len(fleet.views)]
        view.on_dispatch(attempt, units.Instant(1.0))
        if index >= len(fleet.views):
            view.on_first_token(attempt.ticket)
    samples = []
    for start in range(0, len(requests), _DECISIONS_PER_SAMPLE):
        batch = requests[start : start + _DECISIONS_PER_SAMPLE]
        started = time.process_time()
        for attempt in batch:
            predicted_cost.choose(
                attempt, fleet, workload.ALMANAC.preset, units.Instant(1.2)
            )
        samples.append((time.process_time() - started) / len(batch))
    percentiles = figures.percentiles(samples)
    return (
        f"decision at {engines} engines ({len(fleet.views)} considered): "
        f"p50 {percentiles.p50 * 1e6:.0f} us, "
        f"p99 {percentiles.p99 * 1e6:.0f} us of processor time, in batches of "
        f"{_DECISIONS_PER_SAMPLE}; a new list of engines takes "
        f"{setup_s * 1e3:.1f} ms"
    )


if __name__ == "__main__":
    main()
