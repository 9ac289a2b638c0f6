"""The `status` command."""

from __future__ import annotations

import click
import result

from lavendershed.cli import configuration_file
from lavendershed.cli import errors
from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.objects import status as status_module


@click.command()
@session_module.output_option
@session_module.store_option
def status(
    store: addresses.Address,
    time_limit_seconds: float,
    output_format: output.OutputFormat,
) -> None:
    """Shows routers with their epochs, leases and target engine states."""
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    daemons, leases, placements = session.run(_read_statuses)
    if output_format is output.OutputFormat.JSON:
        output.print_json(
            {
                "routers": [
                    configuration_file.to_plain_data(daemon)
                    for daemon in daemons
                ],
                "leases": [
                    configuration_file.to_plain_data(lease_status)
                    for lease_status in leases
                ],
                "engines": [
                    configuration_file.to_plain_data(placement_status)
                    for placement_status in placements
                ],
            }
        )
        return
    output.print_rows(
        output_format,
        ("router", "availability_zone", "address", "epoch", "preset"),
        [
            (
                daemon.vm,
                daemon.availability_zone,
                daemon.address,
                daemon.epoch,
                daemon.active_preset,
            )
            for daemon in daemons
        ],
    )
    _print_section(
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
    _print_section(
        output_format,
        ("engine", "service", "wanted_role", "wanted_models"),
        [
            (
                target.engine,
                placement.service,
                target.role.value,
                "any" if target.models is None else ",".join(target.models),
            )
            for placement in placements
            for target in placement.content.targets
        ],
    )


def _print_section(
    output_format: output.OutputFormat,
    columns: tuple[str, ...],
    rows: list[tuple[object, ...]],
) -> None:
    if not rows:
        return
    click.echo()
    output.print_rows(output_format, columns, rows)


async def _read_statuses(
    access: session_module.Access,
) -> tuple[
    tuple[status_module.DaemonStatus, ...],
    tuple[status_module.LeaseStatus, ...],
    tuple[status_module.PlacementStatus, ...],
]:
    daemons = await status_module.read_daemon_statuses(access.store)
    if isinstance(daemons, result.Err):
        raise errors.store_error(daemons.err_value)
    leases = await status_module.read_leases(access.store)
    if isinstance(leases, result.Err):
        raise errors.store_error(leases.err_value)
    placements = await status_module.read_placements(access.store)
    if isinstance(placements, result.Err):
        raise errors.store_error(placements.err_value)
    return daemons.ok_value, leases.ok_value, placements.ok_value
