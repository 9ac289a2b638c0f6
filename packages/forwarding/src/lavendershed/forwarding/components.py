"""Components of a daemon."""

from __future__ import annotations

import dataclasses

from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import gateway
from lavendershed.forwarding import load_reporting
from lavendershed.forwarding import relay_handler
from lavendershed.forwarding import state_exchange
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watcher


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """All components of a daemon, connected to each other."""

    context: context_module.ForwardingContext
    gateway: gateway.Gateway
    relay_handler: relay_handler.RelayHandler
    watchers: tuple[store_watcher.ObjectWatcher, ...]
    availability: store_availability.StoreAvailability
    load_reporter: load_reporting.LoadReporter
    state_server: state_exchange.StateServer
    state_fetcher: state_exchange.StateFetcher
