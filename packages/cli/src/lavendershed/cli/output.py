"""Output of operator commands."""

from __future__ import annotations

from collections.abc import Sequence
import enum

import click
import orjson


class OutputFormat(enum.Enum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


def print_rows(
    output: OutputFormat,
    columns: Sequence[str],
    rows: Sequence[Sequence[object]],
) -> None:
    """Prints rows as a table, or as a JSON list of objects."""
    if output is OutputFormat.JSON:
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
        return
    titles = [column.replace("_", " ").upper() for column in columns]
    table = [titles, *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        click.echo("  ".join(padded).rstrip())


def print_json(content: object) -> None:
    """Prints plain values as JSON."""
    click.echo(orjson.dumps(content, option=orjson.OPT_INDENT_2))


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)
