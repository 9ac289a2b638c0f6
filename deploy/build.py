"""Installs the compiled product and its dependencies in target/deps."""

from __future__ import annotations

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"
REQUIREMENTS = ROOT / "requirements-platform.txt"
# Copy of the requirements that the folder was built from.
INSTALLED = TARGET / "requirements.txt"
# Libraries used on the platform; the others serve only the router's own API.
LIBRARIES = (
    "admission",
    "core",
    "forwarding",
    "membership",
    "peer",
    "platform",
    "reliability",
    "routes",
    "routing",
    "telemetry",
    "transport",
)


def _installed() -> bool:
    """Returns whether the folder holds the required packages."""
    return (
        INSTALLED.exists()
        and INSTALLED.read_bytes() == REQUIREMENTS.read_bytes()
    )


def main() -> int:
    """Builds the folder; returns the exit status."""
    if not _installed():
        shutil.rmtree(TARGET, ignore_errors=True)
        command = [sys.executable, "-m", "pip", "install", "-q"]
        command += ["--target", str(TARGET), "-r", str(REQUIREMENTS)]
        status = subprocess.run(command, check=False).returncode
        if status:
            return status
        shutil.copy(REQUIREMENTS, INSTALLED)
    # Modules deleted from the sources must not stay importable.
    shutil.rmtree(TARGET / "lavendershed", ignore_errors=True)
    for library in LIBRARIES:
        shutil.copytree(
            ROOT / "packages" / library / "src",
            TARGET,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    compiled = compileall.compile_dir(TARGET, quiet=1)
    return 0 if compiled else 1


if __name__ == "__main__":
    sys.exit(main())
