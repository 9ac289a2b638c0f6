"""The `diff` command."""

from __future__ import annotations

import pathlib

import click

from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.cli.commands import apply
from lavendershed.configuration import comparison
from lavendershed.core import addresses
from lavendershed.core import units


@click.command()
@click.argument("file", type=apply.FILE)
@session_module.output_option
@session_module.store_option
def diff(
    file: pathlib.Path,
    store: addresses.Address,
    time_limit_seconds: float,
    output_format: output.OutputFormat,
) -> None:
    """Shows the changes that `apply FILE` would make."""
    new_configuration = apply.read_file(file)
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    differences = comparison.compare(session.read(), new_configuration)
    output.print_rows(
        output_format,
        ("item", "difference", "fields"),
        [
            (
                str(difference.item),
                difference.kind.value,
                [f"{f.field}: {f.old} -> {f.new}" for f in difference.fields],
            )
            for difference in differences
        ],
    )
