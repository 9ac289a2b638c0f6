"""Differences between a configuration and the one in force."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from lavendershed.core import ids
from lavendershed.routes import findings
from lavendershed.routes import model
from lavendershed.routes import review

_Rule = findings.Rule
_Section = findings.Section
_SECONDS = frozenset(
    {
        "timeout",
        "target_latency",
        "target_inter_token_latency",
        "header_timeout",
        "idle_timeout",
        "cold_start",
    }
)


def compare(
    new: model.RoutingConfiguration, old: model.RoutingConfiguration
) -> tuple[findings.Finding, ...]:
    """Returns what changes if `new` follows `old`.

    Routes, services and organisations are matched by their names.
    """
    return tuple(
        itertools.chain(
            _compare_versions(new, old),
            _compare_routes(new.routes, old.routes),
            _compare_services(new.services, old.services),
            _compare_organisations(new.organisations, old.organisations),
            _compare_attributes(
                _Rule.LIMIT_CHANGED,
                findings.Place(_Section.LIMITS),
                "limit",
                new.limits,
                old.limits,
            ),
        )
    )


def _compare_versions(
    new: model.RoutingConfiguration, old: model.RoutingConfiguration
) -> Iterator[findings.Finding]:
    place = findings.Place(_Section.CONFIGURATION, None, "version")
    if new.version > old.version:
        yield findings.Finding(
            _Rule.VERSION_CHANGED,
            place,
            f"version {new.version} follows {old.version}",
        )
    elif new != old:
        yield findings.Finding(
            _Rule.VERSION_NOT_NEWER,
            place,
            f"daemons ignore version {new.version}: version {old.version} is "
            "in force",
        )


def _compare_routes(
    new: tuple[model.Route, ...], old: tuple[model.Route, ...]
) -> Iterator[findings.Finding]:
    old_routes = {route.name: route for route in old}
    for index, route in enumerate(new):
        place = findings.Place(_Section.ROUTES, index)
        before = old_routes.pop(route.name, None)
        if before is None:
            yield findings.Finding(
                _Rule.ROUTE_ADDED,
                place,
                f"route {route.name} added: {route.host}{route.path_prefix} "
                f"to {_format_services(route)}",
            )
            continue
        yield from _compare_weights(place, route, before)
        yield from _compare_attributes(
            _Rule.ROUTE_CHANGED,
            place,
            f"route {route.name}:",
            route,
            before,
            ignored=frozenset({"services"}),
        )
    for name, route in old_routes.items():
        yield findings.Finding(
            _Rule.ROUTE_REMOVED,
            findings.Place(_Section.ROUTES),
            f"route {name} removed: {route.host}{route.path_prefix}",
        )


def _format_services(route: model.Route) -> str:
    return ", ".join(
        f"{item.service} (weight {item.weight:g})" for item in route.services
    )


def _compare_weights(
    place: findings.Place, new: model.Route, old: model.Route
) -> Iterator[findings.Finding]:
    # A service may be listed more than once; its weights add up.
    new_weights, old_weights = _weights(new), _weights(old)
    for service in (*new_weights, *old_weights.keys() - new_weights.keys()):
        weight = new_weights.get(service, 0.0)
        before = old_weights.get(service, 0.0)
        if weight != before:
            yield findings.Finding(
                _Rule.WEIGHT_CHANGED,
                dataclasses.replace(place, attribute="services"),
                f"route {new.name}: weight of service {service} changed from "
                f"{before:g} to {weight:g}",
            )


def _weights(route: model.Route) -> dict[ids.ServiceId, float]:
    weights: dict[ids.ServiceId, float] = {}
    for item in route.services:
        weights[item.service] = weights.get(item.service, 0.0) + item.weight
    return weights


def _compare_services(
    new: tuple[model.Service, ...], old: tuple[model.Service, ...]
) -> Iterator[findings.Finding]:
    old_services = {service.id: service for service in old}
    for index, service in enumerate(new):
        place = findings.Place(_Section.SERVICES, index)
        before = old_services.pop(service.id, None)
        if before is None:
            yield findings.Finding(
                _Rule.SERVICE_ADDED, place, f"service {service.id} added"
            )
            continue
        label = f"service {service.id}:"
        engines = service.engine is not None and before.engine is not None
        yield from _compare_attributes(
            _Rule.SERVICE_CHANGED,
            place,
            label,
            service,
            before,
            ignored=frozenset({"engine"}) if engines else frozenset(),
        )
        if service.engine is not None and before.engine is not None:
            yield from _compare_attributes(
                _Rule.SERVICE_CHANGED,
                dataclasses.replace(place, attribute="engine"),
                f"{label} engine",
                service.engine,
                before.engine,
            )
    for name in old_services:
        yield findings.Finding(
            _Rule.SERVICE_REMOVED,
            findings.Place(_Section.SERVICES),
            f"service {name} removed",
        )


def _compare_organisations(
    new: tuple[model.Organisation, ...] | None,
    old: tuple[model.Organisation, ...] | None,
) -> Iterator[findings.Finding]:
    section = findings.Place(_Section.ORGANISATIONS)
    if (new is None) != (old is None):
        yield findings.Finding(
            _Rule.KEYS_REQUIRED_CHANGED,
            section,
            "requests need no key any more"
            if new is None
            else "requests need a key from now on",
        )
    before = {organisation.id: organisation for organisation in old or ()}
    for index, organisation in enumerate(new or ()):
        place = findings.Place(_Section.ORGANISATIONS, index)
        previous = before.pop(organisation.id, None)
        if previous is None:
            yield findings.Finding(
                _Rule.ORGANISATION_ADDED,
                place,
                f"organisation {organisation.id} added with "
                f"{len(organisation.keys)} keys",
            )
            continue
        yield from _compare_keys(place, organisation, previous)
        yield from _compare_attributes(
            _Rule.ORGANISATION_CHANGED,
            place,
            f"organisation {organisation.id}:",
            organisation,
            previous,
            ignored=frozenset({"keys"}),
        )
    for name, organisation in before.items():
        yield findings.Finding(
            _Rule.ORGANISATION_REMOVED,
            section,
            f"organisation {name} removed with {len(organisation.keys)} keys",
        )


def _compare_keys(
    place: findings.Place, new: model.Organisation, old: model.Organisation
) -> Iterator[findings.Finding]:
    place = dataclasses.replace(place, attribute="keys")
    for rule, text, keys, others in (
        (_Rule.KEY_ADDED, "added to", new.keys, old.keys),
        (_Rule.KEY_WITHDRAWN, "withdrawn from", old.keys, new.keys),
    ):
        for key in dict.fromkeys(keys):
            if key not in others:
                yield findings.Finding(
                    rule,
                    place,
                    f"key {review.mask_key(key)} {text} organisation {new.id}",
                )


def _compare_attributes(
    rule: findings.Rule,
    place: findings.Place,
    label: str,
    new: Any,  # noqa: ANN401
    old: Any,  # noqa: ANN401
    ignored: frozenset[str] = frozenset(),
) -> Iterator[findings.Finding]:
    """Yields the attributes that differ between two records of one type."""
    for field in dataclasses.fields(new):
        if field.name in ignored:
            continue
        value, before = getattr(new, field.name), getattr(old, field.name)
        if value != before:
            attribute = (
                f"{place.attribute}.{field.name}"
                if place.attribute
                else field.name
            )
            yield findings.Finding(
                rule,
                dataclasses.replace(place, attribute=attribute),
                f"{label} {field.name.replace('_', ' ')} changed from "
                f"{_format(before)} to {_format(value)}"
                f"{' s' if field.name in _SECONDS else ''}",
            )


def _format(value: object) -> str:
    if value is None:
        return "none"
    if isinstance(value, model.RequestKind):
        return value.value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if dataclasses.is_dataclass(value):
        return "a profile"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
