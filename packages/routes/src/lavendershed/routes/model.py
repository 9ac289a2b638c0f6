"""Typed records of the routing configuration."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routes import engine_profile


class RequestKind(enum.Enum):
    """Whether a request may be retried, and how its answer is delivered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route with its weight in load balancing."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for requests of one host and path prefix.

    Attributes:
        name: Name given by the operator.
        host: Host in lower case, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Whether requests may be retried and how answers are delivered.
        resumable: Whether another engine may continue an interrupted stream.
        public: Whether requests are accepted without an API key.
        timeout: Maximum time from the request to the end of its answer.
        target_latency: Target for the time to first token of a stream, and
            for the whole answer of other requests.
        target_inter_token_latency: Target for the time between two events of
            a stream; None if the route has no such target.
        priority: Priority of the requests; 0 is the highest.
        services: Services with their weights.
        max_attempts: Maximum number of attempts per request.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    resumable: bool
    public: bool
    timeout: units.Seconds
    target_latency: units.Seconds
    target_inter_token_latency: units.Seconds | None
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        id: Name of the service.
        max_connections: Connections that one server accepts in total.
        engine: Profile of its model engines; None for a plain service.
        cold_start: Time for which a server is cold after its start.
        cold_rate: Requests that a cold server takes from all daemons; 0 if
            it takes as many as any other.
    """

    id: ids.ServiceId
    max_connections: int
    engine: engine_profile.EngineProfile | None
    cold_start: units.Seconds = units.Seconds(0.0)
    cold_rate: units.RequestsPerSecond = units.RequestsPerSecond(0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its API keys and its request priority."""

    id: ids.OrganisationId
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts of requests from callers."""

    max_header: units.Bytes
    max_body: units.Bytes
    header_timeout: units.Seconds
    idle_timeout: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """A validated version of the whole configuration.

    Attributes:
        version: Version number; a higher version is newer.
        routes: All routes.
        services: All services.
        organisations: Organisations; None if requests carry no API keys.
        limits: Limits for callers.
    """

    version: ids.Epoch
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
