"""Configuration entities: organisations, services and presets."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import types

from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer; its callers share rate limits.

    Attributes:
        token_hashes: SHA-256 hex digests of accepted bearer tokens.
        weight: Weight in fair queueing relative to other organisations.
        requests_per_second: Rate limit across all daemons.
        tokens_per_second: Rate limit of prompt and output tokens across all
            daemons.
    """

    name: ids.OrganisationId
    token_hashes: tuple[str, ...]
    weight: float = 1.0
    requests_per_second: float = 100.0
    tokens_per_second: float = 2_000_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server of a service.

    Attributes:
        address: Numeric address, `host:port`.
        vm: VM that the platform lists for the server; None if not listed.
    """

    name: ids.BackendServerId
    address: str
    availability_zone: ids.AvailabilityZoneId
    vm: ids.VmId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of a plain service; `path` has no leading slash."""

    path: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its backend servers.

    Attributes:
        model: Model that the engines of a model engine service run.
        engine_memory_tokens: KV capacity of one engine, in tokens.
        prefill_tokens_per_second: Nominal prefill rate of one engine.
        checks_fencing: Whether the engines reject stale fencing numbers.
    """

    name: ids.ServiceId
    kind: states.ServiceKind
    backend_servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...] = ()
    model: ids.ModelId = ids.ModelId("")
    engine_memory_tokens: units.Tokens = units.Tokens(400_000)
    prefill_tokens_per_second: float = 20_000.0
    checks_fencing: bool = True
    max_timeout: units.Seconds = units.Seconds(3_600.0)
    default_timeout: units.Seconds = units.Seconds(60.0)


@dataclasses.dataclass(frozen=True, slots=True)
class RoleShare:
    """Share of a service's engines, from 0 to 1, assigned to one role."""

    role: states.EngineRole
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WantedModel:
    """A model that a preset places on a share of a service's engines.

    Attributes:
        version: Version of the model; empty for any version.
        adapters: Adapters to load together with the model.
        share: Share of the service's engines, above 0 and up to 1.
    """

    model: ids.ModelId
    version: str = ""
    adapters: tuple[ids.AdapterId, ...] = ()
    share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """Engine roles and models that a preset sets for one service.

    Attributes:
        roles: Shares of the roles; the remaining engines are `general`.
        models: Models to load; if empty, loaded models are not changed.
    """

    service: ids.ServiceId
    roles: tuple[RoleShare, ...] = ()
    models: tuple[WantedModel, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """Named scheduling and placement policy.

    Attributes:
        long_ttft_weight: Weight of the time to first token of long prompts.
        short_slowdown_weight: Weight of the delay added to short prompts.
        long_prefill_share: Maximum share of a service's engines that prefill
            long and oversized prompts concurrently.
        max_groups: Maximum concurrent engine groups per service.
        max_queue: Maximum queued requests per service and daemon.
        shed_first: Prompt classes rejected first under overload, in order.
        service_plans: Engine roles and models by service; the engines of
            services without a plan are not changed.
    """

    name: ids.PresetName
    description: str = ""
    long_ttft_weight: float = 1.0
    short_slowdown_weight: float = 1.0
    long_prefill_share: float = 0.5
    max_groups: int = 1
    max_queue: int = 1_000
    shed_first: tuple[states.PromptClass, ...] = (
        states.PromptClass.OVERSIZED,
        states.PromptClass.LONG,
    )
    service_plans: tuple[ServicePlan, ...] = ()

    def plan(self, service: ids.ServiceId) -> ServicePlan:
        """Returns the plan of a service, or an empty plan."""
        return next(
            (plan for plan in self.service_plans if plan.service == service),
            ServicePlan(service),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Configuration of one epoch."""

    epoch: ids.Epoch
    active_preset: ids.PresetName
    organisations: Mapping[ids.OrganisationId, Organisation]
    services: Mapping[ids.ServiceId, Service]
    presets: Mapping[ids.PresetName, Preset]

    @property
    def preset(self) -> Preset:
        """The active preset."""
        return self.presets[self.active_preset]


EMPTY = Configuration(
    ids.Epoch(0),
    ids.PresetName(""),
    types.MappingProxyType({}),
    types.MappingProxyType({}),
    types.MappingProxyType({}),
)
