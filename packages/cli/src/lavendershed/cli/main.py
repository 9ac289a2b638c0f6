"""Entry point of the `lavendershed` executable."""

from __future__ import annotations

import click

from lavendershed import cli
from lavendershed.cli.commands import apply
from lavendershed.cli.commands import check
from lavendershed.cli.commands import diff
from lavendershed.cli.commands import explain
from lavendershed.cli.commands import export
from lavendershed.cli.commands import history
from lavendershed.cli.commands import organisation
from lavendershed.cli.commands import preset
from lavendershed.cli.commands import router
from lavendershed.cli.commands import service
from lavendershed.cli.commands import status


@click.group()
@click.version_option(cli.VERSION, prog_name="lavendershed")
def main() -> None:
    """Routes LLM inference requests and manages the configuration."""


for command in (
    apply.apply,
    check.check,
    diff.diff,
    explain.explain,
    export.export,
    history.history,
    organisation.organisation,
    preset.preset,
    router.router,
    service.service,
    status.status,
):
    main.add_command(command)
