"""Histories of actions that stand-ins record for the checkers."""

from __future__ import annotations

import pathlib
import time

import orjson


class History:
    """Appends one JSON line per action to a file; disabled without a path."""

    def __init__(self, path: pathlib.Path | None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def record(self, action: str, **fields: object) -> None:
        """Records an action with the wall-clock time in seconds."""
        if self._file is None:
            return
        entry = {"time": time.time(), "action": action} | fields
        self._file.write(orjson.dumps(entry) + b"\n")


def read(path: pathlib.Path) -> list[dict[str, object]]:
    """Returns the recorded actions, oldest first."""
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]
