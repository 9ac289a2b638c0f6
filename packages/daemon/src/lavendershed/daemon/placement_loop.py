"""Placement of models and roles on the engines of all services."""

from __future__ import annotations

import asyncio

from lavendershed.configuration import model
from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import rendezvous
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import backend_directory
from lavendershed.daemon import background
from lavendershed.daemon import service_placement
from lavendershed.placement import lease as lease_module
from lavendershed.placement import planner as planner_module
from lavendershed.placement import targets as targets_module
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers


class PlacementLoop(background.BackgroundTask):
    """Runs the placement of the services assigned to this daemon.

    Rendezvous hashing assigns services to live daemons. Only the holder of a
    service's lease may send orders, regardless of the assignment.
    """

    def __init__(
        self,
        owner: backend_servers.Owner,
        configuration: state.ConfigurationState,
        members: cluster.MembershipView,
        store: object_store.ObjectStore,
        directory: backend_directory.BackendDirectory,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        loads_per_second: float,
        interval: units.Seconds = units.Seconds(1.0),  # noqa: B008
        lease_timings: lease_module.LeaseTimings | None = None,
        planner_limits: planner_module.PlannerLimits | None = None,
    ) -> None:
        self._owner = owner
        self._configuration = configuration
        self._members = members
        self._store = store
        self._directory = directory
        self._timers = timer_service
        self._log = event_log
        self._loads_per_second = loads_per_second
        self._interval = interval
        self._lease_timings = lease_timings or lease_module.LeaseTimings()
        self._planner_limits = planner_limits or planner_module.PlannerLimits()
        self._placements: dict[
            ids.ServiceId, service_placement.ServicePlacement
        ] = {}
        self._step_tasks: dict[ids.ServiceId, asyncio.Task[None]] = {}
        self._releasing = False

    async def run(self) -> None:
        """Runs placement steps of all services until cancelled.

        Raises:
            Exception: A step broke an invariant.
        """
        while True:
            if not self._releasing:
                self.start_steps()
            await event_loop_timers.sleep(self._timers, self._interval)

    def start_steps(self) -> None:
        """Starts a step of each service whose previous step has ended."""
        current = self._configuration.current
        services = [
            service
            for service in current.services.values()
            if service.kind is states.ServiceKind.MODEL_ENGINE
        ]
        for name, task in tuple(self._step_tasks.items()):
            if task.done():
                del self._step_tasks[name]
                task.result()
        for service in services:
            # Separate tasks: hung store calls of a service don't delay the
            # others.
            if service.name not in self._step_tasks:
                self._step_tasks[service.name] = asyncio.create_task(
                    self._step(current, service, len(services))
                )

    async def release(self) -> None:
        """Releases all leases, so that other daemons can take over at once."""
        self._releasing = True
        if self._step_tasks:
            await asyncio.wait(tuple(self._step_tasks.values()))
        await asyncio.gather(
            *(placement.release() for placement in self._placements.values())
        )

    def status(self) -> dict[str, object]:
        """Returns the state of each lease."""
        return {
            "leases": {
                name: placement.lease_state.value
                for name, placement in self._placements.items()
            }
        }

    async def _step(
        self,
        configuration: model.Configuration,
        service: model.Service,
        service_count: int,
    ) -> None:
        placement = self._placements.get(service.name)
        if placement is None:
            placement = self._placements[service.name] = (
                service_placement.ServicePlacement(
                    service.name,
                    self._owner,
                    self._store,
                    self._directory,
                    self._timers,
                    self._log,
                    self._lease_timings,
                    self._planner_limits,
                )
            )
        assignment_key = targets_module.placement_key(service.name)
        await placement.step(
            service,
            configuration.preset.plan(service.name),
            rendezvous.owner(self._members.live, assignment_key)
            == self._owner.vm,
            self._loads_per_second / service_count,
        )
