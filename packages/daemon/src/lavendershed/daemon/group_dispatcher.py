"""Dispatcher that serves prompts larger than one engine's memory."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import itertools
import random
import uuid

import result

from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import outcomes
from lavendershed.core import rendezvous
from lavendershed.core import requests
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import allocation_manager as allocation_manager_module
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import dispatcher
from lavendershed.daemon import engine_group
from lavendershed.routing import group_planner
from lavendershed.routing import limits
from lavendershed.routing import prompt_classes
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# Fraction of an engine's KV memory that a group may reserve; the rest stays
# free for short prompts.
_USABLE_KV_FRACTION = 0.9
_MAX_GROUP_ATTEMPTS = 3
# Group tickets are negative, so that they can't collide with the positive
# tickets of the inner dispatcher.
_FIRST_TICKET = -1


class GroupDispatcher(dispatcher.Dispatcher):
    """Forms engine groups for oversized prompts; delegates all others.

    Groups of a service only use the engines that rank first in rendezvous
    hashing, as many as `max_groups` groups of the preset need. All daemons
    compute the same engines and a reservation takes most of an engine's
    memory, so that the limit is kept without a coordinator.
    """

    def __init__(
        self,
        inner: dispatcher.Dispatcher,
        owner: backend_servers.Owner,
        configuration: state_module.ConfigurationState,
        directory: backend_directory.BackendDirectory,
        health: backend_health.BackendHealth,
        allocation_manager: allocation_manager_module.AllocationManager,
        organisation_limits: limits.OrganisationLimits,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
    ) -> None:
        self._inner = inner
        self._owner = owner
        self._configuration = configuration
        self._directory = directory
        self._health = health
        self._allocation_manager = allocation_manager
        self._limits = organisation_limits
        self._timers = timer_service
        self._log = event_log
        self._random = generator
        self._tickets = itertools.count(_FIRST_TICKET, -1)
        self._groups: dict[int, engine_group.EngineGroup] = {}

    async def acquire(
        self,
        request: requests.GenerateRequest,
        constraints: dispatcher.Constraints,
    ) -> result.Result[dispatcher.Assignment, outcomes.RequestFailure]:
        """Waits until an engine or an engine group is assigned."""
        service = self._configuration.current.services.get(request.service)
        if service is None or not _is_oversized(request, service):
            return await self._inner.acquire(request, constraints)
        admitted = self._admit(request, service, constraints)
        if isinstance(admitted, result.Err):
            return admitted
        return await self._form_group(request, service, constraints)

    def on_first_token(
        self,
        request: requests.GenerateRequest,
        assignment: dispatcher.Assignment,
    ) -> None:
        """Records that the prefill of an assignment has ended."""
        if assignment.ticket not in self._groups:
            self._inner.on_first_token(request, assignment)

    def release(
        self,
        request: requests.GenerateRequest,
        assignment: dispatcher.Assignment,
    ) -> None:
        """Releases an assignment after its attempt has ended."""
        group = self._groups.pop(assignment.ticket, None)
        if group is None:
            self._inner.release(request, assignment)
            return
        group.release_all()

    def _admit(
        self,
        request: requests.GenerateRequest,
        service: model.Service,
        constraints: dispatcher.Constraints,
    ) -> result.Result[None, outcomes.RequestFailure]:
        preset = self._configuration.current.preset
        tokens = request.prompt_tokens + request.max_tokens
        required_engines = _group_demand(request, service, "").size
        if preset.max_groups < 1 or required_engines > len(
            service.backend_servers
        ):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.BODY_TOO_LARGE,
                    f"the prompt and its response need {tokens} tokens and "
                    f"{required_engines} engines; service '{service.name}' has "
                    f"{len(service.backend_servers)} engines and allows "
                    f"{preset.max_groups} concurrent engine groups",
                )
            )
        # Retries of an admitted request are not charged again.
        if constraints.excluded or constraints.exclusive:
            return result.Ok(None)
        now = self._timers.now()
        limit_check = self._limits.check(request.organisation, tokens, now)
        if isinstance(limit_check, result.Err):
            return result.Err(
                outcomes.not_run(
                    states.FailureReason.RATE_LIMITED,
                    f"organisation '{request.organisation}' is over its limit",
                    limit_check.err_value.retry_after,
                )
            )
        self._limits.charge(request.organisation, tokens)
        return result.Ok(None)

    async def _form_group(
        self,
        request: requests.GenerateRequest,
        service: model.Service,
        constraints: dispatcher.Constraints,
    ) -> result.Result[dispatcher.Assignment, outcomes.RequestFailure]:
        excluded = set(constraints.excluded)
        reason = group_planner.GroupFailure.TOO_FEW_ENGINES
        for _ in range(_MAX_GROUP_ATTEMPTS):
            group = await self._plan_group(
                request, service, excluded, constraints.on_prompt_sent
            )
            formed = await group.form()
            if isinstance(formed, result.Ok):
                return result.Ok(self._assignment(request, group, formed))
            reason = formed.err_value
            self._log.emit(
                events.Event.GROUP_FAILED,
                request_id=request.request_id,
                engines=group.engines,
                reason=reason.value,
                failed_engine=group.failed_engine,
            )
            if group.failed_engine is None:
                break
            excluded.add(group.failed_engine)
        return result.Err(_group_failure(reason))

    def _assignment(
        self,
        request: requests.GenerateRequest,
        group: engine_group.EngineGroup,
        formed: result.Ok[engine_group.GroupReady],
    ) -> dispatcher.Assignment:
        ready = formed.ok_value
        ticket = next(self._tickets)
        self._groups[ticket] = group
        self._log.emit(
            events.Event.GROUP_FORMED,
            request_id=request.request_id,
            engines=group.engines,
            reason=f"{len(group.engines)} engines hold the prompt's KV",
        )
        return dispatcher.Assignment(
            ready.segment.engine,
            prompt_classes.PRIORITIES[states.PromptClass.OVERSIZED],
            ticket,
            (),
            ready.imports,
            ready.segment.reservation,
        )

    async def _plan_group(
        self,
        request: requests.GenerateRequest,
        service: model.Service,
        excluded: Collection[ids.BackendServerId],
        on_prompt_sent: Callable[[], None],
    ) -> engine_group.EngineGroup:
        demand = _group_demand(request, service, uuid.uuid4().hex)
        preset = self._configuration.current.preset
        available = [
            server.name
            for server in service.backend_servers
            if server.name not in excluded
            and self._health.accepts_work(server.name)
        ]
        candidates = rendezvous.ranked(
            available, service.name, demand.size * preset.max_groups
        )
        members = await self._reachable_members(service, candidates)
        planner = group_planner.GroupPlanner(
            demand, [member.engine for member in members], self._random
        )
        remaining = request.deadline.remaining(self._timers.now())
        return engine_group.EngineGroup(
            planner,
            members,
            backend_servers.StreamRequest(
                ids.StreamId(demand.group_id),
                ids.AttemptId(demand.group_id),
                self._owner,
                service.model,
                request.adapter,
                "",
                request.prompt_tokens,
                (),
                request.max_tokens,
                prompt_classes.PRIORITIES[states.PromptClass.OVERSIZED],
                units.Milliseconds(int(remaining * 1000)),
            ),
            service.prefill_tokens_per_second,
            self._allocation_manager,
            self._timers,
            on_prompt_sent,
        )

    async def _reachable_members(
        self, service: model.Service, candidates: list[ids.BackendServerId]
    ) -> tuple[engine_group.GroupMember, ...]:
        """Returns the reachable candidates, lowest KV memory usage first."""
        usage_and_members = []
        for name in candidates:
            client = self._directory.engine(name)
            server = self._directory.server(name)
            if client is None or server is None:
                continue
            report = await client.load_report()
            if isinstance(report, result.Err):
                continue
            kv_bytes_total = report.ok_value.kv_bytes_total
            member = engine_group.GroupMember(
                name,
                client,
                server.address,
                kv_bytes_total / service.engine_memory_tokens,
            )
            usage_and_members.append(
                (report.ok_value.kv_bytes_used / kv_bytes_total, member)
            )
        usage_and_members.sort(key=lambda item: item[0])
        return tuple(member for _, member in usage_and_members)


def _is_oversized(
    request: requests.GenerateRequest, service: model.Service
) -> bool:
    return (
        prompt_classes.classify(
            request.prompt_tokens,
            request.max_tokens,
            service.engine_memory_tokens,
        )
        is states.PromptClass.OVERSIZED
    )


def _group_demand(
    request: requests.GenerateRequest, service: model.Service, group_id: str
) -> group_planner.GroupDemand:
    return group_planner.GroupDemand(
        group_id,
        request.prompt_tokens,
        request.max_tokens,
        units.Tokens(int(service.engine_memory_tokens * _USABLE_KV_FRACTION)),
        service.prefill_tokens_per_second,
        request.deadline,
    )


def _group_failure(
    reason: group_planner.GroupFailure,
) -> outcomes.RequestFailure:
    failure_reasons = {
        group_planner.GroupFailure.TOO_FEW_ENGINES: (
            states.FailureReason.NO_BACKEND_SERVER
        ),
        group_planner.GroupFailure.DEADLINE: (
            states.FailureReason.DEADLINE_UNREACHABLE
        ),
        group_planner.GroupFailure.SEGMENT_FAILED: (
            states.FailureReason.BACKEND_SERVER_FAILED
        ),
    }
    # The run of the request corrects the execution state: `on_prompt_sent` and
    # its earlier attempts show whether the request may have run.
    return outcomes.not_run(
        failure_reasons[reason],
        f"no engine group could be formed: {reason.value.replace('_', ' ')}",
    )
