"""Runs every test of the workspace and prints the totals.

Each library's tests, and each module of the root's, run in an interpreter of
their own, several at a time. Tests that KNOWN-RED.txt lists may fail; they are
printed and counted separately.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_PARALLEL_SUITES = 4
KNOWN_FAILURE_PREFIX = "test: "
# Fill the memory of a process on purpose, and run apart from other load.
SOLITARY_SUITES = (
    "tests/test_client_crowds.py",
    "tests/test_client_processing.py",
)


def run_suite(path: pathlib.Path) -> None:
    """Runs a test directory or module; prints its result as a JSON line."""
    directory, pattern = (
        (path, "test_*.py") if path.is_dir() else (path.parent, path.name)
    )
    # The time that an example takes depends on what else the machine does.
    hypothesis.settings.register_profile(
        "suite",
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile("suite")
    loader = unittest.TestLoader()
    suite = loader.discover(
        str(directory), pattern, top_level_dir=str(directory)
    )
    runner = unittest.TextTestRunner(stream=sys.stderr, verbosity=1)
    outcome = runner.run(suite)
    failures = [test.id() for test, _ in outcome.failures + outcome.errors]
    failures += [test.id() for test in outcome.unexpectedSuccesses]
    print(
        json.dumps(
            {
                "run": outcome.testsRun,
                "failures": failures,
                "skipped": len(outcome.skipped),
            }
        )
    )


def known_failures() -> set[str]:
    """Returns the ids of the tests that are listed as known failures."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {
        line.removeprefix(KNOWN_FAILURE_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(KNOWN_FAILURE_PREFIX)
    }


async def run_suite_in_subprocess(
    suite_path: pathlib.Path, semaphore: asyncio.Semaphore
) -> tuple[str, dict, str]:
    """Runs a test directory or module in its own interpreter."""
    async with semaphore:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            __file__,
            str(suite_path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        stdout_bytes, stderr_bytes = await process.communicate()
    name = str(suite_path.relative_to(ROOT))
    lines = stdout_bytes.decode().splitlines()
    try:
        report = json.loads(lines[-1])
    except (IndexError, ValueError):
        report = {"run": 1, "failures": [f"{name} did not run"], "skipped": 0}
    return name, report, stderr_bytes.decode()


async def run_all() -> int:
    """Runs all test directories and returns the exit status."""
    directories = [
        directory
        for directory in sorted(ROOT.glob("packages/*/tests"))
        if any(directory.rglob("test_*.py"))
    ]
    # The modules at the root start processes and take longest.
    suite_paths = sorted((ROOT / "tests").glob("test_*.py")) + directories
    solitary_paths = [ROOT / suite for suite in SOLITARY_SUITES]
    semaphore = asyncio.Semaphore(MAX_PARALLEL_SUITES)
    reports = await asyncio.gather(
        *(
            run_suite_in_subprocess(suite_path, semaphore)
            for suite_path in suite_paths
            if suite_path not in solitary_paths
        )
    )
    for suite_path in solitary_paths:
        reports.append(await run_suite_in_subprocess(suite_path, semaphore))
    known_ids = known_failures()
    passed = failed = skipped = 0
    for name, report, errors in reports:
        unexpected = [t for t in report["failures"] if t not in known_ids]
        expected = [t for t in report["failures"] if t in known_ids]
        status = "FAILED" if unexpected else "ok"
        print(f"{name}: {report['run']} run, {status}")
        if unexpected:
            print(errors)
        for test in expected:
            print(f"{name}: known failure: {test}")
        failed += len(unexpected)
        skipped += report["skipped"]
        passed += report["run"] - len(report["failures"]) - report["skipped"]
    suffix = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{suffix}")
    return 1 if failed else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_suite(pathlib.Path(sys.argv[1]))
    else:
        sys.exit(asyncio.run(run_all()))
