"""The parts of a daemon."""

from __future__ import annotations

import dataclasses

from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import gateway
from lavendershed.forwarding import load_sharing
from lavendershed.forwarding import state_exchange
from lavendershed.forwarding import synchronisation


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """All parts, wired."""

    context: context_module.ForwardingContext
    gateway: gateway.Gateway
    followers: tuple[synchronisation.ObjectFollower, ...]
    load_sharing: load_sharing.LoadSharing
    state_server: state_exchange.StateServer
    state_fetcher: state_exchange.StateFetcher
