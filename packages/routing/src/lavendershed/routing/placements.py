"""What a request needs of engines, and the engines chosen for it."""

from __future__ import annotations

import abc
from collections.abc import Sequence
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routing import latency_model
from lavendershed.routing import memory_shares


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs and when.

    Attributes:
        size: Tokens in and out.
        due_at: Time by which the first token is due.
        limit_at: Time by which the answer is due.
        longest_pause: Longest pause of an answer on time.
        zone: Availability zone of the deciding daemon.
        body: Bytes that go to the engine.
        writers: Engines that may get the request; any if empty.
    """

    size: latency_model.RequestSize
    first_token_due_at: units.Instant
    deadline: units.Instant
    target_inter_token_latency: units.Seconds
    zone: ids.AvailabilityZoneId
    body_size: units.Bytes
    allowed_engines: frozenset[ids.BackendServerId] = frozenset()

    def allows_engine(self, server: ids.BackendServerId) -> bool:
        """Returns whether an engine may get the request."""
        return not self.allowed_engines or server in self.allowed_engines


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Engines chosen for one attempt.

    Attributes:
        first: Engine that gets the request and writes the answer.
        helpers: Engines that read parts of the prompt.
        read_ms: Time to read one part.
        first_token_ms: Predicted time to the first token.
        pass_ms: Predicted time between the events of the answer.
        write_ms: Predicted time to write the whole answer.
        loss: Expected loss of credit, the measure of the choice.
        urgent: Whether the first token is expected in time; a request that is
            late anyway lets the others go first.
        shares: Memory to reserve; empty if the first engine has the room.
    """

    decode_engine: server_directory.ServerEntry
    prefill_helpers: tuple[server_directory.ServerEntry, ...]
    shard_prefill_ms: float
    ttft_ms: float
    iteration_ms: float
    decode_ms: float
    loss: float
    urgent: bool
    shares: tuple[memory_shares.MemoryShare, ...] = ()


class EngineChooser(abc.ABC):
    """Chooses engines for requests to one service."""

    @abc.abstractmethod
    def choose(
        self,
        demand: Demand,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
        now: units.Instant,
    ) -> Placement | None:
        """Returns the engines to use, or None if there is no room.

        Args:
            demand: What the request needs.
            candidates: Engines that accept new work.
            avoided: Engines to use only if there are no others.
            now: Current time.
        """
