"""Health of backend servers, aggregated from all sources."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.telemetry import events
from lavendershed.telemetry import log

_INITIAL_BACKOFF = units.Seconds(0.5)
_MAX_BACKOFF = units.Seconds(10.0)
# A single lost or timed-out connection says little about its server, so it
# doesn't open the circuit. A refused connection counts as this many failures.
_FAILURE_THRESHOLD = 3
_PROBE_TIMEOUT = units.Seconds(2.0)
# A leaving report without an incarnation can't be ended by a new incarnation,
# so it expires.
_LEAVING_TTL_WITHOUT_INCARNATION = units.Seconds(30.0)
_PUBLISH_INTERVAL = units.Seconds(30.0)
_MAX_REPLACED_INCARNATIONS = 16

_COUNTED_ERROR_KINDS = {
    backend_servers.BackendErrorKind.CONNECTION_LOST,
    backend_servers.BackendErrorKind.IDLE_TIMEOUT,
}


@dataclasses.dataclass(slots=True)
class _ServerState:
    """Health state of one backend server, with its circuit breaker.

    Attributes:
        incarnation: Incarnation in the server's latest load report.
        replaced_incarnations: Earlier incarnations of the server.
        leaving_incarnation: The incarnation that is leaving, if any.
        leaving_until: Expiry of a leaving report without an incarnation.
        vm_leaving: Whether the platform's list marks the server's VM as
            leaving.
        consecutive_failures: Number of failures since the last success.
        consecutive_backoffs: Number of backoffs since the last success.
        down_until: End of the current backoff; None if the circuit is closed.
        last_failure_at: Time of the last failed call.
        probe_until: Time-out of the outstanding probe, if any.
        published_at: When the leaving record was last published.
        reserved: Whether the engine has the role RESERVE, in which placement
            drains it.
    """

    incarnation: ids.Incarnation | None = None
    replaced_incarnations: list[ids.Incarnation] = dataclasses.field(
        default_factory=list
    )
    leaving_incarnation: ids.Incarnation | None = None
    leaving_until: units.Instant | None = None
    vm_leaving: bool = False
    consecutive_failures: int = 0
    consecutive_backoffs: int = 0
    down_until: units.Instant | None = None
    last_failure_at: units.Instant | None = None
    probe_until: units.Instant | None = None
    published_at: units.Instant | None = None
    reserved: bool = False


class BackendHealth:
    """Decides which backend servers may receive new work.

    A leaving report from any source stops new work immediately and is
    published to the other daemons. Only a newer incarnation ends it. The
    server's own load reports determine its latest incarnation.
    """

    def __init__(
        self,
        timer_service: timers.TimerService,
        generator: random.Random,
        exchange: cluster.RecordExchange,
        event_log: log.EventLog,
    ) -> None:
        self._timers = timer_service
        self._random = generator
        self._exchange = exchange
        self._log = event_log
        self._servers: dict[ids.BackendServerId, _ServerState] = {}
        self._vm_by_server: dict[ids.BackendServerId, ids.VmId] = {}
        self._servers_of_same_service: dict[
            ids.BackendServerId, tuple[ids.BackendServerId, ...]
        ] = {}
        exchange.subscribe(self._on_record)

    def accepts_work(self, server: ids.BackendServerId) -> bool:
        """Returns whether new work may be sent to a server."""
        server_state = self._servers.get(server)
        if server_state is not None and server_state.reserved:
            return False
        health = self.health_of(server)
        if health is not states.BackendServerHealth.DOWN:
            return health is not states.BackendServerHealth.LEAVING
        return self._is_last_resort(server)

    def health_of(
        self, server: ids.BackendServerId
    ) -> states.BackendServerHealth:
        """Returns the health of a server; SUSPECT means that a probe is due."""
        server_state = self._servers.get(server)
        if server_state is None:
            return states.BackendServerHealth.UP
        now = self._timers.now()
        if self._is_leaving(server_state, now):
            return states.BackendServerHealth.LEAVING
        if server_state.down_until is None:
            return states.BackendServerHealth.UP
        if now < server_state.down_until or (
            server_state.probe_until is not None
            and now < server_state.probe_until
        ):
            return states.BackendServerHealth.DOWN
        return states.BackendServerHealth.SUSPECT

    def on_request_sent(self, server: ids.BackendServerId) -> None:
        """Records a request sent to a server.

        On a suspect server, the request is the probe: no other is sent until
        it ends or times out.
        """
        server_state = self._servers.get(server)
        if server_state is not None and server_state.down_until is not None:
            server_state.probe_until = units.after(
                self._timers.now(), _PROBE_TIMEOUT
            )

    def on_load_report(
        self,
        server: ids.BackendServerId,
        report: backend_servers.LoadReport,
    ) -> None:
        """Processes a load report of an engine."""
        server_state = self._state_of(server)
        if server_state.incarnation != report.incarnation:
            if server_state.incarnation is not None:
                server_state.replaced_incarnations.append(
                    server_state.incarnation
                )
                del server_state.replaced_incarnations[
                    :-_MAX_REPLACED_INCARNATIONS
                ]
            server_state.incarnation = report.incarnation
        self._close_circuit(server, server_state)
        server_state.reserved = report.role is states.EngineRole.RESERVE
        if report.leaving:
            self._mark_leaving(server, report.incarnation, "load_report")
            return
        if (
            server_state.leaving_incarnation is not None
            and server_state.leaving_incarnation != report.incarnation
        ):
            server_state.replaced_incarnations.append(
                server_state.leaving_incarnation
            )
            server_state.leaving_incarnation = None
            self._log_up(server)

    def on_error(
        self,
        server: ids.BackendServerId,
        error: backend_servers.BackendError,
    ) -> None:
        """Processes a failed call."""
        server_state = self._state_of(server)
        if error.leaving:
            self._mark_leaving(server, server_state.incarnation, "refused_call")
            return
        if error.kind is backend_servers.BackendErrorKind.CONNECTION_REFUSED:
            self._on_failure(server, server_state, _FAILURE_THRESHOLD)
        elif error.kind in _COUNTED_ERROR_KINDS:
            self._on_failure(server, server_state, 1)

    def on_success(self, server: ids.BackendServerId) -> None:
        """Processes a successful call."""
        server_state = self._servers.get(server)
        if server_state is not None:
            self._close_circuit(server, server_state)

    def on_vm_list(self, vms: object_store.VmList) -> None:
        """Processes the platform's VM list, which lags behind.

        A VM that is neither live nor leaving may be too new to be listed.
        """
        for server, vm in self._vm_by_server.items():
            if vm in vms.leaving:
                server_state = self._state_of(server)
                server_state.vm_leaving = True
                self._mark_leaving(server, server_state.incarnation, "vm_list")
            elif vm in vms.live and server in self._servers:
                self._servers[server].vm_leaving = False

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Updates the configured servers; drops the state of removed ones."""
        self._vm_by_server = {}
        self._servers_of_same_service = {}
        for service in new.services.values():
            names = tuple(server.name for server in service.backend_servers)
            self._servers_of_same_service |= dict.fromkeys(names, names)
            self._vm_by_server |= {
                server.name: server.vm
                for server in service.backend_servers
                if server.vm is not None
            }
        for name in tuple(self._servers):
            if name not in self._servers_of_same_service:
                del self._servers[name]

    def _state_of(self, server: ids.BackendServerId) -> _ServerState:
        return self._servers.setdefault(server, _ServerState())

    def _is_leaving(
        self, server_state: _ServerState, now: units.Instant
    ) -> bool:
        return (
            server_state.vm_leaving
            or server_state.leaving_incarnation is not None
            or (
                server_state.leaving_until is not None
                and now < server_state.leaving_until
            )
        )

    def _is_last_resort(self, server: ids.BackendServerId) -> bool:
        """Whether a server that is down is used for lack of an alternative.

        A refused connection is cheap and proves that nothing has run, so a try
        is better than refusing all requests of the service.
        """
        server_state = self._servers[server]
        since_failure = units.elapsed(
            server_state.last_failure_at or self._timers.now(),
            self._timers.now(),
        )
        return since_failure >= _INITIAL_BACKOFF and not any(
            self.health_of(sibling)
            in (
                states.BackendServerHealth.UP,
                states.BackendServerHealth.SUSPECT,
            )
            for sibling in self._servers_of_same_service.get(server, ())
        )

    def _mark_leaving(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation | None,
        source: str,
        *,
        publish: bool = True,
    ) -> None:
        server_state = self._state_of(server)
        now = self._timers.now()
        if (
            not self._is_leaving(server_state, now)
            or server_state.published_at is None
        ):
            self._log.emit(
                events.Event.BACKEND_SERVER_LEAVING,
                server=server,
                incarnation=str(incarnation),
                source=source,
            )
        if incarnation is None:
            server_state.leaving_until = units.after(
                now, _LEAVING_TTL_WITHOUT_INCARNATION
            )
        else:
            server_state.leaving_incarnation = incarnation
        publish_due = (
            server_state.published_at is None
            or now - server_state.published_at >= _PUBLISH_INTERVAL
        )
        if publish_due:
            server_state.published_at = now
            if publish:
                self._exchange.publish(
                    cluster.BackendLeavingRecord(server, incarnation)
                )

    def _on_record(
        self, origin: backend_servers.Owner, record: cluster.PeerRecord
    ) -> None:
        if not isinstance(record, cluster.BackendLeavingRecord):
            return
        if (
            self._servers_of_same_service
            and record.server not in self._servers_of_same_service
        ):
            return
        server_state = self._state_of(record.server)
        if record.incarnation in server_state.replaced_incarnations:
            return
        self._mark_leaving(
            record.server, record.incarnation, origin.vm, publish=False
        )

    def _on_failure(
        self,
        server: ids.BackendServerId,
        server_state: _ServerState,
        weight: int,
    ) -> None:
        now = self._timers.now()
        server_state.consecutive_failures += weight
        server_state.last_failure_at = now
        server_state.probe_until = None
        half_open = server_state.down_until is not None
        if (
            server_state.consecutive_failures < _FAILURE_THRESHOLD
            and not half_open
        ):
            return
        if (
            server_state.down_until is not None
            and now < server_state.down_until
        ):
            # The call was sent before the current backoff began.
            return
        server_state.consecutive_backoffs += 1
        backoff = min(
            _MAX_BACKOFF,
            _INITIAL_BACKOFF * 2 ** (server_state.consecutive_backoffs - 1),
        )
        jittered = units.Seconds(backoff * self._random.uniform(0.5, 1.0))
        server_state.down_until = units.after(now, jittered)
        if server_state.consecutive_backoffs == 1:
            self._log.emit(events.Event.BACKEND_SERVER_DOWN, server=server)

    def _close_circuit(
        self, server: ids.BackendServerId, server_state: _ServerState
    ) -> None:
        server_state.consecutive_failures = (
            server_state.consecutive_backoffs
        ) = 0
        server_state.probe_until = None
        if server_state.down_until is not None:
            server_state.down_until = None
            self._log_up(server)

    def _log_up(self, server: ids.BackendServerId) -> None:
        server_state = self._servers[server]
        server_state.published_at = None
        if not self._is_leaving(server_state, self._timers.now()):
            self._log.emit(events.Event.BACKEND_SERVER_UP, server=server)
