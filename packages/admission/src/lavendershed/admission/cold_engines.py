"""Request limits of engines that have started a short time ago.

A cold engine takes few requests a second and crashes at a higher rate. Its
entry in the store says how long it stays cold; the entry may be seconds old,
and an engine that has just crashed has written none yet. A cold state is
therefore taken to end at the last time that is consistent with what is known.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import math

from lavendershed.admission import request_limits
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units

# Entries round the remaining time, and requests are under way for some time.
_END_MARGIN = units.Seconds(0.25)
# Two daemons may take themselves for the issuer of a server while the members
# that they know differ. Each issues half of what the engine bears.
_MAX_ISSUERS = 2
# Requests in one second beyond the bound's factor that are left for others:
# those that were sent before the daemons knew of the cold state.
_RESERVED_REQUESTS = 1.0
_MIN_BURST = 1.0
# An entry that states a longer time is odd; the next one may be sound.
_MAX_REMAINING = units.Seconds(600.0)
# An entry that arrives within this time may have been written before the
# suspicion: engines write at intervals of 1.2 s, and news are under way.
_ENTRY_DELAY = units.Seconds(2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBounds:
    """How far the requests to a cold engine may exceed its stated rate.

    Attributes:
        overrun: Factor on the rate.
        slack: Requests beyond that in one second.
    """

    overrun: float = 1.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdProfile:
    """Cold engines of one service, as the operator configures them.

    Attributes:
        duration: Time for which an engine is cold after its start.
        rate: Requests that a cold engine takes from all daemons.
    """

    duration: units.Seconds
    rate: units.RequestsPerSecond


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatement:
    """What the entry of an engine says.

    Attributes:
        server: Its incarnation.
        revision: Store revision of the entry.
        remaining: Time for which the engine stays cold.
        profile: Profile of its service.
    """

    server: ids.ServerNumber
    revision: store_revisions.StoreRevision
    remaining: units.Seconds
    profile: ColdProfile


@dataclasses.dataclass(frozen=True, slots=True)
class ColdNews:
    """What one daemon tells another of a cold engine.

    Attributes:
        rate: Requests that the engine takes from all daemons.
        remaining: Time until the end of the cold state.
    """

    rate: units.RequestsPerSecond
    remaining: units.Seconds


@dataclasses.dataclass(slots=True)
class _Engine:
    """What is known of one incarnation.

    Attributes:
        rate: Requests that it takes while it is cold.
        until: Last end of the cold state that is possible.
        duration: Time for which it is cold after a start; 0 if only another
            daemon knows the engine.
        revision: Revision of its entry.
        suspected_at: When it last may have become cold without an entry that
            says so.
    """

    rate: units.RequestsPerSecond
    until: units.Instant
    duration: units.Seconds = units.Seconds(0.0)
    revision: store_revisions.StoreRevision = store_revisions.NONE
    suspected_at: units.Instant = units.Instant(-math.inf)


class ColdEngines(request_limits.RequestLimits):
    """Cold engines of the services that limit the requests to them."""

    def __init__(self, bounds: ColdBounds = ColdBounds()) -> None:  # noqa: B008
        self._bounds = bounds
        self._engines: dict[ids.ServerNumber, _Engine] = {}
        # Engines whose cold state has not been seen to end.
        self._maybe_cold: set[ids.ServerNumber] = set()
        self._has_listing = False

    def set_bounds(self, bounds: ColdBounds) -> None:
        """Replaces the bounds of the operator."""
        self._bounds = bounds

    def on_entries(
        self,
        statements: Iterable[EngineStatement],
        gone: Iterable[ids.ServerNumber],
        now: units.Instant,
    ) -> None:
        """Records the entries that have changed.

        An engine that appears later than the first listing has started, or has
        been out of reach of the store and may have started again. The one that
        it says to be warm may be so only by its next entry.

        Args:
            statements: What the changed entries say; all of them at first.
            gone: Incarnations that have no entry any more.
            now: Current time.
        """
        for server in gone:
            self._engines.pop(server, None)
        for statement in statements:
            self._engines[statement.server] = self._updated(
                self._engines.get(statement.server), statement, now
            )
            self._maybe_cold.add(statement.server)
        self._has_listing = True

    def on_failure(
        self,
        server: ids.ServerNumber,
        exclusion: units.Seconds,
        now: units.Instant,
    ) -> None:
        """Records that a server broke off or could not be reached.

        It may have crashed, and start again under the same id before its entry
        says so. Its next entry shows whether it did.

        Args:
            server: The server.
            exclusion: Time for which it gets no new requests.
            now: Current time.
        """
        self._suspect(server, exclusion, now)

    def on_taken_back(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> None:
        """Records that a server may be used again after an evacuation.

        It may have become cold shortly before, which its entry does not say
        yet.
        """
        self._suspect(server, units.Seconds(0.0), now)

    def on_peer_news(
        self, server: ids.ServerNumber, news: ColdNews, now: units.Instant
    ) -> None:
        """Records that another daemon takes an engine for cold."""
        engine = self._engines.get(server)
        if engine is None:
            engine = _Engine(news.rate, units.Instant(-math.inf))
            self._engines[server] = engine
        engine.until = max(engine.until, units.after(now, news.remaining))
        engine.rate = min(engine.rate, news.rate)
        self._maybe_cold.add(server)

    def news(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> ColdNews | None:
        """Returns what to tell another daemon; None of a warm engine."""
        engine = self._engines.get(server)
        if engine is None or engine.until <= now:
            return None
        return ColdNews(engine.rate, units.elapsed(now, engine.until))

    def cold_until(self, server: ids.ServerNumber) -> units.Instant:
        """Returns when an engine is warm; a past time if it is."""
        engine = self._engines.get(server)
        return units.Instant(-math.inf) if engine is None else engine.until

    def cold_servers(self, now: units.Instant) -> frozenset[ids.ServerNumber]:
        """Returns the engines that may be cold, and forgets unlisted others."""
        warm = {s for s in self._maybe_cold if not self.is_cold(s, now)}
        self._maybe_cold -= warm
        for server in warm:
            engine = self._engines.get(server)
            if engine is not None and not engine.duration:
                del self._engines[server]
        return frozenset(self._maybe_cold)

    def is_cold(self, server: ids.ServerNumber, now: units.Instant) -> bool:
        """Returns whether an engine may be cold."""
        return self.cold_until(server) > now

    def request_limit(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> request_limits.RequestLimit | None:
        """Returns what one issuer may issue for a server; None if warm."""
        engine = self._engines.get(server)
        if engine is None or engine.until <= now:
            return None
        factor = min(1.0, self._bounds.overrun / _MAX_ISSUERS)
        burst = (self._bounds.slack - _RESERVED_REQUESTS) / _MAX_ISSUERS
        return request_limits.RequestLimit(
            units.RequestsPerSecond(engine.rate * factor),
            engine.until,
            max(_MIN_BURST, burst),
        )

    def _updated(
        self,
        engine: _Engine | None,
        statement: EngineStatement,
        now: units.Instant,
    ) -> _Engine:
        profile = statement.profile
        if (
            engine is not None
            and engine.duration
            and engine.revision == statement.revision
        ):
            engine.rate = profile.rate
            engine.duration = profile.duration
            return engine
        updated = _Engine(
            profile.rate,
            units.Instant(-math.inf),
            profile.duration,
            statement.revision,
        )
        if engine is not None and now - engine.suspected_at < _ENTRY_DELAY:
            updated.until = engine.until
            updated.suspected_at = engine.suspected_at
        remaining = statement.remaining
        if self._has_listing and (engine is None or not engine.duration):
            remaining = max(remaining, profile.duration)
        if remaining:
            self._extend(updated, remaining, now)
        return updated

    def _suspect(
        self,
        server: ids.ServerNumber,
        unused: units.Seconds,
        now: units.Instant,
    ) -> None:
        engine = self._engines.get(server)
        if engine is not None and engine.duration:
            engine.suspected_at = now
            self._extend(engine, engine.duration + unused, now)
            self._maybe_cold.add(server)

    def _extend(
        self, engine: _Engine, remaining: float, now: units.Instant
    ) -> None:
        remaining = min(remaining, _MAX_REMAINING)
        until = units.Instant(now + remaining + _END_MARGIN)
        engine.until = max(engine.until, until)
