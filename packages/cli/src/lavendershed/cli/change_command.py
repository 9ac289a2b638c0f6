"""Options and execution of commands that change the configuration."""

from __future__ import annotations

import click

from lavendershed.cli import output
from lavendershed.cli import propagation
from lavendershed.cli import session as session_module
from lavendershed.configuration import changes
from lavendershed.configuration import writer
from lavendershed.core import addresses
from lavendershed.core import units

_wait_option = click.option(
    "--wait", is_flag=True, help="Wait until all routers apply the change."
)
_wait_seconds_option = click.option(
    "--wait-seconds",
    type=click.FloatRange(0, session_module.MAX_TIME_LIMIT_SECONDS),
    default=30.0,
    show_default=True,
    help="Maximum time to wait with --wait.",
)


def change_options(
    command: session_module.Command,
) -> session_module.Command:
    """Adds the options of every command that changes the configuration."""
    for option in (
        _wait_seconds_option,
        _wait_option,
        session_module.output_option,
        session_module.operator_option,
        session_module.store_option,
    ):
        command = option(command)
    return command


def write_change(
    change: changes.Change,
    *,
    store: addresses.Address,
    time_limit_seconds: float,
    operator: str,
    output_format: output.OutputFormat,
    wait: bool,
    wait_seconds: float,
) -> None:
    """Writes one change and prints the epoch at which it was accepted."""
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    outcome = session.write(change, operator)
    accepted = isinstance(outcome, writer.Accepted)
    differences = (
        [str(difference) for difference in outcome.differences]
        if isinstance(outcome, writer.Accepted)
        else []
    )
    if output_format is output.OutputFormat.JSON:
        output.print_json(
            {
                "epoch": outcome.epoch,
                "changed": accepted,
                "differences": differences,
            }
        )
    else:
        click.echo(
            f"accepted as epoch {outcome.epoch}"
            if accepted
            else f"no change; the epoch is {outcome.epoch}"
        )
        for difference in differences:
            click.echo(f"  {difference}")
    if not wait:
        return
    count = session.run(
        lambda access: propagation.wait_until_applied(
            access, outcome.epoch, units.Seconds(wait_seconds)
        )
    )
    if output_format is output.OutputFormat.TABLE:
        click.echo(f"in force on {count} routers")
