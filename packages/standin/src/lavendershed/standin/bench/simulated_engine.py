"""Simulated engine in virtual time."""

from __future__ import annotations

import collections
import dataclasses
import random

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin.bench import workload

# Engines refresh their load report at this interval; polls read the last one.
_REPORT_INTERVAL = units.Seconds(0.1)
_CACHE_EVENT_LOSS_SHARE = 0.05
_MAX_CACHE_EVENTS = 4_000
_MIN_STEP_DURATION = units.Seconds(0.001)


@dataclasses.dataclass(slots=True)
class SimulatedStream:
    """A stream's callbacks for its first token and its end."""

    on_first_token: timers.Callback
    on_end: timers.Callback
    started: bool = False


class SimulatedEngine:
    """Runs an engine timing model on the virtual clock."""

    def __init__(
        self, number: int, timer_service: timers.TimerService, seed: str
    ) -> None:
        self.zone = number % 3
        self.model = engine_timing_model.EngineTimingModel(workload.ENGINE)
        self.report = self._load_report(units.Instant(0.0))
        self.busy_s = 0.0
        self.prefilled_tokens = 0.0
        self.cache_events: collections.deque[
            tuple[units.Instant, backend_servers.CacheEvent]
        ] = collections.deque(maxlen=_MAX_CACHE_EVENTS)
        self._timers = timer_service
        self._random = random.Random(seed)
        self._last_sequence = 0
        self._step_scheduled = False
        self._streams: dict[ids.StreamId, SimulatedStream] = {}
        timer_service.schedule_every(_REPORT_INTERVAL, self._publish_report)

    def submit(
        self, spec: engine_timing_model.StreamSpec, stream: SimulatedStream
    ) -> None:
        """Starts a stream."""
        self.model.submit(spec).unwrap()
        self._streams[spec.stream_id] = stream
        if not self._step_scheduled:
            self._step()

    def cancel(self, stream_id: ids.StreamId) -> None:
        """Cancels a stream without calling its callbacks."""
        self.model.cancel(stream_id)
        self._streams.pop(stream_id, None)

    def _step(self) -> None:
        if self.model.idle:
            self._step_scheduled = False
            return
        self._step_scheduled = True
        step = self.model.step()
        self.prefilled_tokens += step.prefilled_tokens
        self.busy_s += step.duration
        now = self._timers.now()
        for stored, evicted in self.model.drain_cache_events():
            self._last_sequence += 1
            if self._random.random() < _CACHE_EVENT_LOSS_SHARE:
                continue
            event = backend_servers.CacheEvent(
                self._last_sequence, stored, evicted
            )
            self.cache_events.append((now, event))
        duration = max(step.duration, _MIN_STEP_DURATION)
        self._timers.schedule_at(
            units.after(now, units.Seconds(duration)),
            lambda: self._end_step(step),
        )

    def _end_step(self, step: engine_timing_model.Step) -> None:
        finished = set(step.finished)
        for stream_id in step.decoded:
            stream = self._streams.get(stream_id)
            if stream is None:
                continue
            if not stream.started:
                stream.started = True
                stream.on_first_token()
            if stream_id in finished:
                del self._streams[stream_id]
                stream.on_end()
        self._step()

    def _publish_report(self) -> None:
        self.report = self._load_report(self._timers.now())

    def _load_report(self, now: units.Instant) -> backend_servers.LoadReport:
        return backend_servers.LoadReport(
            now,
            ids.Incarnation(1),
            self.model.running,
            self.model.waiting,
            self.model.prefill_tokens_queued,
            units.Bytes(self.model.used_tokens),
            units.Bytes(workload.ENGINE.kv_tokens),
            states.EngineRole.GENERAL,
            (),
            False,
        )
