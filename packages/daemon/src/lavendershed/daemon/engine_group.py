"""Execution of the plan of one engine group."""

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
from lavendershed.daemon import ledger_keeper
from lavendershed.reliability import memory_ledger
from lavendershed.routing import group_planner
from lavendershed.transport import event_loop_timers

# A segment may take this many times its nominal prefill, and this much more,
# before its engine counts as failed.
_SLOWEST_PREFILL = 4.0
_SEGMENT_MARGIN = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One engine of a group.

    Attributes:
        address: Where other engines read exported KV from.
        bytes_per_token: KV memory of one token.
    """

    engine: ids.BackendServerId
    client: backend_servers.ModelEngine
    address: str
    bytes_per_token: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """The last engine can start the stream with these imports."""

    segment: group_planner.Segment
    imports: tuple[ids.KvHandle, ...]


class EngineGroup:
    """Carries out the commands of a planner with the engines' clients.

    Every hold, import and export is entered into the memory ledger before it
    is requested, and given back when the group ends.
    """

    def __init__(
        self,
        plan: group_planner.GroupPlanner,
        members: tuple[Member, ...],
        request: backend_servers.StreamRequest,
        prefill_rate: float,
        keeper: ledger_keeper.LedgerKeeper,
        timer_service: timers.TimerService,
        on_prompt_sent: Callable[[], None],
    ) -> None:
        self._plan = plan
        self._members = {member.engine: member for member in members}
        self._request = request
        self._prefill_rate = prefill_rate
        self._keeper = keeper
        self._timers = timer_service
        self._imported: list[memory_ledger.AllocationKey] = []
        self._on_prompt_sent = on_prompt_sent
        self._failed_engine: ids.BackendServerId | None = None

    @property
    def failed_engine(self) -> ids.BackendServerId | None:
        """The engine on which a segment failed."""
        return self._failed_engine

    @property
    def engines(self) -> list[str]:
        """Engines of the group, in the order of their segments."""
        return [segment.engine for segment in self._plan.segments]

    async def form(
        self,
    ) -> result.Result[Ready, group_planner.GroupFailure]:
        """Takes the holds and prefills all segments but the last."""
        commands = list(self._plan.on_start(self._timers.now()))
        with contextlib.ExitStack() as unformed:
            unformed.callback(self.end)
            while True:
                command = commands.pop(0)
                if isinstance(command, group_planner.StartStream):
                    formed = await self._start(command)
                    unformed.pop_all()
                    return formed
                if isinstance(command, group_planner.FailGroup):
                    unformed.pop_all()
                    self._release_imports()
                    return result.Err(command.reason)
                commands += await self._execute(command)

    def end(self) -> None:
        """Gives all memory of the group back. Idempotent."""
        for command in self._plan.on_finished():
            self._give_back(command)
        self._release_imports()

    async def _execute(
        self, command: group_planner.Command
    ) -> tuple[group_planner.Command, ...]:
        if isinstance(command, group_planner.AcquireReservation):
            outcome = await self._acquire_hold(command)
            return self._plan.on_reservation(outcome, self._timers.now())
        if isinstance(command, group_planner.ExportSegment):
            outcome = await self._export(command)
            return self._plan.on_segment(outcome, self._timers.now())
        if isinstance(command, group_planner.WaitUntil):
            await event_loop_timers.sleep_until(self._timers, command.when)
            return self._plan.on_timer(self._timers.now())
        self._give_back(command)
        return ()

    def _give_back(self, command: group_planner.Command) -> None:
        if isinstance(command, group_planner.ReleaseReservation):
            kind = backend_servers.AllocationKind.RESERVATION
            name: str = command.reservation
        elif isinstance(command, group_planner.ReleaseKv):
            kind = backend_servers.AllocationKind.EXPORTED_KV
            name = command.handle
        else:
            return
        self._keeper.give_back(
            memory_ledger.AllocationKey(command.engine, kind, name)
        )

    def _release_imports(self) -> None:
        for key in self._imported:
            self._keeper.give_back(key)
        self._imported.clear()

    async def _acquire_hold(
        self, command: group_planner.AcquireReservation
    ) -> result.Result[None, str]:
        segment = command.segment
        member = self._members[segment.engine]
        key = memory_ledger.AllocationKey(
            segment.engine,
            backend_servers.AllocationKind.RESERVATION,
            segment.reservation,
        )
        entered = self._keeper.enter(
            key, member.client, self._request.attempt_id
        )
        if isinstance(entered, result.Err):
            return result.Err("the memory ledger is full")
        taken = await member.client.create_reservation(
            segment.reservation,
            self._request.owner,
            units.Bytes(int(command.size * member.bytes_per_token)),
            command.lifetime,
        )
        return self._settle(key, taken)

    async def _export(
        self, command: group_planner.ExportSegment
    ) -> result.Result[None, str]:
        segment = command.segment
        imported = await self._import_all(segment, command.imports)
        if isinstance(imported, result.Err):
            self._failed_engine = segment.engine
            return imported
        member = self._members[segment.engine]
        key = memory_ledger.AllocationKey(
            segment.engine,
            backend_servers.AllocationKind.EXPORTED_KV,
            segment.handle,
        )
        entered = self._keeper.enter(
            key, member.client, self._request.attempt_id
        )
        if isinstance(entered, result.Err):
            return result.Err("the memory ledger is full")
        request = dataclasses.replace(
            self._request,
            prompt_tokens=units.Tokens(segment.offset + segment.size),
            kv_imports=tuple(s.handle for s in command.imports),
        )
        self._on_prompt_sent()
        limit = segment.size / self._prefill_rate * _SLOWEST_PREFILL
        try:
            async with asyncio.timeout(limit + _SEGMENT_MARGIN):
                exported = await member.client.export_kv(
                    request, segment.handle, segment.reservation
                )
        except TimeoutError:
            self._failed_engine = segment.engine
            return result.Err("the segment was not prefilled in time")
        settled = self._settle(key, exported)
        if isinstance(settled, result.Err):
            self._failed_engine = segment.engine
        return settled

    async def _start(
        self, command: group_planner.StartStream
    ) -> result.Result[Ready, group_planner.GroupFailure]:
        imported = await self._import_all(command.segment, command.imports)
        if isinstance(imported, result.Err):
            self._failed_engine = command.segment.engine
            self.end()
            return result.Err(group_planner.GroupFailure.SEGMENT_FAILED)
        handles = tuple(segment.handle for segment in command.imports)
        return result.Ok(Ready(command.segment, handles))

    async def _import_all(
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
            entered = self._keeper.enter(
                key, member.client, self._request.attempt_id
            )
            if isinstance(entered, result.Err):
                return result.Err("the memory ledger is full")
            self._imported.append(key)
            taken = await member.client.import_kv(
                self._members[source.engine].address,
                source.handle,
                self._request.owner,
            )
            settled = self._settle(key, taken)
            if isinstance(settled, result.Err):
                return settled
        return result.Ok(None)

    def _settle(
        self,
        key: memory_ledger.AllocationKey,
        outcome: result.Result[ids.Incarnation, backend_servers.BackendError],
    ) -> result.Result[None, str]:
        if isinstance(outcome, result.Err):
            # The planner releases the allocation even so, because the answer
            # may have been lost after the memory was taken.
            return result.Err(outcome.err_value.detail)
        self._keeper.confirm(key, outcome.ok_value)
        return result.Ok(None)
