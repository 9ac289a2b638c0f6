"""Request limits that backend servers name in their answers."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math

from lavendershed.admission import request_limits
from lavendershed.core import ids
from lavendershed.core import units

# A server that names a lower limit still gets a request every ten seconds. Its
# answer is the only way to learn that the limit has ended.
MIN_RATE = units.RequestsPerSecond(0.1)
# A higher limit is no limit for one server.
MAX_RATE = units.RequestsPerSecond(10_000.0)
# Limit of a server that names one which can't be read: it needs relief, and
# few requests show whether a later answer can be read.
UNREADABLE_RATE = units.RequestsPerSecond(1.0)
# Time for which the end of a limit is remembered and reported, so that older
# news of other daemons don't bring it back.
_END_RETENTION = units.Seconds(10.0)
# Time for which the limit of a server without an entry is kept.
_UNKNOWN_RETENTION = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNews:
    """What an answer of a server said about its limit.

    Attributes:
        rate: Requests that it takes from all daemons; None if it named no
            limit.
        observed_at: When the answer arrived.
    """

    rate: units.RequestsPerSecond | None
    observed_at: units.Instant


def bounded(rate: float) -> units.RequestsPerSecond:
    """Returns a named limit within the bounds that daemons apply."""
    return units.RequestsPerSecond(min(max(rate, MIN_RATE), MAX_RATE))


class EngineLimits(request_limits.RequestLimits):
    """The newest known limit of each incarnation of a server.

    News of this daemon and of others are ordered by the time of the answer.
    """

    def __init__(self) -> None:
        self._news: dict[ids.ServerNumber, LimitNews] = {}
        # What answers to this daemon said, which it reports to the others.
        self._local_news: dict[ids.ServerNumber, LimitNews] = {}
        self._listeners: list[Callable[[], object]] = []

    @property
    def local_news(self) -> tuple[tuple[ids.ServerNumber, LimitNews], ...]:
        """What this daemon has to report, the newest news first."""
        return tuple(
            sorted(
                self._local_news.items(),
                key=lambda item: item[1].observed_at,
                reverse=True,
            )
        )

    def subscribe(self, listener: Callable[[], object]) -> None:
        """Calls `listener` after each change that this daemon observes."""
        self._listeners.append(listener)

    def limit(self, server: ids.ServerNumber) -> LimitNews | None:
        """Returns the limit that a server has named; None without one."""
        news = self._news.get(server)
        return news if news is not None and news.rate is not None else None

    def request_limit(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> request_limits.RequestLimit | None:
        """Returns the limit that a server has named; None without one."""
        news = self.limit(server)
        if news is None or news.rate is None:
            return None
        return request_limits.RequestLimit(news.rate, units.Instant(math.inf))

    @property
    def limited_count(self) -> int:
        """Number of servers with a limit."""
        return sum(news.rate is not None for news in self._news.values())

    def on_named(
        self,
        server: ids.ServerNumber,
        rate: units.RequestsPerSecond,
        now: units.Instant,
    ) -> None:
        """Records an answer that names a limit."""
        self._on_local_news(server, LimitNews(rate, now))

    def on_not_named(
        self,
        server: ids.ServerNumber,
        sent_at: units.Instant,
        now: units.Instant,
    ) -> None:
        """Records an answer without a limit.

        Answers overtake each other on different connections. Only one to a
        request that was sent after the limit was last named is known to be
        later, and ends it.

        Args:
            server: The server.
            sent_at: When the answered request was sent.
            now: Current time.
        """
        news = self.limit(server)
        if news is not None and sent_at >= news.observed_at:
            self._on_local_news(server, LimitNews(None, now))

    def on_peer_news(self, server: ids.ServerNumber, news: LimitNews) -> None:
        """Records what an answer to another daemon said, unless it is older."""
        known = self._news.get(server)
        if known is not None and known.observed_at >= news.observed_at:
            return
        if known is None and news.rate is None:
            return
        self._news[server] = news
        local = self._local_news.get(server)
        if local is not None and local.rate != news.rate:
            del self._local_news[server]

    def expire(self, now: units.Instant) -> None:
        """Forgets limits that ended some time ago."""
        self._news = _without_old_ends(self._news, now)
        self._local_news = _without_old_ends(self._local_news, now)

    def retain(
        self, servers: frozenset[ids.ServerNumber], now: units.Instant
    ) -> None:
        """Forgets all other servers; a new incarnation has no limit yet.

        Recent news are kept, because a peer may know a server earlier.
        """
        self._news = {
            server: news
            for server, news in self._news.items()
            if server in servers or now - news.observed_at < _UNKNOWN_RETENTION
        }
        self._local_news = {
            server: news
            for server, news in self._local_news.items()
            if server in self._news
        }

    def _on_local_news(self, server: ids.ServerNumber, news: LimitNews) -> None:
        known = self._news.get(server)
        self._news[server] = self._local_news[server] = news
        if known is None or known.rate != news.rate:
            for listener in self._listeners:
                listener()


def _without_old_ends(
    news_by_server: dict[ids.ServerNumber, LimitNews], now: units.Instant
) -> dict[ids.ServerNumber, LimitNews]:
    return {
        server: news
        for server, news in news_by_server.items()
        if news.rate is not None or now - news.observed_at < _END_RETENTION
    }
