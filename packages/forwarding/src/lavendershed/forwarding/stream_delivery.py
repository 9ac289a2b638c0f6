"""Delivery of a stream's events to its caller."""

from __future__ import annotations

from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.transport import handlers

# Engines count events from zero or one.
_FIRST_NUMBERS = (0, 1)


class StreamDelivery:
    """Passes on events in order, over all attempts of one request."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted: context_module.Admitted,
        responder: handlers.Responder,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._responder = responder
        self._last_event = admitted.caller.last_event
        self._first_event_at: units.Instant | None = None
        self._last_event_at = admitted.received
        self._longest_pause = units.Seconds(0.0)

    @property
    def last_event(self) -> int | None:
        """Number of the last event that the caller has; None without any."""
        return self._last_event

    @property
    def last_event_at(self) -> units.Instant:
        """When the last event was passed on, or the request was received."""
        return self._last_event_at

    @property
    def first_event_at(self) -> units.Instant | None:
        """When the first event was passed on."""
        return self._first_event_at

    @property
    def longest_pause(self) -> units.Seconds:
        """Longest time between two events."""
        return self._longest_pause

    @property
    def started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._responder.started

    def start(self, answer: requests.AnswerHead) -> None:
        """Sends the head of the first engine's answer, once."""
        if not self._responder.started:
            self._responder.start(answer.status, answer.headers)

    def following(
        self, received: tuple[event_splitter.Event, ...]
    ) -> tuple[event_splitter.Event, ...]:
        """Returns the events up to the first that does not follow."""
        last = self._last_event
        for position, event in enumerate(received):
            if event.number is None:
                continue
            if event.number not in _next_numbers(last):
                return received[:position]
            last = event.number
        return received

    async def pass_on(
        self,
        entry: server_directory.ServerEntry,
        answer: requests.AnswerHead,
        following: tuple[event_splitter.Event, ...],
    ) -> None:
        """Sends events to the caller and notes when and from which engine."""
        self._note(entry)
        known = [e.number for e in following if e.number is not None]
        if known:
            self._last_event = known[-1]
        self.start(answer)
        await self._responder.write(
            b"".join(event.encoded for event in following)
        )

    def _note(self, entry: server_directory.ServerEntry) -> None:
        now = self._context.timers.now()
        if self._first_event_at is None:
            self._first_event_at = now
            self._context.instruments.record_time_to_first_event(
                self._admitted.service.id,
                units.elapsed(self._admitted.received, now),
            )
        else:
            pause = units.elapsed(self._last_event_at, now)
            self._longest_pause = max(self._longest_pause, pause)
            choosers = self._context.choosers
            predicted = choosers.predicted_pass_ms(
                self._admitted.service, entry.id
            )
            choosers.paces.on_inter_token_latency(
                entry.id, pause * 1_000, predicted, now
            )
        self._last_event_at = now


def _next_numbers(last: int | None) -> tuple[int, ...]:
    """Returns the numbers that the next event may have."""
    return _FIRST_NUMBERS if last is None else (last + 1,)
