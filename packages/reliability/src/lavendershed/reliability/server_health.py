"""Passive health of backend servers."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class HealthLimits:
    """Limits of the exclusion of servers.

    Attributes:
        first: Exclusion after the first failure; an engine that crashed is
            back after some seconds.
        longest: Longest exclusion.
        failures: Failed answers in a row that exclude a server; single ones
            are usual.
        memory: Time after which an exclusion starts over at `first`.
        reported: Longest exclusion for what another daemon has seen; its
            paths may fail where the own ones work.
        patience: Time that an exclusion lasts longer here than at the daemon
            that reported it, which tries the server first.
    """

    first: units.Seconds = units.Seconds(1.0)
    longest: units.Seconds = units.Seconds(8.0)
    failures: int = 2
    memory: units.Seconds = units.Seconds(15.0)
    reported: units.Seconds = units.Seconds(2.0)
    patience: units.Seconds = units.Seconds(0.3)


# A server that can't be reached, and the rest of its exclusion.
Unreachable = tuple[ids.BackendServerId, units.Seconds]


@dataclasses.dataclass(slots=True)
class _Record:
    failures: int = 0
    exclusions: int = 0
    until: units.Instant = units.Instant(0.0)
    unreachable: bool = False


class ServerHealth:
    """Excludes servers that fail, for a time that doubles."""

    def __init__(
        self,
        limits: HealthLimits = HealthLimits(),  # noqa: B008
    ) -> None:
        self._limits = limits
        self._records: dict[
            tuple[ids.BackendServerId, ids.Incarnation], _Record
        ] = {}
        self._reported: dict[ids.BackendServerId, units.Instant] = {}

    def excluded(
        self,
        server: ids.BackendServerId,
        born: ids.Incarnation,
        now: units.Instant,
    ) -> bool:
        """Returns whether a server should get no new work for now."""
        record = self._records.get((server, born))
        if record is not None and record.until > now:
            return True
        return self._reported.get(server, now) > now

    def unreachable(self, now: units.Instant) -> tuple[Unreachable, ...]:
        """Returns the servers that this daemon can't reach, to tell others.

        Other failures are not told: an answer that is lost or wrong says less
        about the next one, and daemons that all leave out most servers after
        single failures would overload the others.
        """
        return tuple(
            (server, units.elapsed(now, record.until))
            for (server, _), record in self._records.items()
            if record.unreachable and record.until > now
        )

    def on_report(
        self, unreachable: Iterable[Unreachable], now: units.Instant
    ) -> tuple[Unreachable, ...]:
        """Takes the servers that another daemon can't reach.

        Returns:
            Those that were not left out for a report yet, with the time for
            which they are.
        """
        new = []
        for server, remaining in unreachable:
            rest = units.Seconds(
                min(remaining + self._limits.patience, self._limits.reported)
            )
            known = self._reported.get(server, now)
            if known <= now:
                new.append((server, rest))
            self._reported[server] = max(known, units.after(now, rest))
        return tuple(new)

    def on_success(
        self, server: ids.BackendServerId, born: ids.Incarnation
    ) -> None:
        """Notes a whole answer."""
        self._reported.pop(server, None)
        record = self._records.get((server, born))
        if record is not None:
            record.failures = 0

    def on_failure(
        self,
        server: ids.BackendServerId,
        born: ids.Incarnation,
        now: units.Instant,
    ) -> units.Seconds | None:
        """Notes a failed answer; returns the time of an exclusion, if any."""
        record = self._records.setdefault((server, born), _Record())
        record.failures += 1
        if record.failures < self._limits.failures:
            return None
        return self._exclude(record, now)

    def on_loss(
        self,
        server: ids.BackendServerId,
        born: ids.Incarnation,
        now: units.Instant,
        *,
        unreachable: bool = False,
    ) -> units.Seconds:
        """Notes a lost connection or silence; returns the exclusion.

        Args:
            server: The server.
            born: Its start.
            now: Current time.
            unreachable: Whether no connection to it can be made.
        """
        record = self._records.setdefault((server, born), _Record())
        record.unreachable = unreachable or (
            record.unreachable and record.until > now
        )
        if record.until > now:
            return units.elapsed(now, record.until)
        return self._exclude(record, now)

    def forget(
        self, server: ids.BackendServerId, born: ids.Incarnation
    ) -> None:
        """Drops the record of a server that is gone."""
        self._records.pop((server, born), None)
        self._reported.pop(server, None)

    def _exclude(self, record: _Record, now: units.Instant) -> units.Seconds:
        if now - record.until > self._limits.memory:
            record.exclusions = 0
        duration = units.Seconds(
            min(self._limits.first * 2**record.exclusions, self._limits.longest)
        )
        record.exclusions += 1
        record.failures = 0
        record.until = units.after(now, duration)
        return duration
