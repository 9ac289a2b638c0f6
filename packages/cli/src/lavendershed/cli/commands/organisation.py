"""The `organisation` commands."""

from __future__ import annotations

import dataclasses
from typing import Any

import click

from lavendershed.cli import change_command
from lavendershed.cli import configuration_file
from lavendershed.cli import entity_commands
from lavendershed.cli import session as session_module
from lavendershed.configuration import changes
from lavendershed.configuration import comparison
from lavendershed.configuration import model
from lavendershed.core import ids

KIND = comparison.ItemKind.ORGANISATION


@click.group()
def organisation() -> None:
    """Customer organisations with their tokens and limits."""


def _limit_options(command: session_module.Command) -> session_module.Command:
    for flag in ("--weight", "--requests-per-second", "--tokens-per-second"):
        command = click.option(flag, type=float)(command)
    return command


@organisation.command()
@click.argument("name")
@click.option(
    "--token",
    "tokens",
    multiple=True,
    help="Bearer token in plain text; repeatable",
)
@_limit_options
@change_command.change_options
def create(
    name: str,
    tokens: tuple[str, ...],
    weight: float | None,
    requests_per_second: float | None,
    tokens_per_second: float | None,
    **options: Any,  # noqa: ANN401
) -> None:
    """Creates organisation NAME; only hashes of its tokens are stored."""
    entity = model.Organisation(
        ids.OrganisationId(name),
        tuple(map(configuration_file.hash_token, tokens)),
        **entity_commands.non_null_fields(
            weight=weight,
            requests_per_second=requests_per_second,
            tokens_per_second=tokens_per_second,
        ),
    )
    change_command.write_change(changes.CreateEntity(entity), **options)


@organisation.command()
@click.argument("name")
@click.option("--add-token", "added", multiple=True, help="Repeatable.")
@click.option("--remove-token", "removed", multiple=True, help="Repeatable.")
@_limit_options
@change_command.change_options
def change(
    name: str,
    added: tuple[str, ...],
    removed: tuple[str, ...],
    weight: float | None,
    requests_per_second: float | None,
    tokens_per_second: float | None,
    **options: Any,  # noqa: ANN401
) -> None:
    """Changes the given fields of organisation NAME."""
    fields = entity_commands.non_null_fields(
        weight=weight,
        requests_per_second=requests_per_second,
        tokens_per_second=tokens_per_second,
    )
    added_hashes = list(map(configuration_file.hash_token, added))
    removed_hashes = set(map(configuration_file.hash_token, removed))

    def edit(entity: model.Organisation) -> model.Organisation:
        token_hashes = [
            token_hash
            for token_hash in (*entity.token_hashes, *added_hashes)
            if token_hash not in removed_hashes
        ]
        return dataclasses.replace(
            entity, token_hashes=tuple(dict.fromkeys(token_hashes)), **fields
        )

    item = comparison.Item(KIND, name)
    change_command.write_change(
        changes.EditEntity(item, model.Organisation, edit), **options
    )


def _rows(configuration: model.Configuration) -> list[tuple[object, ...]]:
    return [
        (
            entity.name,
            len(entity.token_hashes),
            entity.weight,
            entity.requests_per_second,
            entity.tokens_per_second,
        )
        for _, entity in sorted(configuration.organisations.items())
    ]


entity_commands.add_list(
    organisation,
    ("name", "tokens", "weight", "requests_per_second", "tokens_per_second"),
    _rows,
)
entity_commands.add_show(organisation, KIND)
entity_commands.add_delete(organisation, KIND)
