"""Memory that an engine keeps outside of running streams: holds and KV."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_model
from lavendershed.standin import history as history_module

# An engine reads imported KV from its source in pieces of this size, so that a
# prompt beyond its memory can attend to segments on other engines. The pieces
# are kept beside the KV memory that streams and holds share, so that an import
# fits next to a hold of all of it.
IMPORT_WINDOW_TOKENS = units.Tokens(2_048)
_MAX_IMPORTS = 64


@dataclasses.dataclass(slots=True)
class Allocation:
    """One hold, exported or imported KV segment.

    Attributes:
        tokens: Tokens of local memory.
        covered: Prompt tokens that an import of this segment saves.
        expiry: Timer that frees it, if it has a time limit.
    """

    kind: backend_servers.AllocationKind
    name: str
    owner: str
    tokens: units.Tokens
    covered: units.Tokens = units.Tokens(0)
    expiry: timers.Timer | None = None

    @property
    def is_import(self) -> bool:
        """Whether the KV itself is on another engine."""
        return self.kind is backend_servers.AllocationKind.IMPORTED_KV


class EngineMemory:
    """Named allocations beside the streams, taken from the timing model."""

    def __init__(
        self,
        model: engine_model.EngineModel,
        timer_service: timers.TimerService,
        history: history_module.History,
        on_freed: Callable[[], None],
    ) -> None:
        self._model = model
        self._timers = timer_service
        self._history = history
        self._on_freed = on_freed
        self._holds: dict[str, Allocation] = {}
        self._segments: dict[str, Allocation] = {}

    def __iter__(self) -> Iterator[Allocation]:
        """Iterates over all allocations."""
        yield from self._holds.values()
        yield from self._segments.values()

    def segment(self, name: str) -> Allocation | None:
        """Returns an exported or imported segment."""
        return self._segments.get(name)

    def hold(
        self,
        name: str,
        owner: str,
        tokens: units.Tokens,
        lifetime: units.Seconds,
    ) -> bool:
        """Reserves memory if it is free; a repeated call changes nothing."""
        if name in self._holds:
            return True
        if not self._model.hold(tokens):
            return False
        allocation = Allocation(
            backend_servers.AllocationKind.RESERVATION, name, owner, tokens
        )
        self._holds[name] = allocation
        self._expire_after(allocation, lifetime)
        self._history.record("hold", hold=name, tokens=tokens, owner=owner)
        return True

    def use_hold(self, name: str) -> bool:
        """Frees a hold for the work that it was taken for."""
        return self._free(self._holds, name, "use_hold")

    def release_hold(self, name: str) -> bool:
        """Frees a hold; returns whether there was one."""
        return self._free(self._holds, name, "release_hold")

    def keep_export(
        self,
        name: str,
        owner: str,
        tokens: units.Tokens,
        lifetime: units.Seconds,
    ) -> bool:
        """Keeps the KV of a prefill that has just freed its memory."""
        if not self._model.hold(tokens):
            return False
        allocation = Allocation(
            backend_servers.AllocationKind.EXPORTED_KV,
            name,
            owner,
            tokens,
            tokens,
        )
        self._segments[name] = allocation
        self._expire_after(allocation, lifetime)
        self._history.record("export", handle=name, tokens=tokens, owner=owner)
        return True

    def attach_import(
        self, name: str, owner: str, covered: units.Tokens
    ) -> bool:
        """Attaches a segment of another engine; repeated calls do nothing."""
        if name in self._segments:
            return True
        imports = [s for s in self._segments.values() if s.is_import]
        if len(imports) >= _MAX_IMPORTS:
            return False
        window = units.Tokens(min(covered, IMPORT_WINDOW_TOKENS))
        self._segments[name] = Allocation(
            backend_servers.AllocationKind.IMPORTED_KV,
            name,
            owner,
            window,
            covered,
        )
        self._history.record("import", handle=name, tokens=covered, owner=owner)
        return True

    def release_segment(self, name: str) -> bool:
        """Frees a segment; returns whether there was one."""
        return self._free(self._segments, name, "release_kv")

    def _expire_after(
        self, allocation: Allocation, lifetime: units.Seconds
    ) -> None:
        table = (
            self._holds
            if allocation.kind is backend_servers.AllocationKind.RESERVATION
            else self._segments
        )
        allocation.expiry = self._timers.schedule_at(
            units.after(self._timers.now(), lifetime),
            lambda: self._expire(table, allocation),
        )

    def _expire(
        self, table: dict[str, Allocation], allocation: Allocation
    ) -> None:
        if table.get(allocation.name) is allocation:
            self._free(table, allocation.name, "expire")

    def _free(
        self, table: dict[str, Allocation], name: str, action: str
    ) -> bool:
        allocation = table.pop(name, None)
        if allocation is None:
            return False
        if allocation.expiry is not None:
            allocation.expiry.cancel()
        if not allocation.is_import:
            self._model.unhold(allocation.tokens)
        self._history.record(action, kind=allocation.kind.value, name=name)
        self._on_freed()
        return True
