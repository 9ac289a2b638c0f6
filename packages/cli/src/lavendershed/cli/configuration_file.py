"""Reads and writes configuration files in TOML."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import hashlib
import json
import tomllib
import types
import typing
from typing import Any
from typing import TypeVar

import pydantic
import result
import tomli_w

from lavendershed.configuration import model
from lavendershed.configuration import validation
from lavendershed.core import ids

EntityT = TypeVar("EntityT", model.Organisation, model.Service, model.Preset)

_TOP_LEVEL_KEYS = ("active_preset", "organisations", "services", "presets")
_PLACEHOLDER_EPOCH = ids.Epoch(0)


def hash_token(token: str) -> str:
    """Returns the digest under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def load(
    text: str,
) -> result.Result[model.Configuration, tuple[validation.Problem, ...]]:
    """Reads and validates a configuration file."""
    try:
        content = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return _single_problem(
            "file", f"not valid TOML: {error}", "correct this line"
        )
    problems = [
        *_check_top_level_keys(content),
        *_check_top_level_types(content),
    ]
    if problems:
        return result.Err(tuple(problems))
    organisations, organisation_problems = _parse_entities(
        model.Organisation, content, "organisations"
    )
    services, service_problems = _parse_entities(
        model.Service, content, "services"
    )
    presets, preset_problems = _parse_entities(model.Preset, content, "presets")
    problems = [*organisation_problems, *service_problems, *preset_problems]
    problems += validation.duplicate_names(
        "organisations", [entity.name for entity in organisations]
    )
    problems += validation.duplicate_names(
        "services", [entity.name for entity in services]
    )
    problems += validation.duplicate_names(
        "presets", [entity.name for entity in presets]
    )
    if problems:
        return result.Err(tuple(problems))
    configuration = model.Configuration(
        _PLACEHOLDER_EPOCH,
        ids.PresetName(content.get("active_preset", "")),
        {entity.name: entity for entity in organisations},
        {entity.name: entity for entity in services},
        {entity.name: entity for entity in presets},
    )
    problems = list(validation.check(configuration))
    if problems:
        return result.Err(tuple(problems))
    return result.Ok(configuration)


def dump(configuration: model.Configuration) -> str:
    """Returns a configuration as TOML text that `load` accepts."""
    return tomli_w.dumps(
        {
            "active_preset": configuration.active_preset,
            "organisations": [
                to_plain_data(entity)
                for entity in configuration.organisations.values()
            ],
            "services": [
                to_plain_data(entity)
                for entity in configuration.services.values()
            ],
            "presets": [
                to_plain_data(entity)
                for entity in configuration.presets.values()
            ],
        }
    )


def to_plain_data(entity: object) -> Any:  # noqa: ANN401
    """Returns a dataclass as JSON-compatible values without None."""
    return pydantic.TypeAdapter[Any](type(entity)).dump_python(
        entity, mode="json", exclude_none=True
    )


def _single_problem(
    field: str, message: str, remedy: str
) -> result.Err[tuple[validation.Problem, ...]]:
    return result.Err((validation.Problem(field, message, remedy),))


def _check_top_level_keys(
    content: Mapping[str, Any],
) -> Iterator[validation.Problem]:
    for key in content.keys() - set(_TOP_LEVEL_KEYS):
        yield _unknown_field(key, _TOP_LEVEL_KEYS)


def _unknown_field(
    field: str, allowed: tuple[str, ...] | list[str]
) -> validation.Problem:
    return validation.Problem(
        field, "unknown field", f"use one of: {', '.join(allowed)}"
    )


def _check_top_level_types(
    content: Mapping[str, Any],
) -> Iterator[validation.Problem]:
    if not isinstance(content.get("active_preset", ""), str):
        yield validation.Problem(
            "active_preset", "not a string", "give the name of a preset"
        )
    for key in _TOP_LEVEL_KEYS[1:]:
        entries = content.get(key, [])
        if not isinstance(entries, list) or not all(
            isinstance(entry, dict) for entry in entries
        ):
            yield validation.Problem(
                key, "not a list of tables", f"write each one under [[{key}]]"
            )


def _parse_entities(
    entity_type: type[EntityT], content: Mapping[str, Any], key: str
) -> tuple[list[EntityT], list[validation.Problem]]:
    entities: list[EntityT] = []
    problems: list[validation.Problem] = []
    adapter = pydantic.TypeAdapter(entity_type)
    for index, entry in enumerate(content.get(key, [])):
        field = f"{key}[{entry.get('name', index)}]"
        if entity_type is model.Organisation:
            hashed = _hash_tokens(entry, field)
            if isinstance(hashed, result.Err):
                problems.append(hashed.err_value)
                continue
            entry = hashed.ok_value
        unknown_fields = list(_check_unknown_fields(entity_type, entry, field))
        problems += unknown_fields
        if unknown_fields:
            continue
        try:
            # Strict JSON mode rejects '5' as a number, but accepts lists for
            # tuples and strings for enumerations.
            text = json.dumps(entry, default=str)
            entities.append(adapter.validate_json(text, strict=True))
        except pydantic.ValidationError as error:
            problems += [
                validation.Problem(
                    _field_path(field, item["loc"]),
                    item["msg"][0].lower() + item["msg"][1:],
                    f"found {_truncated_repr(item['input'])}",
                )
                for item in error.errors(include_url=False)
            ]
    return entities, problems


def _hash_tokens(
    entry: Mapping[str, Any], field: str
) -> result.Result[dict[str, Any], validation.Problem]:
    tokens = entry.get("tokens", [])
    hashes = entry.get("token_hashes", [])
    if (
        not isinstance(tokens, list)
        or not isinstance(hashes, list)
        or not all(isinstance(token, str) and token for token in tokens)
    ):
        return result.Err(
            validation.Problem(
                f"{field}.tokens",
                "not a list of non-empty strings",
                "write a list like ['token']",
            )
        )
    other_fields = {
        key: value for key, value in entry.items() if key != "tokens"
    }
    return result.Ok(
        other_fields | {"token_hashes": [*hashes, *map(hash_token, tokens)]}
    )


def _check_unknown_fields(
    field_type: object, value: object, field: str
) -> Iterator[validation.Problem]:
    if dataclasses.is_dataclass(field_type) and isinstance(value, dict):
        field_types = typing.get_type_hints(field_type)
        for key, item in value.items():
            if key in field_types:
                yield from _check_unknown_fields(
                    field_types[key], item, f"{field}.{key}"
                )
            else:
                yield _unknown_field(f"{field}.{key}", list(field_types))
    elif typing.get_origin(field_type) is tuple and isinstance(value, list):
        item_type = typing.get_args(field_type)[0]
        for index, item in enumerate(value):
            yield from _check_unknown_fields(
                item_type, item, f"{field}[{index}]"
            )
    elif typing.get_origin(field_type) is types.UnionType:
        for member_type in typing.get_args(field_type):
            yield from _check_unknown_fields(member_type, value, field)


def _field_path(field: str, location: tuple[int | str, ...]) -> str:
    for part in location:
        field += f"[{part}]" if isinstance(part, int) else f".{part}"
    return field


def _truncated_repr(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
