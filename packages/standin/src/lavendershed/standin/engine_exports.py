"""KV segments that an engine prefills for export."""

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

# Streams of the timing model that stand for an export.
_STREAM_ID_PREFIX = "export:"


@dataclasses.dataclass(slots=True)
class Export:
    """A segment that is being prefilled.

    Attributes:
        owner: Who asked for it.
        tokens: Tokens that it will hold.
        deadline: When it is given up.
        kept: Whether the segment is kept, once that is known.
        expiry: Timer of the deadline.
    """

    owner: str
    tokens: units.Tokens
    deadline: units.Instant
    retained: asyncio.Future[bool]
    expiry: timers.Timer | None = None


def export_stream_id(handle: str) -> str:
    """Returns the stream of the timing model that stands for an export."""
    return _STREAM_ID_PREFIX + handle


class ExportTable:
    """Exports from their start until their memory is kept or given up."""

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
        """Returns whether an export is under way."""
        return handle in self._exports

    def __iter__(self) -> Iterator[tuple[str, Export]]:
        """Iterates over the exports whose memory is not kept yet."""
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
        """Adds an export; the result tells whether its memory is kept."""
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
        """Takes over the memory of exports among finished streams."""
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
        """Tells those who wait for exports whether their memory is kept."""
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
        """Gives an export up; unknown names are ignored."""
        export = self._exports.pop(handle, None)
        if export is None:
            return
        if export.expiry is not None:
            export.expiry.cancel()
        self._timing_model.cancel(ids.StreamId(export_stream_id(handle)))
        if not export.retained.done():
            export.retained.set_result(False)
