"""Requirements of a request and the engines selected for it."""

from __future__ import annotations

import abc
from collections.abc import Sequence
import dataclasses

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.routing import memory_shares


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Resources and latency that a request requires.

    Attributes:
        size: Prompt and output tokens.
        first_token_due_at: Time by which the first token is due.
        deadline: Time by which the whole answer is due.
        target_inter_token_latency: Target for the time between two events.
        zone: Availability zone of the daemon that places the request.
        body_size: Bytes to send to the engine.
        allowed_engines: Engines that may decode the request; any if empty.
        excluded_helpers: Engines that may not prefill for another one.
        prompt_prefix: Beginning of the prompt that engines may still hold.
    """

    size: latency_model.RequestSize
    first_token_due_at: units.Instant
    deadline: units.Instant
    target_inter_token_latency: units.Seconds
    zone: ids.AvailabilityZoneId
    body_size: units.Bytes
    allowed_engines: frozenset[ids.BackendServerId] = frozenset()
    excluded_helpers: frozenset[ids.BackendServerId] = frozenset()
    prompt_prefix: held_prompts.PromptPrefix = held_prompts.NO_PREFIX

    def allows_engine(self, server: ids.BackendServerId) -> bool:
        """Returns whether an engine may decode the request."""
        return not self.allowed_engines or server in self.allowed_engines


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Engines selected for one attempt, with the predicted latency.

    Attributes:
        decode_engine: Engine that receives the request and decodes it.
        prefill_helpers: Engines that prefill shards of the prompt.
        shard_prefill_ms: Prefill time of one shard.
        ttft_ms: Predicted time to first token.
        iteration_ms: Predicted time between the events of the answer.
        decode_ms: Predicted decode time of the whole answer.
        loss: Expected loss of utility, which the selection minimises.
        urgent: Whether the first token is expected on time; engines run a
            request that is late anyway after the others.
        shares: KV cache to reserve; empty if that of the decode engine
            suffices.
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

    @property
    def prefill_ms(self) -> float:
        """Prefill time of the whole prompt on one engine."""
        return self.shard_prefill_ms * (1 + len(self.prefill_helpers))

    def without(
        self, engines: frozenset[ids.BackendServerId]
    ) -> Placement | None:
        """Returns the placement without helpers that are not available.

        The others take over their shards. None if the engine that decodes or
        a holder of memory is not available, or most of the helpers aren't.
        """
        if not engines:
            return self
        helpers = tuple(
            helper
            for helper in self.prefill_helpers
            if helper.id not in engines
        )
        if (
            self.shares
            or self.decode_engine.id in engines
            or len(helpers) < len(self.prefill_helpers) / 2
        ):
            return None
        shard_prefill_ms = self.prefill_ms / (1 + len(helpers))
        return dataclasses.replace(
            self,
            prefill_helpers=helpers,
            shard_prefill_ms=shard_prefill_ms,
            ttft_ms=self.ttft_ms + shard_prefill_ms - self.shard_prefill_ms,
        )


class EngineChooser(abc.ABC):
    """Policy that selects engines for requests to one service."""

    @abc.abstractmethod
    def choose(
        self,
        demand: Demand,
        candidates: Sequence[server_directory.ServerEntry],
        avoided: frozenset[ids.BackendServerId],
        now: units.Instant,
    ) -> Placement | None:
        """Returns the engines to use, or None if none has the capacity.

        Args:
            demand: Requirements of the request.
            candidates: Engines that accept new requests.
            avoided: Engines to use only if there are no others.
            now: Current time.
        """
