"""Entry point of the `lavendershed` executable."""

from __future__ import annotations

import click

from lavendershed import cli
from lavendershed.cli.commands import apply
from lavendershed.cli.commands import diff
from lavendershed.cli.commands import preset
from lavendershed.cli.commands import router
from lavendershed.cli.commands import status


@click.group()
@click.version_option(cli.VERSION, prog_name="lavendershed")
def main() -> None:
    """Serves prompts of very different lengths on one fleet."""


for command in (
    apply.apply,
    diff.diff,
    preset.preset,
    router.router,
    status.status,
):
    main.add_command(command)
