"""Commands shared by organisations, services and presets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click
import tomli_w

from lavendershed.cli import change_command
from lavendershed.cli import configuration_file
from lavendershed.cli import errors
from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.configuration import changes
from lavendershed.configuration import comparison
from lavendershed.configuration import model
from lavendershed.core import addresses
from lavendershed.core import units

RowBuilder = Callable[[model.Configuration], list[tuple[object, ...]]]


def add_list(
    group: click.Group, columns: tuple[str, ...], build_rows: RowBuilder
) -> None:
    """Adds `list`, which prints one row for each entity."""

    @group.command("list")
    @session_module.output_option
    @session_module.store_option
    def list_entities(
        store: addresses.Address,
        time_limit_seconds: float,
        output_format: output.OutputFormat,
    ) -> None:
        """Lists all entities of this kind."""
        session = session_module.Session(
            store, units.Seconds(time_limit_seconds)
        )
        output.print_rows(output_format, columns, build_rows(session.read()))


def add_show(group: click.Group, kind: comparison.ItemKind) -> None:
    """Adds `show`, which prints one entity with all its fields."""

    @group.command()
    @click.argument("name")
    @session_module.output_option
    @session_module.store_option
    def show(
        name: str,
        store: addresses.Address,
        time_limit_seconds: float,
        output_format: output.OutputFormat,
    ) -> None:
        """Shows all fields of NAME."""
        session = session_module.Session(
            store, units.Seconds(time_limit_seconds)
        )
        item = comparison.Item(kind, name)
        entity = changes.find(session.read(), item)
        if entity is None:
            raise errors.validation_error((changes.not_found(item),))
        fields = configuration_file.to_plain_data(entity)
        if output_format is output.OutputFormat.JSON:
            output.print_json(fields)
            return
        click.echo(tomli_w.dumps(fields), nl=False)


def add_delete(group: click.Group, kind: comparison.ItemKind) -> None:
    """Adds `delete`, which deletes one entity."""

    @group.command()
    @click.argument("name")
    @change_command.change_options
    def delete(name: str, **options: Any) -> None:  # noqa: ANN401
        """Deletes NAME."""
        change = changes.DeleteEntity(comparison.Item(kind, name))
        change_command.write_change(change, **options)


def non_null_fields(**fields: object) -> dict[str, Any]:
    """Returns the fields that are not None, that is, set by a flag."""
    return {name: value for name, value in fields.items() if value is not None}
