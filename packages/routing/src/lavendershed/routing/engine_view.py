"""Load estimate and held prompts of one engine in one daemon."""

from __future__ import annotations

import dataclasses
import math

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import attempts
from lavendershed.routing import held_prompts

# Requests sent this long before a report was taken may be missing from it: the
# clock offset is known only to about the engine's report interval.
_REPORT_MARGIN = units.Seconds(0.1)
# Maximum duration of a step. After its last prefill chunk a prompt still waits
# for the step that produces its first token, and requests that arrive before
# then make that step longer.
_MAX_STEP = units.Seconds(0.12)
# Minimum estimate while a request of this daemon is being prefilled.
_MIN_PREFILL_TOKENS = 1_024.0
# Dispatches of peers that are stored between two load reports of an engine.
_MAX_PEER_DISPATCHES = 32
# An older report is ignored, and the engine's load is estimated only from the
# dispatches of this daemon and the digests of its peers.
_REPORT_LIFETIME = units.Seconds(5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEstimate:
    """Estimated load of an engine at one instant.

    Attributes:
        prefill_tokens: Prompt tokens that are not prefilled yet.
        short_tokens: Those of short prompts of this daemon.
        long_tokens: Those of long prompts of this daemon.
        decoding: Requests in the decode phase.
        outstanding: Requests of this daemon in flight.
        streams: Requests in flight of all daemons.
        free_tokens: KV cache that is not reserved.
    """

    prefill_tokens: float
    short_tokens: float
    long_tokens: float
    decoding: int
    outstanding: int
    streams: int
    free_tokens: float


@dataclasses.dataclass(slots=True)
class _Dispatch:
    prompt_class: states.PromptClass
    prefill_tokens: float
    reserved_tokens: int
    at: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerDispatch:
    tokens: int
    streams: int
    at: units.Instant


class EngineView:
    """Load and prefix cache of one engine as estimated by this daemon.

    The estimate combines the engine's load reports, the digests of peers and
    the dispatches of this daemon.

    Attributes:
        name: The engine.
        position: Position in the order of engines that all daemons agree on,
            from 0 to 1.
        rank: Position in this daemon's own order of engines, from 0 to 1.
    """

    def __init__(
        self,
        name: ids.BackendServerId,
        memory_tokens: units.Tokens,
        prefill_tokens_per_second: float,
        max_blocks: int,
    ) -> None:
        self.name = name
        self.position = 0.0
        self.rank = 0.0
        self._memory_tokens = memory_tokens
        self._prefill_tokens_per_second = prefill_tokens_per_second
        self._held: held_prompts.HeldPrompts = held_prompts.BelievedPrompts(
            memory_tokens, max_blocks
        )
        self._report: backend_servers.LoadReport | None = None
        self._report_taken_at = units.Instant(0.0)
        self._clock_offset = math.inf
        self._in_flight: dict[attempts.Ticket, _Dispatch] = {}
        self._prefilling: dict[attempts.Ticket, _Dispatch] = {}
        self._digests: dict[ids.VmId, cluster.EngineLoad] = {}
        self._peer_dispatches: list[_PeerDispatch] = []

    @property
    def held(self) -> held_prompts.HeldPrompts:
        """Beginnings of prompts in the engine's prefix cache."""
        return self._held

    @property
    def outstanding(self) -> int:
        """Number of requests of this daemon in flight."""
        return len(self._in_flight)

    @property
    def prefilling_long(self) -> bool:
        """Whether a long prompt of this daemon is being prefilled."""
        return any(
            d.prompt_class is states.PromptClass.LONG
            for d in self._prefilling.values()
        )

    @property
    def local_load(self) -> cluster.EngineLoad:
        """Digest of this daemon's load on the engine, for peers."""
        tokens = sum(d.prefill_tokens for d in self._prefilling.values())
        return cluster.EngineLoad(
            self.name, len(self._in_flight), units.Tokens(int(tokens))
        )

    def estimate(self, now: units.Instant) -> EngineEstimate:
        """Returns the estimated load at `now`."""
        prefill_tokens, streams, used_kv_tokens = self._reported_load(now)
        decoding = streams
        short_tokens = long_tokens = 0.0
        since = self._report_taken_at - _REPORT_MARGIN
        if not self._has_fresh_report(now):
            since = -math.inf
        for dispatch in self._prefilling.values():
            if dispatch.at >= since:
                prefill_tokens += dispatch.prefill_tokens
                streams += 1
                used_kv_tokens += dispatch.reserved_tokens
            else:
                decoding -= 1
            if dispatch.prompt_class is states.PromptClass.SHORT:
                short_tokens += dispatch.prefill_tokens
            elif dispatch.prompt_class is states.PromptClass.LONG:
                long_tokens += dispatch.prefill_tokens
        if self._prefilling:
            prefill_tokens = max(prefill_tokens, _MIN_PREFILL_TOKENS)
        own_decoding = len(self._in_flight) - len(self._prefilling)
        for peer_dispatch in self._peer_dispatches:
            prefill_tokens += max(
                0.0,
                peer_dispatch.tokens
                - self._min_prefilled_tokens(peer_dispatch.at, now),
            )
            streams += peer_dispatch.streams
        streams = max(streams, len(self._in_flight))
        return EngineEstimate(
            prefill_tokens,
            min(short_tokens, prefill_tokens),
            min(long_tokens, prefill_tokens),
            max(decoding, own_decoding),
            len(self._in_flight),
            streams,
            self._memory_tokens - used_kv_tokens,
        )

    def on_report(
        self, report: backend_servers.LoadReport, now: units.Instant
    ) -> None:
        """Handles a load report that arrived at `now`."""
        old = self._report
        if old is not None and report.incarnation != old.incarnation:
            self._held.forget()
            self._clock_offset = math.inf
        elif old is not None and report.timestamp <= old.timestamp:
            return
        self._report = report
        self._held.on_memory_in_use(self._reported_kv_tokens(report))
        # The engine has its own clock, and a report may be delayed. The report
        # with the smallest delay gives the best estimate of the clock offset.
        self._clock_offset = min(self._clock_offset, now - report.timestamp)
        self._report_taken_at = units.Instant(
            report.timestamp + self._clock_offset
        )
        self._peer_dispatches = [
            peer_dispatch
            for peer_dispatch in self._peer_dispatches
            if peer_dispatch.at > self._report_taken_at - _REPORT_MARGIN
        ]

    def on_peer_load(
        self,
        peer: ids.VmId,
        load: cluster.EngineLoad,
        now: units.Instant,
    ) -> None:
        """Handles a peer's load digest, which replaces the previous one.

        The increase since the previous digest was dispatched recently, so the
        engine's last report does not contain it.
        """
        old = self._digests.get(peer)
        tokens = load.prefill_tokens - (old.prefill_tokens if old else 0)
        streams = load.outstanding - (old.outstanding if old else 0)
        if load.outstanding:
            self._digests[peer] = load
        else:
            self._digests.pop(peer, None)
        if tokens > 0:
            self._peer_dispatches.append(
                _PeerDispatch(tokens, max(1, streams), now)
            )
            del self._peer_dispatches[:-_MAX_PEER_DISPATCHES]

    def on_dispatch(
        self, attempt: attempts.Attempt, now: units.Instant
    ) -> None:
        """Records that an attempt is sent to this engine."""
        prefix = attempt.prompt_prefix
        cached = self._held.expected_tokens(prefix)
        uncached = max(1, attempt.prompt_tokens - cached)
        dispatch = _Dispatch(
            attempt.prompt_class, uncached, attempt.total_tokens, now
        )
        self._in_flight[attempt.ticket] = dispatch
        self._prefilling[attempt.ticket] = dispatch
        self._held.on_prompt(prefix)

    def on_first_token(self, ticket: attempts.Ticket) -> None:
        """Records the end of an attempt's prefill."""
        self._prefilling.pop(ticket, None)

    def on_release(self, ticket: attempts.Ticket) -> None:
        """Records the end of an attempt."""
        self._prefilling.pop(ticket, None)
        self._in_flight.pop(ticket, None)

    def _min_prefilled_tokens(
        self, since: units.Instant, now: units.Instant
    ) -> float:
        """Returns how many tokens the engine has prefilled at least."""
        return self._prefill_tokens_per_second * max(
            0.0, now - since - _MAX_STEP
        )

    def _has_fresh_report(self, now: units.Instant) -> bool:
        if self._report is None:
            return False
        return now - self._report_taken_at <= _REPORT_LIFETIME

    def _reported_load(self, now: units.Instant) -> tuple[float, int, float]:
        """Returns queued prefill tokens, streams and used KV cache tokens.

        Without a fresh report, only the decoding requests of this daemon count.
        """
        report = self._report
        if report is None or not self._has_fresh_report(now):
            decoding = [
                dispatch
                for ticket, dispatch in self._in_flight.items()
                if ticket not in self._prefilling
            ]
            reserved = sum(dispatch.reserved_tokens for dispatch in decoding)
            return 0.0, len(decoding), float(reserved)
        min_prefilled_tokens = self._min_prefilled_tokens(
            self._report_taken_at, now
        )
        tokens = max(0.0, report.prefill_tokens_queued - min_prefilled_tokens)
        return (
            tokens,
            report.running + report.waiting,
            self._reported_kv_tokens(report),
        )

    def _reported_kv_tokens(self, report: backend_servers.LoadReport) -> float:
        """Returns the KV cache that requests on the engine use."""
        # Reports are in bytes; the used share of the KV cache does not depend
        # on the bytes per token.
        share = report.kv_bytes_used / max(1, report.kv_bytes_total)
        return share * self._memory_tokens
