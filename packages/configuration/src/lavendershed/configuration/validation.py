"""Validation of configurations."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import math
import re

from lavendershed.configuration import manifest as manifest_module
from lavendershed.configuration import model
from lavendershed.core import addresses
from lavendershed.core import states

# Names appear in URLs, object keys and metric labels.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_PATH_PATTERN = re.compile(r"[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*")
MAX_DESCRIPTION_CHARACTERS = 500
MAX_WEIGHT = 1_000.0
MAX_REQUESTS_PER_SECOND = 1_000_000.0
MAX_TOKENS_PER_SECOND = 1e9
MAX_MEMORY_TOKENS = 100_000_000
MAX_PREFILL_TOKENS_PER_SECOND = 1e7
MAX_TIMEOUT_SECONDS = 86_400.0
MAX_GROUPS = 1_000
MAX_QUEUE = 100_000
# Sums of shares such as 0.7 + 0.2 + 0.1 can exceed 1 by rounding errors.
_SHARE_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in a configuration.

    Attributes:
        field: Path of the field, for example `services[ledger].routes[0]`.
        description: What is wrong, including the value.
        remedy: How to correct it.
    """

    field: str
    description: str
    remedy: str

    def __str__(self) -> str:
        """Returns the problem as one sentence."""
        return f"{self.field}: {self.description}; {self.remedy}"


def check(configuration: model.Configuration) -> tuple[Problem, ...]:
    """Returns all problems of a whole configuration."""
    return (
        check_items(
            configuration.organisations.values(),
            configuration.services.values(),
            configuration.presets.values(),
        )
        + check_keys(configuration)
        + check_references(configuration)
    )


def check_chunk(chunk: manifest_module.Chunk) -> tuple[Problem, ...]:
    """Returns the problems found within one chunk."""
    return check_items(chunk.organisations, chunk.services, chunk.presets)


def check_items(
    organisations: Iterable[model.Organisation],
    services: Iterable[model.Service],
    presets: Iterable[model.Preset],
) -> tuple[Problem, ...]:
    """Returns the problems found within single entities."""
    return tuple(
        itertools.chain(
            itertools.chain.from_iterable(
                map(_check_organisation, organisations)
            ),
            itertools.chain.from_iterable(map(_check_service, services)),
            itertools.chain.from_iterable(map(_check_preset, presets)),
        )
    )


def check_keys(configuration: model.Configuration) -> tuple[Problem, ...]:
    """Returns a problem for each entity whose key differs from its name."""
    entries = itertools.chain(
        (("organisations", k, v) for k, v in _keys_and_names(configuration, 0)),
        (("services", k, v) for k, v in _keys_and_names(configuration, 1)),
        (("presets", k, v) for k, v in _keys_and_names(configuration, 2)),
    )
    return tuple(
        Problem(
            f"{kind}[{key}].name",
            f"'{name}' differs from the key '{key}'",
            "use one name",
        )
        for kind, key, name in entries
        if key != name
    )


def check_references(configuration: model.Configuration) -> tuple[Problem, ...]:
    """Returns the problems of references between entities."""
    return tuple(_check_references(configuration))


def duplicate_names(field: str, names: Iterable[str]) -> tuple[Problem, ...]:
    """Returns one problem for each name that occurs more than once."""
    return tuple(
        Problem(
            f"{field}[{name}].name",
            f"the name '{name}' is used {count} times",
            "give each entry its own name",
        )
        for name, count in collections.Counter(names).items()
        if count > 1
    )


def _keys_and_names(
    configuration: model.Configuration, kind: int
) -> Iterator[tuple[str, str]]:
    entities = (
        configuration.organisations,
        configuration.services,
        configuration.presets,
    )[kind]
    return ((key, entity.name) for key, entity in entities.items())


def _check_organisation(organisation: model.Organisation) -> Iterator[Problem]:
    field = f"organisations[{organisation.name}]"
    yield from _check_name(field, organisation.name)
    for index, token_hash in enumerate(organisation.token_hashes):
        if not _TOKEN_HASH_PATTERN.fullmatch(token_hash):
            yield Problem(
                f"{field}.token_hashes[{index}]",
                "not a SHA-256 hex digest",
                "use 64 lower-case hexadecimal digits, or give the token "
                "itself under `tokens`",
            )
    yield from _check_range(
        f"{field}.weight", organisation.weight, 0, MAX_WEIGHT
    )
    yield from _check_range(
        f"{field}.requests_per_second",
        organisation.requests_per_second,
        0,
        MAX_REQUESTS_PER_SECOND,
    )
    yield from _check_range(
        f"{field}.tokens_per_second",
        organisation.tokens_per_second,
        0,
        MAX_TOKENS_PER_SECOND,
    )


def _check_service(service: model.Service) -> Iterator[Problem]:
    field = f"services[{service.name}]"
    yield from _check_name(field, service.name)
    for server in service.backend_servers:
        yield from _check_backend_server(field, server)
    plain = service.kind is states.ServiceKind.PLAIN
    if service.routes and not plain:
        yield Problem(
            f"{field}.routes",
            "a model engine service has no routes",
            "remove them, or set kind to 'plain'",
        )
    for index, route in enumerate(service.routes):
        if not _PATH_PATTERN.fullmatch(route.path):
            yield Problem(
                f"{field}.routes[{index}].path",
                f"'{route.path}' is not a path",
                "use segments of letters, digits and '._~-' without a "
                "leading slash, like 'moulds/order'",
            )
    for path in _duplicates(route.path for route in service.routes):
        yield Problem(
            f"{field}.routes",
            f"the path '{path}' occurs more than once",
            "keep one route for each path",
        )
    if service.model:
        yield from _check_name(f"{field}.model", service.model, suffix="")
    yield from _check_range(
        f"{field}.engine_memory_tokens",
        service.engine_memory_tokens,
        0,
        MAX_MEMORY_TOKENS,
    )
    yield from _check_range(
        f"{field}.prefill_tokens_per_second",
        service.prefill_tokens_per_second,
        0,
        MAX_PREFILL_TOKENS_PER_SECOND,
    )
    timeouts = tuple(
        itertools.chain(
            _check_range(
                f"{field}.max_timeout",
                service.max_timeout,
                0,
                MAX_TIMEOUT_SECONDS,
            ),
            _check_range(
                f"{field}.default_timeout",
                service.default_timeout,
                0,
                MAX_TIMEOUT_SECONDS,
            ),
        )
    )
    yield from timeouts
    if not timeouts and service.default_timeout > service.max_timeout:
        yield Problem(
            f"{field}.default_timeout",
            f"{service.default_timeout} s is above max_timeout "
            f"({service.max_timeout} s)",
            "lower it or raise max_timeout",
        )


def _check_backend_server(
    service_field: str, server: model.BackendServer
) -> Iterator[Problem]:
    field = f"{service_field}.backend_servers[{server.name}]"
    yield from _check_name(field, server.name)
    parsed = addresses.parse(server.address)
    if parsed.is_err():
        yield Problem(
            f"{field}.address",
            parsed.unwrap_err(),
            "use a numeric address, host:port",
        )
    elif parsed.unwrap().port == 0:
        yield Problem(
            f"{field}.address",
            "port 0 is not a valid server port",
            "use 1 to 65535",
        )
    yield from _check_name(
        f"{field}.availability_zone", server.availability_zone, suffix=""
    )
    if server.vm is not None:
        yield from _check_name(f"{field}.vm", server.vm, suffix="")


def _check_preset(preset: model.Preset) -> Iterator[Problem]:
    field = f"presets[{preset.name}]"
    yield from _check_name(field, preset.name)
    if len(preset.description) > MAX_DESCRIPTION_CHARACTERS:
        yield Problem(
            f"{field}.description",
            f"{len(preset.description)} characters",
            f"use at most {MAX_DESCRIPTION_CHARACTERS}",
        )
    for name, weight in (
        ("long_ttft_weight", preset.long_ttft_weight),
        ("short_slowdown_weight", preset.short_slowdown_weight),
    ):
        yield from _check_range(
            f"{field}.{name}", weight, 0, MAX_WEIGHT, low_included=True
        )
    yield from _check_range(
        f"{field}.long_prefill_share", preset.long_prefill_share, 0, 1
    )
    yield from _check_range(
        f"{field}.max_groups",
        preset.max_groups,
        0,
        MAX_GROUPS,
        low_included=True,
    )
    yield from _check_range(
        f"{field}.max_queue", preset.max_queue, 0, MAX_QUEUE
    )
    for kind in _duplicates(kind.value for kind in preset.shed_first):
        yield Problem(
            f"{field}.shed_first",
            f"'{kind}' occurs more than once",
            "name each prompt class once",
        )
    for name in _duplicates(plan.service for plan in preset.service_plans):
        yield Problem(
            f"{field}.service_plans",
            f"the service '{name}' has more than one plan",
            "keep one plan for each service",
        )
    for plan in preset.service_plans:
        yield from _check_service_plan(field, plan)


def _check_service_plan(
    preset_field: str, plan: model.ServicePlan
) -> Iterator[Problem]:
    field = f"{preset_field}.service_plans[{plan.service}]"
    for role in _duplicates(entry.role.value for entry in plan.roles):
        yield Problem(
            f"{field}.roles",
            f"the role '{role}' occurs more than once",
            "give each role one share",
        )
    shares = tuple(
        itertools.chain.from_iterable(
            _check_range(
                f"{field}.roles[{entry.role.value}].share",
                entry.share,
                0,
                1,
                low_included=True,
            )
            for entry in plan.roles
        )
    )
    yield from shares
    total = sum(entry.share for entry in plan.roles)
    if not shares and total > 1 + _SHARE_TOLERANCE:
        yield Problem(
            f"{field}.roles",
            f"the shares add up to {total:g}",
            "lower them to a sum of at most 1",
        )
    for wanted in plan.models:
        entry_field = f"{field}.models[{wanted.model}]"
        yield from _check_name(f"{entry_field}.model", wanted.model, suffix="")
        yield from _check_range(f"{entry_field}.share", wanted.share, 0, 1)
        for adapter in wanted.adapters:
            yield from _check_name(
                f"{entry_field}.adapters", adapter, suffix=""
            )
        for repeated in _duplicates(wanted.adapters):
            yield Problem(
                f"{entry_field}.adapters",
                f"the adapter '{repeated}' occurs more than once",
                "name each adapter once",
            )
    for name in _duplicates(f"{w.model} {w.version}" for w in plan.models):
        yield Problem(
            f"{field}.models",
            f"the model and version '{name.strip()}' occur more than once",
            "keep one entry for each model and version",
        )


def _check_references(configuration: model.Configuration) -> Iterator[Problem]:
    if configuration.active_preset not in configuration.presets:
        known = ", ".join(sorted(configuration.presets)) or "none"
        yield Problem(
            "active_preset",
            f"there is no preset '{configuration.active_preset}'",
            f"use one of the presets ({known}) or create it first",
        )
    for preset in configuration.presets.values():
        for plan in preset.service_plans:
            service = configuration.services.get(plan.service)
            field = f"presets[{preset.name}].service_plans[{plan.service}]"
            if service is None:
                yield Problem(
                    f"{field}.service",
                    f"there is no service '{plan.service}'",
                    "create it first or remove the plan",
                )
            elif service.kind is states.ServiceKind.PLAIN:
                yield Problem(
                    f"{field}.service",
                    f"'{plan.service}' is a plain service",
                    "plan only model engine services",
                )
    yield from _check_server_references(configuration)
    owner_by_token_hash: dict[str, str] = {}
    for organisation in configuration.organisations.values():
        for token_hash in organisation.token_hashes:
            owner = owner_by_token_hash.setdefault(
                token_hash, organisation.name
            )
            if owner != organisation.name:
                yield Problem(
                    f"organisations[{organisation.name}].token_hashes",
                    f"a token already belongs to '{owner}'",
                    "give each organisation its own tokens",
                )


def _check_server_references(
    configuration: model.Configuration,
) -> Iterator[Problem]:
    service_by_server: dict[str, str] = {}
    server_by_address: dict[str, str] = {}
    for service in configuration.services.values():
        for server in service.backend_servers:
            field = f"services[{service.name}].backend_servers[{server.name}]"
            if server.name in service_by_server:
                yield Problem(
                    f"{field}.name",
                    f"service '{service_by_server[server.name]}' has a backend "
                    "server of this name",
                    "give each backend server its own name",
                )
            service_by_server[server.name] = service.name
            if server.address in server_by_address:
                yield Problem(
                    f"{field}.address",
                    f"'{server_by_address[server.address]}' has the address "
                    f"{server.address} already",
                    "list each backend server once",
                )
            server_by_address[server.address] = server.name


def _check_name(
    field: str, name: str, suffix: str = ".name"
) -> Iterator[Problem]:
    if not NAME_PATTERN.fullmatch(name):
        yield Problem(
            field + suffix,
            f"'{name}' is not a valid name",
            "use 1 to 63 letters, digits and '._-', first a letter or digit",
        )


def _check_range(
    field: str,
    value: float,
    low: float,
    high: float,
    *,
    low_included: bool = False,
) -> Iterator[Problem]:
    above_low = value >= low if low_included else value > low
    if math.isfinite(value) and above_low and value <= high:
        return
    bound = f"from {low:g}" if low_included else f"above {low:g}"
    yield Problem(
        field, f"{value} is out of range", f"use {bound} up to {high:g}"
    )


def _duplicates(names: Iterable[str]) -> list[str]:
    return [
        name for name, count in collections.Counter(names).items() if count > 1
    ]
