"""Components shared by the execution of all generate requests."""

from __future__ import annotations

import dataclasses

from lavendershed.configuration import state
from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import timers
from lavendershed.daemon import allocation_manager
from lavendershed.daemon import backend_directory
from lavendershed.daemon import backend_health
from lavendershed.daemon import dispatcher as dispatcher_module
from lavendershed.daemon import engine_incarnations
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import retry_policy
from lavendershed.telemetry import instruments as instruments_module
from lavendershed.telemetry import log


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationComponents:
    """Shared dependencies of generate requests."""

    owner: backend_servers.Owner
    configuration: state.ConfigurationState
    directory: backend_directory.BackendDirectory
    health: backend_health.BackendHealth
    dispatcher: dispatcher_module.Dispatcher
    retry_policy: retry_policy.RetryPolicy
    suspects: crash_suspects.CrashSuspects
    allocation_manager: allocation_manager.AllocationManager
    incarnations: engine_incarnations.EngineIncarnations
    exchange: cluster.RecordExchange
    timers: timers.TimerService
    log: log.EventLog
    instruments: instruments_module.Instruments
