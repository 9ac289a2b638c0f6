"""Entry point of the `lavendershed` executable."""

from __future__ import annotations

import click

from lavendershed import cli
from lavendershed.cli.commands import router


@click.group()
@click.version_option(cli.VERSION, prog_name="lavendershed")
def main() -> None:
    """Serves prompts of very different lengths on one fleet."""


main.add_command(router.router)
