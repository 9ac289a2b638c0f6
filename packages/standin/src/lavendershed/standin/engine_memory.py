"""Memory of an engine outside of streams: reservations and KV segments."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin import history as history_module

# An engine reads imported KV from its source in windows of this size, so that a
# prompt larger than its memory can attend to segments on other engines. The
# windows are not part of the KV memory that streams and reservations share, so
# an import is possible while a reservation takes all of it.
IMPORT_WINDOW_TOKENS = units.Tokens(2_048)
_MAX_IMPORTS = 64


@dataclasses.dataclass(slots=True)
class Allocation:
    """A reservation, or an exported or imported KV segment.

    Attributes:
        tokens: Local memory in tokens.
        covered_tokens: Prompt tokens that need no prefill on an engine that
            imports this segment.
        expiry: Timer that frees it; None without a time limit.
    """

    kind: backend_servers.AllocationKind
    allocation_id: str
    owner: str
    tokens: units.Tokens
    covered_tokens: units.Tokens = units.Tokens(0)
    expiry: timers.Timer | None = None

    @property
    def is_import(self) -> bool:
        """Whether the KV is stored on another engine."""
        return self.kind is backend_servers.AllocationKind.IMPORTED_KV


class EngineMemory:
    """Allocations by id, charged to the memory of the timing model."""

    def __init__(
        self,
        model: engine_timing_model.EngineTimingModel,
        timer_service: timers.TimerService,
        history: history_module.History,
        on_freed: Callable[[], None],
    ) -> None:
        self._timing_model = model
        self._timers = timer_service
        self._history = history
        self._on_freed = on_freed
        self._reservations: dict[str, Allocation] = {}
        self._segments: dict[str, Allocation] = {}

    def __iter__(self) -> Iterator[Allocation]:
        """Iterates over all allocations."""
        yield from self._reservations.values()
        yield from self._segments.values()

    def segment(self, handle: str) -> Allocation | None:
        """Returns an exported or imported KV segment, if it exists."""
        return self._segments.get(handle)

    def create_reservation(
        self,
        reservation_id: str,
        owner: str,
        tokens: units.Tokens,
        lifetime: units.Seconds,
    ) -> bool:
        """Reserves memory if it is free; idempotent."""
        if reservation_id in self._reservations:
            return True
        if not self._timing_model.reserve(tokens):
            return False
        allocation = Allocation(
            backend_servers.AllocationKind.RESERVATION,
            reservation_id,
            owner,
            tokens,
        )
        self._reservations[reservation_id] = allocation
        self._schedule_expiry(allocation, lifetime)
        self._history.record(
            "hold", hold=reservation_id, tokens=tokens, owner=owner
        )
        return True

    def consume_reservation(self, reservation_id: str) -> bool:
        """Frees a reservation for the stream or export that it was made for."""
        return self._free(self._reservations, reservation_id, "use_hold")

    def release_reservation(self, reservation_id: str) -> bool:
        """Frees a reservation; returns whether it existed."""
        return self._free(self._reservations, reservation_id, "release_hold")

    def retain_export(
        self,
        handle: str,
        owner: str,
        tokens: units.Tokens,
        lifetime: units.Seconds,
    ) -> bool:
        """Reserves the memory that a finished prefill has just freed."""
        if not self._timing_model.reserve(tokens):
            return False
        allocation = Allocation(
            backend_servers.AllocationKind.EXPORTED_KV,
            handle,
            owner,
            tokens,
            tokens,
        )
        self._segments[handle] = allocation
        self._schedule_expiry(allocation, lifetime)
        self._history.record(
            "export", handle=handle, tokens=tokens, owner=owner
        )
        return True

    def attach_import(
        self, handle: str, owner: str, covered_tokens: units.Tokens
    ) -> bool:
        """Attaches a segment of another engine; idempotent."""
        if handle in self._segments:
            return True
        imports = [s for s in self._segments.values() if s.is_import]
        if len(imports) >= _MAX_IMPORTS:
            return False
        window = units.Tokens(min(covered_tokens, IMPORT_WINDOW_TOKENS))
        self._segments[handle] = Allocation(
            backend_servers.AllocationKind.IMPORTED_KV,
            handle,
            owner,
            window,
            covered_tokens,
        )
        self._history.record(
            "import", handle=handle, tokens=covered_tokens, owner=owner
        )
        return True

    def release_segment(self, handle: str) -> bool:
        """Frees a segment; returns whether it existed."""
        return self._free(self._segments, handle, "release_kv")

    def _schedule_expiry(
        self, allocation: Allocation, lifetime: units.Seconds
    ) -> None:
        allocations = (
            self._reservations
            if allocation.kind is backend_servers.AllocationKind.RESERVATION
            else self._segments
        )
        allocation.expiry = self._timers.schedule_at(
            units.after(self._timers.now(), lifetime),
            lambda: self._expire(allocations, allocation),
        )

    def _expire(
        self, allocations: dict[str, Allocation], allocation: Allocation
    ) -> None:
        if allocations.get(allocation.allocation_id) is allocation:
            self._free(allocations, allocation.allocation_id, "expire")

    def _free(
        self, allocations: dict[str, Allocation], name: str, action: str
    ) -> bool:
        allocation = allocations.pop(name, None)
        if allocation is None:
            return False
        if allocation.expiry is not None:
            allocation.expiry.cancel()
        if not allocation.is_import:
            self._timing_model.release(allocation.tokens)
        self._history.record(action, kind=allocation.kind.value, name=name)
        self._on_freed()
        return True
