"""The `export` command."""

from __future__ import annotations

import click

from lavendershed.cli import configuration_file
from lavendershed.cli import session as session_module
from lavendershed.core import addresses
from lavendershed.core import units


@click.command()
@session_module.store_option
def export(store: addresses.Address, time_limit_seconds: float) -> None:
    """Prints the stored configuration as a file for `apply`."""
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    configuration = session.read()
    click.echo(f"# epoch {configuration.epoch}")
    click.echo(configuration_file.dump(configuration), nl=False)
