"""Executes the plan of one engine group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import allocation_manager as allocation_manager_module
from lavendershed.reliability import memory_ledger
from lavendershed.routing import group_planner
from lavendershed.transport import event_loop_timers

# The engine counts as failed if the prefill of a segment takes longer than its
# nominal time multiplied by the slowdown, plus the margin.
_MAX_PREFILL_SLOWDOWN = 4.0
_SEGMENT_TIMEOUT_MARGIN = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """One engine of a group.

    Attributes:
        address: Address from which other engines import KV.
        bytes_per_token: KV memory per token, in bytes.
    """

    engine: ids.BackendServerId
    client: backend_servers.ModelEngine
    address: str
    bytes_per_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReady:
    """A formed group: the last engine can start the stream.

    Attributes:
        segment: The last segment, whose engine runs the stream.
        imports: Handles of the KV segments that the stream uses.
    """

    segment: group_planner.Segment
    imports: tuple[ids.KvHandle, ...]


class EngineGroup:
    """Executes the commands of a planner through the engines' clients.

    Every reservation, import and export is registered in the memory ledger
    before it is requested, and released when the group ends.
    """

    def __init__(
        self,
        planner: group_planner.GroupPlanner,
        members: tuple[GroupMember, ...],
        request: backend_servers.StreamRequest,
        prefill_rate: float,
        allocation_manager: allocation_manager_module.AllocationManager,
        timer_service: timers.TimerService,
        on_prompt_sent: Callable[[], None],
    ) -> None:
        self._planner = planner
        self._members = {member.engine: member for member in members}
        self._request = request
        self._prefill_rate = prefill_rate
        self._allocation_manager = allocation_manager
        self._timers = timer_service
        self._import_keys: list[memory_ledger.AllocationKey] = []
        self._on_prompt_sent = on_prompt_sent
        self._failed_engine: ids.BackendServerId | None = None

    @property
    def failed_engine(self) -> ids.BackendServerId | None:
        """The engine on which a segment failed, if any."""
        return self._failed_engine

    @property
    def engines(self) -> list[str]:
        """Engines of the group, in segment order."""
        return [segment.engine for segment in self._planner.segments]

    async def form(
        self,
    ) -> result.Result[GroupReady, group_planner.GroupFailure]:
        """Reserves memory and prefills all segments except the last."""
        commands = list(self._planner.on_start(self._timers.now()))
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self.release_all)
            while True:
                command = commands.pop(0)
                if isinstance(command, group_planner.StartStream):
                    formed = await self._prepare_stream(command)
                    cleanup.pop_all()
                    return formed
                if isinstance(command, group_planner.FailGroup):
                    cleanup.pop_all()
                    self._release_imports()
                    return result.Err(command.reason)
                commands += await self._execute(command)

    def release_all(self) -> None:
        """Releases all memory of the group. Idempotent."""
        for command in self._planner.on_finished():
            self._release_allocation(command)
        self._release_imports()

    async def _execute(
        self, command: group_planner.Command
    ) -> tuple[group_planner.Command, ...]:
        if isinstance(command, group_planner.AcquireReservation):
            outcome = await self._create_reservation(command)
            return self._planner.on_reservation(outcome, self._timers.now())
        if isinstance(command, group_planner.ExportSegment):
            outcome = await self._export_segment(command)
            return self._planner.on_segment(outcome, self._timers.now())
        if isinstance(command, group_planner.WaitUntil):
            await event_loop_timers.sleep_until(self._timers, command.when)
            return self._planner.on_timer(self._timers.now())
        self._release_allocation(command)
        return ()

    def _release_allocation(self, command: group_planner.Command) -> None:
        if isinstance(command, group_planner.ReleaseReservation):
            kind = backend_servers.AllocationKind.RESERVATION
            allocation_id: str = command.reservation
        elif isinstance(command, group_planner.ReleaseKv):
            kind = backend_servers.AllocationKind.EXPORTED_KV
            allocation_id = command.handle
        else:
            return
        self._allocation_manager.start_release(
            memory_ledger.AllocationKey(command.engine, kind, allocation_id)
        )

    def _release_imports(self) -> None:
        for key in self._import_keys:
            self._allocation_manager.start_release(key)
        self._import_keys.clear()

    async def _create_reservation(
        self, command: group_planner.AcquireReservation
    ) -> result.Result[None, str]:
        segment = command.segment
        member = self._members[segment.engine]
        key = memory_ledger.AllocationKey(
            segment.engine,
            backend_servers.AllocationKind.RESERVATION,
            segment.reservation,
        )
        registered = self._allocation_manager.register(
            key, member.client, self._request.attempt_id
        )
        if isinstance(registered, result.Err):
            return result.Err("the memory ledger is full")
        created = await member.client.create_reservation(
            segment.reservation,
            self._request.owner,
            units.Bytes(int(command.size * member.bytes_per_token)),
            command.lifetime,
        )
        return self._confirm(key, created)

    async def _export_segment(
        self, command: group_planner.ExportSegment
    ) -> result.Result[None, str]:
        segment = command.segment
        imported = await self._import_segments(segment, command.imports)
        if isinstance(imported, result.Err):
            self._failed_engine = segment.engine
            return imported
        member = self._members[segment.engine]
        key = memory_ledger.AllocationKey(
            segment.engine,
            backend_servers.AllocationKind.EXPORTED_KV,
            segment.handle,
        )
        registered = self._allocation_manager.register(
            key, member.client, self._request.attempt_id
        )
        if isinstance(registered, result.Err):
            return result.Err("the memory ledger is full")
        request = dataclasses.replace(
            self._request,
            prompt_tokens=units.Tokens(segment.offset + segment.size),
            kv_imports=tuple(source.handle for source in command.imports),
        )
        self._on_prompt_sent()
        prefill_time_limit = (
            segment.size / self._prefill_rate * _MAX_PREFILL_SLOWDOWN
        )
        try:
            async with asyncio.timeout(
                prefill_time_limit + _SEGMENT_TIMEOUT_MARGIN
            ):
                exported = await member.client.export_kv(
                    request, segment.handle, segment.reservation
                )
        except TimeoutError:
            self._failed_engine = segment.engine
            return result.Err("the prefill of the segment timed out")
        confirmed = self._confirm(key, exported)
        if isinstance(confirmed, result.Err):
            self._failed_engine = segment.engine
        return confirmed

    async def _prepare_stream(
        self, command: group_planner.StartStream
    ) -> result.Result[GroupReady, group_planner.GroupFailure]:
        imported = await self._import_segments(command.segment, command.imports)
        if isinstance(imported, result.Err):
            self._failed_engine = command.segment.engine
            self.release_all()
            return result.Err(group_planner.GroupFailure.SEGMENT_FAILED)
        handles = tuple(segment.handle for segment in command.imports)
        return result.Ok(GroupReady(command.segment, handles))

    async def _import_segments(
        self,
        segment: group_planner.Segment,
        imports: tuple[group_planner.Segment, ...],
    ) -> result.Result[None, str]:
        member = self._members[segment.engine]
        for source in imports:
            key = memory_ledger.AllocationKey(
                segment.engine,
                backend_servers.AllocationKind.IMPORTED_KV,
                source.handle,
            )
            registered = self._allocation_manager.register(
                key, member.client, self._request.attempt_id
            )
            if isinstance(registered, result.Err):
                return result.Err("the memory ledger is full")
            self._import_keys.append(key)
            imported = await member.client.import_kv(
                self._members[source.engine].address,
                source.handle,
                self._request.owner,
            )
            confirmed = self._confirm(key, imported)
            if isinstance(confirmed, result.Err):
                return confirmed
        return result.Ok(None)

    def _confirm(
        self,
        key: memory_ledger.AllocationKey,
        outcome: result.Result[ids.Incarnation, backend_servers.BackendError],
    ) -> result.Result[None, str]:
        if isinstance(outcome, result.Err):
            # The planner releases the allocation nevertheless: the engine may
            # have allocated the memory although the response was lost.
            return result.Err(outcome.err_value.detail)
        self._allocation_manager.confirm(key, outcome.ok_value)
        return result.Ok(None)
