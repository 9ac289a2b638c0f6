"""Desired role, models and adapters of each engine of a service."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import math

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import rendezvous
from lavendershed.core import states
from lavendershed.core import units

PLACEMENT_PREFIX = "placement/"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTarget:
    """Desired state of one engine.

    Attributes:
        models: Models to have loaded; None leaves them as they are.
        adapters: Adapters to have loaded; None leaves them as they are.
    """

    engine: ids.BackendServerId
    role: states.EngineRole
    models: tuple[ids.ModelId, ...] | None = None
    adapters: tuple[ids.AdapterId, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRecord:
    """Desired state of a service, as the lease holder stores it."""

    fencing_number: ids.FencingNumber
    targets: tuple[EngineTarget, ...]


Reports = Mapping[ids.BackendServerId, backend_servers.LoadReport]


def placement_key(service: ids.ServiceId) -> ids.ObjectKey:
    """Returns the store key of a service's desired placement."""
    return ids.ObjectKey(PLACEMENT_PREFIX + service)


def versioned_model_id(wanted_model: model.WantedModel) -> ids.ModelId:
    """Returns the name by which engines load and report a wanted model."""
    if not wanted_model.version:
        return wanted_model.model
    return ids.ModelId(f"{wanted_model.model}@{wanted_model.version}")


def engines_for_backlog(
    reports: Reports,
    name: ids.ModelId,
    prefill_tokens_per_second: float,
    acceptable_wait: units.Seconds,
) -> int:
    """Returns how many engines clear a model's queue within a wait time."""
    queued = sum(
        report.prefill_tokens_queued
        for report in reports.values()
        if name in report.models
    )
    return math.ceil(queued / (prefill_tokens_per_second * acceptable_wait))


class ModelDemand:
    """Peak number of engines that each model needed within a hold time.

    A model is not unloaded between two peaks that are closer than the hold
    time.
    """

    def __init__(self, hold_time: units.Seconds) -> None:
        self._hold_time = hold_time
        self._peaks: dict[ids.ModelId, tuple[int, units.Instant]] = {}

    def on_demand(
        self, name: ids.ModelId, engines: int, now: units.Instant
    ) -> None:
        """Records the number of engines that a model needs at `now`."""
        peak, since = self._peaks.get(name, (0, now))
        if engines >= peak or units.elapsed(since, now) > self._hold_time:
            self._peaks[name] = (engines, now)

    @property
    def engines(self) -> dict[ids.ModelId, int]:
        """Number of engines to provide for each model."""
        return {name: peak for name, (peak, _) in self._peaks.items()}


def plan_targets(
    plan: model.ServicePlan,
    reports: Reports,
    demand: Mapping[ids.ModelId, int],
) -> tuple[EngineTarget, ...]:
    """Returns the targets of all engines with a report, sorted by id.

    Engines keep their present role and models where the counts allow it, which
    minimises the number of moves.

    Args:
        plan: Service plan of the active preset.
        reports: Latest load reports of engines that are not leaving.
        demand: Engines that the current load of each model requires; the
            plan's shares are the minimum.
    """
    engines = sorted(reports)
    roles = _assign_roles(plan, engines, reports)
    models: dict[ids.BackendServerId, list[ids.ModelId]] = {
        engine: [] for engine in engines
    }
    adapters: dict[ids.BackendServerId, list[ids.AdapterId]] = {
        engine: [] for engine in engines
    }
    for wanted_model in plan.models:
        name = versioned_model_id(wanted_model)
        min_count = math.ceil(wanted_model.share * len(engines))
        count = min(len(engines), max(min_count, demand.get(name, 0)))
        ranked = rendezvous.ranked(engines, name, len(engines))
        ranked.sort(
            key=lambda e, n=name: (  # type: ignore[misc]
                n not in reports[e].models,
                len(models[e]),
            )
        )
        for engine in ranked[:count]:
            models[engine].append(name)
            adapters[engine] += wanted_model.adapters
    return tuple(
        EngineTarget(
            engine,
            roles[engine],
            tuple(models[engine]) if plan.models else None,
            tuple(adapters[engine]) if plan.models else None,
        )
        for engine in engines
    )


def _assign_roles(
    plan: model.ServicePlan,
    engines: list[ids.BackendServerId],
    reports: Reports,
) -> dict[ids.BackendServerId, states.EngineRole]:
    if not plan.roles:
        # An engine in reserve was drained for a change that was not completed;
        # it returns to work.
        return {
            engine: states.EngineRole.GENERAL
            if reports[engine].role is states.EngineRole.RESERVE
            else reports[engine].role
            for engine in engines
        }
    roles = dict.fromkeys(engines, states.EngineRole.GENERAL)
    unassigned = set(engines)
    for wanted_role in plan.roles:
        if wanted_role.share <= 0:
            continue
        count = max(1, round(wanted_role.share * len(engines)))
        ranked = rendezvous.ranked(
            unassigned, wanted_role.role.value, len(unassigned)
        )
        ranked.sort(key=lambda e, r=wanted_role.role: reports[e].role is not r)  # type: ignore[misc]
        for engine in ranked[:count]:
            roles[engine] = wanted_role.role
            unassigned.discard(engine)
    return roles
