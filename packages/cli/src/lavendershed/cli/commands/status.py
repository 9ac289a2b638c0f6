"""The `status` command."""

from __future__ import annotations

import click
import result

from lavendershed.cli import failures
from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.platform import status as status_module


@click.command()
@session_module.output_option
@session_module.store_option
def status(
    store: addresses.Address,
    time_limit_seconds: float,
    output_format: output.OutputFormat,
) -> None:
    """Shows the daemons with the epochs they have in force, and leases."""
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    read = session.run(lambda access: status_module.read_all(access.store))
    if isinstance(read, result.Err):
        raise failures.of_store(read.err_value)
    rows = [
        (
            entry.vm,
            entry.availability_zone,
            entry.address,
            entry.epoch,
            entry.active_preset,
        )
        for entry in read.ok_value
    ]
    columns = ("vm", "availability_zone", "address", "epoch", "preset")
    output.print_rows(output_format, columns, rows)
