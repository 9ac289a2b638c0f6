"""The `apply` command."""

from __future__ import annotations

import pathlib
from typing import Any

import click
import result

from lavendershed.cli import change_command
from lavendershed.cli import configuration_file
from lavendershed.cli import errors
from lavendershed.configuration import changes
from lavendershed.configuration import model
from lavendershed.core import ids

FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


def read_file(path: pathlib.Path) -> model.Configuration:
    """Returns the configuration from a file.

    Raises:
        CommandError: The file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandError(
            errors.ExitCode.INVALID, f"{path}: cannot be read: {error}"
        ) from error
    loaded = configuration_file.load(text)
    if isinstance(loaded, result.Err):
        raise errors.validation_error(loaded.err_value)
    return loaded.ok_value


@click.command()
@click.argument("file", type=FILE)
@click.option(
    "--expect-epoch",
    type=click.IntRange(0),
    default=None,
    help="Reject unless the stored configuration has this epoch.",
)
@change_command.change_options
def apply(file: pathlib.Path, expect_epoch: int | None, **options: Any) -> None:  # noqa: ANN401
    """Replaces the whole configuration with FILE, in one change."""
    expected = None if expect_epoch is None else ids.Epoch(expect_epoch)
    change = changes.ReplaceAll(read_file(file), file.name, expected)
    change_command.write_change(change, **options)
