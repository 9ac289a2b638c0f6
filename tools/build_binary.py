"""Builds dist/lavendershed, one executable file.

The file is a zip archive that the Python interpreter runs; it starts no child
process and no thread. The stand-ins are not included.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXCLUDED_PACKAGES = {"standin"}


def main() -> int:
    """Builds the file, dist/lavendershed by default; returns the status."""
    output = (
        pathlib.Path(sys.argv[1])
        if len(sys.argv) > 1
        else ROOT / "dist" / "lavendershed"
    )
    output.parent.mkdir(exist_ok=True)
    libraries = sorted(
        str(path)
        for path in (ROOT / "packages").iterdir()
        if path.name not in EXCLUDED_PACKAGES
        and (path / "pyproject.toml").exists()
    )
    command = [
        sys.executable,
        "-m",
        "shiv",
        "--console-script",
        "lavendershed",
        "--python",
        "/usr/bin/env python3",
        "--compressed",
        "--reproducible",
        "--output-file",
        str(output),
        "--quiet",
        "--requirement",
        str(ROOT / "requirements-product.txt"),
        "--no-build-isolation",
        *libraries,
    ]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
