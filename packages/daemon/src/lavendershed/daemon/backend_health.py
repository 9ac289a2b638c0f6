"""Health of backend servers, from all sources that report it."""

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

_FIRST_PAUSE = units.Seconds(0.5)
_LONGEST_PAUSE = units.Seconds(10.0)
# One lost or silent connection says little about its server.
_FAILURES_TO_OPEN = 3
_PROBE_TIME = units.Seconds(2.0)
# A claim of leaving without an incarnation can't be ended by a new one.
_ANONYMOUS_LEAVING = units.Seconds(30.0)
_PUBLISH_INTERVAL = units.Seconds(30.0)
_MAX_REPLACED = 16

_BREAKING = {
    backend_servers.BackendErrorKind.CONNECTION_LOST,
    backend_servers.BackendErrorKind.IDLE_TIMEOUT,
}


@dataclasses.dataclass(slots=True)
class _Server:
    """What is known of one backend server.

    Attributes:
        incarnation: The one that the server last reported itself.
        replaced: Incarnations that the server had before.
        leaving: The incarnation that is leaving.
        leaving_until: End of a claim without an incarnation.
        failures: Failed calls in a row.
        down_until: End of the pause after failures.
        last_failure: When the last call failed.
        probe_until: While a probe is out, its latest end.
        reserved: Whether it has the role by which placement drains an engine.
    """

    incarnation: ids.Incarnation | None = None
    replaced: list[ids.Incarnation] = dataclasses.field(default_factory=list)
    leaving: ids.Incarnation | None = None
    leaving_until: units.Instant | None = None
    vm_leaving: bool = False
    failures: int = 0
    pauses: int = 0
    down_until: units.Instant | None = None
    last_failure: units.Instant | None = None
    probe_until: units.Instant | None = None
    published: units.Instant | None = None
    reserved: bool = False


class BackendHealth:
    """Which backend servers may get new work.

    Any source that says that a server is leaving stops new work at once and
    is passed on to the other daemons. Only a newer incarnation ends it: what
    the server reports of itself decides which incarnation is the latest.
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
        self._servers: dict[ids.BackendServerId, _Server] = {}
        self._vms: dict[ids.BackendServerId, ids.VmId] = {}
        self._siblings: dict[
            ids.BackendServerId, tuple[ids.BackendServerId, ...]
        ] = {}
        exchange.subscribe(self._on_record)

    def accepts_work(self, server: ids.BackendServerId) -> bool:
        """Returns whether new work may be sent to a server."""
        known = self._servers.get(server)
        if known is not None and known.reserved:
            return False
        health = self.health_of(server)
        if health is not states.BackendServerHealth.DOWN:
            return health is not states.BackendServerHealth.LEAVING
        return self._is_last_resort(server)

    def health_of(
        self, server: ids.BackendServerId
    ) -> states.BackendServerHealth:
        """Returns the state of a server; suspect while a probe may be sent."""
        known = self._servers.get(server)
        if known is None:
            return states.BackendServerHealth.UP
        now = self._timers.now()
        if self._is_leaving(known, now):
            return states.BackendServerHealth.LEAVING
        if known.down_until is None:
            return states.BackendServerHealth.UP
        if now < known.down_until or (
            known.probe_until is not None and now < known.probe_until
        ):
            return states.BackendServerHealth.DOWN
        return states.BackendServerHealth.SUSPECT

    def on_sent(self, server: ids.BackendServerId) -> None:
        """Takes that work goes to a server; a suspect one gets no more."""
        known = self._servers.get(server)
        if known is not None and known.down_until is not None:
            known.probe_until = units.after(self._timers.now(), _PROBE_TIME)

    def on_load_report(
        self,
        server: ids.BackendServerId,
        report: backend_servers.LoadReport,
    ) -> None:
        """Takes the state that an engine reports of itself."""
        known = self._known(server)
        if known.incarnation != report.incarnation:
            if known.incarnation is not None:
                known.replaced.append(known.incarnation)
                del known.replaced[:-_MAX_REPLACED]
            known.incarnation = report.incarnation
        self._close(server, known)
        known.reserved = report.role is states.EngineRole.RESERVE
        if report.leaving:
            self._mark_leaving(server, report.incarnation, "load_report")
            return
        if known.leaving is not None and known.leaving != report.incarnation:
            known.replaced.append(known.leaving)
            known.leaving = None
            self._emit_up(server)

    def on_error(
        self,
        server: ids.BackendServerId,
        error: backend_servers.BackendError,
    ) -> None:
        """Takes a failed call."""
        known = self._known(server)
        if error.leaving:
            self._mark_leaving(server, known.incarnation, "refused_call")
            return
        if error.kind is backend_servers.BackendErrorKind.CONNECTION_REFUSED:
            self._on_failure(server, known, _FAILURES_TO_OPEN)
        elif error.kind in _BREAKING:
            self._on_failure(server, known, 1)

    def on_success(self, server: ids.BackendServerId) -> None:
        """Takes a call that the server answered."""
        known = self._servers.get(server)
        if known is not None:
            self._close(server, known)

    def on_vm_list(self, vms: object_store.VmList) -> None:
        """Takes the platform's lagging list of VMs.

        A VM in neither part may be too new to be listed.
        """
        for server, vm in self._vms.items():
            if vm in vms.leaving:
                known = self._known(server)
                known.vm_leaving = True
                self._mark_leaving(server, known.incarnation, "vm_list")
            elif vm in vms.live and server in self._servers:
                self._servers[server].vm_leaving = False

    def on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        """Follows the configured servers and forgets removed ones."""
        self._vms = {}
        self._siblings = {}
        for service in new.services.values():
            names = tuple(server.name for server in service.backend_servers)
            self._siblings |= dict.fromkeys(names, names)
            self._vms |= {
                server.name: server.vm
                for server in service.backend_servers
                if server.vm is not None
            }
        for name in tuple(self._servers):
            if name not in self._siblings:
                del self._servers[name]

    def _known(self, server: ids.BackendServerId) -> _Server:
        return self._servers.setdefault(server, _Server())

    def _is_leaving(self, known: _Server, now: units.Instant) -> bool:
        return (
            known.vm_leaving
            or known.leaving is not None
            or (known.leaving_until is not None and now < known.leaving_until)
        )

    def _is_last_resort(self, server: ids.BackendServerId) -> bool:
        """Whether a paused server is used because its service has no other.

        Refused connections are cheap and certain not to have run anything, so
        that trying is better than refusing all requests of the service.
        """
        known = self._servers[server]
        waited = units.elapsed(
            known.last_failure or self._timers.now(), self._timers.now()
        )
        return waited >= _FIRST_PAUSE and not any(
            self.health_of(sibling)
            in (
                states.BackendServerHealth.UP,
                states.BackendServerHealth.SUSPECT,
            )
            for sibling in self._siblings.get(server, ())
        )

    def _mark_leaving(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation | None,
        source: str,
        *,
        publish: bool = True,
    ) -> None:
        known = self._known(server)
        now = self._timers.now()
        if not self._is_leaving(known, now) or known.published is None:
            self._log.emit(
                events.Event.BACKEND_SERVER_LEAVING,
                server=server,
                incarnation=str(incarnation),
                source=source,
            )
        if incarnation is None:
            known.leaving_until = units.after(now, _ANONYMOUS_LEAVING)
        else:
            known.leaving = incarnation
        due = (
            known.published is None
            or now - known.published >= _PUBLISH_INTERVAL
        )
        if due:
            known.published = now
            if publish:
                self._exchange.publish(
                    cluster.BackendLeavingRecord(server, incarnation)
                )

    def _on_record(
        self, origin: backend_servers.Owner, record: cluster.PeerRecord
    ) -> None:
        if not isinstance(record, cluster.BackendLeavingRecord):
            return
        if self._siblings and record.server not in self._siblings:
            return
        known = self._known(record.server)
        if record.incarnation in known.replaced:
            return
        self._mark_leaving(
            record.server, record.incarnation, origin.vm, publish=False
        )

    def _on_failure(
        self, server: ids.BackendServerId, known: _Server, weight: int
    ) -> None:
        now = self._timers.now()
        known.failures += weight
        known.last_failure = now
        known.probe_until = None
        half_open = known.down_until is not None
        if known.failures < _FAILURES_TO_OPEN and not half_open:
            return
        if known.down_until is not None and now < known.down_until:
            # Calls that were sent before the pause began.
            return
        known.pauses += 1
        pause = min(_LONGEST_PAUSE, _FIRST_PAUSE * 2 ** (known.pauses - 1))
        jittered = units.Seconds(pause * self._random.uniform(0.5, 1.0))
        known.down_until = units.after(now, jittered)
        if known.pauses == 1:
            self._log.emit(events.Event.BACKEND_SERVER_DOWN, server=server)

    def _close(self, server: ids.BackendServerId, known: _Server) -> None:
        known.failures = known.pauses = 0
        known.probe_until = None
        if known.down_until is not None:
            known.down_until = None
            self._emit_up(server)

    def _emit_up(self, server: ids.BackendServerId) -> None:
        known = self._servers[server]
        known.published = None
        if not self._is_leaving(known, self._timers.now()):
            self._log.emit(events.Event.BACKEND_SERVER_UP, server=server)
