"""Lookup of routes and organisations in a configuration."""

from __future__ import annotations

import random

from lavendershed.core import ids
from lavendershed.routes import model


class RouteTable:
    """Index of a configuration for the lookups of each request."""

    def __init__(self, configuration: model.RoutingConfiguration) -> None:
        self._configuration = configuration
        self._routes = {
            (route.host, route.path_prefix): route
            for route in configuration.routes
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
        end = len(path)
        while end > 0:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            found = self._routes.get((host, path[: slash + 1]))
            if found is not None:
                return found
            end = slash
        return None

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
