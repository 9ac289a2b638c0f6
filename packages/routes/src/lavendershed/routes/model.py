"""The routing configuration as typed records."""

from __future__ import annotations

import dataclasses
import enum

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routes import engine_profile


class RequestKind(enum.Enum):
    """How often a request may run and what its answer is."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and their limits.

    Attributes:
        name: Name that the operator gave.
        host: Host in lower case, without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: What may be repeated and how the answer is delivered.
        resumable: Whether a stream may go on at another engine.
        public: Whether requests need no key.
        timeout: Longest time from the request to its final answer.
        target_latency: Time to the (first) answer that earns full credit.
        longest_pause: Longest pause between events of an answer on time.
        priority: Rank of the requests; 0 is the highest.
        services: Services with their weights.
        max_attempts: Engines that one request may be sent to.
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
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of equal backend servers.

    Attributes:
        id: Name of the service.
        max_connections: Connections that one server takes from all callers.
        engine: Figures of its model engines; None for a plain service.
    """

    id: ids.ServiceId
    max_connections: int
    engine: engine_profile.EngineProfile | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with the keys that identify its requests."""

    id: ids.OrganisationId
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    max_header: units.Bytes
    max_body: units.Bytes
    header_timeout: units.Seconds
    idle_timeout: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """One accepted version of the whole configuration.

    Attributes:
        version: Version that the operator gave; higher versions are newer.
        routes: All routes.
        services: All services.
        organisations: Organisations; None if requests carry no keys.
        limits: Limits of the callers.
    """

    version: ids.Epoch
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
