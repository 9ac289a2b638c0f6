"""The `service` commands."""

from __future__ import annotations

import dataclasses
from typing import Any

import click

from lavendershed.cli import change_command
from lavendershed.cli import entity_commands
from lavendershed.cli import session as session_module
from lavendershed.configuration import changes
from lavendershed.configuration import comparison
from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import states

KIND = comparison.ItemKind.SERVICE


class BackendServerType(click.ParamType[model.BackendServer]):
    """Option value: backend server as NAME,ADDRESS,ZONE[,VM]."""

    name = "name,address,zone[,vm]"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> model.BackendServer:
        """Returns the backend server; validation checks its fields."""
        if isinstance(value, model.BackendServer):
            return value
        parts = value.split(",")
        if len(parts) not in (3, 4):
            self.fail(
                f"'{value}' is not {self.name}, for example "
                "engine-1,10.0.0.1:80,zone-a",
                param,
                ctx,
            )
        return model.BackendServer(
            ids.BackendServerId(parts[0]),
            parts[1],
            ids.AvailabilityZoneId(parts[2]),
            ids.VmId(parts[3]) if len(parts) == 4 else None,
        )


def _field_options(command: session_module.Command) -> session_module.Command:
    for option in (
        click.option(
            "--server",
            "servers",
            type=BackendServerType(),
            multiple=True,
            help="Adds or replaces a backend server; repeatable.",
        ),
        click.option(
            "--idempotent-route",
            "idempotent_routes",
            multiple=True,
            help="Path that may be retried; repeatable.",
        ),
        click.option(
            "--booked-route",
            "booked_routes",
            multiple=True,
            help="Path that is executed at most once; repeatable.",
        ),
        click.option("--model"),
        click.option("--engine-memory-tokens", type=int),
        click.option("--prefill-tokens-per-second", type=float),
        click.option(
            "--checks-fencing/--ignores-fencing",
            "checks_fencing",
            default=None,
            help="Whether the engines reject old fencing numbers.",
        ),
        click.option("--max-timeout-seconds", "max_timeout", type=float),
        click.option(
            "--default-timeout-seconds", "default_timeout", type=float
        ),
    ):
        command = option(command)
    return command


@click.group()
def service() -> None:
    """Services and their backend servers."""


@service.command()
@click.argument("name")
@click.option(
    "--kind",
    type=click.Choice([kind.value for kind in states.ServiceKind]),
    required=True,
)
@_field_options
@change_command.change_options
def create(
    name: str,
    kind: str,
    servers: tuple[model.BackendServer, ...],
    idempotent_routes: tuple[str, ...],
    booked_routes: tuple[str, ...],
    model: str | None,
    engine_memory_tokens: int | None,
    prefill_tokens_per_second: float | None,
    checks_fencing: bool | None,
    max_timeout: float | None,
    default_timeout: float | None,
    **options: Any,  # noqa: ANN401
) -> None:
    """Creates service NAME."""
    entity = _build_service(
        name, kind, servers, idempotent_routes, booked_routes
    )
    fields = entity_commands.non_null_fields(
        model=model,
        engine_memory_tokens=engine_memory_tokens,
        prefill_tokens_per_second=prefill_tokens_per_second,
        checks_fencing=checks_fencing,
        max_timeout=max_timeout,
        default_timeout=default_timeout,
    )
    change_command.write_change(
        changes.CreateEntity(dataclasses.replace(entity, **fields)), **options
    )


@service.command()
@click.argument("name")
@click.option("--remove-server", "removed_servers", multiple=True)
@click.option("--remove-route", "removed_routes", multiple=True)
@_field_options
@change_command.change_options
def change(
    name: str,
    removed_servers: tuple[str, ...],
    removed_routes: tuple[str, ...],
    servers: tuple[model.BackendServer, ...],
    idempotent_routes: tuple[str, ...],
    booked_routes: tuple[str, ...],
    model: str | None,
    engine_memory_tokens: int | None,
    prefill_tokens_per_second: float | None,
    checks_fencing: bool | None,
    max_timeout: float | None,
    default_timeout: float | None,
    **options: Any,  # noqa: ANN401
) -> None:
    """Changes the given fields of service NAME."""
    fields = entity_commands.non_null_fields(
        model=model,
        engine_memory_tokens=engine_memory_tokens,
        prefill_tokens_per_second=prefill_tokens_per_second,
        checks_fencing=checks_fencing,
        max_timeout=max_timeout,
        default_timeout=default_timeout,
    )
    routes = _build_routes(idempotent_routes, booked_routes)
    change_command.write_change(
        _build_edit(
            name, fields, servers, routes, removed_servers, removed_routes
        ),
        **options,
    )


def _build_service(
    name: str,
    kind: str,
    servers: tuple[model.BackendServer, ...],
    idempotent_routes: tuple[str, ...],
    booked_routes: tuple[str, ...],
) -> model.Service:
    return model.Service(
        ids.ServiceId(name),
        states.ServiceKind(kind),
        servers,
        _build_routes(idempotent_routes, booked_routes),
    )


def _build_routes(
    idempotent: tuple[str, ...], booked: tuple[str, ...]
) -> tuple[model.Route, ...]:
    return tuple(
        [model.Route(path, idempotent=True) for path in idempotent]
        + [model.Route(path, idempotent=False) for path in booked]
    )


def _build_edit(
    name: str,
    fields: dict[str, Any],
    servers: tuple[model.BackendServer, ...],
    routes: tuple[model.Route, ...],
    removed_servers: tuple[str, ...],
    removed_routes: tuple[str, ...],
) -> changes.EditEntity[model.Service]:
    def edit(entity: model.Service) -> model.Service:
        by_name = {server.name: server for server in entity.backend_servers}
        by_name |= {server.name: server for server in servers}
        by_path = {route.path: route for route in entity.routes}
        by_path |= {route.path: route for route in routes}
        return dataclasses.replace(
            entity,
            backend_servers=tuple(
                s for s in by_name.values() if s.name not in removed_servers
            ),
            routes=tuple(
                r for r in by_path.values() if r.path not in removed_routes
            ),
            **fields,
        )

    return changes.EditEntity(comparison.Item(KIND, name), model.Service, edit)


def _rows(configuration: model.Configuration) -> list[tuple[object, ...]]:
    return [
        (
            entity.name,
            entity.kind.value,
            entity.model or None,
            len(entity.backend_servers),
            [route.path for route in entity.routes],
        )
        for _, entity in sorted(configuration.services.items())
    ]


entity_commands.add_list(
    service, ("name", "kind", "model", "backend_servers", "routes"), _rows
)
entity_commands.add_show(service, KIND)
entity_commands.add_delete(service, KIND)
