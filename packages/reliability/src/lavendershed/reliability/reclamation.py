"""Detection of engine allocations whose owner is dead."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.reliability import memory_ledger

# Returns the membership state of the daemon that owns an allocation.
OwnerState = Callable[[backend_servers.Owner], states.MemberState]


class OrphanDetector:
    """Finds orphans among the allocations that an engine lists.

    An allocation is reclaimed only if it is an orphan in two consecutive
    rounds. One round is not enough: a daemon that was declared dead may refute
    it, and the engine may have listed an allocation of this daemon just before
    its ledger entry was removed.
    """

    def __init__(
        self,
        owner: backend_servers.Owner,
        ledger: memory_ledger.MemoryLedger,
    ) -> None:
        self._owner = owner
        self._ledger = ledger
        self._previous_orphans: dict[
            ids.BackendServerId, frozenset[memory_ledger.AllocationKey]
        ] = {}

    def on_allocation_list(
        self,
        engine: ids.BackendServerId,
        allocations: Iterable[backend_servers.EngineAllocation],
        owner_state: OwnerState,
    ) -> tuple[memory_ledger.ReleaseCommand, ...]:
        """Processes the list of one round; returns the releases to issue.

        Args:
            engine: The engine that holds the allocations.
            allocations: Its allocations, of all owners or of this one.
            owner_state: Returns the current state of an owner.
        """
        orphans = frozenset(
            key
            for allocation in allocations
            if self._is_orphan(
                key := memory_ledger.AllocationKey(
                    engine, allocation.kind, allocation.allocation_id
                ),
                allocation.owner,
                owner_state,
            )
        )
        confirmed = orphans & self._previous_orphans.get(engine, frozenset())
        self._previous_orphans[engine] = orphans
        return tuple(
            memory_ledger.ReleaseCommand(key)
            for key in sorted(confirmed, key=lambda k: k.allocation_id)
        )

    def on_engine_skipped(self, engine: ids.BackendServerId) -> None:
        """Discards an engine's last round, so that rounds are consecutive."""
        self._previous_orphans.pop(engine, None)

    def _is_orphan(
        self,
        key: memory_ledger.AllocationKey,
        owner: backend_servers.Owner,
        owner_state: OwnerState,
    ) -> bool:
        if owner == self._owner:
            return key not in self._ledger
        return owner_state(owner) is states.MemberState.DEAD
