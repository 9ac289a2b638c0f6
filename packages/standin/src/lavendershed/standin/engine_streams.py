"""Streams of an engine from their start until they are freed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin import history as history_module

# A stream can be resumed for this time after its end event was written, since
# the connection may have stalled before the event arrived.
_RESUME_RETENTION = units.Seconds(10.0)
_MISMATCH_SUFFIX = "not the text that this engine would have produced"


@dataclasses.dataclass(slots=True)
class LiveStream:
    """A stream and its progress.

    Attributes:
        first_offset: Offset of the first token produced by this engine.
        produced_tokens: Tokens produced by this engine.
        finished: Whether the last token was produced and its KV memory freed.
        delivered: Whether the end event was written to a connection.
        removed: Whether the stream was cancelled, has expired, or lost its
            model.
    """

    stream_id: str
    attempt_id: str
    owner: str
    model: str
    prompt: str
    first_offset: int
    max_tokens: int
    reserved_tokens: int
    produced_tokens: int = 0
    finished: bool = False
    delivered: bool = False
    removed: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    expiry: timers.Timer | None = None

    @property
    def end_offset(self) -> int:
        """Offset after the last produced token."""
        return self.first_offset + self.produced_tokens

    def token_text(self, offset: int) -> str:
        """Returns the text of the token at an offset."""
        return engine_timing_model.token_text(self.prompt, offset)

    def wake_readers(self) -> None:
        """Wakes all connections that wait for tokens."""
        self.changed.set()
        self.changed = asyncio.Event()


class StreamTable:
    """Streams of an engine by id."""

    def __init__(
        self,
        model: engine_timing_model.EngineTimingModel,
        timer_service: timers.TimerService,
        history: history_module.History,
    ) -> None:
        self._timing_model = model
        self._timers = timer_service
        self._history = history
        self._streams: dict[str, LiveStream] = {}

    def __iter__(self) -> Iterator[LiveStream]:
        """Iterates over the streams that are not fully delivered."""
        return (s for s in self._streams.values() if not s.delivered)

    def get(self, stream_id: str) -> LiveStream | None:
        """Returns a stream that can be read or resumed, if it exists."""
        return self._streams.get(stream_id)

    def add(
        self,
        stream: LiveStream,
        resume_text: str,
        deadline: units.Seconds,
    ) -> None:
        """Adds a started stream that expires after `deadline` seconds."""
        expected_text = "".join(
            engine_timing_model.token_text(stream.prompt, offset)
            for offset in range(stream.first_offset)
        )
        if resume_text != expected_text:
            # A wrong continuation must change the output, as it would with
            # a real model.
            stream.prompt += _MISMATCH_SUFFIX
        self._streams[stream.stream_id] = stream
        stream.expiry = self._timers.schedule_at(
            units.after(self._timers.now(), deadline),
            lambda: self._remove(stream, "expire"),
        )

    def on_token(self, stream_id: str, is_last: bool) -> LiveStream | None:
        """Records one produced token and wakes the readers."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return None
        stream.produced_tokens += 1
        if is_last:
            stream.finished = True
            self._history.record(
                "finish", stream=stream_id, tokens=stream.end_offset
            )
        stream.wake_readers()
        return stream

    def on_delivered(self, stream: LiveStream) -> None:
        """Keeps a completely delivered stream for the resume retention."""
        if stream.delivered or stream.removed:
            return
        stream.delivered = True
        if stream.expiry is not None:
            stream.expiry.cancel()
        stream.expiry = self._timers.schedule_at(
            units.after(self._timers.now(), _RESUME_RETENTION),
            lambda: self._discard(stream),
        )

    def cancel(self, stream_id: str) -> bool:
        """Cancels a stream; returns whether it existed."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return False
        self._remove(stream, "cancel")
        return True

    def end_streams_of_model(self, model: str) -> None:
        """Removes the unfinished streams of a model that was unloaded."""
        for stream in tuple(self._streams.values()):
            if stream.model == model and not stream.finished:
                self._remove(stream, "kill")

    def _remove(self, stream: LiveStream, action: str) -> None:
        if self._streams.get(stream.stream_id) is not stream:
            return
        self._timing_model.cancel(ids.StreamId(stream.stream_id))
        stream.removed = True
        self._discard(stream)
        self._history.record(action, stream=stream.stream_id)
        stream.wake_readers()

    def _discard(self, stream: LiveStream) -> None:
        if stream.expiry is not None:
            stream.expiry.cancel()
        if self._streams.get(stream.stream_id) is stream:
            del self._streams[stream.stream_id]
