"""Review of a valid configuration before it is sent.

Nothing found here keeps a daemon from applying the configuration.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routes import findings
from lavendershed.routes import model

# Shorter keys are not shown at all, since a part would be most of them.
_MIN_SHOWN_KEY_LENGTH = 12
_SHOWN_KEY_LENGTH = 4

_Rule = findings.Rule
_Section = findings.Section


def mask_key(key: str) -> str:
    """Returns the first characters of a key, or none of a short one."""
    if len(key) < _MIN_SHOWN_KEY_LENGTH:
        return "…"
    return f"{key[:_SHOWN_KEY_LENGTH]}…"


def review(
    configuration: model.RoutingConfiguration,
    parser_head_limit: units.Bytes,
    servers: Mapping[ids.ServiceId, int] | None = None,
) -> tuple[findings.Finding, ...]:
    """Returns what an operator should know of a configuration.

    Args:
        configuration: The configuration.
        parser_head_limit: Size of a request head that the HTTP parser accepts.
        servers: Servers of each service; None if they are unknown.
    """
    return tuple(
        itertools.chain(
            _review_routes(configuration, servers),
            _review_services(configuration),
            _review_keys(configuration),
            _review_limits(configuration.limits, parser_head_limit),
        )
    )


def _review_routes(
    configuration: model.RoutingConfiguration,
    servers: Mapping[ids.ServiceId, int] | None,
) -> Iterator[findings.Finding]:
    routes = configuration.routes
    yield from _repeated_names(_Section.ROUTES, (r.name for r in routes))
    services = frozenset(service.id for service in configuration.services)
    # The table keeps the last of equal entries.
    last = {
        (route.host, route.path_prefix): index
        for index, route in enumerate(routes)
    }
    for index, route in enumerate(routes):
        winner = last[route.host, route.path_prefix]
        if winner != index:
            yield findings.Finding(
                _Rule.ROUTE_HIDDEN,
                _route_place(index, "path_prefix"),
                f"route {route.name} never matches: route "
                f"{routes[winner].name} has the same host and path prefix "
                f"{route.path_prefix}",
            )
        yield from _review_match(index, route)
        yield from _review_route_services(index, route, services)
        yield from _review_times(index, route)
        yield from _review_attempts(index, route, servers)


def _route_place(index: int, attribute: str) -> findings.Place:
    return findings.Place(_Section.ROUTES, index, attribute)


def _review_match(index: int, route: model.Route) -> Iterator[findings.Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield findings.Finding(
            _Rule.ROUTE_UNMATCHABLE,
            _route_place(index, "path_prefix"),
            f"route {route.name} never matches: its path prefix {prefix} does "
            "not begin and end with a slash",
        )
    if ":" in route.host:
        yield findings.Finding(
            _Rule.ROUTE_UNMATCHABLE,
            _route_place(index, "host"),
            f"route {route.name} never matches: its host {route.host} has a "
            "port, and hosts are compared without",
        )


def _review_route_services(
    index: int, route: model.Route, services: frozenset[ids.ServiceId]
) -> Iterator[findings.Finding]:
    place = _route_place(index, "services")
    weighted = [item for item in route.services if item.weight > 0]
    if not weighted:
        yield findings.Finding(
            _Rule.ROUTE_WITHOUT_SERVICE,
            place,
            f"route {route.name} serves nothing: it has no service with a "
            "weight above 0",
        )
    for item in route.services:
        if item.service not in services:
            yield findings.Finding(
                _Rule.SERVICE_UNKNOWN,
                place,
                f"route {route.name} names the service {item.service}, which "
                "is not configured",
            )
        elif weighted and item.weight <= 0:
            yield findings.Finding(
                _Rule.SERVICE_WITHOUT_WEIGHT,
                place,
                f"route {route.name} sends nothing to service "
                f"{item.service}: its weight is 0",
            )


def _review_times(index: int, route: model.Route) -> Iterator[findings.Finding]:
    for attribute, target in (
        ("target_latency", route.target_latency),
        ("target_inter_token_latency", route.target_inter_token_latency),
    ):
        if target is not None and route.timeout < target:
            yield findings.Finding(
                _Rule.TIMEOUT_BELOW_TARGET,
                _route_place(index, "timeout"),
                f"route {route.name} ends requests after {route.timeout:g} s, "
                f"before its {attribute.replace('_', ' ')} of {target:g} s",
            )


def _review_attempts(
    index: int,
    route: model.Route,
    servers: Mapping[ids.ServiceId, int] | None,
) -> Iterator[findings.Finding]:
    place = _route_place(index, "max_attempts")
    if route.max_attempts < 1:
        yield findings.Finding(
            _Rule.ATTEMPTS_NONE,
            place,
            f"route {route.name} serves nothing: it allows no attempt",
        )
    if servers is None:
        return
    for item in route.services:
        count = servers.get(item.service, 0)
        if item.weight > 0 and count < route.max_attempts:
            yield findings.Finding(
                _Rule.ATTEMPTS_ABOVE_SERVERS,
                place,
                f"route {route.name} allows {route.max_attempts} attempts, "
                f"and service {item.service} has {count} servers",
            )


def _review_services(
    configuration: model.RoutingConfiguration,
) -> Iterator[findings.Finding]:
    services = configuration.services
    yield from _repeated_names(_Section.SERVICES, (s.id for s in services))
    used = {
        item.service
        for route in configuration.routes
        for item in route.services
    }
    for index, service in enumerate(services):
        if service.id not in used:
            yield findings.Finding(
                _Rule.SERVICE_UNUSED,
                findings.Place(_Section.SERVICES, index, "id"),
                f"service {service.id} has no route",
            )
        if service.max_connections < 1:
            yield findings.Finding(
                _Rule.SERVICE_WITHOUT_CONNECTIONS,
                findings.Place(_Section.SERVICES, index, "max_connections"),
                f"service {service.id} allows no connection to its servers",
            )


def _review_keys(
    configuration: model.RoutingConfiguration,
) -> Iterator[findings.Finding]:
    organisations = configuration.organisations or ()
    yield from _repeated_names(
        _Section.ORGANISATIONS, (o.id for o in organisations)
    )
    holders: dict[str, ids.OrganisationId] = {}
    for index, organisation in enumerate(organisations):
        for key in organisation.keys:
            if key in holders:
                yield findings.Finding(
                    _Rule.KEY_REPEATED,
                    findings.Place(_Section.ORGANISATIONS, index, "keys"),
                    f"key {mask_key(key)} of organisation {organisation.id} "
                    f"is also a key of organisation {holders[key]}; the last "
                    "one listed has it",
                )
            holders[key] = organisation.id


def _review_limits(
    limits: model.CallerLimits, parser_head_limit: units.Bytes
) -> Iterator[findings.Finding]:
    if limits.max_header > parser_head_limit:
        yield findings.Finding(
            _Rule.HEAD_ABOVE_PARSER,
            findings.Place(_Section.LIMITS, None, "max_header"),
            f"heads of {limits.max_header} bytes are allowed, and daemons "
            f"reject those over {parser_head_limit} bytes",
        )
    if limits.header_timeout > limits.idle_timeout:
        yield findings.Finding(
            _Rule.HEAD_TIMEOUT_ABOVE_IDLE,
            findings.Place(_Section.LIMITS, None, "header_timeout"),
            f"a head may take {limits.header_timeout:g} s, longer than the "
            f"idle limit of {limits.idle_timeout:g} s",
        )


def _repeated_names(
    section: findings.Section, names: Iterable[str]
) -> Iterator[findings.Finding]:
    seen: collections.Counter[str] = collections.Counter()
    for index, name in enumerate(names):
        seen[name] += 1
        if seen[name] == 2:
            yield findings.Finding(
                _Rule.NAME_REPEATED,
                findings.Place(section, index),
                f"the name {name} is used more than once in {section.value}",
            )
