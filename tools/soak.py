"""Runs a fault soak on the platform for a range of seeds.

make soak SEEDS=1-50 SECONDS=20
make soak-connections SEEDS=1-50 SECONDS=20
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import sys

from lavendershed.standin import connection_soak
from lavendershed.standin import platform_soak
from lavendershed.standin import soak_deployment

# Outcomes of all seeds of the soak of open connections.
Totals = collections.Counter[str]


async def run_seed(seed: int, options: soak_deployment.SoakOptions) -> bool:
    """Returns whether all guarantees held."""
    soak = platform_soak.PlatformSoak(seed, options)
    problems = await soak.run()
    outcomes = ", ".join(f"{n} {k}" for k, n in sorted(soak.outcomes.items()))
    print(f"seed {seed}: {'held' if not problems else 'BROKEN'}; {outcomes}")
    for problem in problems:
        print(f"  {problem}")
    if problems:
        print(f"  logs in {soak.log_directory}")
    return not problems


async def run_connection_seed(
    seed: int, options: soak_deployment.SoakOptions, totals: Totals
) -> bool:
    """Adds the outcomes to `totals`; returns whether all guarantees held."""
    soak = connection_soak.ConnectionSoak(seed, options)
    problems = await soak.run()
    totals.update(soak.outcomes)
    totals.update({f"  {end}": n for end, n in soak.ends.items()})
    print(
        f"seed {seed}: {len(problems)} violations, "
        f"{soak.outcomes.total()} requests",
        flush=True,
    )
    for problem in problems:
        print(f"  {problem}"[:900])
    if problems:
        print(f"  logs in {soak.log_directory}", flush=True)
    return not problems


def main() -> int:
    """Runs all seeds; returns the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds")
    parser.add_argument("seconds", nargs="?", type=float, default=20.0)
    parser.add_argument(
        "--connections",
        action="store_true",
        help="callers keep connections, and each request is accounted for",
    )
    parser.add_argument(
        "--checkout",
        type=pathlib.Path,
        help="source tree whose daemons are run instead of this one's",
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    options = soak_deployment.SoakOptions(
        plain_servers=4 if arguments.connections else 3,
        duration_s=arguments.seconds,
        checkout=arguments.checkout,
    )
    totals: Totals = collections.Counter()
    outcomes_held = [
        asyncio.run(
            run_connection_seed(seed, options, totals)
            if arguments.connections
            else run_seed(seed, options)
        )
        for seed in range(int(first), int(last or first) + 1)
    ]
    for name, count in sorted(totals.items()):
        print(f"{count:8} {name}")
    print(f"{sum(outcomes_held)} of {len(outcomes_held)} seeds held")
    return 0 if all(outcomes_held) else 1


if __name__ == "__main__":
    sys.exit(main())
