"""Load balancing of calls to plain services."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib
import random

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.daemon import backend_health


class LeastOutstandingBalancer:
    """Chooses the server with the fewest outstanding calls of this daemon."""

    def __init__(
        self, health: backend_health.BackendHealth, generator: random.Random
    ) -> None:
        self._health = health
        self._random = generator
        self._outstanding_calls: collections.Counter[ids.BackendServerId] = (
            collections.Counter()
        )

    def choose_server(
        self,
        service: model.Service,
        already_tried: frozenset[ids.BackendServerId],
    ) -> ids.BackendServerId | None:
        """Returns an available server or None; prefers untried servers."""
        accepting = [
            server.name
            for server in service.backend_servers
            if self._health.accepts_work(server.name)
        ]
        candidates = [
            candidate
            for candidate in accepting
            if candidate not in already_tried
        ] or accepting
        if not candidates:
            return None
        fewest = min(self._outstanding_calls[name] for name in candidates)
        return self._random.choice(
            [
                candidate
                for candidate in candidates
                if self._outstanding_calls[candidate] == fewest
            ]
        )

    @contextlib.contextmanager
    def track_call(self, server: ids.BackendServerId) -> Iterator[None]:
        """Counts a call to a server as outstanding within the context."""
        self._outstanding_calls[server] += 1
        try:
            yield
        finally:
            self._outstanding_calls[server] -= 1
            if not self._outstanding_calls[server]:
                del self._outstanding_calls[server]
