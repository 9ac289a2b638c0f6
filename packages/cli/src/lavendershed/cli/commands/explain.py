"""The `explain` command."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import sys
from typing import Any

import click
import orjson

# Fields that are in every line or are shown in its heading.
_HEADING_FIELDS = frozenset(
    {"event", "message_type", "request", "task_level", "task_uuid", "timestamp"}
)
_NAME_PREFIX = "lavendershed."


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        source: Name of the log file.
        fields: All fields of the line.
    """

    source: str
    fields: dict[str, Any]

    @property
    def timestamp(self) -> float:
        """Unix time in seconds; 0 if the line has none."""
        value = self.fields.get("timestamp", 0.0)
        return float(value) if isinstance(value, int | float) else 0.0

    def __str__(self) -> str:
        """Returns the line in human-readable form."""
        name = str(self.fields.get("message_type", "unknown"))
        details = " ".join(
            f"{field}={_format_value(value)}"
            for field, value in self.fields.items()
            if field not in _HEADING_FIELDS and value is not None
        )
        heading = f"{self.timestamp:.3f} {self.source}"
        return f"{heading} {name.removeprefix(_NAME_PREFIX)} {details}"


class LogReader:
    """Parses log lines and counts those that are invalid."""

    def __init__(self) -> None:
        self._unreadable_lines = 0

    @property
    def unreadable_lines(self) -> int:
        """Number of lines that were not JSON objects."""
        return self._unreadable_lines

    def read(self, source: str, lines: Iterable[bytes]) -> Iterator[LogLine]:
        """Yields the lines that are JSON objects."""
        for line in lines:
            # Log collectors may prepend text to the lines of a process.
            start = line.find(b"{")
            try:
                fields = orjson.loads(line[start:]) if start >= 0 else None
            except orjson.JSONDecodeError:
                fields = None
            if not isinstance(fields, dict):
                self._unreadable_lines += bool(line.strip())
                continue
            yield LogLine(source, fields)


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.Path(path_type=pathlib.Path))
def explain(request_id: str, files: tuple[pathlib.Path, ...]) -> None:
    """Prints the log of one request, from log files or standard input."""
    reader = LogReader()
    request_lines: list[LogLine] = []
    if not files:
        request_lines += _filter_by_request(
            reader.read("-", sys.stdin.buffer), request_id
        )
    for path in files:
        try:
            with path.open("rb") as file:
                lines = reader.read(path.name, file)
                request_lines += _filter_by_request(lines, request_id)
        except OSError as error:
            raise click.ClickException(
                f"{path} can't be read: {error.strerror}"
            ) from error
    for line in sorted(request_lines, key=lambda log_line: log_line.timestamp):
        click.echo(str(line))
    if reader.unreadable_lines:
        click.echo(
            f"{reader.unreadable_lines} lines could not be read; the log may "
            "be truncated",
            err=True,
        )
    if not request_lines:
        raise click.ClickException(
            f"no line mentions request {request_id}; pass the logs of all "
            "daemons of its availability zone and check them for "
            "log_lines_dropped events"
        )


def _filter_by_request(
    lines: Iterable[LogLine], request_id: str
) -> Iterator[LogLine]:
    return (line for line in lines if line.fields.get("request") == request_id)


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value)) or "none"
    return str(value)
