"""Configuration files in TOML."""

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

E = TypeVar("E", model.Organisation, model.Service, model.Preset)

_TOP_LEVEL = ("active_preset", "organisations", "services", "presets")
_EPOCH = ids.Epoch(0)


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
        return _problem("file", f"not valid TOML: {error}", "correct this line")
    problems = [*_unknown_keys(content), *_wrong_shapes(content)]
    if problems:
        return result.Err(tuple(problems))
    organisations, first = _entities(
        model.Organisation, content, "organisations"
    )
    services, second = _entities(model.Service, content, "services")
    presets, third = _entities(model.Preset, content, "presets")
    problems = [*first, *second, *third]
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
        _EPOCH,
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
    """Returns a configuration as a file that `load` reads."""
    return tomli_w.dumps(
        {
            "active_preset": configuration.active_preset,
            "organisations": [
                plain(entity) for entity in configuration.organisations.values()
            ],
            "services": [
                plain(entity) for entity in configuration.services.values()
            ],
            "presets": [
                plain(entity) for entity in configuration.presets.values()
            ],
        }
    )


def plain(entity: object) -> Any:  # noqa: ANN401
    """Returns a dataclass as plain values; absent values are left out."""
    return pydantic.TypeAdapter[Any](type(entity)).dump_python(
        entity, mode="json", exclude_none=True
    )


def _problem(
    field: str, wrong: str, remedy: str
) -> result.Err[tuple[validation.Problem, ...]]:
    return result.Err((validation.Problem(field, wrong, remedy),))


def _unknown_keys(content: Mapping[str, Any]) -> Iterator[validation.Problem]:
    for key in content.keys() - set(_TOP_LEVEL):
        yield _unknown(key, _TOP_LEVEL)


def _unknown(
    field: str, known: tuple[str, ...] | list[str]
) -> validation.Problem:
    return validation.Problem(
        field, "unknown field", f"use one of: {', '.join(known)}"
    )


def _wrong_shapes(content: Mapping[str, Any]) -> Iterator[validation.Problem]:
    if not isinstance(content.get("active_preset", ""), str):
        yield validation.Problem(
            "active_preset", "not a string", "give the name of a preset"
        )
    for key in _TOP_LEVEL[1:]:
        entries = content.get(key, [])
        if not isinstance(entries, list) or not all(
            isinstance(entry, dict) for entry in entries
        ):
            yield validation.Problem(
                key, "not a list of tables", f"write each one under [[{key}]]"
            )


def _entities(
    kind: type[E], content: Mapping[str, Any], key: str
) -> tuple[list[E], list[validation.Problem]]:
    entities: list[E] = []
    problems: list[validation.Problem] = []
    adapter = pydantic.TypeAdapter(kind)
    for index, entry in enumerate(content.get(key, [])):
        field = f"{key}[{entry.get('name', index)}]"
        if kind is model.Organisation:
            hashed = _with_hashed_tokens(entry, field)
            if isinstance(hashed, result.Err):
                problems.append(hashed.err_value)
                continue
            entry = hashed.ok_value
        unknown = list(_unknown_fields(kind, entry, field))
        problems += unknown
        if unknown:
            continue
        try:
            # Strict JSON keeps '5' from passing as a number, and takes lists
            # for tuples and strings for enumerations.
            text = json.dumps(entry, default=str)
            entities.append(adapter.validate_json(text, strict=True))
        except pydantic.ValidationError as error:
            problems += [
                validation.Problem(
                    _path(field, item["loc"]),
                    item["msg"][0].lower() + item["msg"][1:],
                    f"found {_short(item['input'])}",
                )
                for item in error.errors(include_url=False)
            ]
    return entities, problems


def _with_hashed_tokens(
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
    rest = {key: value for key, value in entry.items() if key != "tokens"}
    return result.Ok(
        rest | {"token_hashes": [*hashes, *map(hash_token, tokens)]}
    )


def _unknown_fields(
    kind: object, value: object, field: str
) -> Iterator[validation.Problem]:
    if dataclasses.is_dataclass(kind) and isinstance(value, dict):
        hints = typing.get_type_hints(kind)
        for key, inner in value.items():
            if key in hints:
                yield from _unknown_fields(hints[key], inner, f"{field}.{key}")
            else:
                yield _unknown(f"{field}.{key}", list(hints))
    elif typing.get_origin(kind) is tuple and isinstance(value, list):
        element = typing.get_args(kind)[0]
        for index, inner in enumerate(value):
            yield from _unknown_fields(element, inner, f"{field}[{index}]")
    elif typing.get_origin(kind) is types.UnionType:
        for option in typing.get_args(kind):
            yield from _unknown_fields(option, value, field)


def _path(field: str, location: tuple[int | str, ...]) -> str:
    for part in location:
        field += f"[{part}]" if isinstance(part, int) else f".{part}"
    return field


def _short(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
