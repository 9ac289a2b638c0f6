"""The `history` command."""

from __future__ import annotations

import click
import result

from lavendershed.cli import errors
from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.configuration import manifest
from lavendershed.core import addresses
from lavendershed.core import units
from lavendershed.objects import configuration_store


@click.command()
@session_module.output_option
@session_module.store_option
def history(
    store: addresses.Address,
    time_limit_seconds: float,
    output_format: output.OutputFormat,
) -> None:
    """Lists the latest accepted changes, oldest first."""
    session = session_module.Session(store, units.Seconds(time_limit_seconds))
    stored = session.run(lambda access: access.configuration.read_manifest())
    changes: tuple[manifest.ChangeRecord, ...] = ()
    if isinstance(stored, result.Ok):
        changes = stored.ok_value.manifest.recent_changes
    elif not configuration_store.is_absent(stored.err_value):
        raise errors.read_error(stored.err_value)
    output.print_rows(
        output_format,
        ("epoch", "written_at", "operator", "summary", "change_id"),
        [
            (c.epoch, c.written_at, c.operator, c.summary, c.change_id)
            for c in changes
        ],
    )
