"""Passive health of backend servers."""

from __future__ import annotations

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
    """

    first: units.Seconds = units.Seconds(1.0)
    longest: units.Seconds = units.Seconds(8.0)
    failures: int = 2
    memory: units.Seconds = units.Seconds(15.0)


@dataclasses.dataclass(slots=True)
class _Record:
    failures: int = 0
    exclusions: int = 0
    until: units.Instant = units.Instant(0.0)


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

    def excluded(
        self,
        server: ids.BackendServerId,
        born: ids.Incarnation,
        now: units.Instant,
    ) -> bool:
        """Returns whether a server should get no new work for now."""
        record = self._records.get((server, born))
        return record is not None and record.until > now

    def on_success(
        self, server: ids.BackendServerId, born: ids.Incarnation
    ) -> None:
        """Notes a whole answer."""
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
    ) -> units.Seconds:
        """Notes a refused connection or silence; returns the exclusion."""
        record = self._records.setdefault((server, born), _Record())
        if record.until > now:
            return units.elapsed(now, record.until)
        return self._exclude(record, now)

    def forget(
        self, server: ids.BackendServerId, born: ids.Incarnation
    ) -> None:
        """Drops the record of a server that is gone."""
        self._records.pop((server, born), None)

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
