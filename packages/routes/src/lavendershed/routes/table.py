"""Lookup of routes and organisations in a configuration."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import random

from lavendershed.core import ids
from lavendershed.routes import model


def _host(route: model.Route) -> str:
    return route.host


class _HostRoutes:
    """Routes of one host by their prefixes.

    A lookup takes a step for each length that a prefix has, whatever the path.
    """

    def __init__(self, routes: Iterable[model.Route]) -> None:
        # Prefixes end with a slash; others match no path.
        self._routes = {
            route.path_prefix: route
            for route in routes
            if route.path_prefix.endswith("/")
        }
        self._lengths = sorted({len(p) for p in self._routes}, reverse=True)

    def find(self, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of `path`, or None."""
        return next(
            (
                self._routes[path[:length]]
                for length in self._lengths
                if path[length - 1 : length] == "/"
                and path[:length] in self._routes
            ),
            None,
        )


class RouteTable:
    """Index of a configuration for the lookups of each request."""

    def __init__(self, configuration: model.RoutingConfiguration) -> None:
        self._configuration = configuration
        self._routes: dict[str, _HostRoutes] = {
            host: _HostRoutes(routes)
            for host, routes in itertools.groupby(
                sorted(configuration.routes, key=_host), key=_host
            )
        }
        self._services = {
            service.id: service for service in configuration.services
        }
        self._organisations = {
            key: organisation
            for organisation in configuration.organisations or ()
            for key in organisation.keys
        }

    @property
    def configuration(self) -> model.RoutingConfiguration:
        """The indexed configuration."""
        return self._configuration

    @property
    def version(self) -> ids.Epoch:
        """Version of the configuration."""
        return self._configuration.version

    @property
    def keys_required(self) -> bool:
        """Whether requests to routes that are not public need an API key."""
        return self._configuration.organisations is not None

    def route(self, host: str, path: str) -> model.Route | None:
        """Returns the route of this host with the longest matching prefix."""
        routes = self._routes.get(host)
        return None if routes is None else routes.find(path)

    def service(self, service: ids.ServiceId) -> model.Service | None:
        """Returns a service, or None if it is not configured."""
        return self._services.get(service)

    def organisation(self, key: str) -> model.Organisation | None:
        """Returns the organisation that an API key belongs to."""
        return self._organisations.get(key)


def pick_weighted_service(
    route: model.Route, generator: random.Random
) -> ids.ServiceId | None:
    """Returns a random service of the route, weighted, or None."""
    weights = [candidate.weight for candidate in route.services]
    if not route.services or sum(weights) <= 0:
        return None
    return generator.choices(route.services, weights)[0].service
