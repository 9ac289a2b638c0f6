"""Builds the components of a daemon on the external platform."""

from __future__ import annotations

import dataclasses
import random

from lavendershed.admission import call_limits
from lavendershed.admission import cold_engines
from lavendershed.admission import engine_limits
from lavendershed.admission import return_schedule
from lavendershed.admission import server_pauses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import bundle_distribution
from lavendershed.forwarding import codecs
from lavendershed.forwarding import cold_observer
from lavendershed.forwarding import components
from lavendershed.forwarding import connections
from lavendershed.forwarding import context
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import engine_choosers
from lavendershed.forwarding import engine_inspection
from lavendershed.forwarding import gateway
from lavendershed.forwarding import limit_observer
from lavendershed.forwarding import load_reporting
from lavendershed.forwarding import loss_recording
from lavendershed.forwarding import peer_versions
from lavendershed.forwarding import permits
from lavendershed.forwarding import plain_services
from lavendershed.forwarding import reach_monitor
from lavendershed.forwarding import relay
from lavendershed.forwarding import relay_handler
from lavendershed.forwarding import reservations
from lavendershed.forwarding import server_notices
from lavendershed.forwarding import state_exchange
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watch_role
from lavendershed.forwarding import store_watcher
from lavendershed.forwarding import waiting_room
from lavendershed.membership import peer_table
from lavendershed.membership import permit_issuers
from lavendershed.membership import relay_peers
from lavendershed.membership import report_topology
from lavendershed.membership import visible_fleet
from lavendershed.platform import callers
from lavendershed.platform import engines
from lavendershed.platform import objects
from lavendershed.platform import settings
from lavendershed.platform import store
from lavendershed.reliability import crash_attribution
from lavendershed.reliability import failure_shares
from lavendershed.reliability import fleet_retry_budget
from lavendershed.reliability import server_health
from lavendershed.reliability import silent_servers
from lavendershed.routing import engine_slowdown
from lavendershed.routing import load_tracker
from lavendershed.routing import server_choice
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.telemetry import unexpected_errors
from lavendershed.transport import buffer_budget
from lavendershed.transport import client_memory

# Daemons of a new deployment read the store one after the other within this
# time, and most of them take its contents from a peer. Callers come later.
_FIRST_START_SPREAD = units.Seconds(4.0)
# Otherwise a daemon reads the store if no peer sends its state in this time, as
# peers may know more than a store that has come back from an older copy.
_PEER_STATE_WAIT = units.Seconds(0.3)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformComponents:
    """Components of a daemon, including those with reloadable settings."""

    components: components.Components
    peers: peer_table.PeerTable
    budget: fleet_retry_budget.FleetRetryBudget
    cold: cold_engines.ColdEngines

    def apply(self, changed: settings.PlatformSettings) -> None:
        """Applies changed seeds and limits; addresses require a restart."""
        self.peers.set_seeds(changed.seeds)
        self.budget.set_limits(changed.retry_budget)
        self.cold.set_bounds(changed.cold_bounds)


def build(
    platform_settings: settings.PlatformSettings,
    incarnation: ids.Incarnation,
    timer_service: timers.TimerService,
    event_log: log.EventLog,
    generator: random.Random,
    connector: connections.Connector | None = None,
    started_at: units.Instant | None = None,
    peer_connector: connections.Connector | None = None,
) -> PlatformComponents:
    """Builds and connects all components.

    Args:
        platform_settings: Settings of the process.
        incarnation: Incarnation of the process.
        timer_service: Clock and timers.
        event_log: Log of events.
        generator: Source of random numbers.
        connector: Opens connections to backend servers; TCP by default.
        started_at: When the process started; now by default.
        peer_connector: Opens connections to other daemons for relayed requests;
            TCP by default.
    """
    health = server_health.ServerHealth()
    instruments = request_instruments.RequestInstruments(platform_settings.vm)
    pauses = server_pauses.ServerPauses()
    notices = server_notices.ServerNoticeObserver(
        pauses, timer_service, event_log, instruments
    )
    has_evacuations = platform_settings.evacuation_bound is not None
    view = deployment_view.DeploymentView(
        objects.PlatformObjectDecoder(),
        health,
        event_log,
        notices,
        has_evacuations=has_evacuations,
    )
    tracker = load_tracker.LoadTracker()
    slowdowns = engine_slowdown.EngineSlowdowns()
    attribution = crash_attribution.CrashAttribution()
    budget = fleet_retry_budget.FleetRetryBudget(
        platform_settings.retry_budget,
        timer_service.now() if started_at is None else started_at,
    )
    server_connections = connections.BackendConnectionPool(
        timer_service, connector or connections.TcpConnector()
    )
    backend_codec = engines.PlatformBackendCodec()
    errors = unexpected_errors.ErrorRecorder(
        event_log, instruments.count_unexpected_error
    )
    limits = engine_limits.EngineLimits()
    shares = failure_shares.FailureShares()
    observer = limit_observer.LimitObserver(
        limits, backend_codec, timer_service, event_log, instruments
    )
    cold = cold_engines.ColdEngines(platform_settings.cold_bounds)
    cold_engine_observer = cold_observer.ColdObserver(
        view, cold, slowdowns, timer_service, event_log, instruments
    )
    peers = peer_table.PeerTable(platform_settings.peer_address)
    peers.set_seeds(platform_settings.seeds)
    fleet = visible_fleet.VisibleFleet()
    permit_client = permits.PermitClient(
        platform_settings.peer_address,
        limits,
        cold,
        permit_issuers.PermitIssuers(platform_settings.peer_address, peers),
        fleet,
        timer_service,
        event_log,
        instruments,
        pauses,
    )
    losses = loss_recording.LossRecorder(
        attribution,
        server_connections,
        timer_service,
        event_log,
        instruments,
    )
    reach = reach_monitor.ReachMonitor(
        view,
        server_connections,
        timer_service,
        event_log,
        instruments,
        generator,
    )
    server_connections.subscribe(reach)
    relay_client = relay.RelayClient(
        platform_settings.zone,
        reach,
        peers,
        relay_peers.RelayPeers(platform_settings.zone, generator),
        tracker,
        connections.BackendConnectionPool(
            timer_service, peer_connector or connections.TcpConnector()
        ),
        timer_service,
    )
    view.subscribe(lambda: losses.on_servers(view.directory.entries))
    view.subscribe(lambda: observer.on_servers(view.directory.entries))
    view.subscribe(cold_engine_observer.on_view)
    view.subscribe(lambda: notices.on_servers(view.directory.entries))
    notices.subscribe_to_leaving(server_connections.discard)
    forwarding_context = context.ForwardingContext(
        view,
        callers.PlatformCallerCodec(),
        backend_codec,
        server_connections,
        engine_choosers.EngineChoosers(tracker, slowdowns, generator),
        plain_services.PlainServices(
            server_choice.LeastOutstanding(platform_settings.zone, generator),
            call_limits.CallLimits(generator),
            shares,
            timer_service,
            event_log,
            instruments,
        ),
        tracker,
        waiting_room.WaitingRoom(
            tracker, timer_service, event_log, instruments
        ),
        return_schedule.ReturnSchedule(),
        budget,
        attribution,
        losses,
        silent_servers.SilentServers(),
        relay_client,
        reservations.ReservationClient(
            view,
            server_connections,
            backend_codec,
            observer,
            timer_service,
            event_log,
        ),
        engine_inspection.EngineInspector(
            view,
            server_connections,
            backend_codec,
            slowdowns,
            observer,
            timer_service,
            event_log,
        ),
        observer,
        cold_engine_observer,
        permit_client,
        health,
        timer_service,
        event_log,
        instruments,
        errors,
        buffer_budget.BufferBudget(platform_settings.buffer_bytes),
        buffer_budget.BufferBudget(platform_settings.buffer_bytes),
        client_memory.ClientMemory(platform_settings.client_limits),
        client_memory.ClientMemory(platform_settings.readiness_limits),
        platform_settings.zone,
    )
    availability = store_availability.StoreAvailability()
    topology = report_topology.ReportTopology(
        peers,
        platform_settings.peer_address,
        platform_settings.zone,
        platform_settings.bandwidth_mbps,
    )
    store_role = store_watch_role.StoreWatchRole(
        platform_settings.zone, peers, topology, availability, timer_service
    )
    bundles = bundle_distribution.BundleDistributor(
        platform_settings.peer_address,
        platform_settings.zone,
        peers,
        topology,
        timer_service,
    )
    versions = peer_versions.PeerVersions(platform_settings.zone)
    first_call_delay = units.Seconds(
        generator.uniform(0.0, _FIRST_START_SPREAD)
        if platform_settings.first_start
        else _PEER_STATE_WAIT
    )
    request_gateway = gateway.Gateway(forwarding_context, generator)
    daemon_components = components.Components(
        forwarding_context,
        request_gateway,
        relay_handler.RelayHandler(forwarding_context, request_gateway),
        tuple(
            store_watcher.ObjectWatcher(
                kind,
                store.PlatformObjectSource(
                    platform_settings.store_address,
                    name,
                    timer_service,
                    event_log,
                ),
                view,
                availability,
                store_role,
                timer_service,
                event_log,
                errors,
                generator,
                first_call_delay,
            )
            for kind, name in store.KIND_NAMES.items()
            if kind is not codecs.ObjectKind.EVACUATIONS or has_evacuations
        ),
        availability,
        load_reporting.LoadReporter(
            incarnation,
            platform_settings.peer_address,
            platform_settings.zone,
            platform_settings.bandwidth_mbps,
            peers,
            topology,
            bundles,
            store_role,
            versions,
            view,
            tracker,
            attribution,
            slowdowns,
            limits,
            cold_engine_observer,
            shares,
            permit_client,
            fleet,
            health,
            reach,
            budget,
            timer_service,
            event_log,
        ),
        state_exchange.StateServer(view, timer_service),
        state_exchange.StateFetcher(
            versions, view, store_role, timer_service, event_log, errors
        ),
    )
    return PlatformComponents(daemon_components, peers, budget, cold)
