"""Runs a mixed workload through two routers and checks the results.

Starts an object store, model engines, plain servers and two routers as
separate processes, sends prompts from a thousand tokens to beyond twice one
engine's memory and each booking twice, and prints the outcomes. The exit status
is not zero if a guarantee is violated.
"""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import tempfile

from lavendershed.standin import checkers
from lavendershed.standin import deployment as deployment_module
from lavendershed.standin import load_client

ENGINE_MEMORY_TOKENS = 400_000
OPTIONS = deployment_module.DeploymentOptions(
    routers=2,
    engines=6,
    kv_tokens=ENGINE_MEMORY_TOKENS,
    prefill_rate=200_000.0,
    router_arguments=("--settle-time-seconds", "0.5"),
)
TIMEOUT_S = 40.0
# Prompt tokens, answer tokens and number of requests of each length class.
WORKLOAD = (
    ("short", 1_000, 20, 24),
    ("medium", 60_000, 10, 4),
    ("long", 300_000, 10, 2),
    ("oversized", 900_000, 10, 1),
)
BOOKING_COUNT = 4
SEND_INTERVAL_S = 0.05


async def send_prompts(
    deployment: deployment_module.Deployment,
) -> list[tuple[str, checkers.SentPrompt]]:
    """Sends the prompts of the workload, the longest first."""
    tasks = []
    routers = itertools.cycle(deployment.routers)
    for label, prompt_tokens, max_tokens, count in reversed(WORKLOAD):
        for index in range(count):
            task = asyncio.create_task(
                deployment.generate(
                    next(routers),
                    f"{label}-{index}",
                    prompt_tokens,
                    max_tokens,
                    TIMEOUT_S,
                )
            )
            tasks.append((label, task))
            await asyncio.sleep(SEND_INTERVAL_S)
    return [(label, await task) for label, task in tasks]


async def send_bookings(
    deployment: deployment_module.Deployment,
) -> list[checkers.SentCall]:
    """Sends each booking twice, to both routers at once."""
    first, second = deployment.routers
    return list(
        await asyncio.gather(
            *(
                deployment.book(router, f"booking-{index}", 10.0)
                for index in range(BOOKING_COUNT)
                for router in (first, second)
            )
        )
    )


def print_prompts(sent: list[tuple[str, checkers.SentPrompt]]) -> None:
    """Prints outcomes and time to first token by length class."""
    print(
        f"{'class':<10} {'tokens':>8} {'sent':>5} {'done':>6} "
        f"{'TTFT median':>12} {'TTFT worst':>11}"
    )
    for label, prompt_tokens, _, count in WORKLOAD:
        answers = [item.outcome for name, item in sent if name == label]
        completed = sum(
            outcome.ending is load_client.OutcomeKind.COMPLETE
            for outcome in answers
        )
        first_token_times = sorted(
            outcome.first_token
            for outcome in answers
            if outcome.first_token is not None
        )
        median = (
            f"{first_token_times[len(first_token_times) // 2]:.2f} s"
            if first_token_times
            else "-"
        )
        worst = f"{first_token_times[-1]:.2f} s" if first_token_times else "-"
        print(
            f"{label:<10} {prompt_tokens:>8} {count:>5} {completed:>6} "
            f"{median:>12} {worst:>11}"
        )
        for answer in answers:
            if answer.ending is not load_client.OutcomeKind.COMPLETE:
                print(f"  {answer.status} {answer.execution} {answer.detail}")


async def run(directory: pathlib.Path) -> int:
    """Runs the demonstration and returns the exit status."""
    deployment = deployment_module.Deployment(directory, OPTIONS)
    try:
        await deployment.start()
        prompts, bookings = await asyncio.gather(
            send_prompts(deployment), send_bookings(deployment)
        )
        print_prompts(prompts)
        executed = sum(
            record["action"] == "execute"
            for records in deployment.plain_histories()
            for record in records
        )
        print(f"bookings   {BOOKING_COUNT} sent twice, {executed} executed")
        violations = [
            *checkers.check_prompts(item for _, item in prompts),
            *checkers.check_calls(bookings, deployment.plain_histories()),
            *(
                f"{item.request_id} has no complete answer"
                for _, item in prompts
                if item.outcome.ending is not load_client.OutcomeKind.COMPLETE
            ),
        ]
    finally:
        await deployment.fleet.stop()
    for violation in violations:
        print(f"VIOLATED: {violation}")
    print(
        "all guarantees held" if not violations else "guarantees were violated"
    )
    return 1 if violations else 0


def main() -> int:
    """Runs the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(run(pathlib.Path(directory)))


if __name__ == "__main__":
    sys.exit(main())
