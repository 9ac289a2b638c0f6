"""The `preset` commands."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import re
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

KIND = comparison.ItemKind.PRESET
_ROLE_PATTERN = re.compile(
    r"(?P<service>[^:=]+):(?P<role>[a-z]+)=(?P<share>[0-9]+(\.[0-9]+)?)"
)
_MODEL_PATTERN = re.compile(
    r"(?P<service>[^:=]+):(?P<model>[^@+=]+)(@(?P<version>[^+=]+))?"
    r"(?P<adapters>(\+[^+=]+)*)=(?P<share>[0-9]+(\.[0-9]+)?)"
)
_FIELD_OPTIONS = (
    ("--description", str),
    ("--long-ttft-weight", float),
    ("--short-slowdown-weight", float),
    ("--long-prefill-share", float),
    ("--max-groups", int),
    ("--max-queue", int),
)


class RoleType(click.ParamType[model.ServicePlan]):
    """Option value: the share of a service's engines with a role."""

    name = "service:role=share"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> model.ServicePlan:
        """Returns a plan with this role only."""
        if isinstance(value, model.ServicePlan):
            return value
        match = _ROLE_PATTERN.fullmatch(value)
        roles = [role.value for role in states.EngineRole]
        if match is None or match["role"] not in roles:
            self.fail(
                f"'{value}' is not {self.name} with one of the roles "
                f"{', '.join(roles)}, for example drafting:prefill=0.3",
                param,
                ctx,
            )
        role = states.EngineRole(match["role"])
        share = float(match["share"])
        return model.ServicePlan(
            ids.ServiceId(match["service"]), (model.RoleShare(role, share),)
        )


class WantedModelType(click.ParamType[model.ServicePlan]):
    """Option value: a model for a share of a service's engines."""

    name = "service:model[@version][+adapter...]=share"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> model.ServicePlan:
        """Returns a plan with this model only."""
        if isinstance(value, model.ServicePlan):
            return value
        match = _MODEL_PATTERN.fullmatch(value)
        if match is None:
            self.fail(
                f"'{value}' is not {self.name}, for example "
                "drafting:advisor@2+nautical=0.5",
                param,
                ctx,
            )
        adapters = filter(None, match["adapters"].split("+"))
        target_model = model.WantedModel(
            ids.ModelId(match["model"]),
            match["version"] or "",
            tuple(map(ids.AdapterId, adapters)),
            float(match["share"]),
        )
        return model.ServicePlan(
            ids.ServiceId(match["service"]), models=(target_model,)
        )


def _field_options(command: session_module.Command) -> session_module.Command:
    for flag, kind in _FIELD_OPTIONS:
        command = click.option(flag, type=kind)(command)
    command = click.option(
        "--shed-first",
        type=click.Choice([kind.value for kind in states.PromptClass]),
        multiple=True,
        help="Prompt class refused first under overload; repeatable.",
    )(command)
    command = click.option(
        "--role",
        "roles",
        type=RoleType(),
        multiple=True,
        help="Replaces the roles of a service; repeatable.",
    )(command)
    return click.option(
        "--want",
        "models",
        type=WantedModelType(),
        multiple=True,
        help="Replaces the models of a service; repeatable.",
    )(command)


@click.group()
def preset() -> None:
    """Routing and placement policies, one of which is active."""


@preset.command()
@click.argument("name")
@change_command.change_options
def activate(name: str, **options: Any) -> None:  # noqa: ANN401
    """Activates preset NAME."""
    change = changes.ActivatePreset(ids.PresetName(name))
    change_command.write_change(change, **options)


@preset.command()
@click.argument("name")
@_field_options
@change_command.change_options
def create(name: str, **flags: Any) -> None:  # noqa: ANN401
    """Creates preset NAME; the first one becomes active."""
    fields = _pop_fields(flags)
    plans = _merge_plans((), _pop_plans(flags))
    entity = model.Preset(ids.PresetName(name), service_plans=plans, **fields)
    change_command.write_change(changes.CreateEntity(entity), **flags)


@preset.command("change")
@click.argument("name")
@click.option("--remove-plan", "removed_plans", multiple=True)
@_field_options
@change_command.change_options
def change_preset(
    name: str,
    removed_plans: tuple[str, ...],
    **flags: Any,  # noqa: ANN401
) -> None:
    """Changes the given fields of preset NAME."""
    fields = _pop_fields(flags)
    plans = _pop_plans(flags)

    def edit(entity: model.Preset) -> model.Preset:
        remaining = tuple(
            plan
            for plan in entity.service_plans
            if plan.service not in removed_plans
        )
        return dataclasses.replace(
            entity, service_plans=_merge_plans(remaining, plans), **fields
        )

    item = comparison.Item(KIND, name)
    change_command.write_change(
        changes.EditEntity(item, model.Preset, edit), **flags
    )


def _pop_fields(flags: dict[str, Any]) -> dict[str, Any]:
    names = [
        flag.removeprefix("--").replace("-", "_") for flag, _ in _FIELD_OPTIONS
    ]
    fields = entity_commands.non_null_fields(**{n: flags.pop(n) for n in names})
    shed_first = flags.pop("shed_first")
    if shed_first:
        fields["shed_first"] = tuple(map(states.PromptClass, shed_first))
    return fields


def _pop_plans(flags: dict[str, Any]) -> tuple[model.ServicePlan, ...]:
    return (*flags.pop("roles"), *flags.pop("models"))


def _merge_plans(
    existing: tuple[model.ServicePlan, ...],
    replacements: tuple[model.ServicePlan, ...],
) -> tuple[model.ServicePlan, ...]:
    plans: Mapping[str, model.ServicePlan] = {p.service: p for p in existing}
    merged = dict(plans)
    for service in dict.fromkeys(plan.service for plan in replacements):
        existing_plan = plans.get(service, model.ServicePlan(service))
        service_replacements = [
            plan for plan in replacements if plan.service == service
        ]
        roles = tuple(
            role for plan in service_replacements for role in plan.roles
        )
        models = tuple(
            target_model
            for plan in service_replacements
            for target_model in plan.models
        )
        merged[service] = model.ServicePlan(
            service,
            roles or existing_plan.roles,
            models or existing_plan.models,
        )
    return tuple(merged.values())


def _rows(configuration: model.Configuration) -> list[tuple[object, ...]]:
    return [
        (
            entity.name,
            "yes" if name == configuration.active_preset else "no",
            entity.long_prefill_share,
            entity.max_groups,
            entity.max_queue,
            entity.description,
        )
        for name, entity in sorted(configuration.presets.items())
    ]


entity_commands.add_list(
    preset,
    (
        "name",
        "active",
        "long_prefill_share",
        "max_groups",
        "max_queue",
        "description",
    ),
    _rows,
)
entity_commands.add_show(preset, KIND)
entity_commands.add_delete(preset, KIND)
