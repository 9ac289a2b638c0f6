"""OpenTelemetry instruments, exported through the Prometheus endpoint."""

from __future__ import annotations

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics
from opentelemetry.sdk import resources
import prometheus_client

from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


class Instruments:
    """All instruments of a daemon.

    Metrics are collected on each request to `/metrics`, because a periodic
    exporter would start a thread.
    """

    def __init__(self, vm: ids.VmId) -> None:
        reader = prometheus.PrometheusMetricReader()
        provider = metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource({"service.instance.id": vm}),
            shutdown_on_exit=False,
        )
        meter = provider.get_meter("lavendershed")
        self._ttft = meter.create_histogram(
            "lavendershed.time_to_first_token", unit="s"
        )
        self._time_between_tokens = meter.create_histogram(
            "lavendershed.time_between_tokens", unit="s"
        )
        self._queue_time = meter.create_histogram(
            "lavendershed.queue_time", unit="s"
        )
        self._refusals = meter.create_counter("lavendershed.refusals")
        self._attempts = meter.create_counter("lavendershed.attempts")
        self._executions = meter.create_counter("lavendershed.executions")
        self._in_flight = meter.create_up_down_counter("lavendershed.in_flight")
        self._epoch = meter.create_gauge("lavendershed.configuration_epoch")
        self._bookings_unsettled = meter.create_gauge(
            "lavendershed.bookings_unsettled"
        )
        self._unexpected_errors = meter.create_counter(
            "lavendershed.unexpected_errors"
        )
        self._unanswered = meter.create_counter(
            "lavendershed.unanswered_requests"
        )
        self._store_calls = meter.create_counter("lavendershed.store_calls")

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def record_time_to_first_token(
        self,
        service: ids.ServiceId,
        prompt_class: states.PromptClass,
        delay: units.Seconds,
    ) -> None:
        """Records the time from arrival to the first token."""
        labels = {"service": service, "prompt_class": prompt_class.value}
        self._ttft.record(delay, labels)

    def record_queue_time(
        self, service: ids.ServiceId, delay: units.Seconds
    ) -> None:
        """Records the time that a request waited in the queue."""
        self._queue_time.record(delay, {"service": service})

    def count_refusal(
        self, service: ids.ServiceId, reason: states.FailureReason
    ) -> None:
        """Counts a rejected request by reason."""
        labels = {"service": service, "reason": reason.value}
        self._refusals.add(1, labels)

    def count_attempt(self, service: ids.ServiceId, outcome: str) -> None:
        """Counts an attempt by outcome."""
        self._attempts.add(1, {"service": service, "outcome": outcome})

    def count_execution(
        self, service: ids.ServiceId, execution: states.Execution
    ) -> None:
        """Counts a finished request by its execution status."""
        labels = {"service": service, "execution": execution.value}
        self._executions.add(1, labels)

    def add_in_flight(self, service: ids.ServiceId, change: int) -> None:
        """Adds `change` to the requests in flight."""
        self._in_flight.add(change, {"service": service})

    def set_epoch(self, epoch: ids.Epoch) -> None:
        """Sets the epoch of the active configuration."""
        self._epoch.set(epoch)

    def set_unsettled_bookings(self, count: int) -> None:
        """Sets the number of bookings whose final state is not yet stored."""
        self._bookings_unsettled.set(count)

    def count_unexpected_error(self, place: str) -> None:
        """Counts an unexpected exception, by what it ended."""
        self._unexpected_errors.add(1, {"place": place})

    def count_unanswered_request(self, listener: str, end: str) -> None:
        """Counts a request without a complete response, by its end."""
        self._unanswered.add(1, {"listener": listener, "end": end})

    def count_store_call(self, operation: str, outcome: str) -> None:
        """Counts a call to the object store by operation and outcome."""
        self._store_calls.add(1, {"operation": operation, "outcome": outcome})
