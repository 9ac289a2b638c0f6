"""Builds a router from its options."""

from __future__ import annotations

import random

from lavendershed.booking import retention
from lavendershed.booking import state_machine
from lavendershed.configuration import model
from lavendershed.configuration import state as state_module
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import allocation_manager
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import booking_retention
from lavendershed.daemon import bookings
from lavendershed.daemon import calls
from lavendershed.daemon import configuration_sync
from lavendershed.daemon import engine_incarnations
from lavendershed.daemon import engine_observer
from lavendershed.daemon import generation
from lavendershed.daemon import generation_components
from lavendershed.daemon import group_dispatcher
from lavendershed.daemon import load_balancer
from lavendershed.daemon import memory_reclaimer
from lavendershed.daemon import options as options_module
from lavendershed.daemon import peer_factory
from lavendershed.daemon import placement_loop
from lavendershed.daemon import queued_dispatcher
from lavendershed.daemon import router as router_module
from lavendershed.daemon import status_writer
from lavendershed.daemon import vm_list_poller
from lavendershed.objects import budgeted_store
from lavendershed.objects import call_budget
from lavendershed.objects import http_store
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import memory_ledger
from lavendershed.reliability import retry_budget
from lavendershed.reliability import retry_policy
from lavendershed.routing import limits
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log
from lavendershed.transport import pool

# Interval between deletion steps of expired booking records.
_RETENTION_INTERVAL = units.Seconds(10.0)
# Burst of store calls, in seconds of the average rate.
_STORE_BURST_S = 2.0


class RouterFactory:
    """Builds the components of one router."""

    def __init__(
        self,
        options: options_module.RouterOptions,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: instruments_module.Instruments,
        generator: random.Random,
    ) -> None:
        self._options = options
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._random = generator
        self._pool_limits = pool.PoolLimits(idle_timeout=options.idle_timeout)
        self._state = state_module.ConfigurationState()
        self._directory = backend_directory.BackendDirectory(
            backend_directory.HttpClientFactory(
                timer_service, self._pool_limits
            )
        )
        self._store, booking_store = self._build_stores()
        self._owner = backend_servers.Owner(
            options.vm, ids.Incarnation(generator.getrandbits(63))
        )
        single_daemon = cluster.SingleDaemonCluster(self._owner)
        self._exchange: cluster.RecordExchange = single_daemon
        self._members: cluster.MembershipView = single_daemon
        self._shares: limits.ShareSource = limits.FullShare()
        self._peering: peer_factory.Peering | None = None
        if options.peer_listen is not None:
            self._peering = peer_factory.PeerFactory(
                options,
                options.peer_listen,
                self._owner,
                self._state,
                timer_service,
                event_log,
                generator,
            ).build()
            self._exchange = self._members = self._peering.network
            self._shares = self._peering.shares
        self._health = backend_health.BackendHealth(
            timer_service, generator, self._exchange, event_log
        )
        self._dispatcher = queued_dispatcher.QueuedDispatcher(
            options.vm,
            self._state,
            timer_service,
            event_log,
            instruments,
            self._health,
            self._shares,
            generator,
        )
        self._bookings = bookings.BookingExecutor(
            booking_store,
            self._members,
            self._owner,
            timer_service,
            event_log,
            instruments,
            generator,
            state_machine.BookingLimits(),
        )
        self._incarnations = engine_incarnations.EngineIncarnations()
        self._ledger = memory_ledger.MemoryLedger(memory_ledger.LedgerLimits())
        self._allocation_manager = allocation_manager.AllocationManager(
            self._ledger, self._incarnations, timer_service, event_log
        )

    def build(self) -> router_module.Router:
        """Returns a router that is ready to run."""
        sync = self._build_sync()
        status = self._build_status_writer()
        components = router_module.Components(
            self._owner,
            self._state,
            self._build_generation(),
            self._build_calls(),
            (
                sync,
                status,
                self._build_observer(),
                self._allocation_manager,
                self._build_reclaimer(),
                self._bookings,
                self._build_retention(),
                self._build_vm_list_poller(),
                # Before the network, so that leases are released while
                # peers still consider this daemon alive.
                self._build_placement(),
                *(self._peering.background if self._peering else ()),
            ),
        )
        router = router_module.Router(
            self._options,
            components,
            self._timers,
            self._log,
            self._instruments,
        )
        listeners: list[configuration_sync.ConfigurationListener] = [
            self._on_configuration,
            status.on_configuration,
            router.on_configuration,
        ]
        if self._peering is not None:
            router.add_arrival_listener(self._peering.shares.on_arrival)
            listeners.append(self._peering.network.on_configuration)
            self._peering.configuration.add_listener(sync.on_peer_epoch)
            sync.add_source(self._peering.configuration)
        for listener in listeners:
            sync.add_listener(listener)
        return router

    def _build_stores(
        self,
    ) -> tuple[object_store.ObjectStore, object_store.ObjectStore]:
        rate = self._options.store_calls_per_second
        budget = call_budget.CallBudget(
            call_budget.BudgetLimits(rate, rate * _STORE_BURST_S),
            self._timers.now(),
        )
        client = http_store.HttpObjectStore(
            pool.ConnectionPool(
                self._options.store, self._timers, self._pool_limits
            )
        )
        background, booking = (
            budgeted_store.BudgetedObjectStore(
                client, budget, call_class, self._timers
            )
            for call_class in (
                call_budget.CallClass.BACKGROUND,
                call_budget.CallClass.BOOKING,
            )
        )
        return background, booking

    def _build_sync(self) -> configuration_sync.ConfigurationSync:
        return configuration_sync.ConfigurationSync(
            self._store,
            self._state,
            self._members,
            self._timers,
            self._log,
            self._random,
            configuration_sync.SyncOptions(
                self._options.vm,
                self._options.availability_zone,
                self._options.poll_interval,
            ),
        )

    def _build_status_writer(self) -> status_writer.StatusWriter:
        return status_writer.StatusWriter(
            self._store,
            self._state,
            self._members,
            status_writer.DaemonIdentity(
                self._owner,
                self._options.availability_zone,
                str(self._options.listen),
            ),
            self._timers,
            self._random,
        )

    def _build_calls(self) -> calls.CallExecutor:
        return calls.CallExecutor(
            self._state,
            self._directory,
            self._health,
            load_balancer.LeastOutstandingBalancer(self._health, self._random),
            self._bookings,
            retry_policy.RetryPolicy(
                retry_policy.RetryLimits(max_attempts=3),
                retry_budget.RetryBudget(retry_budget.BudgetLimits()),
                self._random,
            ),
            self._timers,
            self._log,
            self._instruments,
        )

    def _build_retention(self) -> booking_retention.BookingRetention:
        return booking_retention.BookingRetention(
            self._options.vm,
            self._store,
            self._members,
            self._timers,
            self._log,
            self._random,
            retention.RetentionLimits(),
            _RETENTION_INTERVAL,
        )

    def _build_placement(self) -> placement_loop.PlacementLoop:
        return placement_loop.PlacementLoop(
            self._owner,
            self._state,
            self._members,
            self._store,
            self._directory,
            self._timers,
            self._log,
            self._options.weight_loads_per_second,
        )

    def _build_group_dispatcher(self) -> group_dispatcher.GroupDispatcher:
        return group_dispatcher.GroupDispatcher(
            self._dispatcher,
            self._owner,
            self._state,
            self._directory,
            self._health,
            self._allocation_manager,
            self._dispatcher.limits,
            self._timers,
            self._log,
            self._random,
        )

    def _build_generation(self) -> generation.GenerationExecutor:
        return generation.GenerationExecutor(
            generation_components.GenerationComponents(
                self._owner,
                self._state,
                self._directory,
                self._health,
                self._build_group_dispatcher(),
                retry_policy.RetryPolicy(
                    retry_policy.RetryLimits(),
                    retry_budget.RetryBudget(retry_budget.BudgetLimits()),
                    self._random,
                ),
                crash_suspects.CrashSuspects(crash_suspects.SuspectLimits()),
                self._allocation_manager,
                self._incarnations,
                self._exchange,
                self._timers,
                self._log,
                self._instruments,
            )
        )

    def _build_reclaimer(self) -> memory_reclaimer.MemoryReclaimer:
        return memory_reclaimer.MemoryReclaimer(
            self._owner,
            self._ledger,
            self._members,
            self._directory,
            self._timers,
            self._log,
        )

    def _build_observer(self) -> engine_observer.EngineObserver:
        return engine_observer.EngineObserver(
            self._dispatcher,
            self._directory,
            self._health,
            self._timers,
            self._options.engine_poll_interval,
            self._exchange,
            self._allocation_manager,
        )

    def _build_vm_list_poller(self) -> vm_list_poller.VmListPoller:
        listeners: tuple[vm_list_poller.VmListListener, ...] = (
            self._health.on_vm_list,
        )
        if self._peering is not None:
            listeners += (self._peering.network.on_vm_list,)
        return vm_list_poller.VmListPoller(
            self._options.vm,
            self._store,
            self._members,
            self._timers,
            self._log,
            self._random,
            listeners,
        )

    def _on_configuration(
        self, old: model.Configuration, new: model.Configuration
    ) -> None:
        self._directory.on_configuration(new)
        self._health.on_configuration(old, new)
        self._dispatcher.on_configuration(old, new)
