"""Choice of backend servers for calls to plain services."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib
import random

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.daemon import backend_health


class ServerChoice:
    """Chooses the server with the fewest calls of this daemon outstanding."""

    def __init__(
        self, health: backend_health.BackendHealth, generator: random.Random
    ) -> None:
        self._health = health
        self._random = generator
        self._outstanding: collections.Counter[ids.BackendServerId] = (
            collections.Counter()
        )

    def choose(
        self,
        service: model.Service,
        tried: frozenset[ids.BackendServerId],
    ) -> ids.BackendServerId | None:
        """Returns a server that accepts work, rather one not yet tried."""
        accepting = [
            server.name
            for server in service.backend_servers
            if self._health.accepts_work(server.name)
        ]
        candidates = [n for n in accepting if n not in tried] or accepting
        if not candidates:
            return None
        least = min(self._outstanding[name] for name in candidates)
        return self._random.choice(
            [n for n in candidates if self._outstanding[n] == least]
        )

    @contextlib.contextmanager
    def outstanding(self, server: ids.BackendServerId) -> Iterator[None]:
        """Counts a call to a server while the context is open."""
        self._outstanding[server] += 1
        try:
            yield
        finally:
            self._outstanding[server] -= 1
            if not self._outstanding[server]:
                del self._outstanding[server]
