"""One attempt of a request that another daemon runs."""

from __future__ import annotations

import result

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import units
from lavendershed.forwarding import attempts
from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import event_splitter
from lavendershed.forwarding import parallel_attempts
from lavendershed.forwarding import relay
from lavendershed.forwarding import relayed_requests
from lavendershed.forwarding import requests
from lavendershed.forwarding import stream_delivery
from lavendershed.telemetry import events
from lavendershed.transport import client
from lavendershed.transport import errors

# The peer starts further attempts itself. Only a peer that is frozen or cut off
# exceeds these multiples of the targets, and these minima.
_HEAD_TARGET_FACTOR = 4.0
_STALL_FACTOR = 6.0
_MIN_TIMEOUT = units.Seconds(3.0)
_MIN_CALL_TIMEOUT = units.Seconds(1.0)
_DEFAULT_INTER_TOKEN_LATENCY = units.Seconds(0.5)
_MAX_RESPONSE_BODY = units.Bytes(8_000_000)
_CALL = client.RequestHead("POST", "/relayed-requests")
# Set for the connection between the daemons only.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        relay.RESULT_HEADER,
    }
)


class RelayedAttempt(parallel_attempts.Attempt):
    """Sends a request to a peer and forwards the response."""

    def __init__(
        self,
        context: context_module.ForwardingContext,
        admitted_request: context_module.AdmittedRequest,
        attempt_tracker: attempts.AttemptTracker,
        peer: addresses.Address,
        delivery: stream_delivery.StreamDelivery | None = None,
    ) -> None:
        super().__init__(context.timers, context.response_buffers)
        self._context = context
        self._admitted_request = admitted_request
        self._attempts = attempt_tracker
        self._peer = peer
        self._delivery = delivery
        # Counted before this attempt is one of those that run.
        self._max_servers = attempt_tracker.remaining_servers
        self._waits_since = context.timers.now()

    def record_start(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt runs."""
        tracker.record_relay_start(self._peer)

    def record_end(
        self,
        tracker: attempts.AttemptTracker,
        attempt_result: attempts.AttemptResult,
    ) -> None:
        """Records that this attempt has brought no complete response."""
        tracker.record_relay(self._peer, attempt_result)

    def record_close(self, tracker: attempts.AttemptTracker) -> None:
        """Records that this attempt was closed."""
        tracker.record_relay_close(self._peer)

    def _record_silence(self) -> None:
        context = self._context
        context.relay.on_failure(self._peer)
        context.log.emit(
            events.Event.ATTEMPT_OVERDUE,
            request=self._admitted_request.request.id,
            peer=str(self._peer),
            waited_ms=round(
                units.elapsed(self._waits_since, context.timers.now()) * 1_000
            ),
        )

    async def _run(self) -> attempts.AttemptResult:
        outcome = await self._connect_and_exchange()
        context = self._context
        context.instruments.count_relayed_request(outcome.outcome.value)
        context.log.emit(
            events.Event.REQUEST_RELAYED,
            request=self._admitted_request.request.id,
            peer=str(self._peer),
            outcome=outcome.outcome.value,
            detail=outcome.detail,
            cut_off=context.relay.is_cut_off,
        )
        return outcome

    async def _connect_and_exchange(self) -> attempts.AttemptResult:
        client_of_peers = self._context.relay
        connected = await client_of_peers.connect(
            self._peer,
            new_connection=not self._admitted_request.route.idempotent,
        )
        if isinstance(connected, result.Err):
            return _failed(
                forwarding_states.AttemptOutcome.NOT_SENT,
                connected.err_value.detail,
            )
        connection = connected.ok_value
        reusable = False
        try:
            outcome = await self._exchange(connection)
            reusable = (
                outcome.outcome is forwarding_states.AttemptOutcome.COMPLETE
            )
            return outcome
        finally:
            client_of_peers.disconnect(
                self._peer, connection, reusable=reusable
            )

    async def _exchange(
        self, connection: client.ClientConnection
    ) -> attempts.AttemptResult:
        last_event_id = self._admitted_request.request.last_event_id
        if self._delivery is not None:
            last_event_id = self._delivery.last_event_id
        body = relayed_requests.encode(
            self._admitted_request,
            last_event_id,
            self._max_servers,
            self._context.timers.now(),
            begun=self._delivery is not None and self._delivery.started,
        )
        if self._may_be_repeated:
            self._expect_within(self._head_timeout)
        sent = await connection.send(_CALL, body, self._time_left)
        if isinstance(sent, result.Err):
            return self._on_transport_error(sent.err_value)
        head = await connection.read_head(self._time_left)
        if isinstance(head, result.Err):
            return self._on_transport_error(head.err_value)
        relay_result = head.ok_value.header(relay.RESULT_HEADER)
        if relay_result == relay.RelayResult.REFUSED.value:
            return self._on_refused(head.ok_value)
        response = _response_head(head.ok_value)
        if (
            relay_result == relay.RelayResult.STREAM.value
            and self._delivery is not None
        ):
            return await self._forward_events(
                connection, response, self._delivery
            )
        if relay_result != relay.RelayResult.WHOLE.value:
            return _failed(
                forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                f"{self._peer} did not name its result",
            )
        content = await connection.read_body(
            self._time_left, _MAX_RESPONSE_BODY, self._buffer
        )
        if isinstance(content, result.Err):
            return self._on_transport_error(content.err_value)
        if self._delivery is not None and self._delivery.started:
            # A response that has begun can't turn into a failure.
            return _failed(
                forwarding_states.AttemptOutcome.REFUSED,
                f"{self._peer} could not resume the stream",
            )
        if self._context.caller_codec.says_not_run(
            response.status
        ) and self._attempts.may_run_elsewhere(self._peer):
            # The peer speaks of its own attempts only.
            return _failed(
                forwarding_states.AttemptOutcome.REFUSED,
                f"{self._peer} has not run the request",
            )
        return attempts.AttemptResult(
            forwarding_states.AttemptOutcome.COMPLETE,
            response=requests.BackendResponse(response, content.ok_value),
        )

    def _on_refused(self, head: client.ResponseHead) -> attempts.AttemptResult:
        """Handles a refusal; another peer is asked."""
        scope = head.header(relay.REFUSAL_HEADER)
        if scope == relay.RefusalScope.REQUEST.value:
            return _failed(
                forwarding_states.AttemptOutcome.NOT_SENT,
                f"{self._peer} can't run this request",
            )
        self._context.relay.on_failure(self._peer)
        return _failed(
            forwarding_states.AttemptOutcome.NOT_SENT,
            f"{self._peer} runs no requests of other daemons",
        )

    async def _forward_events(
        self,
        connection: client.ClientConnection,
        response: requests.BackendResponseHead,
        delivery: stream_delivery.StreamDelivery,
    ) -> attempts.AttemptResult:
        """Forwards complete events until the stream ends."""
        splitter = event_splitter.EventSplitter()
        while True:
            chunk = await connection.read_chunk(self._time_left)
            if isinstance(chunk, result.Err):
                return self._on_transport_error(chunk.err_value)
            if not chunk.ok_value:
                if splitter.has_partial_event:
                    return _failed(
                        forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                        "stream ended with an incomplete event",
                    )
                delivery.start(response)
                return attempts.AttemptResult(
                    forwarding_states.AttemptOutcome.COMPLETE
                )
            relayed_events = splitter.feed(chunk.ok_value)
            if not self._buffer.resize(splitter.buffered_bytes):
                return _failed(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    "memory for events is used up",
                )
            in_order = delivery.in_order_prefix(relayed_events)
            if in_order:
                self._on_progress()
                # A slow caller does not make a peer late.
                self._progress.suspend()
                await delivery.forward(None, response, in_order)
                if self._may_be_repeated:
                    self._expect_within(self._next_event_timeout)
            if splitter.is_oversized or len(in_order) < len(relayed_events):
                return _failed(
                    forwarding_states.AttemptOutcome.INVALID_RESPONSE,
                    "events are not consecutive or too large",
                )

    @property
    def _time_left(self) -> units.Seconds:
        return units.Seconds(max(0.0, self._attempts.time_left))

    @property
    def _may_be_repeated(self) -> bool:
        return self._admitted_request.route.idempotent

    def _expect_within(self, timeout: units.Seconds) -> None:
        """Expects the next part of the answer within `timeout` seconds."""
        self._waits_since = self._context.timers.now()
        self._progress.expect_by(units.after(self._waits_since, timeout))

    @property
    def _head_timeout(self) -> units.Seconds:
        minimum = _MIN_CALL_TIMEOUT if self._delivery is None else _MIN_TIMEOUT
        target = self._admitted_request.route.target_latency
        return units.Seconds(max(minimum, target * _HEAD_TARGET_FACTOR))

    @property
    def _next_event_timeout(self) -> units.Seconds:
        gap = (
            self._admitted_request.route.target_inter_token_latency
            or _DEFAULT_INTER_TOKEN_LATENCY
        )
        return units.Seconds(max(_MIN_TIMEOUT, gap * _STALL_FACTOR))

    def _on_transport_error(
        self, error: errors.TransportError
    ) -> attempts.AttemptResult:
        """Handles a peer that was lost; it may have run the request."""
        if not error.sent:
            return _failed(
                forwarding_states.AttemptOutcome.NOT_SENT, error.detail
            )
        if self._time_left > attempts.MIN_ATTEMPT_TIME:
            self._context.relay.on_failure(self._peer)
        if error.kind is errors.TransportErrorKind.IDLE_TIMEOUT:
            return _failed(
                forwarding_states.AttemptOutcome.STALLED, error.detail
            )
        return _failed(forwarding_states.AttemptOutcome.LOST, error.detail)


def _failed(
    outcome: forwarding_states.AttemptOutcome, detail: str
) -> attempts.AttemptResult:
    return attempts.AttemptResult(outcome, detail)


def _response_head(head: client.ResponseHead) -> requests.BackendResponseHead:
    return requests.BackendResponseHead(
        requests.ResponseKind.SUCCESS,
        head.status,
        tuple(
            (name, value)
            for name, value in head.headers
            if name not in _CONNECTION_HEADERS
        ),
    )
