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
from lavendershed.standin import engine_model

# Streams of the timing model that stand for an export.
_PREFIX = "export:"


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
    kept: asyncio.Future[bool]
    expiry: timers.Timer | None = None


def stream_name(name: str) -> str:
    """Returns the stream of the timing model that stands for an export."""
    return _PREFIX + name


class ExportTable:
    """Exports from their start until their memory is kept or given up."""

    def __init__(
        self,
        model: engine_model.EngineModel,
        memory: engine_memory.EngineMemory,
        timer_service: timers.TimerService,
    ) -> None:
        self._model = model
        self._memory = memory
        self._timers = timer_service
        self._exports: dict[str, Export] = {}

    def __contains__(self, name: str) -> bool:
        """Returns whether an export is under way."""
        return name in self._exports

    def __iter__(self) -> Iterator[tuple[str, Export]]:
        """Iterates over the exports whose memory is not kept yet."""
        return (
            (name, export)
            for name, export in self._exports.items()
            if self._memory.segment(name) is None
        )

    def start(
        self,
        name: str,
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
            export.deadline, lambda: self.drop(name)
        )
        self._exports[name] = export
        return export.kept

    def keep(self, finished: Iterable[str]) -> list[str]:
        """Takes over the memory of exports among finished streams."""
        names = [
            stream.removeprefix(_PREFIX)
            for stream in finished
            if stream.startswith(_PREFIX)
        ]
        for name in names:
            export = self._exports.get(name)
            if export is not None:
                self._memory.keep_export(
                    name,
                    export.owner,
                    export.tokens,
                    units.elapsed(self._timers.now(), export.deadline),
                )
        return names

    def finish(self, names: Iterable[str]) -> None:
        """Tells those who wait for exports whether their memory is kept."""
        for name in names:
            export = self._exports.pop(name, None)
            if export is None:
                continue
            if export.expiry is not None:
                export.expiry.cancel()
            if not export.kept.done():
                export.kept.set_result(self._memory.segment(name) is not None)

    def drop(self, name: str) -> None:
        """Gives an export up; unknown names are ignored."""
        export = self._exports.pop(name, None)
        if export is None:
            return
        if export.expiry is not None:
            export.expiry.cancel()
        self._model.cancel(ids.StreamId(stream_name(name)))
        if not export.kept.done():
            export.kept.set_result(False)
