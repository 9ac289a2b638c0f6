"""Requests a second that one server takes from all daemons together."""

from __future__ import annotations

import abc
from collections.abc import Iterable
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimit:
    """A limit that holds for one server.

    Attributes:
        rate: Requests that the server takes from all daemons.
        until: When the limit ends; infinite if it is not known.
        burst: Permits that may be issued at once after a pause, also by a
            daemon that has just begun to issue; None for the burst of a limit
            whose issuers may not overlap.
    """

    rate: units.RequestsPerSecond
    until: units.Instant
    burst: float | None = None


class RequestLimits(abc.ABC):
    """A source of request limits."""

    @abc.abstractmethod
    def request_limit(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> RequestLimit | None:
        """Returns the limit of a server; None without one."""


class LowestLimits(RequestLimits):
    """The lowest limit of several sources."""

    def __init__(self, sources: Iterable[RequestLimits]) -> None:
        self._sources = tuple(sources)

    def request_limit(
        self, server: ids.ServerNumber, now: units.Instant
    ) -> RequestLimit | None:
        """Returns the limit with the lowest rate; None without any."""
        found = (source.request_limit(server, now) for source in self._sources)
        return min(
            (limit for limit in found if limit is not None),
            key=lambda limit: limit.rate,
            default=None,
        )
