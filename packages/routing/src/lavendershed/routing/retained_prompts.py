"""Savings of prefill time at engines that retain prompts, for one service."""

from __future__ import annotations

import collections
import dataclasses

from lavendershed.core import ids
from lavendershed.membership import server_directory
from lavendershed.routing import held_prompts
from lavendershed.routing import latency_model
from lavendershed.routing import placements
from lavendershed.routing import predicted_loss

# Bounds of the memory, about 10 MB with all engines and parts in use.
_MAX_ENGINES = 256
_MAX_PARTS_PER_ENGINE = 128
_NOTHING_HELD = held_prompts.NothingHeld()


class RetainedPrompts:
    """What each engine of a service holds, until it restarts or gets cold."""

    def __init__(self, model: latency_model.LatencyModel) -> None:
        self._latency_model = model
        # Each with its entry at the last use; the engines used last are last.
        self._engines: collections.OrderedDict[
            ids.BackendServerId,
            tuple[server_directory.ServerEntry, held_prompts.HeldPrompts],
        ] = collections.OrderedDict()

    @property
    def size(self) -> int:
        """Number of engines of which something is known."""
        return len(self._engines)

    def apply(
        self,
        demand: placements.Demand,
        engines: list[predicted_loss.Candidate],
    ) -> list[predicted_loss.Candidate]:
        """Returns the engines with the part of the prompt left to prefill."""
        if not self._engines or not demand.prompt_prefix.hashes:
            return engines
        requests = sum(engine.load.requests for engine in engines)
        return [
            dataclasses.replace(
                engine, prefill_share=self._prefill_share(demand, engine)
            )
            if held_prompts.within_load_bound(
                engine.load.requests, requests, len(engines)
            )
            else engine
            for engine in engines
        ]

    def on_prefilled(
        self,
        engine: server_directory.ServerEntry,
        prefix: held_prompts.PromptPrefix,
    ) -> None:
        """Records that an engine has prefilled a prompt."""
        if not prefix.hashes or not self._latency_model.profile.retains_prompts:
            return
        held = self._held(engine)
        if held is _NOTHING_HELD:
            held = held_prompts.BelievedPrompts(
                self._latency_model.profile.kv_capacity, _MAX_PARTS_PER_ENGINE
            )
        held.on_prompt(prefix)
        self._engines[engine.id] = (engine, held)
        self._engines.move_to_end(engine.id)
        while len(self._engines) > _MAX_ENGINES:
            self._engines.popitem(last=False)

    def _held(
        self, engine: server_directory.ServerEntry
    ) -> held_prompts.HeldPrompts:
        known = self._engines.get(engine.id)
        if known is None or _may_have_lost_memory(known[0], engine):
            return _NOTHING_HELD
        return known[1]

    def _prefill_share(
        self, demand: placements.Demand, engine: predicted_loss.Candidate
    ) -> float:
        held = self._held(engine.entry)
        held.on_memory_in_use(engine.load.kv_tokens)
        prompt_tokens = demand.size.prompt_tokens
        # The last token is always prefilled, since it yields the first one of
        # the answer.
        held_tokens = min(
            held.expected_tokens(demand.prompt_prefix), prompt_tokens - 1
        )
        whole_ms = self._latency_model.prefill_ms(prompt_tokens)
        if held_tokens <= 0 or whole_ms <= 0:
            return 1.0
        return 1.0 - self._latency_model.prefill_ms(held_tokens) / whole_ms


def _may_have_lost_memory(
    before: server_directory.ServerEntry, now: server_directory.ServerEntry
) -> bool:
    """Returns whether an engine has restarted or got cold since `before`."""
    return before.incarnation != now.incarnation or (
        now.cold_remaining > 0 and now.revision != before.revision
    )
