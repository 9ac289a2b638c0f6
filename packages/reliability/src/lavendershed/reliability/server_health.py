"""Passive health of backend servers."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class HealthOptions:
    """Parameters of the temporary exclusion of failing servers.

    Attributes:
        initial_exclusion: Exclusion after the first failure; an engine that
            crashed restarts within seconds.
        max_exclusion: Upper bound of the exponential backoff.
        failure_threshold: Consecutive failed responses that exclude a server;
            single failures are common.
        backoff_reset_after: Time without an exclusion after which the backoff
            restarts at `initial_exclusion`.
        max_reported_exclusion: Upper bound of exclusions reported by other
            daemons, whose network paths may fail where local ones work.
        reported_exclusion_margin: Extra time that a reported exclusion lasts,
            so that the reporting daemon retries the server first.
    """

    initial_exclusion: units.Seconds = units.Seconds(1.0)
    max_exclusion: units.Seconds = units.Seconds(8.0)
    failure_threshold: int = 2
    backoff_reset_after: units.Seconds = units.Seconds(15.0)
    max_reported_exclusion: units.Seconds = units.Seconds(2.0)
    reported_exclusion_margin: units.Seconds = units.Seconds(0.3)


# A server that can't be reached, and the rest of its exclusion.
UnreachableServer = tuple[ids.BackendServerId, units.Seconds]


@dataclasses.dataclass(slots=True)
class _Record:
    consecutive_failures: int = 0
    recent_exclusions: int = 0
    excluded_until: units.Instant = units.Instant(0.0)
    unreachable: bool = False


class ServerHealth:
    """Excludes servers that fail, for a time that doubles."""

    def __init__(
        self,
        options: HealthOptions = HealthOptions(),  # noqa: B008
    ) -> None:
        self._options = options
        self._records: dict[
            tuple[ids.BackendServerId, ids.Incarnation], _Record
        ] = {}
        self._reported_until: dict[ids.BackendServerId, units.Instant] = {}

    def is_excluded(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation,
        now: units.Instant,
    ) -> bool:
        """Returns whether a server should get no new work for now."""
        record = self._records.get((server, incarnation))
        if record is not None and record.excluded_until > now:
            return True
        return self._reported_until.get(server, now) > now

    def unreachable_servers(
        self, now: units.Instant
    ) -> tuple[UnreachableServer, ...]:
        """Returns the servers that this daemon can't reach, to tell others.

        Other failures are not told: an answer that is lost or wrong says less
        about the next one, and daemons that all leave out most servers after
        single failures would overload the others.
        """
        return tuple(
            (server, units.elapsed(now, record.excluded_until))
            for (server, _), record in self._records.items()
            if record.unreachable and record.excluded_until > now
        )

    def on_peer_report(
        self, unreachable: Iterable[UnreachableServer], now: units.Instant
    ) -> tuple[UnreachableServer, ...]:
        """Takes the servers that another daemon can't reach.

        Returns:
            Those that were not left out for a report yet, with the time for
            which they are.
        """
        newly_excluded = []
        for server, remaining in unreachable:
            exclusion = units.Seconds(
                min(
                    remaining + self._options.reported_exclusion_margin,
                    self._options.max_reported_exclusion,
                )
            )
            known_until = self._reported_until.get(server, now)
            if known_until <= now:
                newly_excluded.append((server, exclusion))
            self._reported_until[server] = max(
                known_until, units.after(now, exclusion)
            )
        return tuple(newly_excluded)

    def on_success(
        self, server: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> None:
        """Notes a whole answer."""
        self._reported_until.pop(server, None)
        record = self._records.get((server, incarnation))
        if record is not None:
            record.consecutive_failures = 0

    def on_failure(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation,
        now: units.Instant,
    ) -> units.Seconds | None:
        """Notes a failed answer; returns the time of an exclusion, if any."""
        record = self._records.setdefault((server, incarnation), _Record())
        record.consecutive_failures += 1
        if record.consecutive_failures < self._options.failure_threshold:
            return None
        return self._exclude(record, now)

    def on_connection_failure(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation,
        now: units.Instant,
        *,
        unreachable: bool = False,
    ) -> units.Seconds:
        """Notes a lost connection or silence; returns the exclusion.

        Args:
            server: The server.
            incarnation: Incarnation of the server.
            now: Current time.
            unreachable: Whether no connection to it can be made.
        """
        record = self._records.setdefault((server, incarnation), _Record())
        record.unreachable = unreachable or (
            record.unreachable and record.excluded_until > now
        )
        if record.excluded_until > now:
            return units.elapsed(now, record.excluded_until)
        return self._exclude(record, now)

    def remove(
        self, server: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> None:
        """Drops the record of a server that is gone."""
        self._records.pop((server, incarnation), None)
        self._reported_until.pop(server, None)

    def _exclude(self, record: _Record, now: units.Instant) -> units.Seconds:
        if now - record.excluded_until > self._options.backoff_reset_after:
            record.recent_exclusions = 0
        duration = units.Seconds(
            min(
                self._options.initial_exclusion * 2**record.recent_exclusions,
                self._options.max_exclusion,
            )
        )
        record.recent_exclusions += 1
        record.consecutive_failures = 0
        record.excluded_until = units.after(now, duration)
        return duration
