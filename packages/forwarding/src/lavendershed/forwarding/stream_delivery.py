"""Delivery of stream events to the caller."""

from __future__ import annotations

from lavendershed.core import units
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.transport import handlers

# Engines number events from zero or one.
_FIRST_EVENT_IDS = (0, 1)


class StreamDelivery:
    """Forwards events in order across all attempts of one request."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        responder: handlers.Responder,
    ) -> None:
        self._context = context
        self._admitted_request = admitted_request
        self._responder = responder
        self._last_event_id = admitted_request.request.last_event_id
        self._first_event_at: units.Instant | None = None
        self._last_event_at = admitted_request.received_at
        self._longest_event_gap = units.Seconds(0.0)
        self._gap_after_longest: units.Seconds | None = None

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event that the caller has; None without any."""
        return self._last_event_id

    @property
    def last_event_at(self) -> units.Instant:
        """Time of the last forwarded event; at first that of the request."""
        return self._last_event_at

    @property
    def first_event_at(self) -> units.Instant | None:
        """Time of the first forwarded event; None without any."""
        return self._first_event_at

    @property
    def longest_event_gap(self) -> units.Seconds:
        """Longest time between two forwarded events."""
        return self._longest_event_gap

    @property
    def gap_after_longest(self) -> units.Seconds | None:
        """Time from the event that ended the longest gap to the next one.

        Events that a lost packet has held up come together; an engine that
        prefills a prompt between two events goes on at its usual pace. None if
        the stream ended with the longest gap.
        """
        return self._gap_after_longest

    @property
    def started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._responder.started

    def start(self, response: requests.BackendResponseHead) -> None:
        """Sends the response head, unless an earlier attempt has."""
        if not self._responder.started:
            self._responder.start(response.status, response.headers)

    def in_order_prefix(
        self, events: tuple[event_splitter.Event, ...]
    ) -> tuple[event_splitter.Event, ...]:
        """Returns the events before the first one out of sequence."""
        last_id = self._last_event_id
        for position, event in enumerate(events):
            if event.has_invalid_id:
                return events[:position]
            if event.event_id is None:
                continue
            if event.event_id not in _allowed_next_ids(last_id):
                return events[:position]
            last_id = event.event_id
        return events

    async def forward(
        self,
        engine: server_directory.ServerEntry | None,
        response: requests.BackendResponseHead,
        events: tuple[event_splitter.Event, ...],
    ) -> None:
        """Sends events to the caller and records the inter-token latency.

        Args:
            engine: The engine that sent them; None if a peer relays them.
            response: Head of the response.
            events: Events in sequence.
        """
        self._record_event_time(engine)
        event_ids = [e.event_id for e in events if e.event_id is not None]
        if event_ids:
            self._last_event_id = event_ids[-1]
        self.start(response)
        await self._responder.write(b"".join(event.raw for event in events))

    async def forward_comments(
        self, comments: tuple[event_splitter.Event, ...]
    ) -> None:
        """Sends comments that no event follows."""
        if comments:
            await self._responder.write(b"".join(c.raw for c in comments))

    def _record_event_time(
        self, engine: server_directory.ServerEntry | None
    ) -> None:
        now = self._context.timers.now()
        if self._first_event_at is None:
            self._first_event_at = now
            self._context.instruments.record_time_to_first_event(
                self._admitted_request.service.id,
                units.elapsed(self._admitted_request.received_at, now),
            )
        else:
            gap = units.elapsed(self._last_event_at, now)
            if gap > self._longest_event_gap:
                self._longest_event_gap = gap
                self._gap_after_longest = None
            elif self._gap_after_longest is None:
                self._gap_after_longest = gap
            if engine is not None:
                self._record_inter_token_latency(engine, gap, now)
        self._last_event_at = now

    def _record_inter_token_latency(
        self,
        engine: server_directory.ServerEntry,
        gap: units.Seconds,
        now: units.Instant,
    ) -> None:
        choosers = self._context.choosers
        predicted_ms = choosers.predicted_iteration_ms(
            self._admitted_request.service, engine.id
        )
        choosers.slowdowns.on_inter_token_latency(
            engine.id, gap * 1_000, predicted_ms, now
        )


def _allowed_next_ids(last_id: int | None) -> tuple[int, ...]:
    """Returns the ids that the next event may have."""
    return _FIRST_EVENT_IDS if last_id is None else (last_id + 1,)
