"""Tracking of engine incarnations."""

from __future__ import annotations

import asyncio
import enum

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import units

# A crashed engine refuses the connection, and a restarted one responds, within
# this time; a slower response is inconclusive.
_PROBE_TIMEOUT = units.Seconds(0.5)


class Liveness(enum.Enum):
    """Result of a probe for one engine incarnation."""

    RUNNING = "running"
    DEAD = "dead"
    UNDECIDED = "undecided"


class EngineIncarnations:
    """Tracks the latest incarnation of each engine and probes liveness."""

    def __init__(self) -> None:
        self._latest: dict[ids.BackendServerId, ids.Incarnation] = {}
        self._previous: dict[ids.BackendServerId, ids.Incarnation] = {}

    @property
    def latest(self) -> dict[ids.BackendServerId, ids.Incarnation]:
        """Latest known incarnation of each engine."""
        return self._latest

    def on_seen(
        self, engine: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> bool:
        """Records an incarnation; returns whether it is the latest.

        A response of an earlier incarnation may be read after a response of
        its replacement.
        """
        if self._previous.get(engine) == incarnation:
            return False
        previous = self._latest.get(engine)
        if previous is not None and previous != incarnation:
            self._previous[engine] = previous
        self._latest[engine] = incarnation
        return True

    async def probe(
        self,
        engine: ids.BackendServerId,
        client: backend_servers.ModelEngine,
        expected: ids.Incarnation | None,
    ) -> Liveness:
        """Checks whether an engine still runs the expected incarnation.

        Only a refused connection or another incarnation proves a crash. An
        engine that doesn't respond may be unreachable over the network, and
        its requests in flight must not become crash suspects.

        Args:
            engine: Name of the engine.
            client: Client of the engine.
            expected: The expected incarnation, if known.
        """
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT):
                report = await client.load_report()
        except TimeoutError:
            return Liveness.UNDECIDED
        if isinstance(report, result.Err):
            refused = backend_servers.BackendErrorKind.CONNECTION_REFUSED
            if report.err_value.kind is refused:
                return Liveness.DEAD
            return Liveness.UNDECIDED
        reported = report.ok_value.incarnation
        self.on_seen(engine, reported)
        if expected is None:
            return Liveness.UNDECIDED
        return Liveness.RUNNING if reported == expected else Liveness.DEAD
