"""The `status` command."""

from __future__ import annotations

import click
import result

from lavendershed.cli import configuration_file
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
    daemons, leases = session.run(_read)
    if output_format is output.OutputFormat.JSON:
        output.print_json(
            {
                "routers": [configuration_file.plain(d) for d in daemons],
                "leases": [configuration_file.plain(e) for e in leases],
            }
        )
        return
    output.print_rows(
        output_format,
        ("router", "availability_zone", "address", "epoch", "preset"),
        [
            (d.vm, d.availability_zone, d.address, d.epoch, d.active_preset)
            for d in daemons
        ],
    )
    if not leases:
        return
    click.echo()
    output.print_rows(
        output_format,
        ("lease", "holder", "fencing_number"),
        [
            (
                lease.service,
                lease.content.holder.vm if lease.content.holder else None,
                lease.content.fencing_number,
            )
            for lease in leases
        ],
    )


async def _read(
    access: session_module.Access,
) -> tuple[
    tuple[status_module.DaemonStatus, ...],
    tuple[status_module.LeaseStatus, ...],
]:
    daemons = await status_module.read_all(access.store)
    if isinstance(daemons, result.Err):
        raise failures.of_store(daemons.err_value)
    leases = await status_module.read_leases(access.store)
    if isinstance(leases, result.Err):
        raise failures.of_store(leases.err_value)
    return daemons.ok_value, leases.ok_value
