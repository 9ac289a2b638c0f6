"""KV segments that an engine prefills for use by other engines."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_memory
from lavendershed.standin import engine_timing_model

# Prefix of the timing model's stream ids that represent exports.
_STREAM_ID_PREFIX = "export:"


@dataclasses.dataclass(slots=True)
class Export:
    """A segment whose prefill is in progress.

    Attributes:
        owner: Owner of the segment.
        tokens: Size of the segment in tokens.
        deadline: Time at which the export is cancelled.
        retained: Resolves to whether the segment stays in memory.
        expiry: Timer for the deadline.
    """

    owner: str
    tokens: units.Tokens
    deadline: units.Instant
    retained: asyncio.Future[bool]
    expiry: timers.Timer | None = None


def export_stream_id(handle: str) -> str:
    """Returns the id of the stream that represents an export."""
    return _STREAM_ID_PREFIX + handle


class ExportTable:
    """Exports from their start until they are retained or cancelled."""

    def __init__(
        self,
        model: engine_timing_model.EngineTimingModel,
        memory: engine_memory.EngineMemory,
        timer_service: timers.TimerService,
    ) -> None:
        self._timing_model = model
        self._memory = memory
        self._timers = timer_service
        self._exports: dict[str, Export] = {}

    def __contains__(self, handle: str) -> bool:
        """Returns whether an export is in progress."""
        return handle in self._exports

    def __iter__(self) -> Iterator[tuple[str, Export]]:
        """Iterates over the exports whose segment is not in memory yet."""
        return (
            (handle, export)
            for handle, export in self._exports.items()
            if self._memory.segment(handle) is None
        )

    def start(
        self,
        handle: str,
        owner: str,
        tokens: units.Tokens,
        lifetime: units.Seconds,
    ) -> asyncio.Future[bool]:
        """Adds an export; the future tells whether the segment was retained."""
        export = Export(
            owner,
            tokens,
            units.after(self._timers.now(), lifetime),
            asyncio.get_running_loop().create_future(),
        )
        export.expiry = self._timers.schedule_at(
            export.deadline, lambda: self.cancel(handle)
        )
        self._exports[handle] = export
        return export.retained

    def retain_finished(self, finished_streams: Iterable[str]) -> list[str]:
        """Retains the memory of the exports among finished streams."""
        handles = [
            stream_id.removeprefix(_STREAM_ID_PREFIX)
            for stream_id in finished_streams
            if stream_id.startswith(_STREAM_ID_PREFIX)
        ]
        for handle in handles:
            export = self._exports.get(handle)
            if export is not None:
                self._memory.retain_export(
                    handle,
                    export.owner,
                    export.tokens,
                    units.elapsed(self._timers.now(), export.deadline),
                )
        return handles

    def complete(self, handles: Iterable[str]) -> None:
        """Resolves the futures of finished exports."""
        for handle in handles:
            export = self._exports.pop(handle, None)
            if export is None:
                continue
            if export.expiry is not None:
                export.expiry.cancel()
            if not export.retained.done():
                export.retained.set_result(
                    self._memory.segment(handle) is not None
                )

    def cancel(self, handle: str) -> None:
        """Cancels an export; unknown handles are ignored."""
        export = self._exports.pop(handle, None)
        if export is None:
            return
        if export.expiry is not None:
            export.expiry.cancel()
        self._timing_model.cancel(ids.StreamId(export_stream_id(handle)))
        if not export.retained.done():
            export.retained.set_result(False)
