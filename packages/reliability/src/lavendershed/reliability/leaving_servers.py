"""Servers whose answers say that they are leaving.

The load that it answers: engines leave under load while the store is away, so
that their entries still accept requests.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import itertools

from lavendershed.core import ids

# Servers without an entry that are remembered, so that an older entry that
# comes back is not used. A thousand engines may be replaced at once.
_MAX_UNLISTED = 1_024


class NewsSource(enum.Enum):
    """How this daemon has learned that a server is leaving."""

    ANSWER = "answer"
    PEER = "peer"


class LeavingServers:
    """Incarnations of servers that are known to leave.

    Incarnations are only added, so that news may come in any order and more
    than once, and nothing older takes one back. A server that starts again has
    another number. Two incarnations share a number by chance; with 10,000
    servers that happens to one of 400,000 that leave.
    """

    def __init__(self) -> None:
        # The oldest news first.
        self._sources: dict[ids.ServerNumber, NewsSource] = {}
        self._listed: frozenset[ids.ServerNumber] = frozenset()
        self._ready: frozenset[ids.ServerNumber] = frozenset()
        self._change_count = 0

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to leave."""
        return not self._sources

    @property
    def change_count(self) -> int:
        """Number of changes so far."""
        return self._change_count

    @property
    def to_report(self) -> tuple[ids.ServerNumber, ...]:
        """What answers to this daemon said, the newest news first.

        Servers whose entries say the same, or that have no entry any more, are
        known to the other daemons.
        """
        return tuple(
            server
            for server, source in reversed(self._sources.items())
            if source is NewsSource.ANSWER and server in self._ready
        )

    def is_leaving(self, server: ids.ServerNumber) -> bool:
        """Returns whether a server is known to leave."""
        return server in self._sources

    def count(self, source: NewsSource) -> int:
        """Returns the number of listed servers that a source told of."""
        return sum(
            known is source and server in self._listed
            for server, known in self._sources.items()
        )

    def on_answer(self, server: ids.ServerNumber) -> bool:
        """Records an answer of a server; returns whether this is news."""
        return bool(self._add((server,), NewsSource.ANSWER))

    def on_peer_news(
        self, servers: Iterable[ids.ServerNumber]
    ) -> tuple[ids.ServerNumber, ...]:
        """Records what another daemon was told; returns what is news."""
        return self._add(servers, NewsSource.PEER)

    def on_servers(
        self,
        listed: frozenset[ids.ServerNumber],
        ready: frozenset[ids.ServerNumber],
    ) -> None:
        """Takes over the list of servers.

        Args:
            listed: All servers with an entry.
            ready: Those whose entries accept requests.
        """
        self._listed = listed
        self._ready = ready
        self._forget_oldest()

    def _add(
        self, servers: Iterable[ids.ServerNumber], source: NewsSource
    ) -> tuple[ids.ServerNumber, ...]:
        new = tuple(s for s in servers if s not in self._sources)
        if new:
            self._sources.update(dict.fromkeys(new, source))
            self._change_count += 1
            self._forget_oldest()
        return new

    def _forget_oldest(self) -> None:
        unlisted = [s for s in self._sources if s not in self._listed]
        excess = max(0, len(unlisted) - _MAX_UNLISTED)
        for server in itertools.islice(unlisted, excess):
            del self._sources[server]
