"""The parts of a daemon."""

from __future__ import annotations

import abc
import dataclasses

from lavendershed.forwarding import context as context_module
from lavendershed.forwarding import gateway
from lavendershed.forwarding import load_sharing
from lavendershed.forwarding import state_exchange
from lavendershed.forwarding import synchronisation


class Metrics(abc.ABC):
    """Counters and histograms of a daemon."""

    @abc.abstractmethod
    def exposition(self) -> bytes:
        """Returns all metrics as text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """All parts, wired."""

    context: context_module.ForwardingContext
    gateway: gateway.Gateway
    followers: tuple[synchronisation.ObjectFollower, ...]
    load_sharing: load_sharing.LoadSharing
    state_server: state_exchange.StateServer
    state_fetcher: state_exchange.StateFetcher
    metrics: Metrics
