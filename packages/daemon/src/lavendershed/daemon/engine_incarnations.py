"""Incarnations of engines as this daemon has seen them."""

from __future__ import annotations

import asyncio
import enum

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import units

# A crashed engine refuses or answers at once; a slow answer decides nothing.
_PROBE_TIMEOUT = units.Seconds(0.5)


class Liveness(enum.Enum):
    """What a probe shows of one engine incarnation."""

    RUNNING = "running"
    DEAD = "dead"
    UNDECIDED = "undecided"


class EngineIncarnations:
    """Latest incarnation of each engine; decides whether one has died."""

    def __init__(self) -> None:
        self._latest: dict[ids.BackendServerId, ids.Incarnation] = {}
        self._previous: dict[ids.BackendServerId, ids.Incarnation] = {}

    @property
    def latest(self) -> dict[ids.BackendServerId, ids.Incarnation]:
        """The latest incarnation seen of each engine."""
        return self._latest

    def on_seen(
        self, engine: ids.BackendServerId, incarnation: ids.Incarnation
    ) -> bool:
        """Notes an incarnation; returns whether it is the latest.

        The answer of an earlier incarnation may be read after the answer of
        the one that replaced it.
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
        """Asks an engine which incarnation it runs.

        Only a refused connection or another incarnation shows a death. An
        engine that does not answer may be cut off, and the requests that are
        in flight there must not be suspected of crashing it.

        Args:
            engine: Name of the engine.
            client: Its client.
            expected: The incarnation in question, if it is known.
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
