"""Runs the fault soak on the platform for a range of seeds.

make soak SEEDS=1-50 SECONDS=20
"""

from __future__ import annotations

import asyncio
import sys

from lavendershed.standin import platform_soak
from lavendershed.standin import soak_deployment


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


def main() -> int:
    """Runs all seeds; returns the exit status."""
    first, _, last = sys.argv[1].partition("-")
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    options = soak_deployment.SoakOptions(duration_s=seconds)
    outcomes_held = [
        asyncio.run(run_seed(seed, options))
        for seed in range(int(first), int(last or first) + 1)
    ]
    print(f"{sum(outcomes_held)} of {len(outcomes_held)} seeds held")
    return 0 if all(outcomes_held) else 1


if __name__ == "__main__":
    sys.exit(main())
