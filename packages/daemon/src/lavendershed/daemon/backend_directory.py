"""Clients of the backend servers in the configuration."""

from __future__ import annotations

import abc

from lavendershed.backend import http_engine
from lavendershed.backend import http_plain_service
from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.transport import address
from lavendershed.transport import pool


class ClientFactory(abc.ABC):
    """Creates clients of backend servers."""

    @abc.abstractmethod
    def model_engine(
        self, server: model.BackendServer
    ) -> backend_servers.ModelEngine:
        """Returns a client of a model engine."""

    @abc.abstractmethod
    def plain_service(
        self, server: model.BackendServer
    ) -> backend_servers.PlainService:
        """Returns a client of a plain service's backend server."""


class HttpClientFactory(ClientFactory):
    """Creates clients that speak HTTP."""

    def __init__(
        self, timer_service: timers.TimerService, limits: pool.PoolLimits
    ) -> None:
        self._timers = timer_service
        self._limits = limits

    def model_engine(
        self, server: model.BackendServer
    ) -> backend_servers.ModelEngine:
        """Returns a client of a model engine."""
        return http_engine.HttpModelEngine(self._pool(server))

    def plain_service(
        self, server: model.BackendServer
    ) -> backend_servers.PlainService:
        """Returns a client of a plain service's backend server."""
        return http_plain_service.HttpPlainService(self._pool(server))

    def _pool(self, server: model.BackendServer) -> pool.ConnectionPool:
        parsed = address.parse(server.address)
        # Validation rejects configurations with malformed addresses.
        return pool.ConnectionPool(parsed.unwrap(), self._timers, self._limits)


class BackendDirectory:
    """Clients of the backend servers in the current configuration."""

    def __init__(self, factory: ClientFactory) -> None:
        self._factory = factory
        self._servers: dict[ids.BackendServerId, model.BackendServer] = {}
        self._engines: dict[
            ids.BackendServerId, backend_servers.ModelEngine
        ] = {}
        self._plain_services: dict[
            ids.BackendServerId, backend_servers.PlainService
        ] = {}

    @property
    def engine_names(self) -> tuple[ids.BackendServerId, ...]:
        """Names of the model engines in the configuration."""
        return tuple(self._engines)

    def engine(
        self, name: ids.BackendServerId
    ) -> backend_servers.ModelEngine | None:
        """Returns the client of a model engine, or None if it is unknown."""
        return self._engines.get(name)

    def plain_service(
        self, name: ids.BackendServerId
    ) -> backend_servers.PlainService | None:
        """Returns the client of a plain service's backend server, or None."""
        return self._plain_services.get(name)

    def server(self, name: ids.BackendServerId) -> model.BackendServer | None:
        """Returns the configuration of a backend server, or None."""
        return self._servers.get(name)

    def on_configuration(self, configuration: model.Configuration) -> None:
        """Applies a configuration; unchanged servers keep their clients.

        Streams in progress can still use the clients of removed servers.
        """
        configured = {
            server.name: (service.kind, server)
            for service in configuration.services.values()
            for server in service.backend_servers
        }
        for name in tuple(self._servers):
            if (
                name not in configured
                or configured[name][1] != self._servers[name]
            ):
                del self._servers[name]
                self._engines.pop(name, None)
                self._plain_services.pop(name, None)
        for name, (kind, server) in configured.items():
            if name in self._servers:
                continue
            self._servers[name] = server
            if kind is states.ServiceKind.MODEL_ENGINE:
                self._engines[name] = self._factory.model_engine(server)
            else:
                self._plain_services[name] = self._factory.plain_service(server)
