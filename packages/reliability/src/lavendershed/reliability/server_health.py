"""Passive health checks of backend servers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units

# The result of a larger exponent is no float; the exclusion is at its upper
# bound long before.
_MAX_DOUBLINGS = 32


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


# An unreachable server and the remaining time of its exclusion.
UnreachableServer = tuple[ids.BackendServerId, units.Seconds]


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    consecutive_failures: int = 0
    recent_exclusions: int = 0
    excluded_until: units.Instant = units.Instant(0.0)
    unreachable: bool = False


class ServerHealth:
    """Temporarily excludes failing servers, with exponential backoff."""

    def __init__(
        self,
        options: HealthOptions = HealthOptions(),  # noqa: B008
    ) -> None:
        self._options = options
        self._records: dict[
            tuple[ids.BackendServerId, ids.Incarnation], _FailureRecord
        ] = {}
        self._reported_until: dict[ids.BackendServerId, units.Instant] = {}
        self._listeners: list[Callable[[ids.BackendServerId], object]] = []

    def subscribe(
        self, listener: Callable[[ids.BackendServerId], object]
    ) -> None:
        """Calls `listener` with each server that is found unreachable."""
        self._listeners.append(listener)

    def unsubscribe(
        self, listener: Callable[[ids.BackendServerId], object]
    ) -> None:
        """Ends the calls of `listener`."""
        self._listeners.remove(listener)

    def is_excluded(
        self,
        server: ids.BackendServerId,
        incarnation: ids.Incarnation,
        now: units.Instant,
    ) -> bool:
        """Returns whether a server is currently excluded from new work."""
        record = self._records.get((server, incarnation))
        if record is not None and record.excluded_until > now:
            return True
        return self._reported_until.get(server, now) > now

    def unreachable_servers(
        self, now: units.Instant
    ) -> tuple[UnreachableServer, ...]:
        """Returns the unreachable servers, to be reported to other daemons.

        Other failures are not reported: a lost or invalid response predicts
        less about the next one, and if all daemons excluded most servers after
        single failures, they would overload the rest.
        """
        return tuple(
            (server, units.elapsed(now, record.excluded_until))
            for (server, _), record in self._records.items()
            if record.unreachable and record.excluded_until > now
        )

    def on_peer_report(
        self, unreachable: Iterable[UnreachableServer], now: units.Instant
    ) -> tuple[UnreachableServer, ...]:
        """Excludes the servers that another daemon reports as unreachable.

        Returns:
            The newly excluded servers and the durations of their exclusions.
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
        for server, _ in newly_excluded:
            self._notify_listeners(server)
        return tuple(newly_excluded)

    def on_success(
        self, server: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> None:
        """Records a complete response."""
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
        """Records a failed response; returns the exclusion, if any."""
        record = self._records.setdefault(
            (server, incarnation), _FailureRecord()
        )
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
        """Records a connection loss or a timeout; returns the exclusion.

        Args:
            server: The server.
            incarnation: Incarnation of the server.
            now: Current time.
            unreachable: Whether connecting to the server failed.
        """
        record = self._records.setdefault(
            (server, incarnation), _FailureRecord()
        )
        record.unreachable = unreachable or (
            record.unreachable and record.excluded_until > now
        )
        exclusion = (
            units.elapsed(now, record.excluded_until)
            if record.excluded_until > now
            else self._exclude(record, now)
        )
        if unreachable:
            self._notify_listeners(server)
        return exclusion

    def remove(
        self, server: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> None:
        """Removes the record of a server that no longer exists."""
        self._records.pop((server, incarnation), None)
        self._reported_until.pop(server, None)

    def _notify_listeners(self, server: ids.BackendServerId) -> None:
        for listener in tuple(self._listeners):
            listener(server)

    def _exclude(
        self, record: _FailureRecord, now: units.Instant
    ) -> units.Seconds:
        if now - record.excluded_until > self._options.backoff_reset_after:
            record.recent_exclusions = 0
        duration = units.Seconds(
            min(
                self._options.initial_exclusion
                * 2 ** min(record.recent_exclusions, _MAX_DOUBLINGS),
                self._options.max_exclusion,
            )
        )
        record.recent_exclusions += 1
        record.consecutive_failures = 0
        record.excluded_until = units.after(now, duration)
        return duration
