"""OpenTelemetry instruments of forwarded requests."""

from __future__ import annotations

from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics
from opentelemetry.sdk import resources
import prometheus_client

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units

# Include the latency targets of the workloads (0.3, 1.5 and 3 s) and their
# timeouts (10 and 15 s) as bucket bounds.
_LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0, 15.0)


class RequestInstruments:
    """Counters and latency histograms of a daemon.

    Metrics are collected on each request to the metrics endpoint, because a
    periodic exporter would start a thread.
    """

    def __init__(self, vm: ids.VmId) -> None:
        registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=registry)
        provider = metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource({"service.instance.id": vm}),
            shutdown_on_exit=False,
        )
        meter = provider.get_meter("lavendershed")
        self._registry = registry
        self._refusals = meter.create_counter("lavendershed.refusals")
        self._unanswered = meter.create_counter(
            "lavendershed.unanswered_requests"
        )
        self._client_memory = meter.create_gauge(
            "lavendershed.client_memory", unit="By"
        )
        self._client_connections = meter.create_gauge(
            "lavendershed.client_connections"
        )
        self._given_up = meter.create_counter(
            "lavendershed.connections_given_up"
        )
        self._without_memory = meter.create_counter(
            "lavendershed.requests_without_memory"
        )
        self._accept_pauses = meter.create_counter("lavendershed.accept_pauses")
        self._delayed_inputs = meter.create_counter(
            "lavendershed.delayed_inputs"
        )
        self._attempts = meter.create_counter("lavendershed.attempts")
        self._exclusions = meter.create_counter("lavendershed.exclusions")
        self._engine_losses = meter.create_counter("lavendershed.engine_losses")
        self._relayed_requests = meter.create_counter(
            "lavendershed.relayed_requests"
        )
        self._cut_off = meter.create_gauge("lavendershed.cut_off")
        self._time_to_first_event = meter.create_histogram(
            "lavendershed.time_to_first_event",
            unit="s",
            explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
        )
        self._duration = meter.create_histogram(
            "lavendershed.request_duration",
            unit="s",
            explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
        )
        self._waiting_requests = meter.create_gauge(
            "lavendershed.waiting_requests"
        )
        self._issued_returns = meter.create_histogram(
            "lavendershed.retry_after",
            unit="s",
            explicit_bucket_boundaries_advisory=_LATENCY_BUCKETS_S,
        )
        self._configuration_version = meter.create_gauge(
            "lavendershed.configuration_version"
        )
        self._unexpected_errors = meter.create_counter(
            "lavendershed.unexpected_errors"
        )
        self._quarantines = meter.create_gauge(
            "lavendershed.prompt_part_quarantines"
        )
        self._limited_servers = meter.create_gauge(
            "lavendershed.limited_servers"
        )
        self._cold_engines = meter.create_gauge("lavendershed.cold_engines")
        self._leaving_servers = meter.create_gauge(
            "lavendershed.leaving_servers"
        )
        self._paused_servers = meter.create_gauge("lavendershed.paused_servers")
        self._pauses = meter.create_counter("lavendershed.server_pauses")
        self._store_era = meter.create_gauge("lavendershed.store_era")
        self._store_revision = meter.create_gauge("lavendershed.store_revision")
        self._permits = meter.create_counter("lavendershed.permits")
        self._evacuated_zones = meter.create_gauge(
            "lavendershed.evacuated_zones"
        )
        self._tasks_in_evacuated_zones = meter.create_gauge(
            "lavendershed.evacuated_zone_tasks"
        )
        self._object_age = meter.create_gauge(
            "lavendershed.store_objects_age", unit="s"
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def count_refusal(self, reason: str) -> None:
        """Counts a request that was not sent to any server, by reason."""
        self._refusals.add(1, {"reason": reason})

    def count_unanswered_request(self, listener: str, end: str) -> None:
        """Counts a request without a complete response, by its end."""
        self._unanswered.add(1, {"listener": listener, "end": end})

    def set_client_memory(
        self, listener: str, held: units.Bytes, connections: int
    ) -> None:
        """Sets what the callers of a listener hold."""
        self._client_memory.set(held, {"listener": listener})
        self._client_connections.set(connections, {"listener": listener})

    def count_given_up(self, listener: str, standing: str, count: int) -> None:
        """Counts connections that were closed to make room for others."""
        self._given_up.add(count, {"listener": listener, "standing": standing})

    def count_without_memory(self, listener: str, count: int) -> None:
        """Counts requests and responses for which there was no room."""
        self._without_memory.add(count, {"listener": listener})

    def count_accept_pauses(self, listener: str, count: int) -> None:
        """Counts the times that no connection was accepted for lack of room."""
        self._accept_pauses.add(count, {"listener": listener})

    def count_delayed_inputs(self, listener: str, count: int) -> None:
        """Counts input that had to wait for processor time when it came."""
        self._delayed_inputs.add(count, {"listener": listener})

    def count_failed_attempt(
        self, service: ids.ServiceId, server: ids.BackendServerId, end: str
    ) -> None:
        """Counts an attempt without a complete response, by its outcome."""
        self._attempts.add(
            1, {"service": service, "server": server, "outcome": end}
        )

    def count_exclusion(self, server: ids.BackendServerId, reason: str) -> None:
        """Counts an exclusion of a server from routing, by reason."""
        self._exclusions.add(1, {"server": server, "reason": reason})

    def count_engine_loss(self, cause: str, *, counted: bool) -> None:
        """Counts the loss of an engine under a request, by cause."""
        self._engine_losses.add(1, {"cause": cause, "counted": counted})

    def count_relayed_request(self, outcome: str) -> None:
        """Counts a request that was passed to a peer, by outcome."""
        self._relayed_requests.add(1, {"outcome": outcome})

    def set_cut_off(self, cut_off: bool) -> None:
        """Sets whether this daemon is cut off from all servers."""
        self._cut_off.set(int(cut_off))

    def record_time_to_first_event(
        self, service: ids.ServiceId, seconds: units.Seconds
    ) -> None:
        """Records the time from a request to its first response event."""
        self._time_to_first_event.record(seconds, {"service": service})

    def record_duration(
        self, kind: str, outcome: str, seconds: units.Seconds
    ) -> None:
        """Records the duration of a request, by kind and outcome."""
        self._duration.record(seconds, {"kind": kind, "outcome": outcome})

    def set_waiting_requests(self, service: ids.ServiceId, count: int) -> None:
        """Sets the number of requests that wait for capacity."""
        self._waiting_requests.set(count, {"service": service})

    def record_return(
        self, service: ids.ServiceId, retry_after: units.Seconds
    ) -> None:
        """Records the time after which a rejected caller may return."""
        self._issued_returns.record(retry_after, {"service": service})

    def set_configuration_version(self, version: ids.Epoch) -> None:
        """Sets the version of the active configuration."""
        self._configuration_version.set(version)

    def set_evacuations(self, zones: int, tasks: int) -> None:
        """Sets the numbers of evacuated zones and of open tasks in them."""
        self._evacuated_zones.set(zones)
        self._tasks_in_evacuated_zones.set(tasks)

    def set_object_age(self, kind: str, age: units.Seconds) -> None:
        """Sets the time since objects were confirmed to be the newest."""
        self._object_age.set(age, {"kind": kind})

    def count_permit(self, outcome: str) -> None:
        """Counts a request for a permit, by outcome."""
        self._permits.add(1, {"outcome": outcome})

    def set_limited_servers(self, count: int) -> None:
        """Sets the number of servers that name a request limit."""
        self._limited_servers.set(count)

    def set_cold_engines(self, count: int) -> None:
        """Sets the number of engines that are taken to be cold."""
        self._cold_engines.set(count)

    def set_leaving_servers(self, source: str, count: int) -> None:
        """Sets the number of listed servers known to leave, by source."""
        self._leaving_servers.set(count, {"source": source})

    def set_paused_servers(self, count: int) -> None:
        """Sets the number of servers that want nothing from this daemon now."""
        self._paused_servers.set(count)

    def count_pause(self, server: ids.BackendServerId) -> None:
        """Counts an answer that asks for a pause, by server."""
        self._pauses.add(1, {"server": server})

    def set_store_revision(
        self, kind: str, revision: store_revisions.StoreRevision
    ) -> None:
        """Sets the revision of the store in its latest answer, by kind."""
        self._store_era.set(revision.era, {"kind": kind})
        self._store_revision.set(revision.number, {"kind": kind})

    def count_unexpected_error(self, place: str) -> None:
        """Counts an unexpected exception, by what it ended."""
        self._unexpected_errors.add(1, {"place": place})

    def set_quarantines(self, count: int) -> None:
        """Sets the number of sets of prompt parts in quarantine."""
        self._quarantines.set(count)
