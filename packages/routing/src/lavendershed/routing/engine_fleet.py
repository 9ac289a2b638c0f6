"""The set of engines that one daemon uses for a service."""

from __future__ import annotations

import abc
import random

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import rendezvous
from lavendershed.routing import engine_view

# Engines that one daemon considers for a service. With 730 daemons and 10,000
# engines each engine is in the subset of 9 daemons on average.
SUBSET_SIZE = 128
# Blocks in all prefix indexes of a service; they take about 20 MB.
_TOTAL_BLOCKS = 100_000
_MAX_BLOCKS_PER_ENGINE = 4_096


class EngineAvailability(abc.ABC):
    """Reports which engines accept new requests."""

    @abc.abstractmethod
    def accepts_work(self, engine: ids.BackendServerId) -> bool:
        """Returns whether new requests may be sent to the engine."""


class AlwaysAvailable(EngineAvailability):
    """Reports every engine as available."""

    def accepts_work(self, engine: ids.BackendServerId) -> bool:
        """Returns True."""
        return True


class EngineFleet:
    """Views of the engines that this daemon uses for one service."""

    def __init__(
        self,
        daemon: ids.VmId,
        availability: EngineAvailability,
        generator: random.Random,
        subset_size: int = SUBSET_SIZE,
    ) -> None:
        self._daemon = daemon
        self._availability = availability
        self._random = generator
        self._subset_size = subset_size
        self._names: tuple[ids.BackendServerId, ...] = ()
        self._views: dict[ids.BackendServerId, engine_view.EngineView] = {}
        self._ordered: tuple[engine_view.EngineView, ...] = ()

    @property
    def views(self) -> tuple[engine_view.EngineView, ...]:
        """Views of the engines in use, in the order of their positions."""
        return self._ordered

    def view(
        self, engine: ids.BackendServerId
    ) -> engine_view.EngineView | None:
        """Returns the view of an engine in use or with requests in flight."""
        return self._views.get(engine)

    def accepts_work(self, engine: ids.BackendServerId) -> bool:
        """Returns whether new requests may be sent to the engine."""
        return self._availability.accepts_work(engine)

    def sample(
        self, count: int, start: float = 0.0, end: float = 1.0
    ) -> list[engine_view.EngineView]:
        """Returns up to `count` distinct random engines.

        Args:
            count: Maximum number of engines.
            start: Start of the sampled range of positions, from 0 to 1.
            end: End of the range; it contains at least one engine.
        """
        first = min(round(start * len(self._ordered)), len(self._ordered) - 1)
        last = max(first + 1, round(end * len(self._ordered)))
        eligible = self._ordered[max(0, first) : last]
        return self._random.sample(eligible, min(count, len(eligible)))

    def share_size(self, share: float) -> int:
        """Returns the number of engines in a share of the fleet; at least 1."""
        return max(1, round(share * len(self._ordered)))

    def on_service(self, service: model.Service) -> None:
        """Updates the set of engines; views of remaining engines are kept."""
        names = tuple(server.name for server in service.backend_servers)
        if names == self._names:
            return
        self._names = names
        # All daemons compute the same order, so that they agree on the engines
        # for long prompts without coordination.
        order = rendezvous.ranked(names, service.name, len(names))
        subset = rendezvous.ranked(names, self._daemon, self._subset_size)
        ranks = {name: n / len(subset) for n, name in enumerate(subset)}
        blocks = min(
            _MAX_BLOCKS_PER_ENGINE, _TOTAL_BLOCKS // max(1, len(subset))
        )
        old = self._views
        # A removed engine is kept while it has requests in flight, which would
        # otherwise not be counted if the engine is added again before they end.
        self._views = {n: v for n, v in old.items() if v.outstanding}
        ordered = []
        for index, name in enumerate(order):
            if name not in ranks:
                continue
            view = old.get(name) or engine_view.EngineView(
                name,
                service.engine_memory_tokens,
                service.prefill_tokens_per_second,
                blocks,
            )
            view.position = index / len(order)
            view.rank = ranks[name]
            self._views[name] = view
            ordered.append(view)
        self._ordered = tuple(ordered)
