"""Load balancing policies that select the engine of a request."""

from __future__ import annotations

import abc
import dataclasses
import itertools

import result

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import attempts
from lavendershed.routing import engine_fleet
from lavendershed.routing import engine_view
from lavendershed.routing import held_prompts
from lavendershed.routing import prompt_classes


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The selected engine.

    Attributes:
        priority: Smaller numbers run first on the engine.
        reason: Reason for the selection, for the log.
    """

    engine: ids.BackendServerId
    priority: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """No engine has capacity; the request stays queued.

    Attributes:
        possible: Whether an engine may be able to run the request later.
    """

    reason: str
    possible: bool = True


class EngineChooser(abc.ABC):
    """Policy that selects an engine for a request."""

    @abc.abstractmethod
    def choose(
        self,
        attempt: attempts.Attempt,
        fleet: engine_fleet.EngineFleet,
        preset: model.Preset,
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the engine to use, or why the request has to wait."""


def _allowed(
    attempt: attempts.Attempt,
    view: engine_view.EngineView,
    fleet: engine_fleet.EngineFleet,
) -> bool:
    return view.name not in attempt.excluded and fleet.accepts_work(view.name)


def _none_allowed(attempt: attempts.Attempt) -> result.Err[Wait]:
    if attempt.excluded:
        reason = "every engine is excluded or accepts no work"
    else:
        reason = "no engine accepts work"
    return result.Err(Wait(reason, possible=False))


class RoundRobin(EngineChooser):
    """Selects engines in turn."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(
        self,
        attempt: attempts.Attempt,
        fleet: engine_fleet.EngineFleet,
        preset: model.Preset,
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the next engine in turn."""
        views = fleet.views
        for _ in views:
            turn = next(self._turn)
            view = views[turn % len(views)]
            if _allowed(attempt, view, fleet):
                return result.Ok(Choice(view.name, 0, f"turn {turn}"))
        return _none_allowed(attempt)


class LeastOutstanding(EngineChooser):
    """Selects the engine with the fewest requests of this daemon in flight.

    Attributes:
        prioritised: Whether requests carry the priority of the prompt class.
    """

    def __init__(self, prioritised: bool = False) -> None:
        self._prioritised = prioritised

    def choose(
        self,
        attempt: attempts.Attempt,
        fleet: engine_fleet.EngineFleet,
        preset: model.Preset,
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the engine with the fewest requests; ties are random."""
        allowed = [
            view
            for view in fleet.sample(len(fleet.views))
            if _allowed(attempt, view, fleet)
        ]
        if not allowed:
            return _none_allowed(attempt)
        best = min(allowed, key=lambda view: view.outstanding)
        priority = (
            prompt_classes.PRIORITIES[attempt.prompt_class]
            if self._prioritised
            else 0
        )
        return result.Ok(
            Choice(best.name, priority, f"{best.outstanding} outstanding")
        )


_MIN_WEIGHT = 0.001
# A larger share would leave medium and long prompts less than half the engines.
_MAX_SHORT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CostSettings:
    """Constants of the cost estimate.

    Attributes:
        samples: Random candidates per decision. Selecting the best of all
            engines would make daemons with the same stale reports select the
            same engine.
        large_fleet_samples: Candidates per decision in a large fleet, which
            bounds the CPU time of a decision.
        large_fleet_size: Number of engines from which a fleet is large.
        chunk_tokens: Prompt tokens that an engine prefills in one step, and
            so the smallest delay that its queue adds to an urgent request.
        decode_step: Seconds of a step without prefill.
        max_backlog: Seconds of queued prefill on an engine above which medium
            and long prompts stay queued in the daemon, where a better engine
            can still be selected.
        decode_weight: Weight of a delay to a decoding request. An answer takes
            about ten times as long as its first token, so the same delay is a
            smaller slowdown.
        short_share: Share of the engines, at the end of the order that all
            daemons agree on, that is reserved for short prompts. It is scaled
            by the preset's weight of short prompts relative to long ones.
        memory_wait: Time until running requests free the KV cache that a long
            prompt lacks.
        rank_bias: Cost of the last engine in the daemon's own order. It makes
            daemons prefer different engines of equal cost, so that they do not
            all select one engine before its next report.
    """

    samples: int = 16
    large_fleet_samples: int = 6
    large_fleet_size: int = 64
    chunk_tokens: int = 2_048
    decode_step: units.Seconds = units.Seconds(0.012)
    max_backlog: units.Seconds = units.Seconds(1.0)
    decode_weight: float = 0.05
    short_share: float = 0.1
    memory_wait: units.Seconds = units.Seconds(4.0)
    rank_bias: units.Seconds = units.Seconds(0.3)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Predicted cost of running a request on one engine.

    Attributes:
        ttft: Predicted time to first token of the request.
        interference: Delay that the request adds to others on the engine,
            weighted and summed over requests.
        total: Weighted sum, which the selection minimises.
    """

    ttft: units.Seconds
    interference: units.Seconds
    total: float
    cached_tokens: int


class PredictedCost(EngineChooser):
    """Minimises the predicted delay of the request and of others."""

    def __init__(
        self,
        prefill_tokens_per_second: float,
        settings: CostSettings | None = None,
    ) -> None:
        self._prefill_tokens_per_second = prefill_tokens_per_second
        self._settings = settings or CostSettings()

    def choose(
        self,
        attempt: attempts.Attempt,
        fleet: engine_fleet.EngineFleet,
        preset: model.Preset,
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the engine with the lowest cost of a random sample."""
        long = attempt.prompt_class is states.PromptClass.LONG
        if long and self._long_limit_reached(fleet, preset):
            return result.Err(
                Wait("long prompts already use their share of the engines")
            )
        candidates = self._candidates(attempt, fleet, preset)
        if not candidates:
            return self._no_candidate(attempt, fleet)
        best: tuple[engine_view.EngineView, Cost] | None = None
        full = 0
        estimates = [view.estimate(now) for view in candidates]
        streams = sum(estimate.streams for estimate in estimates)
        # The prompts of a request that may have crashed an engine attract
        # nothing.
        prefix = (
            held_prompts.NO_PREFIX
            if attempt.excluded
            else attempt.prompt_prefix
        )
        for view, estimate in zip(candidates, estimates, strict=True):
            if estimate.free_tokens < attempt.total_tokens and not long:
                full += 1
                continue
            if self._is_backlogged(attempt, estimate):
                continue
            cached = (
                view.held.expected_tokens(prefix)
                if held_prompts.within_load_bound(
                    estimate.streams, streams, len(candidates)
                )
                else 0
            )
            cost = self._cost(attempt, view, estimate, cached, preset)
            if best is None or cost.total < best[1].total:
                best = (view, cost)
        if best is None:
            return result.Err(
                Wait(
                    f"{full} of {len(candidates)} engines have too little "
                    "free KV cache, the others have a long queue"
                )
            )
        view, cost = best
        return result.Ok(
            Choice(
                view.name,
                prompt_classes.PRIORITIES[attempt.prompt_class],
                f"predicted ttft {cost.ttft:.3f} s, added to others "
                f"{cost.interference:.3f} s, "
                f"cached {cost.cached_tokens} tokens, "
                f"best of {len(candidates)}",
            )
        )

    def _candidates(
        self,
        attempt: attempts.Attempt,
        fleet: engine_fleet.EngineFleet,
        preset: model.Preset,
    ) -> list[engine_view.EngineView]:
        samples = self._settings.samples
        if len(fleet.views) >= self._settings.large_fleet_size:
            samples = self._settings.large_fleet_samples
        boundary = 1.0 - self._short_share(preset)
        if attempt.prompt_class is states.PromptClass.SHORT:
            sampled = fleet.sample(samples // 2, boundary)
            sampled += fleet.sample(samples - len(sampled), 0.0, boundary)
        elif attempt.prompt_class is states.PromptClass.MEDIUM:
            sampled = fleet.sample(samples, 0.0, boundary)
        else:
            limit = min(preset.long_prefill_share, boundary)
            sampled = fleet.sample(samples, 0.0, limit)
        return [view for view in sampled if _allowed(attempt, view, fleet)]

    def _short_share(self, preset: model.Preset) -> float:
        weights = preset.short_slowdown_weight / max(
            preset.long_ttft_weight, _MIN_WEIGHT
        )
        return min(_MAX_SHORT_SHARE, self._settings.short_share * weights)

    def _no_candidate(
        self, attempt: attempts.Attempt, fleet: engine_fleet.EngineFleet
    ) -> result.Err[Wait]:
        if any(_allowed(attempt, view, fleet) for view in fleet.views):
            return result.Err(Wait("no sampled engine accepts work"))
        return _none_allowed(attempt)

    def _long_limit_reached(
        self, fleet: engine_fleet.EngineFleet, preset: model.Preset
    ) -> bool:
        limit = fleet.share_size(preset.long_prefill_share)
        busy = sum(view.prefilling_long for view in fleet.views)
        return busy >= limit

    def _is_backlogged(
        self, attempt: attempts.Attempt, estimate: engine_view.EngineEstimate
    ) -> bool:
        if attempt.prompt_class is states.PromptClass.SHORT:
            return False
        limit = self._settings.max_backlog * self._prefill_tokens_per_second
        return estimate.prefill_tokens > limit

    def _cost(
        self,
        attempt: attempts.Attempt,
        view: engine_view.EngineView,
        estimate: engine_view.EngineEstimate,
        cached: int,
        preset: model.Preset,
    ) -> Cost:
        uncached = max(1, attempt.prompt_tokens - cached)
        tokens_ahead = self._tokens_ahead(attempt, estimate)
        missing_tokens = attempt.total_tokens - estimate.free_tokens
        chunk_time = (
            self._settings.chunk_tokens / self._prefill_tokens_per_second
        )
        ttft = (
            tokens_ahead + uncached
        ) / self._prefill_tokens_per_second + self._settings.decode_step
        if missing_tokens > 0:
            # A long prompt is queued on the engine, because enough KV cache
            # never becomes free while other prompts are sent there.
            ttft += self._settings.memory_wait
        # While the engine prefills, each decoding request gets one token per
        # prefill chunk.
        prefill_remaining = (
            estimate.prefill_tokens / self._prefill_tokens_per_second
        )
        slowed_decode = min(prefill_remaining, attempt.max_tokens * chunk_time)
        prefill_time = uncached / self._prefill_tokens_per_second
        weight = self._settings.decode_weight
        interference = prefill_time * (
            weight * estimate.decoding
            + self._overtaken_prompts(attempt, estimate)
        )
        if estimate.prefill_tokens > 0:
            # The step that produces the first token of the prompt ahead also
            # prefills a chunk of this one.
            interference += min(prefill_time, chunk_time)
        own_weight, others_weight = 1.0, preset.short_slowdown_weight
        if attempt.prompt_class is states.PromptClass.SHORT:
            own_weight = preset.short_slowdown_weight
        elif attempt.prompt_class is states.PromptClass.LONG:
            own_weight = preset.long_ttft_weight
        total = (
            own_weight * (ttft + weight * slowed_decode)
            + others_weight * interference
        )
        if attempt.prompt_class is states.PromptClass.SHORT:
            total += self._settings.rank_bias * view.rank
        return Cost(
            units.Seconds(ttft), units.Seconds(interference), total, cached
        )

    def _tokens_ahead(
        self, attempt: attempts.Attempt, estimate: engine_view.EngineEstimate
    ) -> float:
        """Returns the tokens that are prefilled before this prompt."""
        queued = estimate.prefill_tokens
        if attempt.prompt_class is not states.PromptClass.SHORT:
            return queued
        # The current step is completed first, and the step that produces the
        # first token also prefills a chunk of lower priority.
        max_lower_tokens = 2.0 * self._settings.chunk_tokens
        lower_priority_tokens = queued - estimate.short_tokens
        return estimate.short_tokens + min(
            lower_priority_tokens, max_lower_tokens
        )

    def _overtaken_prompts(
        self, attempt: attempts.Attempt, estimate: engine_view.EngineEstimate
    ) -> int:
        """Returns how many queued prompts this prompt overtakes."""
        if attempt.prompt_class is not states.PromptClass.SHORT:
            return 0
        return 1 if estimate.prefill_tokens > estimate.short_tokens else 0
